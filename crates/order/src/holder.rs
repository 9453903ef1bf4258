//! An agent's side of the orders to its endpoint.

mod tick;

use lentil_core::{BootId, EndpointId, FenceNumber, Offset, Span, Time};

use crate::Assignment;
use crate::claim_table::{ClaimTable, RecordEffect};
use crate::event::{Action, ChangeRequest, ClaimHolderSettings, Counters, Event};
use crate::hold::{Hold, Pending, Stage, Step};
use crate::order::{Answer, EndpointStatus, EngineFencing, Order};
use crate::record::{Claim, Record};
use crate::watch::Watch;

/// Share of the lease, as a divisor, that covers clocks of unlike rate.
const CLOCK_RATE_DIVISOR: u64 = 100;

/// The one that may order an endpoint, as one boot of its agent sees it.
///
/// A lease is counted from before its record was appended, and a successor
/// counts the whole lease from the moment it read its own claim: so the
/// predecessor's lease has ended on every clock before the successor orders.
#[derive(Debug)]
pub struct ClaimHolder {
    endpoint: EndpointId,
    boot: BootId,
    settings: ClaimHolderSettings,
    claim_table: ClaimTable,
    sequence: u64,
    stage: Stage,
    /// When an order of this boot may first be sent; set at its first grant.
    orders_from: Option<Time>,
    /// The order whose fate the shell has not told.
    in_flight: Option<FenceNumber>,
    ordered: Option<Assignment>,
    watch: Watch,
    counters: Counters,
}

impl ClaimHolder {
    /// A holder that has read nothing of the order stream.
    #[must_use]
    pub fn new(endpoint: EndpointId, boot: BootId, settings: ClaimHolderSettings) -> Self {
        Self {
            endpoint,
            boot,
            settings,
            claim_table: ClaimTable::new(),
            sequence: 0,
            stage: Stage::Idle,
            orders_from: None,
            in_flight: None,
            ordered: None,
            watch: Watch::default(),
            counters: Counters::default(),
        }
    }

    /// The stream as far as it was read.
    #[must_use]
    pub const fn claim_table(&self) -> &ClaimTable {
        &self.claim_table
    }

