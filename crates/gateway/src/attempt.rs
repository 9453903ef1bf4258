//! Sending a request until an endpoint answers for it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use lentil_catalog::{Rank, Route};
use lentil_core::{
    ConfigVersion, EndpointId, Fingerprint, NotRunProof, OrganisationId, Refusal, RefusalReason,
    ServiceName, Span, Time, TokenCount,
};
use lentil_fleet::Ending;

use crate::body::{AnswerBody, Broken};
use crate::endpoints::{Attestation, Call, Reply, Resume, SendError};
use crate::gateway::{Gateway, Permit, RETRY_SOON, is_stream};
use crate::poison;
use crate::request::{Answer, Inbound};

/// Endpoints that are tried in vain, with nothing sent, before giving up.
const UNREACHED_MAX: u32 = 4;
/// Largest answer that is held whole, in bytes.
const WHOLE_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Part of the target latency that a generation may wait for a place, in
/// percent; beyond it the first event would come late.
const WAIT_PERCENT: u64 = 100;
/// Part of the target latency after which a request that may run twice is sent
/// to a second endpoint, in percent: late enough that few are, early enough
/// that the second answer can be on time.
const HEDGE_PERCENT: u64 = 60;
/// Output expected of a generation whose caller gives no estimate, in percent
/// of its longest.
const OUTPUT_PERCENT: u32 = 50;

/// One request on its way.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request: Rc<Inbound>,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    pub(crate) organisation: Option<OrganisationId>,
    pub(crate) rank: Rank,
    pub(crate) version: ConfigVersion,
    /// Tells this request from others, also when it comes again.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) arrived: Time,
    /// When the caller gets its final answer at the latest.
    pub(crate) until: Time,
    /// Endpoints that it was sent to.
    sent: Cell<u32>,
    /// Whether any of them may have run it.
    may_have_run: Cell<bool>,
    /// Endpoints that get no further try.
    tried: RefCell<Vec<EndpointId>>,
    /// What became of each sending, for the log.
    trail: RefCell<Vec<String>>,
}

/// An answer that an endpoint begins to give.
#[derive(Debug)]
pub(crate) struct Opened {
    pub(crate) reply: Reply,
    pub(crate) permit: Permit,
}

impl Job {
    pub(crate) fn new(
        route: Route,
        service: ServiceName,
        organisation: Option<(OrganisationId, Option<Rank>)>,
        version: ConfigVersion,
        (arrived, until): (Time, Time),
        request: Inbound,
    ) -> Self {
        let rank = organisation
            .as_ref()
            .and_then(|(_, rank)| *rank)
            .unwrap_or(route.rank);
        let caller = organisation.as_ref().map_or("", |(id, _)| id.as_str());
        let subject = format!("{caller} {}", request.target);
        let fingerprint = Fingerprint::of(request.method.as_str(), &subject, &request.body);
        Self {
            fingerprint,
            request: Rc::new(request),
            service,
            organisation: organisation.map(|(id, _)| id),
            rank,
            version,
            arrived,
            until,
            sent: Cell::new(0),
            may_have_run: Cell::new(false),
            tried: RefCell::default(),
            trail: RefCell::default(),
            route,
        }
    }

    /// Tokens of prompt and expected output, for generations.
    pub(crate) fn generation(&self) -> Option<(TokenCount, TokenCount)> {
        if !is_stream(&self.route) {
            return None;
        }
        let generation = self.request.generation.as_ref()?;
        let most = generation.output_max;
        let expected = generation.output_hint.map_or_else(
            || TokenCount::new(most.get() / 100 * OUTPUT_PERCENT),
            |hint| hint.min(most),
        );
        Some((generation.prompt, expected))
    }

    /// A refusal that tells what is known of the request.
    pub(crate) fn refuse(&self, reason: RefusalReason, proof: Option<NotRunProof>) -> Refusal {
        if self.may_have_run.get() {
            return Refusal::unknown(reason);
        }
        let proof = proof.unwrap_or(NotRunProof::NeverSent);
        Refusal::not_run(proof, reason).retry_after(RETRY_SOON)
    }

    /// Whether it may be sent to one more endpoint.
    pub(crate) fn may_repeat(&self, gateway: &Gateway) -> bool {
        self.sent.get() < self.route.endpoints_max.max(1) && gateway.spend_repeat(&self.service)
    }

    /// Keeps an endpoint from getting a further try.
    pub(crate) fn excludes(&self, endpoint: EndpointId) {
        self.tried.borrow_mut().push(endpoint);
    }

