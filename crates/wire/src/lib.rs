//! Protobuf messages exchanged between the processes of lentiltray.
//!
//! The types of [`v1`] are generated from `schema/lentiltray.proto` by
//! `cargo run -p lentil-codegen`. Domain types are converted into wire types
//! with `From` and back with `TryFrom`.

mod convert;

/// Generated messages, clients and servers of protocol version 1.
#[allow(
    missing_docs,
    unreachable_pub,
    unused_qualifications,
    clippy::all,
    clippy::use_self,
    clippy::wildcard_imports
)]
#[rustfmt::skip]
pub mod v1 {
    include!("generated/lentiltray.v1.rs");
}

pub use convert::WireError;
