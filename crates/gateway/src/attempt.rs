//! Sending a request until an endpoint answers for it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures_util::future::{Either, select};
use lentil_catalog::{PriorityLevel, Route};
use lentil_core::{
    ConfigVersion, EndpointId, Fingerprint, NotRunProof, OrganisationId, Refusal, RefusalReason,
    ServiceName, Span, Time, TokenCount,
};
use lentil_fleet::AttemptResult;

use crate::body::{ResponseBody, collect};
use crate::endpoints::{Attestation, Call, Reply, Resume, SendError};
use crate::gateway::{Gateway, Permit, RETRY_SOON, is_stream};
use crate::poison;
use crate::pool::Reuse;
use crate::request::{GatewayResponse, InboundRequest};

/// Endpoints that are tried in vain, with nothing sent, before giving up.
const UNREACHED_MAX: u32 = 4;
/// Largest answer that is held whole, in bytes.
pub(crate) const WHOLE_MAX_BYTES: usize = 16 * 1024 * 1024;
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
    pub(crate) request: Rc<InboundRequest>,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    pub(crate) organisation: Option<OrganisationId>,
    pub(crate) rank: PriorityLevel,
    pub(crate) version: ConfigVersion,
    /// Tells this request from others, also when it comes again.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) arrived: Time,
    /// When the caller gets its final answer at the latest.
    pub(crate) until: Time,
    /// Endpoints that it was sent to.
    sent: Cell<u32>,
    /// Those of them that run it, have run it, or may have.
    possible_runs: Cell<u32>,
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

/// What became of one sending.
enum Sent {
    /// The endpoint answers for it.
    Answered(Reply),
    /// The endpoint failed it, or answered well without its signature.
    Failed(Reply),
    /// The endpoint states that it did not run it.
    Declined,
    /// Nothing was sent.
    NotReached,
    /// Another endpoint is there.
    Gone,
    /// It may have run, and its answer is lost.
    BrokeOff,
}

impl Job {
    /// It is about to be sent: until an answer proves otherwise it may run.
    fn begin_sending(&self) {
        self.sent.set(self.sent.get() + 1);
        self.possible_runs.set(self.possible_runs.get() + 1);
    }

    /// An endpoint did not run it.
    fn did_not_run(&self) {
        let runs = self.possible_runs.get();
        self.possible_runs.set(runs.saturating_sub(1));
    }

    /// It did not come to the endpoint.
    fn never_arrived(&self) {
        self.did_not_run();
        self.sent.set(self.sent.get().saturating_sub(1));
    }

    pub(crate) fn new(
        route: Route,
        service: ServiceName,
        organisation: Option<(OrganisationId, Option<PriorityLevel>)>,
        version: ConfigVersion,
        (arrived, until): (Time, Time),
        request: InboundRequest,
    ) -> Self {
        let rank = organisation
            .as_ref()
            .and_then(|(_, rank)| *rank)
            .unwrap_or(route.priority);
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
            possible_runs: Cell::new(0),
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
        let most = generation.max_output_tokens;
        let expected = generation.expected_output_tokens.map_or_else(
            || TokenCount::new(most.get() / 100 * OUTPUT_PERCENT),
            |hint| hint.min(most),
        );
        Some((generation.prompt_tokens, expected))
    }

