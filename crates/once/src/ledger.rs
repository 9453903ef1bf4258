//! State of a service's claim stream, built by applying its batches in offset order.

use std::collections::{HashMap, VecDeque};

use lentil_core::{AttemptId, BootId, EndpointId, Fingerprint, Offset};

use crate::record::{Answer, Batch, Executor, KeyDigest, Record};

/// State of the claim that holds a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HolderState {
    /// No outcome is recorded.
    Open,
    /// The endpoint answered. `None` if the answer was not recorded or has been dropped.
    Done(Option<Answer>),
    /// The key belongs to the other system that runs beside this one.
    Elsewhere,
}

/// The claim that holds a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder {
    /// Identifier of the claim.
    pub claim: AttemptId,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// The only process that may run the request.
    pub executor: Executor,
    /// Offset of the claim in the log.
    pub offset: Offset,
    /// State of the claim.
    pub state: HolderState,
}

/// How the log decided a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecisionKind {
    /// It is the first valid claim for the key: its executor may run the request.
    Won,
    /// Another claim holds the key.
    Lost,
    /// A later boot had replaced its executor before the claim was appended.
    Void,
}

/// The decision on one claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimDecision {
    /// Identifier of the claim.
    pub claim: AttemptId,
    /// Key of the claim.
    pub key: KeyDigest,
    /// How the claim was decided.
    pub kind: DecisionKind,
}

#[derive(Debug)]
struct Producer {
    boot: BootId,
    last_sequence: u64,
    offset: Offset,
}

/// The claim state of all keys; readers of the same records reach the same state.
#[derive(Debug, Default)]
pub struct ClaimLedger {
    holders: HashMap<KeyDigest, Holder>,
    keys_by_offset: VecDeque<(Offset, KeyDigest)>,
    producers: HashMap<EndpointId, Producer>,
    kept_answers: VecDeque<(KeyDigest, usize)>,
    answers_bytes: usize,
    answers_max_bytes: usize,
    answers_dropped: u64,
}

impl ClaimLedger {
    /// Creates an empty ledger that keeps at most `answers_max_bytes` of answers.
    #[must_use]
    pub fn new(answers_max_bytes: usize) -> Self {
        Self {
            answers_max_bytes,
            ..Self::default()
        }
    }

    /// The claim that holds a key, if any.
    #[must_use]
    pub fn holder(&self, key: KeyDigest) -> Option<&Holder> {
        self.holders.get(&key)
    }

    /// Number of keys held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Number of answers dropped because of the memory limit.
    #[must_use]
    pub const fn answers_dropped(&self) -> u64 {
        self.answers_dropped
    }

    /// Whether a later boot of the agent of the executor's endpoint has been read.
    #[must_use]
    pub fn is_replaced(&self, executor: &Executor) -> bool {
        self.producers
            .get(&executor.endpoint)
            .is_some_and(|producer| producer.boot > executor.boot)
    }

    /// Whether the latest boot read for the executor's endpoint is the executor's own.
    #[must_use]
    pub fn is_current(&self, executor: &Executor) -> bool {
        self.producers
            .get(&executor.endpoint)
            .is_some_and(|producer| producer.boot == executor.boot)
    }

    /// Applies the batch at `offset` and returns the decisions on its claims.
    pub fn apply(&mut self, offset: Offset, batch: &Batch) -> Vec<ClaimDecision> {
        let status = self.update_producer(offset, batch);
        if status == BatchStatus::Duplicate {
            return Vec::new();
        }
        batch
            .records
            .iter()
            .filter_map(|record| self.apply_record(offset, batch, record, status))
            .collect()
    }

    /// Keeps a complete answer that was too large for the log.
    pub fn keep_answer(&mut self, key: KeyDigest, claim: AttemptId, answer: Answer) {
        let Some(holder) = self.holders.get_mut(&key) else {
            return;
        };
        if holder.claim != claim || !matches!(holder.state, HolderState::Done(None)) {
            return;
        }
        let len_bytes = answer.len_bytes();
        holder.state = HolderState::Done(Some(answer));
        self.track_answer(key, len_bytes);
    }

