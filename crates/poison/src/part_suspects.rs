//! The parts of prompts that are suspected of crashing engines.

use std::collections::{BTreeMap, BTreeSet};

use lentil_core::{PromptPartId, Span, Time};

use crate::part_crash::{Evidence, PartCrash};
use crate::suspects::CrashId;

/// Strikes for a crash before the first event of an answer that had begun.
const STRIKES_ANSWER_BEGUN: u32 = 2;
/// Strikes for crashes at which a request was only present.
const STRIKES_PRESENT: u32 = 1;
/// Time in which crashes at which a request was only present count once. Engines that
/// crash together have a cause in common, which no request needs to be.
const TOGETHER: Span = Span::from_ms(500);

/// Limits of [`PartSuspects`].
#[derive(Debug, Clone, Copy)]
pub struct PartLimits {
    /// Maximum number of crashes; the oldest is dropped first.
    pub crashes_max: usize,
    /// Maximum number of suspected requests per crash.
    pub requests_max: usize,
    /// Number of strikes from which on requests are refused.
    pub strikes_max: u32,
    /// The same for a part that already belongs to a refused combination, and comes in
    /// another one.
    pub strikes_again_max: u32,
    /// How long requests are refused after the last crash.
    pub refusal: Span,
    /// How long a crash is kept.
    pub ttl: Span,
}

impl Default for PartLimits {
    fn default() -> Self {
        Self {
            crashes_max: 64,
            requests_max: 8,
            strikes_max: 5,
            strikes_again_max: 4,
            refusal: Span::from_s(300),
            ttl: Span::from_s(900),
        }
    }
}

/// Parts that crash engines when they come together. Usually this is one part, or one part
/// and others that nobody has sent without it yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashingParts {
    /// Requests with all of these parts are refused.
    pub parts: BTreeSet<PromptPartId>,
    /// Until when they are refused.
    pub until: Time,
}

/// What is known of one suspected request of a crash.
#[derive(Debug, Clone)]
struct Suspicion {
    evidence: Evidence,
    cleared: BTreeSet<PromptPartId>,
}

#[derive(Debug, Clone)]
struct Crash {
    id: CrashId,
    learnt_at: Time,
    /// The suspected requests, by the shared parts of their prompts.
    requests: BTreeMap<BTreeSet<PromptPartId>, Suspicion>,
}

/// The parts of a suspected request that haven't been cleared, with their crash.
struct Accusation {
    crash: usize,
    parts: BTreeSet<PromptPartId>,
}

/// A combination of parts that explains crashes.
struct Explanation {
    strikes: u32,
    parts: BTreeSet<PromptPartId>,
    until: Time,
    crashes: BTreeSet<usize>,
}

impl Explanation {
    /// Explanations with more weight are taken first. What has more parts in common comes
    /// first, as it refuses less: parts that accompany the crashing one may also accompany
    /// another crashing part, or be in an unrelated crash.
    fn weight(&self) -> (usize, u32) {
        (self.parts.len(), self.strikes)
    }
}

/// The suspected parts of prompts, learnt from crashes and from answers.
///
/// A part that crashes engines is in a suspected request of each of its crashes, and no
/// engine has answered on it since. The same holds for a while for parts that happen to
/// accompany it, so what is refused is the combination that all these requests have in
/// common: it contains the part, and a request without the part never has all of it.
/// Each answer on one of the other parts clears that part and narrows the combination.
#[derive(Debug)]
pub struct PartSuspects {
    limits: PartLimits,
    /// In the order in which they became known.
    crashes: Vec<Crash>,
    crashing: Vec<CrashingParts>,
}

impl PartSuspects {
    /// Creates an empty table.
    #[must_use]
    pub const fn new(limits: PartLimits) -> Self {
        Self {
            limits,
            crashes: Vec::new(),
            crashing: Vec::new(),
        }
    }

    /// Until when a request whose prompt has these shared parts is refused; `None` if it
    /// may run.
    #[must_use]
    pub fn refused_until(&self, now: Time, parts: &[PromptPartId]) -> Option<Time> {
        self.crashing
            .iter()
            .filter(|crashing| crashing.parts.iter().all(|part| parts.contains(part)))
            .map(|crashing| crashing.until)
            .filter(|until| !until.has_passed(now))
            .max()
    }

