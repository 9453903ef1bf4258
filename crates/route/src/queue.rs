//! Queue of waiting requests, with fair queuing between organisations.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use lentil_core::{OrganisationId, Priority, Span, Time, TokenCount};

use crate::event::Request;

/// A report this close to its deadline is treated as interactive.
const PROMOTION_WINDOW: Span = Span::from_s(10);
/// Fixed cost of a request, in output tokens, on top of the cost of its tokens.
const REQUEST_COST: u64 = 64;
/// Number of prompt tokens that cost as much as one output token.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 8;
/// Scale of the costs, which keeps precision when they are divided by weights.
const COST_SCALE: u64 = 1_024;

/// The waiting requests of one organisation.
#[derive(Debug, Default)]
struct Flow {
    waiting: VecDeque<Request>,
    /// Virtual start time of the organisation's next request.
    start_tag: u64,
}

/// The flows of one priority class.
#[derive(Debug, Default)]
struct PriorityClass {
    flows: BTreeMap<OrganisationId, Flow>,
    /// Organisations with waiting requests, ordered by start tag.
    start_order: BTreeSet<(u64, OrganisationId)>,
    virtual_time: u64,
    len: usize,
}

impl PriorityClass {
    fn push(&mut self, request: Request, front: bool) {
        let organisation = request.organisation.clone();
        let flow = self.flows.entry(organisation.clone()).or_default();
        if flow.waiting.is_empty() {
            flow.start_tag = flow.start_tag.max(self.virtual_time);
            self.start_order.insert((flow.start_tag, organisation));
        }
        match front {
            true => flow.waiting.push_front(request),
            false => flow.waiting.push_back(request),
        }
        self.len += 1;
    }

    fn peek(&self) -> Option<&Request> {
        let (_, organisation) = self.start_order.first()?;
        self.flows.get(organisation)?.waiting.front()
    }

    fn pop(&mut self) -> Option<Request> {
        let (start_tag, organisation) = self.start_order.pop_first()?;
        let flow = self.flows.get_mut(&organisation)?;
        let request = flow.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(start_tag);
        flow.start_tag = start_tag + cost(&request);
        self.len -= 1;
        if !flow.waiting.is_empty() {
            self.start_order.insert((flow.start_tag, organisation));
        }
        self.remove_idle_flows();
        Some(request)
    }

    /// Charges an organisation for the output of a request after it was dequeued.
    fn charge(&mut self, organisation: &OrganisationId, charge: u64) {
        let Some(flow) = self.flows.get_mut(organisation) else {
            return;
        };
        let is_waiting = self
            .start_order
            .remove(&(flow.start_tag, organisation.clone()));
        flow.start_tag = flow.start_tag.max(self.virtual_time) + charge;
        if is_waiting {
            self.start_order
                .insert((flow.start_tag, organisation.clone()));
        }
    }

    /// Removes the flows without waiting requests and outstanding charges, once many flows have
    /// nothing waiting.
    fn remove_idle_flows(&mut self) {
        if self.flows.len() <= 2 * (self.start_order.len() + 64) {
            return;
        }
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|_, flow| !flow.waiting.is_empty() || flow.start_tag > virtual_time);
    }

    fn remove_matching(&mut self, predicate: &impl Fn(&Request) -> bool) -> Vec<Request> {
        let mut removed = Vec::new();
        for (organisation, flow) in &mut self.flows {
            if !flow.waiting.iter().any(predicate) {
                continue;
            }
            let (matching, kept): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut flow.waiting)
                .into_iter()
                .partition(predicate);
            flow.waiting = kept;
            self.len -= matching.len();
            removed.extend(matching);
            if flow.waiting.is_empty() {
                self.start_order
                    .remove(&(flow.start_tag, organisation.clone()));
            }
        }
        removed
    }

    fn longest_flow(&self) -> Option<OrganisationId> {
        self.flows
            .iter()
            .max_by_key(|(organisation, flow)| (flow.waiting.len(), (*organisation).clone()))
            .map(|(organisation, _)| organisation.clone())
    }

    fn drop_last(&mut self) -> Option<Request> {
        let organisation = self.longest_flow()?;
        let flow = self.flows.get_mut(&organisation)?;
        let request = flow.waiting.pop_back()?;
        self.len -= 1;
        if flow.waiting.is_empty() {
            self.start_order.remove(&(flow.start_tag, organisation));
        }
        Some(request)
    }
}

