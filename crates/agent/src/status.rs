//! The status document of an agent.

use lentil_core::{BootId, EndpointId, ZoneId};
use lentil_shell::{Readiness, StatusSource};
use serde_json::{Value, json};

use crate::counters::Counters;

/// Source of an agent's status document.
#[derive(Debug)]
pub(crate) struct AgentStatus {
    pub(crate) endpoint: EndpointId,
    pub(crate) zone: ZoneId,
    pub(crate) boot: BootId,
    pub(crate) readiness: Readiness,
    pub(crate) counters: Counters,
}

impl StatusSource for AgentStatus {
    fn status(&self) -> Value {
        json!({
            "role": "agent",
            "name": self.endpoint.as_str(),
            "zone": self.zone.as_str(),
            "boot": self.boot.get(),
            "ready": self.readiness.is_ready(),
            "held_generations": self.counters.held.get(),
            "tokens": self.counters.tokens.get(),
        })
    }
}
