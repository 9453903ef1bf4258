//! Settings of gateways and observers, validated and in domain types.

use std::net::SocketAddr;
use std::num::{NonZeroU16, NonZeroU64};
use std::path::Path;

use lentil_core::{ByteCount, Span, ZoneId};

use crate::load::{locate_field, parse_schema, read};
use crate::{InvalidField, InvalidSetting, LogLevel, Problem, SettingsError};

/// Types generated from `schema/node.json`.
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

/// The validated settings of a gateway or an observer.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// The name of the process.
    pub name: String,
    /// The availability zone of the process.
    pub zone: ZoneId,
    /// Lowest severity that is logged.
    pub log_level: LogLevel,
    /// The role of the process.
    pub role: NodeRole,
}

/// The role of a process.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeRole {
    /// Serves callers.
    Gateway(Gateway),
    /// Observes the engine on its host.
    Observer(Observer),
}

/// The settings of a gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Gateway {
    /// Address that serves callers.
    pub callers: SocketAddr,
    /// Address at which the load balancer queries readiness.
    pub readiness: SocketAddr,
    /// Address that serves metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Port of the observer on an engine's host.
    pub observer_port: u16,
    /// Time after which a revoked key is no longer accepted by any gateway.
    pub revoke: Span,
    /// Time for which a leaving endpoint continues to run after it announces its departure.
    pub drain: Span,
    /// Maximum time between the stop signal and the end of the process.
    pub grace: Span,
    /// Requests per second that a cold endpoint can serve in excess of its nominal rate.
    pub cold_slack_per_s: f64,
    /// Retries allowed per request of a service, over all gateways.
    pub retry_ratio: f64,
    /// Retries allowed in excess of the ratio in one window, over all gateways.
    pub retry_slack: f64,
    /// The window in which retries are counted.
    pub retry_window: Span,
    /// The interval at which endpoints renew their records.
    pub renewal: Span,
    /// Maximum time to wait for the link of an engine that would receive a copy.
    pub receiver_wait: Span,
    /// Time without a complete event after which a stream that has begun is ended.
    pub stream_stall: Span,
    /// Memory for the bodies of all callers' requests together.
    pub body_memory: ByteCount,
    /// Number of gateways up to which each of them reads the store itself.
    pub direct_readers_max: u32,
    /// Number of engines that a gateway places generations at.
    pub followed_engines_max: u32,
    /// Whether generations that may not run twice get a backup engine.
    pub backup_copies: bool,
    /// Names of the platform's rule sets that are in force.
    pub contracts: Vec<String>,
    /// Limits of roll-outs; without them, orders to change a service's version are ignored.
    pub rollouts: Option<RolloutLimits>,
}

/// Limits of the roll-out of a version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutLimits {
    /// Share of a service's requests that a version on trial may get, over all gateways.
    pub exposure_share: f64,
    /// Requests that it may get in excess of the share, over all gateways.
    pub exposure_slack: f64,
    /// Time after which a version that has proven bad gets no further requests.
    pub rollback: Span,
}

/// The settings of an observer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observer {
    /// Address that serves gateways.
    pub listen: SocketAddr,
    /// Address of the observed engine.
    pub engine: SocketAddr,
    /// Address that serves metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store, if the observer reads it for gateways.
    pub store: Option<SocketAddr>,
}

/// Reads the settings of a gateway or an observer from a file.
///
/// # Errors
/// The file cannot be read, or contains an invalid key or value.
pub fn load_node(path: &Path) -> Result<Node, SettingsError> {
    Ok(parse_node(&read(path)?)?)
}

/// Reads the settings of a gateway or an observer from a text.
///
/// # Errors
/// The text contains an invalid key or value.
pub fn parse_node(text: &str) -> Result<Node, InvalidSetting> {
    let settings: NodeSettings = parse_schema(text)?;
    Node::try_from(settings).map_err(|error| locate_field(text, error))
}

fn invalid(field: &str, problem: impl Into<Problem>) -> InvalidField {
    InvalidField {
        field: field.to_owned(),
        problem: problem.into(),
    }
}

