//! The settings of a process: one YAML file, checked against a schema.
//!
//! [`Settings`] and its sections are generated from `schema/settings.json`;
//! [`Process`] holds the same in the domain's types, checked. [`load_process`]
//! reads a file and reports a wrong key or value with its line and field.

mod check;
mod error;
mod load;
mod locate;
mod node;
mod process;
mod secret;
mod section;

/// Generated types.
#[allow(
    missing_docs,
    unreachable_pub,
    unused_qualifications,
    clippy::all,
    clippy::use_self,
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic
)]
#[rustfmt::skip]
mod generated;

pub use error::{InvalidField, InvalidSetting, Problem, SettingsError};
pub use generated::{
    AgentSettings, EndpointKind, EntrySettings, IdempotentRule, LimitSettings, ListenSettings,
    LogFormat, LogLevel, LogSettings, OrderSettings, PlatformSettings, SecuritySettings, Settings,
    StopSettings, TraceExport, TraceSettings,
};
pub use load::{load, load_process, parse, parse_process};
pub use node::{Gateway, Node, NodeRole, Observer, load_node, parse_node};
pub use process::{
    Agent, EndpointSpec, Entry, Exposure, IdempotentCalls, Identity, Limits, Listen, Platform,
    Process, Role, Security, Trace,
};
pub use secret::Secret;
