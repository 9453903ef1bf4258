//! A pool of endpoints that serve one target: the router and its pending requests.

use std::collections::HashMap;

use lentil_core::{
    EndpointId, EndpointLoad, NotRunProof, Outcome, Refusal, RefusalReason, Time, TokenCount,
};
use lentil_route::{Action, Event, Request, RequestId, Router, RouterConfig};
use lentil_shell::BoundedSender;

use crate::member::Member;

/// A routing decision for a request.
#[derive(Debug, Clone)]
pub(crate) enum Placement {
    /// Send an attempt to this endpoint.
    At(EndpointId),
    /// The request is refused and has ended.
    Rejected(Refusal),
}

/// Progress of an attempt, as reported to the router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptEvent {
    /// The agent accepted the request.
    Accepted,
    /// The first part of the response arrived.
    ResponseStarted,
    /// The attempt completed, with this many output tokens.
    Finished(TokenCount),
    /// The agent refused the request without running it.
    Refused,
    /// The attempt failed.
    Failed {
        /// Whether the request ran, as far as is known.
        outcome: Outcome,
        /// Whether the request may be retried even if it already ran.
        repeatable: bool,
    },
}

/// A router and the response channels of its pending requests.
pub(crate) struct Pool {
    router: Router,
    placements: HashMap<RequestId, BoundedSender<Placement>>,
    members: Vec<Member>,
}

impl Pool {
    pub(crate) fn new(config: RouterConfig) -> Self {
        Self {
            router: Router::new(config),
            placements: HashMap::new(),
            members: Vec::new(),
        }
    }

    /// Replaces the members and tells the router about added, removed and withdrawn ones.
    pub(crate) fn set_members(&mut self, now: Time, members: Vec<Member>) {
        let removed: Vec<EndpointId> = self
            .members
            .iter()
            .filter(|old| !members.iter().any(|new| new.endpoint == old.endpoint))
            .map(|old| old.endpoint.clone())
            .collect();
        for endpoint in removed {
            self.handle(now, Event::EndpointRemoved { endpoint });
        }
        for member in &members {
            let added = Event::EndpointAdded {
                endpoint: member.endpoint.clone(),
                zone: member.zone.clone(),
            };
            self.handle(now, added);
            let withdrawn = Event::Withdrawn {
                endpoint: member.endpoint.clone(),
                withdrawn: member.leaving,
            };
            self.handle(now, withdrawn);
        }
        self.members = members;
    }

    /// The members, each of which the entry keeps a connection to.
    pub(crate) fn members(&self) -> &[Member] {
        &self.members
    }

    pub(crate) fn load(&mut self, now: Time, endpoint: &EndpointId, load: EndpointLoad) {
        if self.members.iter().any(|m| m.endpoint == *endpoint) {
            let endpoint = endpoint.clone();
            self.handle(now, Event::Load { endpoint, load });
        }
    }

    pub(crate) fn submit(
        &mut self,
        now: Time,
        request: Request,
        placements: BoundedSender<Placement>,
    ) {
        self.placements.insert(request.id, placements);
        self.handle(now, Event::Arrived(request));
    }

    pub(crate) fn on_attempt_event(
        &mut self,
        now: Time,
        request: RequestId,
        endpoint: EndpointId,
        attempt_event: AttemptEvent,
    ) {
        let event = match attempt_event {
            AttemptEvent::Accepted => Event::Accepted { request, endpoint },
            AttemptEvent::ResponseStarted => Event::ResponseStarted { request, endpoint },
            AttemptEvent::Finished(tokens) => Event::Finished {
                request,
                endpoint,
                tokens,
            },
            AttemptEvent::Refused => Event::Refused { request, endpoint },
            AttemptEvent::Failed {
                outcome,
                repeatable,
            } => Event::Failed {
                request,
                endpoint,
                outcome,
                repeatable,
            },
        };
        self.handle(now, event);
        if matches!(attempt_event, AttemptEvent::Finished(_)) {
            self.placements.remove(&request);
        }
    }

    pub(crate) fn cancel(&mut self, now: Time, request: RequestId) {
        if self.placements.remove(&request).is_some() {
            self.handle(now, Event::Cancelled { request });
        }
    }

    pub(crate) fn tick(&mut self, now: Time) {
        self.handle(now, Event::Tick);
    }

    fn handle(&mut self, now: Time, event: Event) {
        for action in self.router.on(now, event) {
            match action {
                Action::Send { request, endpoint } => self.notify(request, Placement::At(endpoint)),
                // The request task has its response and drops its other attempts itself.
                Action::CancelAttempt { .. } => {}
                Action::Refuse {
                    request,
                    reason,
                    retry_at,
                } => {
                    let refusal = Refusal::not_run(NotRunProof::NeverSent, reason)
                        .retry_after(retry_at.since(now));
                    self.reject(request, refusal);
                }
                Action::Fail { request } => {
                    let reason = RefusalReason::EndpointFailed;
                    self.reject(request, Refusal::unknown(reason));
                }
            }
        }
    }

    fn notify(&self, request: RequestId, placement: Placement) {
        if let Some(placements) = self.placements.get(&request) {
            let _ = placements.try_send(placement);
        }
    }

    fn reject(&mut self, request: RequestId, refusal: Refusal) {
        self.notify(request, Placement::Rejected(refusal));
        self.placements.remove(&request);
    }
}
