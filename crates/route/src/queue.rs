//! Queue of waiting requests, with fair queuing between organisations.

use lentil_core::{OrganisationId, Priority, Span, Time, TokenCount, Weight};
use lentil_queue::{Queued, RequestCost};

use crate::event::Request;

/// A report this close to its deadline is treated as interactive.
const PROMOTION_WINDOW: Span = Span::from_s(10);

/// Waiting requests by priority, and by organisation within each priority class.
pub type FairQueue = lentil_queue::FairQueue<Request>;

impl Queued for Request {
    type Class = Priority;
    type Owner = OrganisationId;

    fn class(&self) -> Priority {
        self.priority
    }

    fn owner(&self) -> &OrganisationId {
        &self.organisation
    }

    fn weight(&self) -> Weight {
        self.weight
    }

    /// The output is charged when it is known.
    fn cost(&self) -> u64 {
        RequestCost::generation(self.prompt, TokenCount::ZERO).total()
    }
}

/// Moves reports close to their deadline to the interactive class.
pub(crate) fn promote(queue: &mut FairQueue, now: Time) {
    let promoted = queue.remove_from(Priority::Report, |request| {
        request.deadline != Time::NEVER && (request.deadline - PROMOTION_WINDOW).has_passed(now)
    });
    for mut request in promoted {
        request.priority = Priority::Interactive;
        queue.push(request);
    }
}
