//! The stages of a roll-out.

use lentil_core::{Permille, Span, Time};

use crate::analysis::{Analysis, Verdict};
use crate::decision::{Decision, Observation, RolloutLimits};
use crate::evidence::{Evidence, Side};
use crate::order::{RecordedStatus, RolloutOrder, Stage, State};
use crate::schedule::{STEPS, Schedule};
use crate::shares::{ALL, Canary, step_share, sustained_share};

/// Maximum number of periods with their own comparison before the current one. A
/// promotion without suspensions has four.
const PERIODS_MAX: usize = 8;
/// How long the target must be a service's only version before an order for it is
/// completed: other gateways' evidence arrives meanwhile.
const SOLE_VERSION_WAIT: Span = Span::from_s(1);

/// One gateway's view of one order.
///
/// A gateway reaches the stages up to the trial, and a rollback on evidence, by itself.
/// Promotion and the terminal stages of the fleet are those of the status record.
#[derive(Debug, Clone)]
pub struct Rollout {
    order: RolloutOrder,
    schedule: Schedule,
    sustained_share: Permille,
    evidence: Evidence,
    /// The evidence of each period before the current one.
    past_periods: Vec<Evidence>,
    /// The evidence at the beginning of the current period.
    period_start: Evidence,
    recorded: Option<Stage>,
    is_superseded: bool,
    verdict: Verdict,
    has_enough_at_this_load: bool,
    is_condemned: bool,
    trial_since: Option<Time>,
    step: Option<Step>,
    share: Permille,
    first_endpoint: u32,
    old_endpoints_max: u32,
    old_idle: Option<OldIdle>,
    sole_version_since: Option<Time>,
}

/// The current step of the promotion.
#[derive(Debug, Clone, Copy)]
struct Step {
    index: usize,
    since: Time,
}

/// Since when nothing runs at old endpoints, and how many requests they had got.
#[derive(Debug, Clone, Copy)]
struct OldIdle {
    since: Time,
    sent: u64,
}

impl Rollout {
    /// Creates the roll-out of an order that has just been read.
    #[must_use]
    pub fn new(order: RolloutOrder, limits: RolloutLimits) -> Self {
        let schedule = Schedule::new(&order, &limits);
        Self {
            order,
            schedule,
            sustained_share: sustained_share(limits.exposure_share),
            evidence: Evidence::new(),
            past_periods: Vec::new(),
            period_start: Evidence::new(),
            recorded: None,
            is_superseded: false,
            verdict: Verdict::Unclear,
            has_enough_at_this_load: false,
            is_condemned: false,
            trial_since: None,
            step: None,
            share: Permille::ZERO,
            first_endpoint: 0,
            old_endpoints_max: 0,
            old_idle: None,
            sole_version_since: None,
        }
    }

    /// The order.
    #[must_use]
    pub const fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Decides what this gateway does at `now`. Called at least every 200 ms while the
    /// order is open and when a status or evidence arrives.
    pub fn observe(&mut self, now: Time, seen: &Observation<'_>) -> Decision {
        self.read_status(seen.status.as_ref());
        if self.is_superseded {
            return self.decision(Stage::RolledBack, Permille::ZERO);
        }
        match self.recorded {
            Some(Stage::Completed) => return self.decision(Stage::Completed, ALL),
            Some(Stage::RolledBack) => return self.decision(Stage::RolledBack, Permille::ZERO),
            _ => {}
        }
        self.evidence.merge(seen.fleet);
        self.evidence.merge(seen.own);
        self.old_endpoints_max = self.old_endpoints_max.max(seen.old_endpoints);
        if let Some(decision) = self.sole_version(now, seen) {
            return decision;
        }
        if self.is_condemned(now, seen) {
            let decision = self.decision(Stage::RolledBack, Permille::ZERO);
            return self.with_write(decision, Stage::RolledBack);
        }
        if self.recorded == Some(Stage::Promoting) {
            return self.promote(now, seen);
        }
        self.trial(now, seen)
    }

    /// How many of the target's endpoints get requests at a share, so that each sees the
    /// load that an old one has without the target. All gateways use the same ones: those
    /// from [`Decision::first_endpoint`] on in the order of their names.
    #[must_use]
    pub fn target_endpoint_limit(
        share: Permille,
        target_endpoints: u32,
        old_endpoints: u32,
    ) -> u32 {
        if share >= ALL || old_endpoints == 0 {
            return target_endpoints;
        }
        let wanted = (u64::from(share.get()) * u64::from(old_endpoints)).div_ceil(1_000);
        u32::try_from(wanted)
            .unwrap_or(u32::MAX)
            .clamp(1, target_endpoints.max(1))
    }

