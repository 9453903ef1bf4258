//! What is known of one endpoint.

use std::net::SocketAddr;

use lentil_core::{EndpointId, ServiceName, Span, Time, TokenCount, ZoneId};

use crate::cold_window::ColdWindow;
use crate::health::Health;

/// An entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The service it is a replica of.
    pub service: ServiceName,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it has announced that it leaves.
    pub draining: bool,
    /// How long it stays cold, counted from the reading.
    pub cold_remaining: Span,
    /// Unix millisecond of its start, if told; another one is another life.
    pub started_at_ms: Option<u64>,
}

/// Whether an engine stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineStage {
    /// It serves.
    Serving,
    /// It leaves, at this time if known.
    Leaving {
        /// When it is gone.
        at: Option<Time>,
    },
}

/// What an engine says of itself, read beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether it stays.
    pub stage: EngineStage,
    /// Unix millisecond of its start, if told.
    pub started_at_ms: Option<u64>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Memory that can't yield, in tokens.
    pub memory_used: TokenCount,
    /// All memory, in tokens.
    pub memory_total: TokenCount,
    /// Entries that follow these reports.
    pub followers: u32,
}

/// What a plain service's endpoint said of its load with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ToldLoad {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) slots: u32,
    pub(crate) at: Time,
}

/// Where an endpoint stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It gets work.
    Open,
    /// Its entry vanished while the platform's store was disturbed; it counts
    /// as open until this time and as leaving from then on.
    Lapsed { until: Time },
    /// It gets no new work and is gone at this time. Unless it `announced`
    /// that, its entry alone vanished and may come back.
    Leaving {
        terminates_at: Time,
        announced: bool,
    },
}

#[derive(Debug, Clone)]
pub(crate) struct Endpoint {
    pub(crate) listing: EndpointRecord,
    pub(crate) standing: Standing,
    pub(crate) listed: bool,
    pub(crate) cold_until: Time,
    pub(crate) cold: ColdWindow,
    pub(crate) health: Health,
    pub(crate) report: Option<(Time, EngineReport)>,
    pub(crate) told: Option<ToldLoad>,
}

impl Endpoint {
    pub(crate) fn new(now: Time, listing: EndpointRecord) -> Self {
        Self {
            cold_until: now + listing.cold_remaining,
            listing,
            standing: Standing::Open,
            listed: true,
            cold: ColdWindow::default(),
            health: Health::default(),
            report: None,
            told: None,
        }
    }

    /// Whether it may get new work.
    pub(crate) fn open(&self, now: Time) -> bool {
        match self.standing {
            Standing::Open => true,
            Standing::Lapsed { until } => !until.has_passed(now),
            Standing::Leaving { .. } => false,
        }
    }

    /// Whether two lives of one endpoint are certainly different ones.
    pub(crate) const fn is_restart(&self, started_at_ms: Option<u64>) -> bool {
        match (self.listing.started_at_ms, started_at_ms) {
            (Some(before), Some(now)) => before != now,
            _ => false,
        }
    }
}