    pub(crate) fn note(&self, text: String) {
        self.trail.borrow_mut().push(text);
    }

    /// Writes the line that ends a request.
    pub(crate) fn log_end(&self, gateway: &Gateway, outcome: &str) {
        log::info!(
            request:% = self.request.id,
            route = self.route.name.as_str(),
            service:% = self.service,
            version:% = self.version,
            took_ms = gateway.now().since(self.arrived).as_ms(),
            trail = self.trail.borrow().join("; ").as_str(),
            outcome = outcome;
            "request ended"
        );
    }
}

impl Gateway {
    /// Sends a request, and elsewhere as far as that is allowed, until an
    /// endpoint begins an answer for it.
    pub(crate) async fn open(
        self: &Rc<Self>,
        job: &Job,
        resume: Option<Resume>,
        made: TokenCount,
    ) -> Result<Opened, Refusal> {
        let mut unreached = 0;
        let wait = Span::from_us(job.route.target_latency.as_us() / 100 * WAIT_PERCENT);
        loop {
            let wait_until = job.until.min(self.now() + wait);
            let need = Self::need(job, made);
            let tried = job.tried.borrow().clone();
            let permit = match self.find_place(job, need, &tried, wait_until).await {
                Ok(permit) => permit,
                Err(refusal) => {
                    job.note(format!("no place: {}", refusal.reason));
                    return Err(job.refuse(refusal.reason, None));
                }
            };
            self.may_rely(job.organisation.as_ref())?;
            let endpoint = permit.place.endpoint.clone();
            job.excludes(endpoint.clone());
            job.sent.set(job.sent.get() + 1);
            let sent_before = job.may_have_run.replace(true);
            let sent_at = self.now();
            let reply = self
                .endpoints
                .send(self.call(job, &permit, resume.clone()))
                .await;
            let took_ms = self.now().since(sent_at).as_ms();
            let never_arrived = |why: String| {
                job.may_have_run.set(sent_before);
                job.sent.set(job.sent.get() - 1);
                job.note(format!("{endpoint} not reached in {took_ms} ms: {why}"));
            };
            let reply = match reply {
                Ok(reply) => reply,
                Err(SendError::NotSent(why)) => {
                    permit.ending(Ending::Unreached);
                    never_arrived(why);
                    unreached += 1;
                    if unreached >= UNREACHED_MAX {
                        return Err(job.refuse(RefusalReason::EndpointFailed, None));
                    }
                    continue;
                }
                Err(error @ (SendError::Unknown(_) | SendError::Crossed(_))) => {
                    permit.ending(match error {
                        SendError::Crossed(_) => Ending::Failed,
                        SendError::Unknown(_) | SendError::NotSent(_) => Ending::Unreached,
                    });
                    job.note(format!("{endpoint} after {took_ms} ms: {error}"));
                    if self.may_run_again(job, &permit).await {
                        continue;
                    }
                    return Err(job.refuse(RefusalReason::EndpointFailed, None));
                }
            };
            self.learn(&endpoint, &reply);
            match reply.attestation {
                Attestation::OtherEndpoint => {
                    never_arrived("another endpoint has its address".into());
                    let gone = self.fleet.borrow_mut().gone(self.now(), &endpoint);
                    if gone.is_some() {
                        log::info!(endpoint:% = endpoint; "endpoint is no longer at its address");
                    }
                }
                Attestation::NotRun => {
                    permit.ending(Ending::Full);
                    job.may_have_run.set(sent_before);
                    job.note(format!("{endpoint} declined with {}", reply.status));
                    if !job.may_repeat(self) {
                        let proof = NotRunProof::EndpointDeclined;
                        return Err(job.refuse(RefusalReason::Overloaded, Some(proof)));
                    }
                }
                Attestation::Ran | Attestation::Nothing => {
                    let status = reply.status;
                    let hollow = status.is_success() && reply.attestation == Attestation::Nothing;
                    job.note(format!("{endpoint} answered {status} in {took_ms} ms"));
                    if !status.is_server_error() && !hollow {
                        return Ok(Opened { reply, permit });
                    }
                    permit.ending(Ending::Failed);
                    if job.route.repeatable() && job.may_repeat(self) {
                        continue;
                    }
                    if hollow {
                        return Err(job.refuse(RefusalReason::EndpointFailed, None));
                    }
                    return Ok(Opened { reply, permit });
                }
            }
        }
    }