    /// The combinations of parts that are refused.
    #[must_use]
    pub fn crashing(&self) -> &[CrashingParts] {
        &self.crashing
    }

    /// Merges a record, of this process or of a peer. Returns whether it brought anything
    /// new.
    pub fn merge_record(&mut self, now: Time, record: &PartCrash) -> bool {
        let changed = !record.parts.is_empty() && self.insert(now, record);
        if changed {
            self.update_crashing();
        }
        changed
    }

    /// Clears parts on which an engine has answered. Returns the records that changed.
    pub fn clear(&mut self, parts: &[PromptPartId]) -> Vec<PartCrash> {
        let mut changed = Vec::new();
        for crash in &mut self.crashes {
            for (accused, suspicion) in &mut crash.requests {
                let before = suspicion.cleared.len();
                let answered = parts.iter().filter(|part| accused.contains(part));
                suspicion.cleared.extend(answered);
                if suspicion.cleared.len() > before {
                    changed.push(record(crash.id, accused, suspicion));
                }
            }
        }
        if !changed.is_empty() {
            self.update_crashing();
        }
        changed
    }

    /// The records to send to peers, the newest crash first.
    #[must_use]
    pub fn records(&self) -> Vec<PartCrash> {
        let crashes = self.crashes.iter().rev();
        crashes
            .flat_map(|crash| {
                let requests = crash.requests.iter();
                requests.map(|(parts, suspicion)| record(crash.id, parts, suspicion))
            })
            .collect()
    }

    /// Removes crashes that have expired.
    pub fn expire(&mut self, now: Time) {
        let before = self.crashes.len();
        let ttl = self.limits.ttl;
        self.crashes
            .retain(|crash| !(crash.learnt_at + ttl).has_passed(now));
        if self.crashes.len() < before {
            self.update_crashing();
        }
    }

    fn insert(&mut self, now: Time, record: &PartCrash) -> bool {
        let limits = self.limits;
        let known = self.crashes.iter().position(|c| c.id == record.crash);
        let position = known.unwrap_or_else(|| {
            if self.crashes.len() >= limits.crashes_max {
                self.crashes.remove(0);
            }
            self.crashes.push(Crash {
                id: record.crash,
                learnt_at: now,
                requests: BTreeMap::new(),
            });
            self.crashes.len() - 1
        });
        let Some(crash) = self.crashes.get_mut(position) else {
            return false;
        };
        if let Some(suspicion) = crash.requests.get_mut(&record.parts) {
            let before = (suspicion.evidence, suspicion.cleared.len());
            suspicion.evidence = suspicion.evidence.max(record.evidence);
            suspicion.cleared.extend(&record.cleared);
            return before != (suspicion.evidence, suspicion.cleared.len());
        }
        if crash.requests.len() >= limits.requests_max {
            let weakest = crash
                .requests
                .iter()
                .find(|(_, suspicion)| suspicion.evidence < record.evidence)
                .map(|(parts, _)| parts.clone());
            let Some(weakest) = weakest else {
                return false;
            };
            crash.requests.remove(&weakest);
        }
        let suspicion = Suspicion {
            evidence: record.evidence,
            cleared: record.cleared.clone(),
        };
        crash.requests.insert(record.parts.clone(), suspicion);
        true
    }

    /// Finds the combinations of parts that explain the crashes, the best explanation
    /// first. A crash that one combination explains does not count towards another.
    fn update_crashing(&mut self) {
        let mut accusations = self.accusations();
        let mut crashing = Vec::new();
        while let Some(found) = self.strongest(&accusations, &crashing) {
            accusations.retain(|accusation| !found.crashes.contains(&accusation.crash));
            crashing.push(CrashingParts {
                parts: found.parts,
                until: found.until,
            });
        }
        self.crashing = crashing;
    }

