//! The agent's side: claims its endpoint and orders it to change.

mod tick;

use lentil_core::{BootId, EndpointId, FenceNumber, Offset, Span, Time};

use crate::Assignment;
use crate::claim_state::{ClaimState, GrantedClaim, OrderStep, PendingAppend};
use crate::claim_table::{ClaimTable, RecordEffect};
use crate::event::{Action, ChangeRequest, ClaimHolderSettings, Counters, Event};
use crate::expiry::ExpiryTracker;
use crate::order::{Answer, EndpointStatus, EngineFencing, Order};
use crate::record::{Claim, Record};

/// The lease divided by this is added to the wait for a previous holder, to allow for
/// clocks that run at different rates.
const CLOCK_DRIFT_DIVISOR: u64 = 100;

/// The state machine by which one boot of an agent obtains and uses the right to
/// order its endpoint.
///
/// A holder counts its lease from before it appended the record. A successor counts
/// the whole lease from the moment that it read its own claim. The lease of the
/// previous holder has therefore ended on every clock before the successor sends
/// an order.
#[derive(Debug)]
pub struct ClaimHolder {
    endpoint: EndpointId,
    boot: BootId,
    settings: ClaimHolderSettings,
    claim_table: ClaimTable,
    sequence: u64,
    state: ClaimState,
    /// Earliest time at which this boot may send an order; set at its first grant.
    orders_allowed_from: Option<Time>,
    /// The order whose outcome the caller has not reported yet.
    in_flight: Option<FenceNumber>,
    /// The last assignment that the endpoint loaded on an order of this holder.
    last_loaded: Option<Assignment>,
    expiry: ExpiryTracker,
    counters: Counters,
}

impl ClaimHolder {
    /// Creates a holder that has not read the order stream yet.
    #[must_use]
    pub fn new(endpoint: EndpointId, boot: BootId, settings: ClaimHolderSettings) -> Self {
        Self {
            endpoint,
            boot,
            settings,
            claim_table: ClaimTable::new(),
            sequence: 0,
            state: ClaimState::Idle,
            orders_allowed_from: None,
            in_flight: None,
            last_loaded: None,
            expiry: ExpiryTracker::default(),
            counters: Counters::default(),
        }
    }

    /// The claim table at the current read position of the order stream.
    #[must_use]
    pub const fn claim_table(&self) -> &ClaimTable {
        &self.claim_table
    }

