//! The state machine over the order stream of an availability zone.

use std::collections::{BTreeMap, VecDeque};

use lentil_core::{BootId, EndpointId, FenceNumber, ModelId, Offset};
use thiserror::Error;

use crate::Assignment;
use crate::plan::EndpointView;
use crate::record::{Claim, Record};

/// Maximum number of endpoints in the table. When it is full, the oldest claim
/// without a running change is evicted.
const ENDPOINTS_MAX: usize = 4_096;

/// Maximum number of departures kept for each model. When a claim was based on a
/// view older than all of them, the table can't tell how many it missed, and
/// refuses the claim.
const DEPARTURES_MAX: usize = 64;

/// Why a claim was not granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ClaimRefusal {
    /// A newer claim on the endpoint exists, or the record is a duplicate.
    #[error("the log holds the same or a newer claim on the endpoint")]
    Stale,
    /// The maximum number of endpoints is already leaving the model.
    #[error("the maximum number of endpoints is already leaving the model")]
    TooManyChanging,
    /// The model would fall below its minimum number of replicas.
    #[error("the model would fall below its minimum number of replicas")]
    TooFewReplicas,
    /// Every endpoint in the table has a running change, and the table is full.
    #[error("the claim table is full of running changes")]
    TableFull,
}

/// The effect of a record on the claim table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordEffect {
    /// The claim was granted with this fence number.
    Granted(FenceNumber),
    /// The claim was refused.
    Refused(ClaimRefusal),
    /// The record changed a running claim.
    Applied,
    /// The record refers to a claim that is not running, or was already applied.
    NoEffect,
}

#[derive(Debug, Clone)]
struct ClaimEntry {
    claim: Claim,
    number: FenceNumber,
    phase: ClaimPhase,
    /// Replicas of the target model before this claim, including granted claims.
    /// Claims with fewer replicas fetch first.
    replicas_before: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimPhase {
    Waiting,
    Fetching,
    Finished,
    Dropped,
}

impl ClaimEntry {
    const fn is_running(&self) -> bool {
        matches!(self.phase, ClaimPhase::Waiting | ClaimPhase::Fetching)
    }

    fn leaves(&self, model: &ModelId) -> bool {
        self.claim.from.as_ref() == Some(model)
    }
}

/// The claims of an availability zone. Readers that applied the same records have
/// the same table.
#[derive(Debug, Clone, Default)]
pub struct ClaimTable {
    entries: BTreeMap<EndpointId, ClaimEntry>,
    departures: BTreeMap<ModelId, VecDeque<FenceNumber>>,
    next_offset: Offset,
    fetching_max: u32,
}

impl ClaimTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The first offset that has not been applied.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Applies a record. A record at an offset that was already applied has no effect.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> RecordEffect {
        if offset < self.next_offset {
            return RecordEffect::NoEffect;
        }
        self.next_offset = offset.next();
        let effect = match record {
            Record::Claim(claim) => self.apply_claim(FenceNumber::new(offset.get()), claim),
            Record::Renewed {
                endpoint, number, ..
            } => self.update_claim(endpoint, *number, None),
            Record::Finished { endpoint, number } => {
                self.update_claim(endpoint, *number, Some(ClaimPhase::Finished))
            }
            Record::Dropped { endpoint, number } => {
                self.update_claim(endpoint, *number, Some(ClaimPhase::Dropped))
            }
        };
        self.grant_fetch_slots();
        effect
    }

    fn apply_claim(&mut self, number: FenceNumber, claim: &Claim) -> RecordEffect {
        if let Some(refusal) = self.refusal(claim) {
            return RecordEffect::Refused(refusal);
        }
        let granted_claims = self
            .running()
            .filter(|entry| entry.claim.to.model == claim.to.model);
        let replicas_before =
            claim.to_live + u32::try_from(granted_claims.count()).unwrap_or(u32::MAX);
        self.fetching_max = claim.bounds.fetching_max.max(1);
        let entry = ClaimEntry {
            claim: claim.clone(),
            number,
            phase: ClaimPhase::Waiting,
            replicas_before,
        };
        self.entries.insert(claim.endpoint.clone(), entry);
        self.record_departure(number, claim.from.as_ref());
        RecordEffect::Granted(number)
    }

    fn refusal(&mut self, claim: &Claim) -> Option<ClaimRefusal> {
        let existing = self.entries.get(&claim.endpoint);
        if existing.is_some_and(|entry| entry.claim.recency() >= claim.recency()) {
            return Some(ClaimRefusal::Stale);
        }
        if existing.is_none() && !self.evict_if_full() {
            return Some(ClaimRefusal::TableFull);
        }
        let from = claim.from.as_ref()?;
        let others = self.others(&claim.endpoint);
        let changing = others.filter(|e| e.is_running() && e.leaves(from)).count();
        if changing >= usize::try_from(claim.bounds.changing_max).unwrap_or(usize::MAX) {
            return Some(ClaimRefusal::TooManyChanging);
        }
        let Some(recent_departures) = self.departures_since(from, claim.read_to) else {
            return Some(ClaimRefusal::TooFewReplicas);
        };
        let live = usize::try_from(claim.from_live).unwrap_or(usize::MAX);
        let replicas_min = usize::try_from(claim.bounds.replicas_min).unwrap_or(usize::MAX);
        (live.saturating_sub(recent_departures) <= replicas_min)
            .then_some(ClaimRefusal::TooFewReplicas)
    }

