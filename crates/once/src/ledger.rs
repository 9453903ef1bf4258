//! The claim stream of a service, folded in the order of its offsets.

use std::collections::{HashMap, VecDeque};

use lentil_core::{AttemptId, BootId, EndpointId, Fingerprint, Offset};

use crate::record::{Answer, Batch, Executor, KeyDigest, Record};

/// What became of a key's standing claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderState {
    /// No outcome is recorded.
    Open,
    /// The endpoint answered; the answer may be gone.
    Done(Option<Answer>),
    /// The key belongs to the system that runs beside this one.
    Elsewhere,
}

/// The claim that stands for a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// The claim.
    pub claim: AttemptId,
    /// The digest of its request.
    pub fingerprint: Fingerprint,
    /// The only process that may run it.
    pub executor: Executor,
    /// Where it stands in the log.
    pub offset: Offset,
    /// What became of it.
    pub state: HolderState,
}

/// How the log settled a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecisionKind {
    /// It is the first that stands: its executor may run it.
    Won,
    /// Another claim stands for the key.
    Lost,
    /// Its executor had been replaced before it was appended.
    Void,
}

/// The log's word on one claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimDecision {
    /// The claim.
    pub claim: AttemptId,
    /// Its key.
    pub key: KeyDigest,
    /// How it was settled.
    pub kind: DecisionKind,
}

#[derive(Debug)]
struct Producer {
    boot: BootId,
    last_sequence: u64,
    offset: Offset,
}

/// The state that every reader of the same records agrees on.
#[derive(Debug, Default)]
pub struct ClaimLedger {
    holders: HashMap<KeyDigest, Holder>,
    order: VecDeque<(Offset, KeyDigest)>,
    producers: HashMap<EndpointId, Producer>,
    bodies: VecDeque<(KeyDigest, usize)>,
    bodies_bytes: usize,
    bodies_max_bytes: usize,
    answers_dropped: u64,
}

impl ClaimLedger {
    /// An empty ledger that keeps at most `bodies_max_bytes` of answers.
    #[must_use]
    pub fn new(bodies_max_bytes: usize) -> Self {
        Self {
            bodies_max_bytes,
            ..Self::default()
        }
    }

    /// The claim that stands for a key.
    #[must_use]
    pub fn holder(&self, key: KeyDigest) -> Option<&Holder> {
        self.holders.get(&key)
    }

    /// Keys that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Answers dropped because they outgrew their share of memory.
    #[must_use]
    pub const fn answers_dropped(&self) -> u64 {
        self.answers_dropped
    }

    /// Whether a later boot has started beside the executor's endpoint.
    #[must_use]
    pub fn replaced(&self, executor: &Executor) -> bool {
        self.producers
            .get(&executor.endpoint)
            .is_some_and(|producer| producer.boot > executor.boot)
    }

    /// Whether the executor's start has been read and none later.
    #[must_use]
    pub fn current(&self, executor: &Executor) -> bool {
        self.producers
            .get(&executor.endpoint)
            .is_some_and(|producer| producer.boot == executor.boot)
    }

    /// Folds the batch at `offset` and says how its claims were settled.
    pub fn apply(&mut self, offset: Offset, batch: &Batch) -> Vec<ClaimDecision> {
        let standing = self.note_producer(offset, batch);
        if standing == Standing::Twin {
            return Vec::new();
        }
        batch
            .records
            .iter()
            .filter_map(|record| self.apply_record(offset, batch, record, standing))
            .collect()
    }

    /// Keeps a whole answer that was too large for the log.
    pub fn keep_answer(&mut self, key: KeyDigest, claim: AttemptId, answer: Answer) {
        let Some(holder) = self.holders.get_mut(&key) else {
            return;
        };
        if holder.claim != claim || !matches!(holder.state, HolderState::Done(None)) {
            return;
        }
        let len_bytes = answer.len_bytes();
        holder.state = HolderState::Done(Some(answer));
        self.count_body(key, len_bytes);
    }

