//! Which endpoint an address belongs to if the records of several name it.
//!
//! An address is used again after its endpoint has ended, and the record of the former one
//! takes a while to expire. A record alone must not end another endpoint though, as any
//! writer of the list may leave one. So a claim only suspends the other endpoint, until it is
//! shown to live: it renews its record, its engine reports from this address, or no
//! other endpoint claims it any more. An endpoint that answers for another one at its address
//! ends that one.

use std::collections::BTreeSet;

use lentil_core::{EndpointId, Time};

use crate::Fleet;
use crate::endpoint::{Availability, Endpoint};
use crate::fleet::FleetChange;

impl Fleet {
    /// Settles who gets requests after an endpoint has appeared at its address, which `change`
    /// says: the one that started later, or else the one that was known before.
    pub(crate) fn claim_address(
        &mut self,
        id: &EndpointId,
        change: FleetChange,
    ) -> Vec<FleetChange> {
        let Some(claimant) = self.endpoints.get(id) else {
            return vec![change];
        };
        let address = claimant.record.address;
        let started_at_ms = claimant.record.started_at_ms;
        let mut changes = Vec::new();
        let mut known_before = None;
        for (other_id, other) in &mut self.endpoints {
            if other_id == id || other.record.address != address || other.is_leaving() {
                continue;
            }
            if other.record.started_at_ms >= started_at_ms {
                known_before = Some(other_id.clone());
            } else if other.availability != Availability::Contested {
                other.availability = Availability::Contested;
                changes.push(FleetChange::Contested {
                    endpoint: other_id.clone(),
                    claimed_by: id.clone(),
                });
            }
        }
        let Some(known_before) = known_before else {
            changes.push(change);
            return changes;
        };
        if let Some(claimant) = self.endpoints.get_mut(id) {
            claimant.availability = Availability::Contested;
        }
        changes.push(FleetChange::Contested {
            endpoint: id.clone(),
            claimed_by: known_before,
        });
        changes
    }

    /// Makes a suspended endpoint available that was shown to live at its address, and suspends
    /// the others there.
    pub(crate) fn confirm_address(&mut self, id: &EndpointId) -> Option<FleetChange> {
        let address = self.address(id)?;
        for (other_id, other) in &mut self.endpoints {
            if other.record.address != address || other.is_leaving() {
                continue;
            }
            other.availability = if other_id == id {
                Availability::Available
            } else {
                Availability::Contested
            };
        }
        Some(FleetChange::Joined(id.clone()))
    }

    /// Makes suspended endpoints available whose address no other endpoint claims any more.
    pub(crate) fn release_addresses(&mut self, now: Time) -> Vec<FleetChange> {
        let is_contested = |endpoint: &Endpoint| endpoint.availability == Availability::Contested;
        if !self.endpoints.values().any(is_contested) {
            return Vec::new();
        }
        let available = self.endpoints.values();
        let mut claimed: BTreeSet<_> = available
            .filter(|endpoint| endpoint.is_available(now))
            .map(|endpoint| endpoint.record.address)
            .collect();
        let mut released = Vec::new();
        for (id, endpoint) in &mut self.endpoints {
            if is_contested(endpoint) && claimed.insert(endpoint.record.address) {
                endpoint.availability = Availability::Available;
                released.push(FleetChange::Joined(id.clone()));
            }
        }
        released
    }
}