    /// Takes over the fleet-wide stage. It only advances, as a reading may be older than
    /// one before.
    fn read_status(&mut self, status: Option<&RecordedStatus>) {
        let Some(status) = status else {
            return;
        };
        if status.order > self.order.id {
            self.is_superseded = true;
        }
        let is_terminal = self
            .recorded
            .is_some_and(|stage| stage.state().is_terminal());
        if status.order != self.order.id || is_terminal {
            return;
        }
        let stage = match status.state {
            State::InProgress => status.stage.min(Stage::Promoting),
            State::Completed => Stage::Completed,
            State::RolledBack => Stage::RolledBack,
        };
        self.recorded = self.recorded.max(Some(stage));
    }

    fn analyse(&mut self) {
        let current = self.evidence.since(&self.period_start);
        let analysis = Analysis::new(&self.past_periods, &current, &self.evidence);
        self.verdict = analysis.verdict();
        self.has_enough_at_this_load = analysis.has_enough_at_this_load();
    }

    /// Decides for an order whose target is the service's only version: it is completed
    /// once no gateway is seen to use another one. Meanwhile nothing is withheld.
    fn sole_version(&mut self, now: Time, seen: &Observation<'_>) -> Option<Decision> {
        let is_sole = self.old_endpoints_max == 0
            && seen.target_endpoints > 0
            && seen.status_age.is_some()
            && self.evidence.total(Side::Old).sent == 0
            && (self.recorded.is_none() || is_fresh(seen.fleet_age, self.schedule.stale));
        if !is_sole {
            self.sole_version_since = None;
            return None;
        }
        let since = *self.sole_version_since.get_or_insert(now);
        let decision = self.decision(Stage::Waiting, ALL);
        let is_settled = (since + SOLE_VERSION_WAIT).has_passed(now);
        if is_settled && is_fresh(seen.status_age, self.schedule.stale) {
            return Some(self.with_write(decision, Stage::Completed));
        }
        Some(decision)
    }

    /// Whether the target must not get requests any more. This is never withdrawn.
    fn is_condemned(&mut self, now: Time, seen: &Observation<'_>) -> bool {
        if self.is_condemned {
            return true;
        }
        self.analyse();
        // Another gateway may have completed the order if no old endpoint is left.
        let may_be_completed = self.recorded == Some(Stage::Promoting) && seen.old_endpoints == 0;
        let is_late = self.schedule.close_at.has_passed(now) && !may_be_completed;
        // A promotion that another gateway has started may not have been read yet.
        let is_unpromoted = self.recorded != Some(Stage::Promoting)
            && (self.schedule.promote_until + self.schedule.step).has_passed(now)
            && is_fresh(seen.status_age, self.schedule.stale);
        self.is_condemned = is_late || is_unpromoted || matches!(self.verdict, Verdict::Bad { .. });
        self.is_condemned
    }

    fn trial(&mut self, now: Time, seen: &Observation<'_>) -> Decision {
        if self.recorded.is_none() || seen.target_endpoints == 0 {
            self.share = Permille::ZERO;
            let decision = self.decision(Stage::Waiting, Permille::ZERO);
            return if self.recorded.is_none() && seen.status_age.is_some() {
                self.with_write(decision, Stage::Waiting)
            } else {
                decision
            };
        }
        let wanted = self.trial_share(now);
        self.share = self.bounded(seen, wanted);
        if self.trial_since.is_none() && self.share == Permille::ZERO {
            return self.decision(Stage::Waiting, Permille::ZERO);
        }
        let since = *self.trial_since.get_or_insert(now);
        let trial_end = since + self.schedule.trial_min;
        let is_due = self.schedule.promote_from.max(trial_end).has_passed(now)
            && !self.schedule.promote_until.has_passed(now);
        let decision = self.decision(Stage::Trial, self.share);
        if is_due && self.verdict == Verdict::Good && self.may_increase(seen) {
            return self.with_write(decision, Stage::Promoting);
        }
        decision
    }

    fn trial_share(&mut self, now: Time) -> Permille {
        let elapsed = now.since(self.order.ordered_at);
        let canary = Canary::new(self.sustained_share, self.old_endpoints_max, elapsed);
        self.first_endpoint = canary.first_endpoint;
        canary.share
    }