    /// The requests that may have caused a crash. If the engine had begun the answer of
    /// one, those that were only present at this crash are left out.
    fn accusations(&self) -> Vec<Accusation> {
        let mut accusations = Vec::new();
        for (index, crash) in self.crashes.iter().enumerate() {
            let open = |(parts, suspicion): (&BTreeSet<PromptPartId>, &Suspicion)| {
                let parts: BTreeSet<_> = parts.difference(&suspicion.cleared).copied().collect();
                (!parts.is_empty()).then_some((suspicion.evidence, parts))
            };
            let open: Vec<_> = crash.requests.iter().filter_map(open).collect();
            let strongest = open.iter().map(|(evidence, _)| *evidence).max();
            let strongest = open
                .into_iter()
                .filter(|(evidence, _)| Some(*evidence) == strongest);
            accusations.extend(strongest.map(|(_, parts)| Accusation {
                crash: index,
                parts,
            }));
        }
        accusations
    }

    /// The best explanation with enough strikes.
    fn strongest(
        &self,
        accusations: &[Accusation],
        known: &[CrashingParts],
    ) -> Option<Explanation> {
        let suspects: BTreeSet<_> = accusations
            .iter()
            .flat_map(|accusation| accusation.parts.iter().copied())
            .collect();
        suspects
            .into_iter()
            .filter_map(|part| self.explain(part, accusations, known))
            .max_by_key(Explanation::weight)
    }

    /// What the accusations of a part have in common, if it has enough strikes. Crashes at
    /// which a request was only present count if the others don't suffice.
    fn explain(
        &self,
        part: PromptPartId,
        accusations: &[Accusation],
        known: &[CrashingParts],
    ) -> Option<Explanation> {
        self.explain_by(Evidence::AnswerBegun, part, accusations, known)
            .or_else(|| self.explain_by(Evidence::Present, part, accusations, known))
    }

    fn explain_by(
        &self,
        weakest: Evidence,
        part: PromptPartId,
        accusations: &[Accusation],
        known: &[CrashingParts],
    ) -> Option<Explanation> {
        let known = known.iter().filter(|known| known.parts.contains(&part));
        let mut common = known
            .map(|known| known.parts.clone())
            .reduce(|one, other| one.intersection(&other).copied().collect());
        let strikes_max = match &common {
            Some(_) => self.limits.strikes_again_max,
            None => self.limits.strikes_max,
        };
        let mut strikes = 0;
        let mut until = Time::ZERO;
        let mut together_until = Time::ZERO;
        let mut crashes = BTreeSet::new();
        for (index, crash) in self.crashes.iter().enumerate() {
            if weakest == Evidence::AnswerBegun && !crash.answer_begun() {
                continue;
            }
            let accused: BTreeSet<_> = accusations
                .iter()
                .filter(|accusation| accusation.crash == index && accusation.parts.contains(&part))
                .flat_map(|accusation| accusation.parts.iter().copied())
                .collect();
            if accused.is_empty() {
                continue;
            }
            common = Some(match common {
                Some(common) => common.intersection(&accused).copied().collect(),
                None => accused,
            });
            until = until.max(crash.learnt_at + self.limits.refusal);
            crashes.insert(index);
            if crash.answer_begun() {
                strikes += STRIKES_ANSWER_BEGUN;
            } else if together_until.has_passed(crash.learnt_at) {
                strikes += STRIKES_PRESENT;
                together_until = crash.learnt_at + TOGETHER;
            }
        }
        let parts = common?;
        (strikes >= strikes_max).then_some(Explanation {
            strikes,
            parts,
            until,
            crashes,
        })
    }
}

impl Crash {
    /// Whether the engine had begun the answer of a request that is still suspected.
    fn answer_begun(&self) -> bool {
        self.requests.iter().any(|(parts, suspicion)| {
            suspicion.evidence == Evidence::AnswerBegun && !parts.is_subset(&suspicion.cleared)
        })
    }
}

fn record(crash: CrashId, parts: &BTreeSet<PromptPartId>, suspicion: &Suspicion) -> PartCrash {
    PartCrash {
        crash,
        evidence: suspicion.evidence,
        parts: parts.clone(),
        cleared: suspicion.cleared.clone(),
    }
}
