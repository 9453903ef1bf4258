//! Settings of gateways and observers.

use std::net::SocketAddr;
use std::num::{NonZeroU16, NonZeroU64};
use std::path::Path;

use lentil_core::{Span, ZoneId};

use crate::load::{read, read_shape, wrong_field};
use crate::{InvalidField, InvalidSetting, LogLevel, Problem, SettingsError};

/// Generated types.
#[allow(
    dead_code,
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

use generated::{BoundSettings, GatewaySettings, NodeLogLevel, NodeSettings, ObserverSettings};

/// The checked settings of a gateway or an observer.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// The name of the process.
    pub name: String,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Least severe log lines that are written.
    pub log_level: LogLevel,
    /// What it does.
    pub role: NodeRole,
}

/// What a process does.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeRole {
    /// It serves callers.
    Gateway(Gateway),
    /// It watches the engine beside it.
    Observer(Observer),
}

/// The settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Gateway {
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where the balancer asks whether callers should come.
    pub readiness: SocketAddr,
    /// Where its metrics are.
    pub metrics: SocketAddr,
    /// Where the platform's store answers.
    pub store: SocketAddr,
    /// The port of observers.
    pub observer_port: u16,
    /// Time after which a key that was taken away works nowhere.
    pub revoke: Span,
    /// Time that a leaving endpoint goes on after its notice.
    pub drain: Span,
    /// Time between the signal to stop and the end of the process.
    pub grace: Span,
    /// Requests a second that a cold endpoint bears beyond its nominal rate.
    pub cold_slack_per_s: f64,
    /// Repeats for each request of a service, over all gateways.
    pub retry_ratio: f64,
    /// Repeats beyond the ratio in one window, over all gateways.
    pub retry_slack: f64,
    /// The window in which repeats are counted.
    pub retry_window: Span,
    /// Longest wait for the link of an engine that would receive a copy.
    pub receiver_wait: Span,
}

/// The settings of an observer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observer {
    /// Where gateways reach it.
    pub listen: SocketAddr,
    /// The engine beside it.
    pub engine: SocketAddr,
    /// Where its metrics are.
    pub metrics: SocketAddr,
}

/// Reads the settings of a gateway or an observer from a file.
///
/// # Errors
/// The file can't be read, or holds a wrong key or value.
pub fn load_node(path: &Path) -> Result<Node, SettingsError> {
    Ok(parse_node(&read(path)?)?)
}

/// Reads the settings of a gateway or an observer from a text.
///
/// # Errors
/// The text holds a wrong key or value.
pub fn parse_node(text: &str) -> Result<Node, InvalidSetting> {
    let settings: NodeSettings = read_shape(text)?;
    Node::try_from(settings).map_err(|error| wrong_field(text, error))
}

fn wrong(field: &str, problem: impl Into<Problem>) -> InvalidField {
    InvalidField {
        field: field.to_owned(),
        problem: problem.into(),
    }
}

fn address(field: &str, text: &str) -> Result<SocketAddr, InvalidField> {
    text.parse().map_err(|_| wrong(field, Problem::Address))
}

fn millis(ms: NonZeroU64) -> Span {
    Span::from_ms(ms.get())
}

/// A ratio or an allowance: a number that is not negative.
fn allowance(field: &str, number: f64) -> Result<f64, InvalidField> {
    if number.is_finite() && number >= 0.0 {
        return Ok(number);
    }
    let (min, max) = (0, u64::from(u32::MAX));
    Err(wrong(field, Problem::Range { min, max }))
}

impl From<NodeLogLevel> for LogLevel {
    fn from(level: NodeLogLevel) -> Self {
        match level {
            NodeLogLevel::Error => Self::Error,
            NodeLogLevel::Warn => Self::Warn,
            NodeLogLevel::Info => Self::Info,
            NodeLogLevel::Debug => Self::Debug,
        }
    }
}

impl TryFrom<NodeSettings> for Node {
    type Error = InvalidField;

    fn try_from(settings: NodeSettings) -> Result<Self, InvalidField> {
        let role = match (settings.gateway, settings.observer) {
            (Some(gateway), None) => NodeRole::Gateway(gateway.try_into()?),
            (None, Some(observer)) => NodeRole::Observer(observer.try_into()?),
            (Some(_), Some(_)) => {
                let reason = "beside the section gateway";
                return Err(wrong("observer", Problem::Misplaced { reason }));
            }
            (None, None) => {
                let reason = "where there is no section observer";
                return Err(wrong("gateway", Problem::Missing { reason }));
            }
        };
        Ok(Self {
            name: settings.name,
            zone: settings
                .zone
                .parse()
                .map_err(|error: lentil_core::ParseIdError| wrong("zone", error))?,
            log_level: settings.log_level.map_or(LogLevel::Info, LogLevel::from),
            role,
        })
    }
}

impl TryFrom<GatewaySettings> for Gateway {
    type Error = InvalidField;

    fn try_from(settings: GatewaySettings) -> Result<Self, InvalidField> {
        let bounds: BoundSettings = settings.bounds.unwrap_or_default();
        let port: NonZeroU16 = settings.observer_port;
        Ok(Self {
            callers: address("gateway.callers", &settings.callers)?,
            readiness: address("gateway.readiness", &settings.readiness)?,
            metrics: address("gateway.metrics", &settings.metrics)?,
            store: address("gateway.store", &settings.store)?,
            observer_port: port.get(),
            revoke: Span::from_ms(bounds.revoke_ms),
            drain: millis(bounds.drain_ms),
            grace: Span::from_ms(bounds.grace_ms),
            cold_slack_per_s: allowance(
                "gateway.bounds.cold_slack_per_s",
                bounds.cold_slack_per_s,
            )?,
            retry_ratio: allowance("gateway.bounds.retry_ratio", bounds.retry_ratio)?,
            retry_slack: allowance("gateway.bounds.retry_slack", bounds.retry_slack)?,
            retry_window: Span::from_ms(bounds.retry_window_ms),
            receiver_wait: Span::from_ms(bounds.receiver_wait_ms),
        })
    }
}

impl TryFrom<ObserverSettings> for Observer {
    type Error = InvalidField;

    fn try_from(settings: ObserverSettings) -> Result<Self, InvalidField> {
        Ok(Self {
            listen: address("observer.listen", &settings.listen)?,
            engine: address("observer.engine", &settings.engine)?,
            metrics: address("observer.metrics", &settings.metrics)?,
        })
    }
}
