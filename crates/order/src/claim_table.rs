//! The fold of a zone's order stream.

use std::collections::{BTreeMap, VecDeque};

use lentil_core::{BootId, EndpointId, FenceNumber, ModelId, Offset};
use thiserror::Error;

use crate::Assignment;
use crate::plan::EndpointView;
use crate::record::{Claim, Record};

/// Most endpoints of a zone that the ledger remembers; the one without a
/// running change whose claim is oldest is dropped first.
const ENDPOINTS_MAX: usize = 4_096;

/// Departures of a model that are remembered; a claim whose view is older than
/// all of them is refused.
const DEPARTURES_MAX: usize = 64;

/// Why a claim was not granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ClaimRefusal {
    /// A newer agent of the endpoint has claimed, or the record is a twin.
    #[error("a newer claim on the endpoint stands in the log")]
    Stale,
    /// As many endpoints as allowed are leaving the model.
    #[error("too many endpoints are leaving the model")]
    TooManyChanging,
    /// The model would fall below its least number of replicas.
    #[error("the model would have too few replicas")]
    TooFewReplicas,
    /// The table is full of running changes.
    #[error("too many changes are running in the zone")]
    TableFull,
}

/// What a record meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordEffect {
    /// The claim stands, with this number.
    Granted(FenceNumber),
    /// The claim has no effect.
    Refused(ClaimRefusal),
    /// The record took effect on a running claim.
    Applied,
    /// The record is about a claim that no longer runs.
    NoEffect,
}

#[derive(Debug, Clone)]
struct Entry {
    claim: Claim,
    number: FenceNumber,
    state: State,
    /// Replicas that the claim's model had before it, granted ones included.
    rank: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting,
    Fetching,
    Finished,
    Dropped,
}

impl Entry {
    const fn is_running(&self) -> bool {
        matches!(self.state, State::Waiting | State::Fetching)
    }

    fn leaves(&self, model: &ModelId) -> bool {
        self.claim.from.as_ref() == Some(model)
    }
}

/// The state that all readers of a zone's order stream agree on.
#[derive(Debug, Clone, Default)]
pub struct ClaimTable {
    entries: BTreeMap<EndpointId, Entry>,
    departures: BTreeMap<ModelId, VecDeque<FenceNumber>>,
    next: Offset,
    fetching_max: u32,
}