    /// Forgets what the log no longer holds.
    pub fn trim(&mut self, first: Offset) {
        while let Some((offset, key)) = self.order.front().copied() {
            if offset >= first {
                break;
            }
            self.order.pop_front();
            if self.holders.get(&key).is_some_and(|h| h.offset == offset) {
                self.holders.remove(&key);
            }
        }
        self.producers
            .retain(|_, producer| producer.offset >= first);
    }

    fn note_producer(&mut self, offset: Offset, batch: &Batch) -> Standing {
        let boot = batch.executor.boot;
        let known = self.producers.get_mut(&batch.executor.endpoint);
        match known {
            Some(producer) if boot < producer.boot => Standing::Replaced,
            Some(producer) if boot == producer.boot && batch.sequence <= producer.last_sequence => {
                Standing::Twin
            }
            _ => {
                let producer = Producer {
                    boot,
                    last_sequence: batch.sequence,
                    offset,
                };
                self.producers
                    .insert(batch.executor.endpoint.clone(), producer);
                Standing::Current
            }
        }
    }

    fn apply_record(
        &mut self,
        offset: Offset,
        batch: &Batch,
        record: &Record,
        standing: Standing,
    ) -> Option<ClaimDecision> {
        match record {
            Record::Start => None,
            Record::Claim {
                claim,
                key,
                fingerprint,
            } => {
                let holder = new_holder(*claim, *fingerprint, batch, offset, HolderState::Open);
                Some(self.settle(*key, holder, standing))
            }
            Record::Elsewhere {
                claim,
                key,
                fingerprint,
            } => {
                let state = HolderState::Elsewhere;
                let holder = new_holder(*claim, *fingerprint, batch, offset, state);
                Some(self.settle(*key, holder, standing))
            }
            Record::Release { claim, key } => {
                self.release(*key, *claim);
                None
            }
            Record::Done { claim, key, answer } => {
                self.finish(*key, *claim, answer.clone());
                None
            }
        }
    }

    fn settle(&mut self, key: KeyDigest, holder: Holder, standing: Standing) -> ClaimDecision {
        let claim = holder.claim;
        let kind = if standing == Standing::Replaced {
            DecisionKind::Void
        } else if self.holders.contains_key(&key) {
            DecisionKind::Lost
        } else {
            self.order.push_back((holder.offset, key));
            self.holders.insert(key, holder);
            DecisionKind::Won
        };
        ClaimDecision { claim, key, kind }
    }

    fn release(&mut self, key: KeyDigest, claim: AttemptId) {
        let open = self
            .holders
            .get(&key)
            .is_some_and(|h| h.claim == claim && h.state == HolderState::Open);
        if open {
            self.holders.remove(&key);
        }
    }

    fn finish(&mut self, key: KeyDigest, claim: AttemptId, answer: Option<Answer>) {
        let Some(holder) = self.holders.get_mut(&key) else {
            return;
        };
        if holder.claim != claim || holder.state != HolderState::Open {
            return;
        }
        let len_bytes = answer.as_ref().map(Answer::len_bytes);
        holder.state = HolderState::Done(answer);
        if let Some(len_bytes) = len_bytes {
            self.count_body(key, len_bytes);
        }
    }

    fn count_body(&mut self, key: KeyDigest, len_bytes: usize) {
        self.bodies.push_back((key, len_bytes));
        self.bodies_bytes += len_bytes;
        while self.bodies_bytes > self.bodies_max_bytes {
            let Some((oldest, len_bytes)) = self.bodies.pop_front() else {
                break;
            };
            self.bodies_bytes -= len_bytes;
            self.drop_body(oldest);
        }
    }

    fn drop_body(&mut self, key: KeyDigest) {
        if let Some(holder) = self.holders.get_mut(&key)
            && matches!(holder.state, HolderState::Done(Some(_)))
        {
            holder.state = HolderState::Done(None);
            self.answers_dropped = self.answers_dropped.saturating_add(1);
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    Current,
    Replaced,
    Twin,
}

fn new_holder(
    claim: AttemptId,
    fingerprint: Fingerprint,
    batch: &Batch,
    offset: Offset,
    state: HolderState,
) -> Holder {
    Holder {
        claim,
        fingerprint,
        executor: batch.executor.clone(),
        offset,
        state,
    }
}