    fn promote(&mut self, now: Time, seen: &Observation<'_>) -> Decision {
        // Without old endpoints there is nothing to return to: another gateway may have
        // completed the order.
        let is_last = seen.old_endpoints == 0;
        if self.verdict != Verdict::Good && !is_last {
            return self.suspend(now, seen);
        }
        let step = self.next_step(now, seen);
        let wanted = match seen.target_endpoints {
            0 => Permille::ZERO,
            _ if is_last => ALL,
            endpoints => step_share(step.index, endpoints, self.old_endpoints_max),
        };
        self.share = if is_last {
            wanted
        } else {
            self.bounded(seen, wanted)
        };
        let decision = self.decision(Stage::Promoting, self.share);
        if self.is_old_idle(now, seen) && self.may_increase(seen) {
            return self.with_write(decision, Stage::Completed);
        }
        decision
    }

    /// Returns to the exposure budget while the evidence is unclear. What the steps have
    /// sent counts against it. The promotion starts over when the target is good again.
    fn suspend(&mut self, now: Time, seen: &Observation<'_>) -> Decision {
        if self.step.take().is_some() {
            self.begin_period();
        }
        self.old_idle = None;
        let wanted = self.trial_share(now);
        self.share = self.bounded(seen, wanted);
        Decision {
            is_budgeted: true,
            ..self.decision(Stage::Promoting, self.share)
        }
    }

    fn begin_period(&mut self) {
        let period = self.evidence.since(&self.period_start);
        self.period_start = self.evidence.clone();
        let is_full = self.past_periods.len() >= PERIODS_MAX;
        match self.past_periods.last_mut() {
            Some(last) if is_full => last.add(&period),
            _ => self.past_periods.push(period),
        }
    }

    /// Advances the promotion after each step, unless the evidence is scarce or old.
    fn next_step(&mut self, now: Time, seen: &Observation<'_>) -> Step {
        let may_increase = self.may_increase(seen) && self.has_enough_at_this_load;
        let step = match self.step {
            None => Step {
                index: 0,
                since: now,
            },
            Some(step)
                if step.index + 1 < STEPS
                    && may_increase
                    && (step.since + self.schedule.step).has_passed(now) =>
            {
                Step {
                    index: step.index + 1,
                    since: now,
                }
            }
            Some(step) => return step,
        };
        self.step = Some(step);
        self.begin_period();
        step
    }

    /// Whether nothing runs at old endpoints in the whole fleet, and no gateway has sent
    /// anything there for the length of a step.
    fn is_old_idle(&mut self, now: Time, seen: &Observation<'_>) -> bool {
        let fleet = seen.fleet.total(Side::Old);
        let own = seen.own.total(Side::Old);
        let sent = fleet.sent.max(own.sent);
        let is_busy = seen.old_busy || fleet.sent > fleet.ended || own.sent > own.ended;
        if is_busy || self.share != ALL {
            self.old_idle = None;
            return false;
        }
        let idle = self.old_idle.filter(|idle| idle.sent == sent);
        let idle = idle.unwrap_or(OldIdle { since: now, sent });
        self.old_idle = Some(idle);
        (idle.since + self.schedule.step).has_passed(now)
    }

    fn may_increase(&self, seen: &Observation<'_>) -> bool {
        is_fresh(seen.fleet_age, self.schedule.stale)
            && is_fresh(seen.status_age, self.schedule.stale)
    }

    /// The share as far as the age of evidence and status allow.
    fn bounded(&self, seen: &Observation<'_>, wanted: Permille) -> Permille {
        let expired = self.schedule.expired;
        if !is_fresh(seen.fleet_age, expired) || !is_fresh(seen.status_age, expired) {
            return Permille::ZERO;
        }
        if self.may_increase(seen) {
            return wanted;
        }
        wanted.min(self.share)
    }

    fn decision(&self, stage: Stage, target_share: Permille) -> Decision {
        let is_proven = matches!(stage, Stage::Promoting | Stage::Completed);
        Decision {
            target_share,
            first_endpoint: self.first_endpoint,
            is_budgeted: !is_proven && target_share < ALL,
            may_place_at_old: target_share < ALL,
            write: None,
            stage,
            verdict: self.verdict.clone(),
        }
    }

    fn with_write(&self, decision: Decision, stage: Stage) -> Decision {
        Decision {
            write: Some(RecordedStatus {
                order: self.order.id,
                target: self.order.target.clone(),
                state: stage.state(),
                stage,
            }),
            ..decision
        }
    }
}

fn is_fresh(age: Option<Span>, age_max: Span) -> bool {
    age.is_some_and(|age| age <= age_max)
}