    /// What was met so far.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Whether a change can be asked for.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Idle)
    }

    /// Decides what follows from an event.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        if matches!(self.stage, Stage::Superseded) {
            return Vec::new();
        }
        match event {
            Event::ChangeRequested(wanted) => self.want(now, wanted),
            Event::RecordRead { offset, record } => self.read(now, offset, &record),
            Event::OrderAnswered { number, answer } => self.answered(now, number, answer),
            Event::NotSent { number } => self.not_sent(number),
            Event::AnswerLost { number } => self.answer_lost(now, number),
            Event::Status(status) => self.status(now, &status),
            Event::Tick => self.tick(now),
        }
    }

    fn want(&mut self, now: Time, wanted: ChangeRequest) -> Vec<Action> {
        if !self.is_idle() {
            return Vec::new();
        }
        self.sequence += 1;
        let record = Record::Claim(Claim {
            endpoint: self.endpoint.clone(),
            boot: self.boot,
            sequence: self.sequence,
            from: wanted.from,
            to: wanted.to,
            from_live: wanted.from_live,
            to_live: wanted.to_live,
            read_to: self.claim_table.next_offset(),
            bounds: wanted.bounds,
        });
        self.stage = Stage::Claiming(self.pending(now, record.clone()));
        vec![Action::Append(record)]
    }

    fn pending(&self, now: Time, record: Record) -> Pending {
        Pending {
            record,
            first_sent: now,
            retry_at: now + self.settings.retry_interval,
        }
    }

    fn read(&mut self, now: Time, offset: Offset, record: &Record) -> Vec<Action> {
        let before = self.claim_table.running_boot(&self.endpoint);
        let verdict = self.claim_table.apply(offset, record);
        if *record.endpoint() != self.endpoint {
            self.watch_other(now, record, verdict);
            return Vec::new();
        }
        match (record, verdict) {
            (Record::Claim(claim), RecordEffect::Granted(_)) if claim.boot > self.boot => {
                self.stage = Stage::Superseded;
                vec![Action::Superseded]
            }
            (Record::Claim(claim), verdict) if claim.boot == self.boot => {
                self.claimed(now, claim, verdict, before)
            }
            (Record::Renewed { number, .. }, RecordEffect::Applied) => {
                self.renewed(*number, record)
            }
            (Record::Finished { number, .. }, RecordEffect::Applied) => self.finished(*number),
            (Record::Dropped { number, .. }, RecordEffect::Applied) => self.ended(*number),
            _ => Vec::new(),
        }
    }

    fn claimed(
        &mut self,
        now: Time,
        claim: &Claim,
        verdict: RecordEffect,
        before: Option<BootId>,
    ) -> Vec<Action> {
        let Stage::Claiming(pending) = &self.stage else {
            return Vec::new();
        };
        if claim.sequence != self.sequence {
            return Vec::new();
        }
        match verdict {
            RecordEffect::Granted(number) => {
                let lease_until = pending.first_sent + self.settings.lease;
                self.counters.granted += 1;
                self.stage =
                    Stage::Holding(Box::new(Hold::new(number, claim.to.clone(), lease_until)));
                let first = self.first_order(now, before);
                self.orders_from.get_or_insert(first);
                self.tick(now)
            }
            RecordEffect::Refused(refusal) => {
                self.counters.refused += 1;
                self.stage = Stage::Idle;
                vec![Action::ClaimRefused(refusal)]
            }
            RecordEffect::Applied | RecordEffect::NoEffect => Vec::new(),
        }
    }

    /// When the lease of an earlier boot has ended on every clock.
    fn first_order(&self, now: Time, before: Option<BootId>) -> Time {
        let predecessor = before.is_some_and(|boot| boot != self.boot);
        if !predecessor || self.settings.fencing == EngineFencing::Enforced {
            return now;
        }
        let lease = self.settings.lease;
        let drift_us = lease.as_us() / CLOCK_RATE_DIVISOR;
        now + lease + Span::from_us(drift_us) + self.settings.send_margin
    }

    /// Only the record that was sent last counts: a late twin says nothing of now.
    fn renewed(&mut self, number: FenceNumber, record: &Record) -> Vec<Action> {
        let lease = self.settings.lease;
        if let Some(hold) = self.hold(number)
            && let Some(renewal) = hold.renewal.take_if(|pending| pending.record == *record)
        {
            hold.lease_until = hold.lease_until.max(renewal.first_sent + lease);
        }
        Vec::new()
    }

    fn finished(&mut self, number: FenceNumber) -> Vec<Action> {
        let Some(hold) = self.hold(number) else {
            return Vec::new();
        };
        let held = hold.to.clone();
        self.stage = Stage::Idle;
        vec![Action::Loaded(held)]
    }

    fn ended(&mut self, number: FenceNumber) -> Vec<Action> {
        if self.hold(number).is_some() {
            self.stage = Stage::Idle;
        }
        Vec::new()
    }

    fn hold(&mut self, number: FenceNumber) -> Option<&mut Hold> {
        match &mut self.stage {
            Stage::Holding(hold) if hold.number == number => Some(hold),
            _ => None,
        }
    }

    fn answered(&mut self, now: Time, number: FenceNumber, answer: Answer) -> Vec<Action> {
        self.in_flight.take_if(|sent| *sent == number);
        let retry_at = now + self.settings.retry_interval;
        let pending = self.pending(now, self.dropped(number));
        let Some(hold) = self.hold(number) else {
            return Vec::new();
        };
        if !matches!(hold.step, Step::Ordered) {
            return Vec::new();
        }
        match answer {
            Answer::Started => hold.step = Step::Loading { ask_at: retry_at },
            Answer::Busy => hold.step = Step::Asking { retry_at },
            Answer::OldNumber | Answer::Failed => {
                let record = pending.record.clone();
                hold.step = Step::Finishing(pending);
                return vec![Action::Append(record)];
            }
        }
        Vec::new()
    }

    fn dropped(&self, number: FenceNumber) -> Record {
        let endpoint = self.endpoint.clone();
        Record::Dropped { endpoint, number }
    }

    fn not_sent(&mut self, number: FenceNumber) -> Vec<Action> {
        self.counters.lapsed += 1;
        self.in_flight.take_if(|sent| *sent == number);
        if let Some(hold) = self.hold(number) {
            hold.step = Step::Waiting;
        }
        Vec::new()
    }

    /// The order may still arrive within the send_margin; the question waits for that.
    fn answer_lost(&mut self, now: Time, number: FenceNumber) -> Vec<Action> {
        let retry_at = now + self.settings.send_margin;
        self.counters.answers_lost += 1;
        self.in_flight.take_if(|sent| *sent == number);
        self.orders_from = self.orders_from.max(Some(retry_at));
        if let Some(hold) = self.hold(number) {
            hold.step = Step::Asking { retry_at };
        }
        Vec::new()
    }

    fn status(&mut self, now: Time, status: &EndpointStatus) -> Vec<Action> {
        if self.is_idle() {
            self.note_foreign(status);
            return Vec::new();
        }
        let Stage::Holding(hold) = &self.stage else {
            return Vec::new();
        };
        if !matches!(hold.step, Step::Asking { .. } | Step::Loading { .. }) {
            return Vec::new();
        }
        let number = hold.number;
        if status.changing {
            return self.set_step(Step::Loading {
                ask_at: now + self.settings.retry_interval,
            });
        }
        if status.loaded.as_ref() == Some(&hold.to) {
            self.ordered = Some(hold.to.clone());
            let endpoint = self.endpoint.clone();
            let pending = self.pending(now, Record::Finished { endpoint, number });
            let append = Action::Append(pending.record.clone());
            self.set_step(Step::Finishing(pending));
            return vec![append];
        }
        self.order(now)
    }

    fn set_step(&mut self, step: Step) -> Vec<Action> {
        if let Stage::Holding(hold) = &mut self.stage {
            hold.step = step;
        }
        Vec::new()
    }

    fn order(&mut self, now: Time) -> Vec<Action> {
        let send_margin = self.settings.send_margin;
        let refuses = self.settings.fencing == EngineFencing::Enforced;
        let Stage::Holding(hold) = &mut self.stage else {
            return Vec::new();
        };
        let send_until = if refuses {
            Time::NEVER
        } else {
            hold.lease_until - send_margin
        };
        if send_until.has_passed(now) {
            hold.step = Step::Waiting;
            return Vec::new();
        }
        hold.step = Step::Ordered;
        self.in_flight = Some(hold.number);
        self.counters.orders += 1;
        vec![Action::SendOrder(Order::new(
            hold.number,
            hold.to.clone(),
            send_until,
        ))]
    }

    fn note_foreign(&mut self, status: &EndpointStatus) {
        let differs = self.ordered.is_some() && status.loaded != self.ordered;
        if differs && !status.changing {
            self.counters.foreign += 1;
            self.ordered = None;
        }
    }
}