impl ClaimTable {
    /// An empty ledger.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The first offset that was not applied yet.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next
    }

    /// Applies a record; records at offsets already applied have no effect.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> RecordEffect {
        if offset < self.next {
            return RecordEffect::NoEffect;
        }
        self.next = offset.next();
        let verdict = match record {
            Record::Claim(claim) => self.claim(FenceNumber::new(offset.get()), claim),
            Record::Renewed {
                endpoint, number, ..
            } => self.touch(endpoint, *number, None),
            Record::Finished { endpoint, number } => {
                self.touch(endpoint, *number, Some(State::Finished))
            }
            Record::Dropped { endpoint, number } => {
                self.touch(endpoint, *number, Some(State::Dropped))
            }
        };
        self.give_turns();
        verdict
    }

    fn claim(&mut self, number: FenceNumber, claim: &Claim) -> RecordEffect {
        if let Some(refusal) = self.refusal(claim) {
            return RecordEffect::Refused(refusal);
        }
        let granted = self
            .running()
            .filter(|entry| entry.claim.to.model == claim.to.model);
        let rank = claim.to_live + u32::try_from(granted.count()).unwrap_or(u32::MAX);
        self.fetching_max = claim.bounds.fetching_max.max(1);
        let entry = Entry {
            claim: claim.clone(),
            number,
            state: State::Waiting,
            rank,
        };
        self.entries.insert(claim.endpoint.clone(), entry);
        self.note_departure(number, claim.from.as_ref());
        RecordEffect::Granted(number)
    }

    fn refusal(&mut self, claim: &Claim) -> Option<ClaimRefusal> {
        let known = self.entries.get(&claim.endpoint);
        if known.is_some_and(|entry| entry.claim.life() >= claim.life()) {
            return Some(ClaimRefusal::Stale);
        }
        if known.is_none() && !self.make_room() {
            return Some(ClaimRefusal::TableFull);
        }
        let from = claim.from.as_ref()?;
        let others = self.others(&claim.endpoint);
        let changing = others.filter(|e| e.is_running() && e.leaves(from)).count();
        if changing >= usize::try_from(claim.bounds.changing_max).unwrap_or(usize::MAX) {
            return Some(ClaimRefusal::TooManyChanging);
        }
        let Some(unseen) = self.unseen(from, claim.read_to) else {
            return Some(ClaimRefusal::TooFewReplicas);
        };
        let stay = usize::try_from(claim.from_live).unwrap_or(usize::MAX);
        let floor = usize::try_from(claim.bounds.replicas_min).unwrap_or(usize::MAX);
        (stay.saturating_sub(unseen) <= floor).then_some(ClaimRefusal::TooFewReplicas)
    }

    fn note_departure(&mut self, number: FenceNumber, from: Option<&ModelId>) {
        let Some(model) = from else { return };
        let departures = self.departures.entry(model.clone()).or_default();
        if departures.len() == DEPARTURES_MAX {
            departures.pop_front();
        }
        departures.push_back(number);
    }

    /// Departures from a model since an offset; `None` when they are not all known.
    fn unseen(&self, model: &ModelId, since: Offset) -> Option<usize> {
        let Some(departures) = self.departures.get(model) else {
            return Some(0);
        };
        let is_known = |first: &FenceNumber| first.get() < since.get();
        let all = departures.len() < DEPARTURES_MAX || departures.front().is_some_and(is_known);
        let unseen = departures.iter().rev();
        all.then(|| {
            unseen
                .take_while(|number| number.get() >= since.get())
                .count()
        })
    }

    fn others<'a>(&'a self, endpoint: &'a EndpointId) -> impl Iterator<Item = &'a Entry> {
        self.entries
            .values()
            .filter(move |entry| entry.claim.endpoint != *endpoint)
    }

    fn running(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values().filter(|entry| entry.is_running())
    }

    fn make_room(&mut self) -> bool {
        if self.entries.len() < ENDPOINTS_MAX {
            return true;
        }
        let idle = self.entries.values().filter(|entry| !entry.is_running());
        let oldest = idle
            .min_by_key(|entry| entry.number)
            .map(|entry| entry.claim.endpoint.clone());
        oldest.is_some_and(|endpoint| self.entries.remove(&endpoint).is_some())
    }

    fn touch(
        &mut self,
        endpoint: &EndpointId,
        number: FenceNumber,
        to: Option<State>,
    ) -> RecordEffect {
        let entry = self.entries.get_mut(endpoint);
        let Some(entry) = entry.filter(|e| e.number == number && e.is_running()) else {
            return RecordEffect::NoEffect;
        };
        entry.state = to.unwrap_or(entry.state);
        RecordEffect::Applied
    }

    /// Gives free turns at the weight store, to models with fewest replicas first.
    fn give_turns(&mut self) {
        let fetching = |entry: &&Entry| entry.state == State::Fetching;
        let taken = self.entries.values().filter(fetching).count();
        let limit = usize::try_from(self.fetching_max).unwrap_or(usize::MAX);
        for _ in taken..limit.max(taken) {
            let waiting = self.entries.values_mut();
            let first = waiting
                .filter(|entry| entry.state == State::Waiting)
                .min_by_key(|entry| (entry.rank, entry.number));
            let Some(entry) = first else { return };
            entry.state = State::Fetching;
        }
    }

    /// Whether the claim with this number has its turn at the weight store.
    #[must_use]
    pub fn may_fetch(&self, endpoint: &EndpointId, number: FenceNumber) -> bool {
        self.entries
            .get(endpoint)
            .is_some_and(|entry| entry.number == number && entry.state == State::Fetching)
    }

    /// The boot whose claim on the endpoint runs.
    #[must_use]
    pub fn running_boot(&self, endpoint: &EndpointId) -> Option<BootId> {
        let entry = self.entries.get(endpoint).filter(|e| e.is_running());
        entry.map(|entry| entry.claim.boot)
    }

    /// Claims that run, with their endpoints.
    pub fn running_claims(&self) -> impl Iterator<Item = (&EndpointId, FenceNumber)> {
        self.running()
            .map(|entry| (&entry.claim.endpoint, entry.number))
    }

    /// Joins what an endpoint was last heard to hold with what the stream says.
    ///
    /// An endpoint whose claim ended and that is heard to hold something else
    /// counts as changing: one of the two is out of date.
    #[must_use]
    pub fn view(&self, endpoint: &EndpointId, reported: Option<&Assignment>) -> EndpointView {
        let entry = self.entries.get(endpoint);
        let running = entry.is_some_and(Entry::is_running);
        let differs = entry.is_some_and(|entry| {
            entry.state == State::Finished && reported.is_some_and(|held| *held != entry.claim.to)
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
    /// Orders the claims of an endpoint: by boot, then by sequence.
    const fn life(&self) -> (u64, u64) {
        (self.boot.get(), self.sequence)
    }
}