    /// Event counts since the start.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Whether the holder can accept a change request.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        matches!(self.state, ClaimState::Idle)
    }

    /// Applies an event and returns the actions that the caller must perform.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        if matches!(self.state, ClaimState::Superseded) {
            return Vec::new();
        }
        match event {
            Event::ChangeRequested(change) => self.on_change_requested(now, change),
            Event::RecordRead { offset, record } => self.on_record(now, offset, &record),
            Event::OrderAnswered { number, answer } => self.on_order_answered(now, number, answer),
            Event::NotSent { number } => self.on_not_sent(number),
            Event::AnswerLost { number } => self.on_answer_lost(now, number),
            Event::Status(status) => self.on_status(now, &status),
            Event::Tick => self.tick(now),
        }
    }

    fn on_change_requested(&mut self, now: Time, change: ChangeRequest) -> Vec<Action> {
        if !self.is_idle() {
            return Vec::new();
        }
        self.sequence += 1;
        let record = Record::Claim(Claim {
            endpoint: self.endpoint.clone(),
            boot: self.boot,
            sequence: self.sequence,
            from: change.from,
            to: change.to,
            from_live: change.from_live,
            to_live: change.to_live,
            read_to: self.claim_table.next_offset(),
            bounds: change.bounds,
        });
        self.state = ClaimState::Claiming(self.pending_append(now, record.clone()));
        vec![Action::Append(record)]
    }

    fn pending_append(&self, now: Time, record: Record) -> PendingAppend {
        PendingAppend {
            record,
            first_sent_at: now,
            retry_at: now + self.settings.retry_interval,
        }
    }

    fn on_record(&mut self, now: Time, offset: Offset, record: &Record) -> Vec<Action> {
        let previous_boot = self.claim_table.running_boot(&self.endpoint);
        let effect = self.claim_table.apply(offset, record);
        if *record.endpoint() != self.endpoint {
            self.track_other_claim(now, record, effect);
            return Vec::new();
        }
        match (record, effect) {
            (Record::Claim(claim), RecordEffect::Granted(_)) if claim.boot > self.boot => {
                self.state = ClaimState::Superseded;
                vec![Action::Superseded]
            }
            (Record::Claim(claim), effect) if claim.boot == self.boot => {
                self.on_own_claim(now, claim, effect, previous_boot)
            }
            (Record::Renewed { number, .. }, RecordEffect::Applied) => {
                self.on_renewed(*number, record)
            }
            (Record::Finished { number, .. }, RecordEffect::Applied) => self.on_finished(*number),
            (Record::Dropped { number, .. }, RecordEffect::Applied) => self.on_dropped(*number),
            _ => Vec::new(),
        }
    }

    fn on_own_claim(
        &mut self,
        now: Time,
        claim: &Claim,
        effect: RecordEffect,
        previous_boot: Option<BootId>,
    ) -> Vec<Action> {
        let ClaimState::Claiming(pending) = &self.state else {
            return Vec::new();
        };
        if claim.sequence != self.sequence {
            return Vec::new();
        }
        match effect {
            RecordEffect::Granted(number) => {
                let lease_until = pending.first_sent_at + self.settings.lease;
                self.counters.granted += 1;
                self.state = ClaimState::Granted(Box::new(GrantedClaim::new(
                    number,
                    claim.to.clone(),
                    lease_until,
                )));
                let earliest = self.earliest_order(now, previous_boot);
                self.orders_allowed_from.get_or_insert(earliest);
                self.tick(now)
            }
            RecordEffect::Refused(refusal) => {
                self.counters.refused += 1;
                self.state = ClaimState::Idle;
                vec![Action::ClaimRefused(refusal)]
            }
            RecordEffect::Applied | RecordEffect::NoEffect => Vec::new(),
        }
    }

    /// The time at which the lease of an earlier boot has ended on every clock.
    fn earliest_order(&self, now: Time, previous_boot: Option<BootId>) -> Time {
        let has_predecessor = previous_boot.is_some_and(|boot| boot != self.boot);
        if !has_predecessor || self.settings.fencing == EngineFencing::Enforced {
            return now;
        }
        let lease = self.settings.lease;
        let clock_drift_us = lease.as_us() / CLOCK_DRIFT_DIVISOR;
        now + lease + Span::from_us(clock_drift_us) + self.settings.send_margin
    }

    /// Extends the lease. Only the renewal that was sent last counts, because a
    /// delayed duplicate of an older one does not show that the claim is current.
    fn on_renewed(&mut self, number: FenceNumber, record: &Record) -> Vec<Action> {
        let lease = self.settings.lease;
        if let Some(granted) = self.granted_claim(number)
            && let Some(renewed) = granted.renewal.take_if(|pending| pending.record == *record)
        {
            granted.lease_until = granted.lease_until.max(renewed.first_sent_at + lease);
        }
        Vec::new()
    }

    fn on_finished(&mut self, number: FenceNumber) -> Vec<Action> {
        let Some(granted) = self.granted_claim(number) else {
            return Vec::new();
        };
        let loaded = granted.to.clone();
        self.state = ClaimState::Idle;
        vec![Action::Loaded(loaded)]
    }

    fn on_dropped(&mut self, number: FenceNumber) -> Vec<Action> {
        if self.granted_claim(number).is_some() {
            self.state = ClaimState::Idle;
        }
        Vec::new()
    }

    fn granted_claim(&mut self, number: FenceNumber) -> Option<&mut GrantedClaim> {
        match &mut self.state {
            ClaimState::Granted(granted) if granted.number == number => Some(granted),
            _ => None,
        }
    }

    fn on_order_answered(&mut self, now: Time, number: FenceNumber, answer: Answer) -> Vec<Action> {
        self.in_flight.take_if(|sent| *sent == number);
        let retry_at = now + self.settings.retry_interval;
        let pending = self.pending_append(now, self.dropped_record(number));
        let Some(granted) = self.granted_claim(number) else {
            return Vec::new();
        };
        if !matches!(granted.order_step, OrderStep::AwaitingAnswer) {
            return Vec::new();
        }
        match answer {
            Answer::Started => granted.order_step = OrderStep::Loading { query_at: retry_at },
            Answer::Busy => granted.order_step = OrderStep::Querying { retry_at },
            Answer::OldNumber | Answer::Failed => {
                let record = pending.record.clone();
                granted.order_step = OrderStep::Finishing(pending);
                return vec![Action::Append(record)];
            }
        }
        Vec::new()
    }

    fn dropped_record(&self, number: FenceNumber) -> Record {
        let endpoint = self.endpoint.clone();
        Record::Dropped { endpoint, number }
    }

    fn on_not_sent(&mut self, number: FenceNumber) -> Vec<Action> {
        self.counters.lapsed += 1;
        self.in_flight.take_if(|sent| *sent == number);
        if let Some(granted) = self.granted_claim(number) {
            granted.order_step = OrderStep::Waiting;
        }
        Vec::new()
    }

    /// Queries the endpoint again after `send_margin`, because the order may still
    /// arrive within it.
    fn on_answer_lost(&mut self, now: Time, number: FenceNumber) -> Vec<Action> {
        let retry_at = now + self.settings.send_margin;
        self.counters.answers_lost += 1;
        self.in_flight.take_if(|sent| *sent == number);
        self.orders_allowed_from = self.orders_allowed_from.max(Some(retry_at));
        if let Some(granted) = self.granted_claim(number) {
            granted.order_step = OrderStep::Querying { retry_at };
        }
        Vec::new()
    }

    fn on_status(&mut self, now: Time, status: &EndpointStatus) -> Vec<Action> {
        if self.is_idle() {
            self.detect_foreign_change(status);
            return Vec::new();
        }
        let ClaimState::Granted(granted) = &self.state else {
            return Vec::new();
        };
        if !matches!(
            granted.order_step,
            OrderStep::Querying { .. } | OrderStep::Loading { .. }
        ) {
            return Vec::new();
        }
        let number = granted.number;
        if status.changing {
            return self.set_order_step(OrderStep::Loading {
                query_at: now + self.settings.retry_interval,
            });
        }
        if status.loaded.as_ref() == Some(&granted.to) {
            self.last_loaded = Some(granted.to.clone());
            let endpoint = self.endpoint.clone();
            let pending = self.pending_append(now, Record::Finished { endpoint, number });
            let append = Action::Append(pending.record.clone());
            self.set_order_step(OrderStep::Finishing(pending));
            return vec![append];
        }
        self.issue_order(now)
    }

    fn set_order_step(&mut self, step: OrderStep) -> Vec<Action> {
        if let ClaimState::Granted(granted) = &mut self.state {
            granted.order_step = step;
        }
        Vec::new()
    }

    fn issue_order(&mut self, now: Time) -> Vec<Action> {
        let send_margin = self.settings.send_margin;
        let is_enforced = self.settings.fencing == EngineFencing::Enforced;
        let ClaimState::Granted(granted) = &mut self.state else {
            return Vec::new();
        };
        let send_until = if is_enforced {
            Time::NEVER
        } else {
            granted.lease_until - send_margin
        };
        if send_until.has_passed(now) {
            granted.order_step = OrderStep::Waiting;
            return Vec::new();
        }
        granted.order_step = OrderStep::AwaitingAnswer;
        self.in_flight = Some(granted.number);
        self.counters.orders += 1;
        vec![Action::SendOrder(Order::new(
            granted.number,
            granted.to.clone(),
            send_until,
        ))]
    }

    fn detect_foreign_change(&mut self, status: &EndpointStatus) {
        let differs = self.last_loaded.is_some() && status.loaded != self.last_loaded;
        if differs && !status.changing {
            self.counters.foreign += 1;
            self.last_loaded = None;
        }
    }
}
