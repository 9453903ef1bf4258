//! Waiting requests and their classes.

use lentil_catalog::PriorityLevel;
use lentil_core::{OrganisationId, Span, Time, Weight};

use crate::fair_queue::Queued;
use crate::outcome::Ticket;
use crate::request::QueuedRequest;

/// Extra time that a late request may wait, in percent of the time that it had.
const LATE_WAIT_PERCENT: u64 = 50;
/// Part of its time within which a request may be passed by as much as its own cost, in percent.
/// Without this limit smaller requests take all room that becomes free, and few large ones of
/// those that wait at the same time get theirs in time.
const PASSING_TIME_PERCENT: u64 = 50;

/// Whether a request can still be served in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Tier {
    InTime,
    Late,
}

pub(crate) type Class = (Tier, PriorityLevel);

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) ticket: Ticket,
    pub(crate) tier: Tier,
    pub(crate) queued_at: Time,
    /// When it had to start to be in time, as estimated when it was added.
    pub(crate) start_due: Time,
    /// When it is rejected if it still waits.
    pub(crate) give_up_at: Time,
    /// Cost of the requests that were started before it while it was next.
    pub(crate) passed_cost: u64,
    pub(crate) request: QueuedRequest,
}

impl Entry {
    pub(crate) fn new(now: Time, ticket: Ticket, request: QueuedRequest) -> Self {
        let time_given = request.first_due.since(request.arrived);
        let late_wait = Span::from_us(time_given.as_us() / 100 * LATE_WAIT_PERCENT);
        let give_up_at = request.first_due.max(now) + late_wait;
        Self {
            ticket,
            tier: Tier::InTime,
            queued_at: now,
            start_due: request.first_due,
            give_up_at: give_up_at.min(request.deadline),
            passed_cost: 0,
            request,
        }
    }

    /// Time from its arrival until it is late.
    pub(crate) fn time_given(&self) -> Span {
        self.request.first_due.since(self.request.arrived)
    }

    /// Cost of the requests that may have passed it by now.
    pub(crate) fn passed_cost_max(&self, now: Time) -> u64 {
        let part_us = (self.time_given().as_us() / 100 * PASSING_TIME_PERCENT).max(1);
        let parts = now.since(self.queued_at).as_us() / part_us + 1;
        self.cost().saturating_mul(parts)
    }
}

impl Queued for Entry {
    type Class = Class;
    type Owner = Option<OrganisationId>;

    fn class(&self) -> Class {
        (self.tier, self.request.priority)
    }

    fn owner(&self) -> &Self::Owner {
        &self.request.organisation
    }

    fn weight(&self) -> Weight {
        Weight::new(1)
    }

    fn cost(&self) -> u64 {
        self.request.cost.total()
    }

    fn due(&self) -> Time {
        match self.tier {
            Tier::InTime => self.start_due,
            Tier::Late => self.give_up_at,
        }
    }
}
