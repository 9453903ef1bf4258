//! The entry process: the HTTP front end for callers.
//!
//! An [`Entry`] accepts callers' HTTP requests, routes each one to an agent and
//! streams the response back. HTTP is served by the `callers` threads; the
//! `routing` thread maintains the connections to agents and selects among them.

mod answer_stream;
mod attempt;
mod bounded_body;
mod caller_policy;
mod callers;
mod completions;
mod counters;
mod cursor;
mod entry;
mod error;
mod generations;
mod host_updates;
mod keyed;
mod link;
mod member;
mod open_request;
mod peers;
mod pool;
mod problem;
mod route;
mod routing;
mod services;
mod status;

pub use entry::Entry;
pub use error::EntryError;
