//! Simulated engine that carries out orders to load a model, with or without fencing.

use lentil_core::{FenceNumber, ModelId};
use lentil_order::{Answer, Assignment, CheckedOrder, EndpointStatus, EngineFencing, Role};

/// Returns an assignment of a model version without adapters.
pub(crate) fn assignment(model: &ModelId, version: &str) -> eyre::Result<Assignment> {
    Ok(Assignment {
        model: model.clone(),
        version: version.parse()?,
        adapters: std::collections::BTreeSet::new(),
        role: Role::Mixed,
    })
}

/// Simulated engine that counts the orders it starts and the conflicts between them.
#[derive(Debug)]
pub(crate) struct Engine {
    fencing: EngineFencing,
    pub(crate) loaded: Option<Assignment>,
    pub(crate) loading: Option<Assignment>,
    highest_received: FenceNumber,
    highest_started: FenceNumber,
    /// Orders started.
    pub(crate) orders: u64,
    /// Orders refused because of an old fence number.
    pub(crate) refused: u64,
    /// Orders started after one with a larger fence number.
    pub(crate) conflicts: u64,
}

impl Engine {
    pub(crate) fn new(fencing: EngineFencing, loaded: Option<Assignment>) -> Self {
        Self {
            fencing,
            loaded,
            loading: None,
            highest_received: FenceNumber::default(),
            highest_started: FenceNumber::default(),
            orders: 0,
            refused: 0,
            conflicts: 0,
        }
    }

    /// Handles an order: starts loading unless the number is old or a load is in progress.
    pub(crate) fn handle_order(&mut self, order: CheckedOrder) -> Answer {
        if self.fencing == EngineFencing::Enforced && order.number < self.highest_received {
            self.refused += 1;
            return Answer::OldNumber;
        }
        self.highest_received = self.highest_received.max(order.number);
        if self.loading.is_some() {
            return Answer::Busy;
        }
        self.orders += 1;
        self.conflicts += u64::from(order.number < self.highest_started);
        self.highest_started = self.highest_started.max(order.number);
        self.loading = Some(order.to);
        Answer::Started
    }

    /// Completes the load in progress, if any.
    pub(crate) fn finish_loading(&mut self) {
        self.loaded = self.loading.take().or_else(|| self.loaded.take());
    }

    pub(crate) fn status(&self) -> EndpointStatus {
        EndpointStatus {
            loaded: self.loaded.clone(),
            changing: self.loading.is_some(),
        }
    }
}
