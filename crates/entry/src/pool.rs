//! One pool of endpoints: its router and the requests that wait for a place.

use std::collections::HashMap;

use lentil_core::{
    EndpointId, EndpointLoad, NotRunProof, Outcome, Refusal, RefusalReason, Time, TokenCount,
};
use lentil_route::{Action, Event, Request, RequestId, Router, RouterConfig};
use lentil_shell::BoundedSender;

use crate::member::Member;

/// Where a request may go, or why it goes nowhere.
#[derive(Debug, Clone)]
pub(crate) enum Place {
    /// To this endpoint.
    At(EndpointId),
    /// Nowhere; the request has ended.
    Nowhere(Refusal),
}

/// What an attempt came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum News {
    /// The agent took it on.
    Accepted,
    /// The first part of the answer came.
    Answering,
    /// It ended well, with this many tokens.
    Finished(TokenCount),
    /// The agent refused, and it did not run.
    Refused,
    /// It failed.
    Failed {
        /// What is known of it.
        outcome: Outcome,
        /// It may run again even if it ran.
        repeatable: bool,
    },
}

/// A router with its waiting requests.
pub(crate) struct Pool {
    router: Router,
    places: HashMap<RequestId, BoundedSender<Place>>,
    members: Vec<Member>,
}

impl Pool {
    pub(crate) fn new(shape: RouterConfig) -> Self {
        Self {
            router: Router::new(shape),
            places: HashMap::new(),
            members: Vec::new(),
        }
    }

    /// Takes the endpoints of this pool that the entry keeps links to.
    pub(crate) fn members(&mut self, now: Time, members: Vec<Member>) {
        let gone: Vec<EndpointId> = self
            .members
            .iter()
            .filter(|old| !members.iter().any(|new| new.endpoint == old.endpoint))
            .map(|old| old.endpoint.clone())
            .collect();
        for endpoint in gone {
            self.on(now, Event::EndpointRemoved { endpoint });
        }
        for member in &members {
            let seen = Event::EndpointAdded {
                endpoint: member.endpoint.clone(),
                zone: member.zone.clone(),
            };
            self.on(now, seen);
            let withdrawn = Event::Withdrawn {
                endpoint: member.endpoint.clone(),
                withdrawn: member.leaving,
            };
            self.on(now, withdrawn);
        }
        self.members = members;
    }

    /// The endpoints that the entry keeps links to for this pool.
    pub(crate) fn endpoints(&self) -> &[Member] {
        &self.members
    }

    pub(crate) fn load(&mut self, now: Time, endpoint: &EndpointId, load: EndpointLoad) {
        if self.members.iter().any(|m| m.endpoint == *endpoint) {
            let endpoint = endpoint.clone();
            self.on(now, Event::Load { endpoint, load });
        }
    }

    pub(crate) fn ask(&mut self, now: Time, request: Request, places: BoundedSender<Place>) {
        self.places.insert(request.id, places);
        self.on(now, Event::Arrived(request));
    }

    pub(crate) fn news(&mut self, now: Time, request: RequestId, endpoint: EndpointId, news: News) {
        let event = match news {
            News::Accepted => Event::Accepted { request, endpoint },
            News::Answering => Event::ResponseStarted { request, endpoint },
            News::Finished(tokens) => Event::Finished {
                request,
                endpoint,
                tokens,
            },
            News::Refused => Event::Refused { request, endpoint },
            News::Failed {
                outcome,
                repeatable,
            } => Event::Failed {
                request,
                endpoint,
                outcome,
                repeatable,
            },
        };
        self.on(now, event);
        if matches!(news, News::Finished(_)) {
            self.places.remove(&request);
        }
    }

    pub(crate) fn cancel(&mut self, now: Time, request: RequestId) {
        if self.places.remove(&request).is_some() {
            self.on(now, Event::Cancelled { request });
        }
    }

    pub(crate) fn tick(&mut self, now: Time) {
        self.on(now, Event::Tick);
    }

    fn on(&mut self, now: Time, event: Event) {
        for action in self.router.on(now, event) {
            match action {
                Action::Send { request, endpoint } => self.tell(request, Place::At(endpoint)),
                // The request has its answer, and drops its other attempts itself.
                Action::CancelAttempt { .. } => {}
                Action::Refuse {
                    request,
                    reason,
                    retry_at,
                } => {
                    let refusal = Refusal::not_run(NotRunProof::NeverSent, reason)
                        .retry_after(retry_at.since(now));
                    self.end(request, refusal);
                }
                Action::Fail { request } => {
                    let reason = RefusalReason::EndpointFailed;
                    self.end(request, Refusal::unknown(reason));
                }
            }
        }
    }

    fn tell(&self, request: RequestId, place: Place) {
        if let Some(places) = self.places.get(&request) {
            let _ = places.try_send(place);
        }
    }

    fn end(&mut self, request: RequestId, refusal: Refusal) {
        self.tell(request, Place::Nowhere(refusal));
        self.places.remove(&request);
    }
}
