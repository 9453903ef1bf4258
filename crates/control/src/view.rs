//! Shares the configuration and the host list with other threads.

use std::sync::Arc;

use lentil_config::{Configuration, SyncCounters, VersionedConfiguration};
use lentil_core::{EndpointId, ZoneId};
use lentil_platform::HostRecord;
use tokio::sync::watch;

/// The channels through which the control thread publishes its state.
#[derive(Debug)]
pub(crate) struct ViewSenders {
    pub(crate) in_force: watch::Sender<Option<Arc<VersionedConfiguration>>>,
    pub(crate) hosts: watch::Sender<Option<Arc<Vec<HostRecord>>>>,
    pub(crate) counters: watch::Sender<SyncCounters>,
}

/// Reads the latest state of the control thread. Clones read the same state.
#[derive(Debug, Clone)]
pub struct ControlView {
    in_force: watch::Receiver<Option<Arc<VersionedConfiguration>>>,
    hosts: watch::Receiver<Option<Arc<Vec<HostRecord>>>>,
    counters: watch::Receiver<SyncCounters>,
}

pub(crate) fn channel() -> (ViewSenders, ControlView) {
    let (in_force, in_force_receiver) = watch::channel(None);
    let (hosts, hosts_receiver) = watch::channel(None);
    let (counters, counters_receiver) = watch::channel(SyncCounters::default());
    let senders = ViewSenders {
        in_force,
        hosts,
        counters,
    };
    let view = ControlView {
        in_force: in_force_receiver,
        hosts: hosts_receiver,
        counters: counters_receiver,
    };
    (senders, view)
}

impl ControlView {
    /// The configuration in force, once one is known.
    #[must_use]
    pub fn in_force(&self) -> Option<Arc<VersionedConfiguration>> {
        self.in_force.borrow().clone()
    }

    /// The host list as last read, or an empty list before the first read.
    #[must_use]
    pub fn hosts(&self) -> Arc<Vec<HostRecord>> {
        self.hosts.borrow().clone().unwrap_or_default()
    }

    /// Whether the host list has been read.
    #[must_use]
    pub fn has_host_list(&self) -> bool {
        self.hosts.borrow().is_some()
    }

    /// Event counts of the control thread.
    #[must_use]
    pub fn counters(&self) -> SyncCounters {
        *self.counters.borrow()
    }

    /// Whether operators permit new work on an endpoint.
    ///
    /// Without a configuration, every endpoint is permitted.
    #[must_use]
    pub fn permits(&self, zone: &ZoneId, endpoint: &EndpointId) -> bool {
        let in_force = self.in_force.borrow();
        let permits = |configuration: &Configuration| configuration.permits(zone, endpoint);
        in_force
            .as_ref()
            .is_none_or(|in_force| permits(&in_force.configuration))
    }

    /// Waits for a newer configuration or host list. Returns false when the control
    /// thread has ended.
    pub async fn changed(&mut self) -> bool {
        tokio::select! {
            changed = self.in_force.changed() => changed.is_ok(),
            changed = self.hosts.changed() => changed.is_ok(),
        }
    }
}