fn cost(request: &Request) -> u64 {
    let tokens = REQUEST_COST + u64::from(request.prompt.get()) / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
    tokens * COST_SCALE / u64::from(request.weight.get().max(1))
}

/// Waiting requests by priority, and by organisation within each priority class.
///
/// Organisations share each class by start-time fair queuing: each is charged the cost of its
/// requests divided by its weight, and the one with the lowest virtual start time goes next.
#[derive(Debug, Default)]
pub struct FairQueue {
    classes: [PriorityClass; Priority::ALL.len()],
}

const fn class_index(priority: Priority) -> usize {
    match priority {
        Priority::Verdict => 0,
        Priority::Interactive => 1,
        Priority::Report => 2,
    }
}

impl FairQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.iter().map(|class| class.len).sum()
    }

    /// Whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a request behind the others of its organisation.
    pub fn push(&mut self, request: Request) {
        self.insert(request, false);
    }

    /// Puts a request back ahead of the others of its organisation.
    pub fn push_front(&mut self, request: Request) {
        self.insert(request, true);
    }

    fn insert(&mut self, request: Request, front: bool) {
        if let Some(class) = self.classes.get_mut(class_index(request.priority)) {
            class.push(request, front);
        }
    }

    /// The next request of a priority class.
    #[must_use]
    pub fn peek(&self, priority: Priority) -> Option<&Request> {
        self.classes.get(class_index(priority))?.peek()
    }

    /// Removes and returns the next request of a priority class.
    pub fn pop(&mut self, priority: Priority) -> Option<Request> {
        self.classes.get_mut(class_index(priority))?.pop()
    }

    /// Charges an organisation for the output of a completed request.
    pub fn charge(&mut self, request: &Request, tokens: TokenCount) {
        let charge = u64::from(tokens.get()) * COST_SCALE / u64::from(request.weight.get().max(1));
        if let Some(class) = self.classes.get_mut(class_index(request.priority)) {
            class.charge(&request.organisation, charge);
        }
    }

    /// Estimated number of requests served ahead of one that arrives now.
    #[must_use]
    pub fn ahead_of(&self, request: &Request) -> usize {
        let own_class = class_index(request.priority);
        let more_urgent: usize = self.classes.iter().take(own_class).map(|c| c.len).sum();
        let Some(class) = self.classes.get(own_class) else {
            return more_urgent;
        };
        let own = class
            .flows
            .get(&request.organisation)
            .map_or(0, |flow| flow.waiting.len());
        let fair_share_ahead = (own + 1).saturating_mul(class.start_order.len().max(1));
        more_urgent + class.len.min(fair_share_ahead)
    }

    /// Removes all requests that match `predicate`.
    pub fn remove_matching(&mut self, predicate: impl Fn(&Request) -> bool) -> Vec<Request> {
        self.classes
            .iter_mut()
            .flat_map(|class| class.remove_matching(&predicate))
            .collect()
    }

    /// Removes the last request of the longest flow in the least urgent class with requests.
    pub fn drop_last(&mut self) -> Option<Request> {
        self.classes
            .iter_mut()
            .rev()
            .find(|class| class.len > 0)
            .and_then(PriorityClass::drop_last)
    }

    /// Moves reports close to their deadline to the interactive class.
    pub fn promote(&mut self, now: Time) {
        let near_deadline = |request: &Request| {
            request.deadline != Time::NEVER && (request.deadline - PROMOTION_WINDOW).has_passed(now)
        };
        let promoted = self
            .classes
            .get_mut(class_index(Priority::Report))
            .map(|class| class.remove_matching(&near_deadline))
            .unwrap_or_default();
        let interactive = class_index(Priority::Interactive);
        for mut request in promoted {
            request.priority = Priority::Interactive;
            if let Some(class) = self.classes.get_mut(interactive) {
                class.push(request, false);
            }
        }
    }
}