    /// A refusal that tells what is known of the request.
    pub(crate) fn refuse(&self, reason: RefusalReason, proof: Option<NotRunProof>) -> Refusal {
        if self.possible_runs.get() > 0 {
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
            fingerprint:% = self.fingerprint,
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
        loop {
            let permit = self.find_place_for(job, made).await?;
            self.may_rely(job.organisation.as_ref())?;
            match self.send_once(job, &permit, resume.clone()).await {
                Sent::Answered(reply) => return Ok(Opened { reply, permit }),
                Sent::NotReached => {
                    unreached += 1;
                    if unreached >= UNREACHED_MAX {
                        return Err(job.refuse(RefusalReason::EndpointFailed, None));
                    }
                }
                Sent::Gone => {}
                Sent::Declined => {
                    if !job.may_repeat(self) {
                        let proof = NotRunProof::EndpointDeclined;
                        return Err(job.refuse(RefusalReason::Overloaded, Some(proof)));
                    }
                }
                Sent::BrokeOff => {
                    if !self.may_run_again(job, &permit).await {
                        return Err(job.refuse(RefusalReason::EndpointFailed, None));
                    }
                }
                Sent::Failed(reply) => {
                    if job.route.is_retryable() && job.may_repeat(self) {
                        continue;
                    }
                    if reply.status.is_success() {
                        return Err(job.refuse(RefusalReason::EndpointFailed, None));
                    }
                    return Ok(Opened { reply, permit });
                }
            }
        }
    }

    /// A place that the request was not sent to before.
    async fn find_place_for(&self, job: &Job, made: TokenCount) -> Result<Permit, Refusal> {
        let wait = Span::from_us(job.route.target_latency.as_us() / 100 * WAIT_PERCENT);
        let wait_until = job.until.min(self.now() + wait);
        let tried = job.tried.borrow().clone();
        let need = Self::need(job, made);
        let found = self.find_place(job, need, &tried, wait_until).await;
        found.map_err(|refusal| {
            job.note(format!("no place: {}", refusal.reason));
            job.refuse(refusal.reason, None)
        })
    }

    /// Sends a request to one endpoint and learns from its answer.
    async fn send_once(&self, job: &Job, permit: &Permit, resume: Option<Resume>) -> Sent {
        let endpoint = &permit.place.endpoint;
        job.excludes(endpoint.clone());
        job.begin_sending();
        let sent_at = self.now();
        if is_stream(&job.route) {
            let waited_ms = sent_at.since(job.arrived).as_ms();
            log::info!(request:% = job.request.id, endpoint:% = endpoint, waited_ms = waited_ms; "generation sent");
        }
        let call = self.call(job, permit, resume);
        let answer = self.endpoints.send(call).await;
        let took_ms = self.now().since(sent_at).as_ms();
        match answer {
            Ok(reply) => {
                self.learn(endpoint, &reply);
                self.judge(job, permit, reply, took_ms)
            }
            Err(SendError::NotSent(why)) => {
                permit.ending(AttemptResult::Unreachable);
                job.never_arrived();
                job.note(format!("{endpoint} not reached in {took_ms} ms: {why}"));
                Sent::NotReached
            }
            Err(SendError::Unknown(why)) => {
                permit.ending(AttemptResult::Unreachable);
                job.note(format!("{endpoint} broke off after {took_ms} ms: {why}"));
                Sent::BrokeOff
            }
            Err(SendError::Mismatched(why)) => {
                permit.ending(AttemptResult::Failed);
                job.note(format!("{endpoint} gave a crossed answer: {why}"));
                Sent::BrokeOff
            }
        }
    }

    /// What an answer's head means for its request.
    fn judge(&self, job: &Job, permit: &Permit, reply: Reply, took_ms: u64) -> Sent {
        let endpoint = &permit.place.endpoint;
        let status = reply.status;
        match reply.attestation {
            Attestation::OtherEndpoint => {
                job.never_arrived();
                job.note(format!("another endpoint has the address of {endpoint}"));
                if self
                    .fleet
                    .borrow_mut()
                    .mark_gone(self.now(), endpoint)
                    .is_some()
                {
                    log::info!(endpoint:% = endpoint; "endpoint is no longer at its address");
                }
                Sent::Gone
            }
            Attestation::NotRun => {
                permit.ending(AttemptResult::Overloaded);
                job.did_not_run();
                job.note(format!("{endpoint} declined with {status}"));
                Sent::Declined
            }
            Attestation::Ran | Attestation::Nothing => {
                job.note(format!("{endpoint} answered {status} in {took_ms} ms"));
                let unsigned = reply.attestation == Attestation::Nothing;
                if status.is_server_error() || (unsigned && status.is_success()) {
                    permit.ending(AttemptResult::Failed);
                    return Sent::Failed(reply);
                }
                Sent::Answered(reply)
            }
        }
    }

    /// Whether a request that broke off at this place may run once more.
    pub(crate) async fn may_run_again(self: &Rc<Self>, job: &Job, permit: &Permit) -> bool {
        if !job.route.is_retryable() {
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
            reuse: if is_stream(&job.route) || !job.route.is_retryable() {
                Reuse::Never
            } else {
                Reuse::Any
            },
        }
    }

    /// Takes what an answer tells of its endpoint.
    pub(crate) fn learn(&self, endpoint: &EndpointId, reply: &Reply) {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        if let Some(load) = reply.load {
            fleet.record_load(now, endpoint, load);
        }
        if let Some(cold_for) = reply.cold_for {
            fleet.record_cold(now, endpoint, cold_for);
        }
    }

    /// Serves a request whose answer is passed on whole.
    pub(crate) async fn serve_whole(
        self: &Rc<Self>,
        job: &Job,
    ) -> Result<GatewayResponse, Refusal> {
        let first = std::pin::pin!(self.whole_once(job));
        if !job.route.is_retryable() {
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

    async fn whole_once(self: &Rc<Self>, job: &Job) -> Result<GatewayResponse, Refusal> {
        loop {
            let Opened { reply, permit } = self.open(job, None, TokenCount::ZERO).await?;
            let status = reply.status;
            match collect(reply.body, WHOLE_MAX_BYTES).await {
                Ok(body) => {
                    if !status.is_server_error() {
                        permit.ending(AttemptResult::Succeeded);
                        self.poison.clear(job.fingerprint);
                    }
                    let took = self.now().since(job.arrived);
                    self.counters.ended("answered");
                    self.counters.first_s.observe(seconds(took));
                    job.log_end(self, status.as_str());
                    return Ok(GatewayResponse::Endpoint {
                        status,
                        headers: reply.headers,
                        body: ResponseBody::from(body),
                    });
                }
                Err(error) => {
                    permit.ending(AttemptResult::Failed);
                    job.note(format!("its answer was not read: {error}"));
                    if !self.may_run_again(job, &permit).await {
                        return Err(job.refuse(RefusalReason::EndpointFailed, None));
                    }
                }
            }
        }
    }
}

/// Whether a request was served, rather than failed by its endpoint or here.
fn served(answer: &Result<GatewayResponse, Refusal>) -> bool {
    matches!(answer, Ok(GatewayResponse::Endpoint { status, .. }) if !status.is_server_error())
}

/// A span in seconds, for histograms.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn seconds(span: Span) -> f64 {
    span.as_us() as f64 / 1e6
}
