//! What other threads see of the configuration and the host list.

use std::sync::Arc;

use lentil_config::{Configuration, SyncCounters, VersionedConfiguration};
use lentil_core::{EndpointId, ZoneId};
use lentil_platform::HostRecord;
use tokio::sync::watch;

/// The state that the duty publishes.
#[derive(Debug)]
pub(crate) struct Published {
    pub(crate) in_force: watch::Sender<Option<Arc<VersionedConfiguration>>>,
    pub(crate) hosts: watch::Sender<Option<Arc<Vec<HostRecord>>>>,
    pub(crate) counters: watch::Sender<SyncCounters>,
}

/// A view of the newest state; clones see the same.
#[derive(Debug, Clone)]
pub struct ControlView {
    in_force: watch::Receiver<Option<Arc<VersionedConfiguration>>>,
    hosts: watch::Receiver<Option<Arc<Vec<HostRecord>>>>,
    counters: watch::Receiver<SyncCounters>,
}

pub(crate) fn view() -> (Published, ControlView) {
    let (in_force, seen_in_force) = watch::channel(None);
    let (hosts, seen_hosts) = watch::channel(None);
    let (counters, seen_counters) = watch::channel(SyncCounters::default());
    let published = Published {
        in_force,
        hosts,
        counters,
    };
    let view = ControlView {
        in_force: seen_in_force,
        hosts: seen_hosts,
        counters: seen_counters,
    };
    (published, view)
}

impl ControlView {
    /// The configuration in force, once one is known.
    #[must_use]
    pub fn in_force(&self) -> Option<Arc<VersionedConfiguration>> {
        self.in_force.borrow().clone()
    }

    /// The host list as read last.
    #[must_use]
    pub fn hosts(&self) -> Arc<Vec<HostRecord>> {
        self.hosts.borrow().clone().unwrap_or_default()
    }

    /// Whether the host list was read at all.
    #[must_use]
    pub fn has_host_list(&self) -> bool {
        self.hosts.borrow().is_some()
    }

    /// Counts of the duty.
    #[must_use]
    pub fn counters(&self) -> SyncCounters {
        *self.counters.borrow()
    }

    /// Whether operators let an endpoint have new work.
    ///
    /// Without a configuration nothing is out.
    #[must_use]
    pub fn permits(&self, zone: &ZoneId, endpoint: &EndpointId) -> bool {
        let in_force = self.in_force.borrow();
        let permits = |configuration: &Configuration| configuration.permits(zone, endpoint);
        in_force
            .as_ref()
            .is_none_or(|in_force| permits(&in_force.configuration))
    }

    /// Waits for a newer configuration or host list; false when the duty ended.
    pub async fn changed(&mut self) -> bool {
        tokio::select! {
            changed = self.in_force.changed() => changed.is_ok(),
            changed = self.hosts.changed() => changed.is_ok(),
        }
    }
}
