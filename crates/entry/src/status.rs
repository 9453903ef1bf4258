//! The status page of an entry.

use lentil_core::{EntryId, ZoneId};
use lentil_shell::{Readiness, StatusSource};
use serde_json::{Value, json};

use crate::counters::Counters;

/// Reports the current state of an entry to operators.
#[derive(Debug)]
pub(crate) struct EntryStatus {
    pub(crate) name: EntryId,
    pub(crate) zone: ZoneId,
    pub(crate) readiness: Readiness,
    pub(crate) counters: Counters,
}

impl StatusSource for EntryStatus {
    fn status(&self) -> Value {
        json!({
            "role": "entry",
            "name": self.name.as_str(),
            "zone": self.zone.as_str(),
            "ready": self.readiness.is_ready(),
            "open_streams": self.counters.streams.get(),
            "tokens": self.counters.tokens.get(),
        })
    }
}
