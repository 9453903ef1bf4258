//! Versions that appear without an order.

use std::collections::BTreeMap;

use lentil_core::{Span, Time};

use crate::order::Version;

/// How long a version that appears beside another one waits for an order that names it.
/// Endpoints of a target are started beside the old ones shortly before their order.
const ORDER_WAIT: Span = Span::from_s(2);
/// Maximum number of versions of a service that are remembered.
const VERSIONS_MAX: usize = 16;

/// Withholds requests of one service from versions that no order has allowed.
///
/// A version that appears beside another one is withheld until an order names it, which
/// then decides, or until two seconds have passed without one: it replaces endpoints and
/// counts as old. The target of a rolled-back order stays withheld.
#[derive(Debug, Clone, Default)]
pub struct VersionGate {
    admitted_at: BTreeMap<Version, Time>,
}

impl VersionGate {
    /// Creates a gate that has seen no version.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            admitted_at: BTreeMap::new(),
        }
    }

    /// Records the versions of the service's current endpoints with the number of
    /// endpoints of each. Of several versions that are seen first together, the one with
    /// the most endpoints is admitted immediately. A version without endpoints is
    /// forgotten if it was not rolled back.
    pub fn observe(&mut self, now: Time, versions: &BTreeMap<Version, u32>) {
        self.admitted_at.retain(|version, at| {
            *at == Time::NEVER || versions.get(version).is_some_and(|count| *count > 0)
        });
        let first = if self.admitted_at.values().all(|at| *at == Time::NEVER) {
            let present = versions
                .iter()
                .filter(|(version, count)| **count > 0 && !self.admitted_at.contains_key(*version));
            present
                .max_by_key(|(_, count)| **count)
                .map(|(version, _)| version)
        } else {
            None
        };
        if let Some(version) = first {
            self.admitted_at.insert(version.clone(), now);
        }
        for (version, count) in versions {
            let has_room = self.admitted_at.len() < VERSIONS_MAX;
            if *count > 0 && has_room && !self.admitted_at.contains_key(version) {
                self.admitted_at.insert(version.clone(), now + ORDER_WAIT);
            }
        }
    }

    /// Whether requests may go to endpoints of this version while no open order names it.
    #[must_use]
    pub fn is_admitted(&self, now: Time, version: &Version) -> bool {
        self.admitted_at
            .get(version)
            .is_some_and(|at| at.has_passed(now))
    }

    /// Admits the target of a completed order.
    pub fn admit(&mut self, now: Time, version: &Version) {
        self.admitted_at.insert(version.clone(), now);
    }

    /// Withholds the target of a rolled-back order until another order names it.
    pub fn withhold(&mut self, version: &Version) {
        self.admitted_at.insert(version.clone(), Time::NEVER);
    }
}