fn address(field: &str, text: &str) -> Result<SocketAddr, InvalidField> {
    text.parse().map_err(|_| invalid(field, Problem::Address))
}

fn millis(ms: NonZeroU64) -> Span {
    Span::from_ms(ms.get())
}

/// Checks a ratio or a rate, which must be finite and not negative.
fn non_negative(field: &str, number: f64) -> Result<f64, InvalidField> {
    if number.is_finite() && number >= 0.0 {
        return Ok(number);
    }
    let (min, max) = (0, u64::from(u32::MAX));
    Err(invalid(field, Problem::Range { min, max }))
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
                let reason = "together with the section `gateway`";
                return Err(invalid("observer", Problem::Misplaced { reason }));
            }
            (None, None) => {
                let reason = "unless the section `observer` is present";
                return Err(invalid("gateway", Problem::Missing { reason }));
            }
        };
        Ok(Self {
            name: settings.name,
            zone: settings
                .zone
                .parse()
                .map_err(|error: lentil_core::ParseIdError| invalid("zone", error))?,
            log_level: settings.log_level.map_or(LogLevel::Info, LogLevel::from),
            role,
        })
    }
}

/// Returns the limits of roll-outs, which are either all present or all missing.
fn rollout_limits(bounds: &BoundSettings) -> Result<Option<RolloutLimits>, InvalidField> {
    let missing = |field: &str| {
        let reason = "together with the other limits of roll-outs";
        Err(invalid(
            &format!("gateway.bounds.{field}"),
            Problem::Missing { reason },
        ))
    };
    match (
        bounds.exposure_share,
        bounds.exposure_slack,
        bounds.rollback_ms,
    ) {
        (None, None, None) => Ok(None),
        (None, _, _) => missing("exposure_share"),
        (_, None, _) => missing("exposure_slack"),
        (_, _, None) => missing("rollback_ms"),
        (Some(share), Some(slack), Some(rollback)) => Ok(Some(RolloutLimits {
            exposure_share: non_negative("gateway.bounds.exposure_share", share)?,
            exposure_slack: non_negative("gateway.bounds.exposure_slack", slack)?,
            rollback: millis(rollback),
        })),
    }
}

impl TryFrom<GatewaySettings> for Gateway {
    type Error = InvalidField;

    fn try_from(settings: GatewaySettings) -> Result<Self, InvalidField> {
        let bounds: BoundSettings = settings.bounds.unwrap_or_default();
        let port: NonZeroU16 = settings.observer_port;
        let rollouts = rollout_limits(&bounds)?;
        Ok(Self {
            callers: address("gateway.callers", &settings.callers)?,
            readiness: address("gateway.readiness", &settings.readiness)?,
            metrics: address("gateway.metrics", &settings.metrics)?,
            store: address("gateway.store", &settings.store)?,
            observer_port: port.get(),
            revoke: Span::from_ms(bounds.revoke_ms),
            drain: millis(bounds.drain_ms),
            grace: Span::from_ms(bounds.grace_ms),
            cold_slack_per_s: non_negative(
                "gateway.bounds.cold_slack_per_s",
                bounds.cold_slack_per_s,
            )?,
            retry_ratio: non_negative("gateway.bounds.retry_ratio", bounds.retry_ratio)?,
            retry_slack: non_negative("gateway.bounds.retry_slack", bounds.retry_slack)?,
            retry_window: Span::from_ms(bounds.retry_window_ms),
            renewal: Span::from_ms(bounds.renewal_ms),
            receiver_wait: Span::from_ms(bounds.receiver_wait_ms),
            stream_stall: millis(bounds.stream_stall_ms),
            body_memory: ByteCount::new(bounds.body_memory_kb * 1024),
            direct_readers_max: bounds.direct_readers_max,
            followed_engines_max: bounds.followed_engines_max.get(),
            backup_copies: bounds.backup_copies,
            contracts: settings.contracts,
            rollouts,
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
            store: settings
                .store
                .map(|store| address("observer.store", &store))
                .transpose()?,
        })
    }
}