    /// Removes state whose records the log no longer holds.
    pub fn trim(&mut self, first: Offset) {
        while let Some((offset, key)) = self.keys_by_offset.front().copied() {
            if offset >= first {
                break;
            }
            self.keys_by_offset.pop_front();
            if self.holders.get(&key).is_some_and(|h| h.offset == offset) {
                self.holders.remove(&key);
            }
        }
        self.producers
            .retain(|_, producer| producer.offset >= first);
    }

    fn update_producer(&mut self, offset: Offset, batch: &Batch) -> BatchStatus {
        let boot = batch.executor.boot;
        let known = self.producers.get_mut(&batch.executor.endpoint);
        match known {
            Some(producer) if boot < producer.boot => BatchStatus::ReplacedBoot,
            Some(producer) if boot == producer.boot && batch.sequence <= producer.last_sequence => {
                BatchStatus::Duplicate
            }
            _ => {
                let producer = Producer {
                    boot,
                    last_sequence: batch.sequence,
                    offset,
                };
                self.producers
                    .insert(batch.executor.endpoint.clone(), producer);
                BatchStatus::Current
            }
        }
    }

    fn apply_record(
        &mut self,
        offset: Offset,
        batch: &Batch,
        record: &Record,
        status: BatchStatus,
    ) -> Option<ClaimDecision> {
        match record {
            Record::Start => None,
            Record::Claim {
                claim,
                key,
                fingerprint,
            } => {
                let holder = new_holder(*claim, *fingerprint, batch, offset, HolderState::Open);
                Some(self.decide_claim(*key, holder, status))
            }
            Record::Elsewhere {
                claim,
                key,
                fingerprint,
            } => {
                let state = HolderState::Elsewhere;
                let holder = new_holder(*claim, *fingerprint, batch, offset, state);
                Some(self.decide_claim(*key, holder, status))
            }
            Record::Release { claim, key } => {
                self.release(*key, *claim);
                None
            }
            Record::Done { claim, key, answer } => {
                self.record_outcome(*key, *claim, answer.clone());
                None
            }
        }
    }

    fn decide_claim(
        &mut self,
        key: KeyDigest,
        holder: Holder,
        status: BatchStatus,
    ) -> ClaimDecision {
        let claim = holder.claim;
        let kind = if status == BatchStatus::ReplacedBoot {
            DecisionKind::Void
        } else if self.holders.contains_key(&key) {
            DecisionKind::Lost
        } else {
            self.keys_by_offset.push_back((holder.offset, key));
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

    fn record_outcome(&mut self, key: KeyDigest, claim: AttemptId, answer: Option<Answer>) {
        let Some(holder) = self.holders.get_mut(&key) else {
            return;
        };
        if holder.claim != claim || holder.state != HolderState::Open {
            return;
        }
        let len_bytes = answer.as_ref().map(Answer::len_bytes);
        holder.state = HolderState::Done(answer);
        if let Some(len_bytes) = len_bytes {
            self.track_answer(key, len_bytes);
        }
    }

    fn track_answer(&mut self, key: KeyDigest, len_bytes: usize) {
        self.kept_answers.push_back((key, len_bytes));
        self.answers_bytes += len_bytes;
        while self.answers_bytes > self.answers_max_bytes {
            let Some((oldest, len_bytes)) = self.kept_answers.pop_front() else {
                break;
            };
            self.answers_bytes -= len_bytes;
            self.drop_answer(oldest);
        }
    }

    fn drop_answer(&mut self, key: KeyDigest) {
        if let Some(holder) = self.holders.get_mut(&key)
            && matches!(holder.state, HolderState::Done(Some(_)))
        {
            holder.state = HolderState::Done(None);
            self.answers_dropped = self.answers_dropped.saturating_add(1);
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BatchStatus {
    Current,
    ReplacedBoot,
    Duplicate,
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
