//! A request's way through the routing thread.

use lentil_core::{
    EndpointId, NotRunProof, Outcome, Priority, Refusal, RefusalReason, Time, TokenCount, Weight,
};
use lentil_core::{OrganisationId, Span};
use lentil_route::{PrefixHash, Request, RequestId};
use lentil_shell::{BoundedReceiver, BoundedSender, bounded_channel};
use lentil_wire::v1::LoadReport;

use crate::callers::Context;
use crate::member::Target;
use crate::pool::{News, Place};
use crate::routing::{Command, Picked};

/// Places that one request is offered before it answers for them.
const PLACES: usize = 8;
/// Bytes of a prompt that make a token.
const TOKEN_BYTES: usize = 4;
/// Bytes of a prompt that its prefix is told by.
const PREFIX_BYTES: usize = 256;

/// What routing has to know of a request.
#[derive(Debug)]
pub(crate) struct Ask<'a> {
    pub(crate) target: Target,
    pub(crate) organisation: OrganisationId,
    pub(crate) priority: Priority,
    pub(crate) prompt: &'a [u8],
    pub(crate) remaining: Span,
    pub(crate) hedgeable: bool,
}

/// A request between its arrival and its end; dropped early, it is cancelled.
#[derive(Debug)]
pub(crate) struct Route {
    target: Target,
    id: RequestId,
    deadline_us: Time,
    places: BoundedReceiver<Place>,
    routing: BoundedSender<Command>,
    ended: bool,
}

fn lost() -> Refusal {
    Refusal::not_run(NotRunProof::NeverSent, RefusalReason::Stopping)
}

impl Route {
    /// Hands a request to the routing thread.
    pub(crate) async fn begin(context: &Context, ask: Ask<'_>) -> Result<Self, Refusal> {
        let (outbox, places) = bounded_channel(PLACES);
        let id = RequestId::new(rand::random());
        let deadline_us = context.clock.now() + ask.remaining;
        let prompt = u32::try_from(ask.prompt.len().div_ceil(TOKEN_BYTES)).unwrap_or(u32::MAX);
        let head = ask.prompt.get(..PREFIX_BYTES);
        let request = Request {
            id,
            organisation: ask.organisation,
            weight: Weight::new(1),
            priority: ask.priority,
            prompt: TokenCount::new(prompt),
            deadline: deadline_us,
            prefix: head.map(PrefixHash::of),
            hedgeable: ask.hedgeable,
        };
        let command = Command::Ask {
            target: ask.target.clone(),
            request,
            places: outbox,
        };
        context.routing.send(command).await.map_err(|_| lost())?;
        Ok(Self {
            target: ask.target,
            id,
            deadline_us,
            places,
            routing: context.routing.clone(),
            ended: false,
        })
    }

    /// What is left of the caller's time, at least a millisecond.
    pub(crate) fn remaining(&self, context: &Context) -> Span {
        let left = self.deadline_us.since(context.clock.now());
        left.max(Span::from_ms(1))
    }

    /// The next place to go to.
    pub(crate) async fn place(&mut self) -> Result<EndpointId, Refusal> {
        match self.places.recv().await {
            Some(Place::At(endpoint)) => Ok(endpoint),
            Some(Place::Nowhere(refusal)) => {
                self.ended = true;
                Err(refusal)
            }
            None => Err(lost()),
        }
    }

    /// The link to a place; without one the attempt is over.
    pub(crate) async fn link(&self, context: &Context, endpoint: &EndpointId) -> Option<Picked> {
        let picked = context.find(endpoint.clone()).await;
        if picked.is_none() {
            self.failed(endpoint, Outcome::NotRun, true).await;
        }
        picked
    }

    /// The agent took the request on; its reply carried this load.
    pub(crate) async fn accepted(&self, endpoint: &EndpointId, load: Option<LoadReport>) {
        self.load(load).await;
        self.tell(endpoint, News::Accepted).await;
    }

    /// The agent refused, and the request did not run there.
    pub(crate) async fn refused(&self, endpoint: &EndpointId, load: Option<LoadReport>) {
        self.load(load).await;
        self.tell(endpoint, News::Refused).await;
    }

    /// The attempt failed.
    pub(crate) async fn failed(&self, endpoint: &EndpointId, outcome: Outcome, repeatable: bool) {
        let news = News::Failed {
            outcome,
            repeatable,
        };
        self.tell(endpoint, news).await;
    }

    /// The first part of the answer came.
    pub(crate) fn answering(&self, endpoint: &EndpointId) {
        let _ = self
            .routing
            .try_send(self.command(endpoint, News::Answering));
    }

    /// The request ended well; other attempts are not needed any more.
    pub(crate) fn finished(&mut self, endpoint: &EndpointId, tokens: TokenCount) {
        let news = self.command(endpoint, News::Finished(tokens));
        self.ended = self.routing.try_send(news).is_ok();
    }

    /// Passes on the load that a reply carried.
    pub(crate) async fn load(&self, load: Option<LoadReport>) {
        if let Some(report) = load {
            let _ = self.routing.send(Command::Load(report)).await;
        }
    }

    async fn tell(&self, endpoint: &EndpointId, news: News) {
        let _ = self.routing.send(self.command(endpoint, news)).await;
    }

    fn command(&self, endpoint: &EndpointId, news: News) -> Command {
        Command::News {
            target: self.target.clone(),
            request: self.id,
            endpoint: endpoint.clone(),
            news,
        }
    }
}

impl Drop for Route {
    fn drop(&mut self) {
        if !self.ended {
            let _ = self.routing.try_send(Command::Cancel {
                target: self.target.clone(),
                request: self.id,
            });
        }
    }
}

/// Whether another endpoint may take what an agent refused for this reason.
pub(crate) fn goes_elsewhere(refusal: &Refusal) -> bool {
    refusal.outcome() == Outcome::NotRun
        && matches!(
            refusal.reason,
            RefusalReason::Overloaded | RefusalReason::Stopping | RefusalReason::EndpointFailed
        )
}