    fn record_departure(&mut self, number: FenceNumber, from: Option<&ModelId>) {
        let Some(model) = from else { return };
        let departures = self.departures.entry(model.clone()).or_default();
        if departures.len() == DEPARTURES_MAX {
            departures.pop_front();
        }
        departures.push_back(number);
    }

    /// The number of departures from a model since an offset, or `None` when older
    /// ones have been discarded.
    fn departures_since(&self, model: &ModelId, since: Offset) -> Option<usize> {
        let Some(departures) = self.departures.get(model) else {
            return Some(0);
        };
        let is_before = |first: &FenceNumber| first.get() < since.get();
        let complete =
            departures.len() < DEPARTURES_MAX || departures.front().is_some_and(is_before);
        let recent = departures.iter().rev();
        complete.then(|| {
            recent
                .take_while(|number| number.get() >= since.get())
                .count()
        })
    }

    fn others<'a>(&'a self, endpoint: &'a EndpointId) -> impl Iterator<Item = &'a ClaimEntry> {
        self.entries
            .values()
            .filter(move |entry| entry.claim.endpoint != *endpoint)
    }

    fn running(&self) -> impl Iterator<Item = &ClaimEntry> {
        self.entries.values().filter(|entry| entry.is_running())
    }

    /// Makes room for a new endpoint; false when every endpoint has a running change.
    fn evict_if_full(&mut self) -> bool {
        if self.entries.len() < ENDPOINTS_MAX {
            return true;
        }
        let idle = self.entries.values().filter(|entry| !entry.is_running());
        let oldest = idle
            .min_by_key(|entry| entry.number)
            .map(|entry| entry.claim.endpoint.clone());
        oldest.is_some_and(|endpoint| self.entries.remove(&endpoint).is_some())
    }

    fn update_claim(
        &mut self,
        endpoint: &EndpointId,
        number: FenceNumber,
        new_phase: Option<ClaimPhase>,
    ) -> RecordEffect {
        let entry = self.entries.get_mut(endpoint);
        let Some(entry) = entry.filter(|e| e.number == number && e.is_running()) else {
            return RecordEffect::NoEffect;
        };
        entry.phase = new_phase.unwrap_or(entry.phase);
        RecordEffect::Applied
    }

    /// Grants free fetch slots at the weight store, to the models with the fewest
    /// replicas first.
    fn grant_fetch_slots(&mut self) {
        let fetching = |entry: &&ClaimEntry| entry.phase == ClaimPhase::Fetching;
        let in_use = self.entries.values().filter(fetching).count();
        let limit = usize::try_from(self.fetching_max).unwrap_or(usize::MAX);
        for _ in in_use..limit.max(in_use) {
            let entries = self.entries.values_mut();
            let first = entries
                .filter(|entry| entry.phase == ClaimPhase::Waiting)
                .min_by_key(|entry| (entry.replicas_before, entry.number));
            let Some(entry) = first else { return };
            entry.phase = ClaimPhase::Fetching;
        }
    }

    /// Whether the claim with this fence number has a fetch slot at the weight store.
    #[must_use]
    pub fn may_fetch(&self, endpoint: &EndpointId, number: FenceNumber) -> bool {
        self.entries
            .get(endpoint)
            .is_some_and(|entry| entry.number == number && entry.phase == ClaimPhase::Fetching)
    }

    /// The boot that owns the running claim on the endpoint.
    #[must_use]
    pub fn running_boot(&self, endpoint: &EndpointId) -> Option<BootId> {
        let entry = self.entries.get(endpoint).filter(|e| e.is_running());
        entry.map(|entry| entry.claim.boot)
    }

    /// The running claims with their endpoints.
    pub fn running_claims(&self) -> impl Iterator<Item = (&EndpointId, FenceNumber)> {
        self.running()
            .map(|entry| (&entry.claim.endpoint, entry.number))
    }

    /// Combines the assignment that an endpoint last reported with the state of its
    /// claim.
    ///
    /// An endpoint whose claim finished, but which reports a different assignment,
    /// counts as changing, because either the report or the claim is out of date.
    #[must_use]
    pub fn view(&self, endpoint: &EndpointId, reported: Option<&Assignment>) -> EndpointView {
        let entry = self.entries.get(endpoint);
        let running = entry.is_some_and(ClaimEntry::is_running);
        let differs = entry.is_some_and(|entry| {
            entry.phase == ClaimPhase::Finished
                && reported.is_some_and(|loaded| *loaded != entry.claim.to)
        });
        let target = entry
            .filter(|_| running)
            .map(|entry| entry.claim.to.clone());
        EndpointView {
            endpoint: endpoint.clone(),
            loaded: reported.cloned(),
            changing_to: target.or_else(|| reported.filter(|_| differs).cloned()),
        }
    }
}

impl Claim {
    /// Sort key for the claims of an endpoint: first by boot, then by sequence.
    const fn recency(&self) -> (u64, u64) {
        (self.boot.get(), self.sequence)
    }
}