    /// Whether a request that broke off at this place may run once more.
    pub(crate) async fn may_run_again(self: &Rc<Self>, job: &Job, permit: &Permit) -> bool {
        if !job.route.repeatable() {
            poison::suspect_later(self, &permit.place, job.fingerprint);
            return false;
        }
        poison::suspect(self, &permit.place, job.fingerprint).await;
        !self.poison.refuses(job.fingerprint) && job.may_repeat(self)
    }

    pub(crate) fn call(&self, job: &Job, permit: &Permit, resume: Option<Resume>) -> Call {
        Call {
            request: Rc::clone(&job.request),
            endpoint: permit.place.endpoint.clone(),
            address: permit.place.address,
            organisation: job.organisation.clone(),
            remaining: job.until.since(self.now()),
            rank: is_stream(&job.route).then_some(job.rank),
            resume,
            repeatable: job.route.repeatable(),
        }
    }

    /// Takes what an answer tells of its endpoint.
    pub(crate) fn learn(&self, endpoint: &EndpointId, reply: &Reply) {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        if let Some(load) = reply.load {
            fleet.told_load(now, endpoint, load);
        }
        if let Some(cold_for) = reply.cold_for {
            fleet.told_cold(now, endpoint, cold_for);
        }
    }

    /// Serves a request whose answer is passed on whole.
    pub(crate) async fn serve_whole(self: &Rc<Self>, job: &Job) -> Result<Answer, Refusal> {
        let first = std::pin::pin!(self.whole_once(job));
        if !job.route.repeatable() {
            return first.await;
        }
        let delay = Span::from_us(job.route.target_latency.as_us() / 100 * HEDGE_PERCENT);
        let pause = std::pin::pin!(tokio::time::sleep(delay.into()));
        let first = match select(first, pause).await {
            Either::Left((answer, _)) => return answer,
            Either::Right(((), first)) => first,
        };
        if !job.may_repeat(self) {
            return first.await;
        }
        job.note("hedged".into());
        let second = std::pin::pin!(self.whole_once(job));
        let (earlier, later) = match select(first, second).await {
            Either::Left((earlier, later)) => (earlier, Either::Left(later)),
            Either::Right((earlier, later)) => (earlier, Either::Right(later)),
        };
        if served(&earlier) {
            return earlier;
        }
        let later = match later {
            Either::Left(later) => later.await,
            Either::Right(later) => later.await,
        };
        if served(&later) || earlier.is_err() {
            return later;
        }
        earlier
    }

    async fn whole_once(self: &Rc<Self>, job: &Job) -> Result<Answer, Refusal> {
        loop {
            let Opened { reply, permit } = self.open(job, None, TokenCount::ZERO).await?;
            let status = reply.status;
            match collect(reply.body).await {
                Ok(body) => {
                    if !status.is_server_error() {
                        permit.ending(Ending::Good);
                        self.poison.clear(job.fingerprint);
                    }
                    let took = self.now().since(job.arrived);
                    self.counters.ended("answered");
                    self.counters.first_s.observe(seconds(took));
                    job.log_end(self, status.as_str());
                    return Ok(Answer::Endpoint {
                        status,
                        headers: reply.headers,
                        body: AnswerBody::from(body),
                    });
                }
                Err(Broken) => {
                    permit.ending(Ending::Failed);
                    job.note("its answer broke off".into());
                    if !self.may_run_again(job, &permit).await {
                        return Err(job.refuse(RefusalReason::EndpointFailed, None));
                    }
                }
            }
        }
    }
}

/// Whether a request was served, rather than failed by its endpoint or here.
fn served(answer: &Result<Answer, Refusal>) -> bool {
    matches!(answer, Ok(Answer::Endpoint { status, .. }) if !status.is_server_error())
}

/// A span in seconds, for histograms.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn seconds(span: Span) -> f64 {
    span.as_us() as f64 / 1e6
}

/// Reads a body to its end.
pub(crate) async fn collect(
    mut body: futures_util::stream::LocalBoxStream<'static, Result<Bytes, Broken>>,
) -> Result<Bytes, Broken> {
    let mut first: Option<Bytes> = None;
    let mut whole = BytesMut::new();
    while let Some(piece) = body.next().await {
        let piece = piece?;
        if whole.len() + piece.len() > WHOLE_MAX_BYTES {
            return Err(Broken);
        }
        match first.take() {
            None if whole.is_empty() => first = Some(piece),
            None => whole.extend_from_slice(&piece),
            Some(earlier) => {
                whole.extend_from_slice(&earlier);
                whole.extend_from_slice(&piece);
            }
        }
    }
    Ok(first.unwrap_or_else(|| whole.freeze()))
}
