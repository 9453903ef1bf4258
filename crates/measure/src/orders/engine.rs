//! An engine that follows orders, by its word or by the number.

use lentil_core::{FenceNumber, ModelId};
use lentil_order::{Answer, Assignment, CheckedOrder, EndpointStatus, EngineFencing, Role};

/// An assignment of a model by its name and version.
pub(crate) fn assignment(model: &ModelId, version: &str) -> eyre::Result<Assignment> {
    Ok(Assignment {
        model: model.clone(),
        version: version.parse()?,
        adapters: std::collections::BTreeSet::new(),
        role: Role::Mixed,
    })
}

/// An engine, and which orders it began.
#[derive(Debug)]
pub(crate) struct Engine {
    fencing: EngineFencing,
    pub(crate) holds: Option<Assignment>,
    pub(crate) loading: Option<Assignment>,
    seen: FenceNumber,
    begun: FenceNumber,
    pub(crate) orders: u64,
    pub(crate) refused: u64,
    /// Orders begun after one with a larger number.
    pub(crate) conflicts: u64,
}

impl Engine {
    pub(crate) fn new(fencing: EngineFencing, holds: Option<Assignment>) -> Self {
        Self {
            fencing,
            holds,
            loading: None,
            seen: FenceNumber::default(),
            begun: FenceNumber::default(),
            orders: 0,
            refused: 0,
            conflicts: 0,
        }
    }

    pub(crate) fn order(&mut self, order: CheckedOrder) -> Answer {
        if self.fencing == EngineFencing::Enforced && order.number < self.seen {
            self.refused += 1;
            return Answer::OldNumber;
        }
        self.seen = self.seen.max(order.number);
        if self.loading.is_some() {
            return Answer::Busy;
        }
        self.orders += 1;
        self.conflicts += u64::from(order.number < self.begun);
        self.begun = self.begun.max(order.number);
        self.loading = Some(order.to);
        Answer::Started
    }

    pub(crate) fn finish(&mut self) {
        self.holds = self.loading.take().or_else(|| self.holds.take());
    }

    pub(crate) fn status(&self) -> EndpointStatus {
        EndpointStatus {
            loaded: self.holds.clone(),
            changing: self.loading.is_some(),
        }
    }
}
