//! The settings of a process: a YAML file that is validated against a schema.
//!
//! [`Settings`] and its sections are generated from `schema/settings.json`.
//! [`Process`] holds the validated settings in domain types. [`load_process`]
//! reads a file and reports an invalid key or value with its line and field.
//! [`load_node`] does the same for gateways and observers, whose schema is
//! `schema/node.json`.

mod check;
mod error;
mod load;
mod locate;
mod node;
mod process;
mod secret;
mod section;

/// Types generated from `schema/settings.json`.
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
pub use node::{Gateway, Node, NodeRole, Observer, RolloutLimits, load_node, parse_node};
pub use process::{
    Agent, EndpointSpec, Entry, Exposure, IdempotentCalls, Identity, Limits, Listen, Platform,
    Process, Role, Security, Trace,
};
pub use secret::Secret;
