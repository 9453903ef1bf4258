//! Sending a request to endpoints until one of them responds.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use futures_util::future::{Either, select};
use lentil_catalog::{PriorityLevel, Route};
use lentil_core::{
    ConfigVersion, EndpointId, Fingerprint, NotRunProof, OrganisationId, PromptPartId, Refusal,
    RefusalReason, ServiceName, Span, Time, TokenCount,
};
use lentil_fleet::{
    AttemptLimit, AttemptResult, LimitChange, LimitNotice, PlacedRequest, RestNotice, VersionNeed,
};
use lentil_handoff::{BodyFraming, EndedBody, StopOrder};
use lentil_origin::StreamKey;
use lentil_rollout::Version;

use crate::announcements;
use crate::body::{CollectError, ResponseBody};
use crate::endpoints::{Attestation, Call, InspectError, Reply, Resume, SendError};
use crate::gateway::{Gateway, Permit, RETRY_AFTER_REFUSAL, is_stream};
use crate::poison::{self, AnswerProgress, LostAnswer};
use crate::pool::Reuse;
use crate::request::{GatewayResponse, InboundRequest};
use crate::rollout_evidence::ActiveRequest;
use crate::wait_queue::Wait;

/// Number of unreachable endpoints after which a request fails.
const UNREACHED_ENDPOINTS_MAX: u32 = 4;
/// How often an endpoint is asked whether it still answers. The first connection may be an idle
/// one that it has closed meanwhile.
const CONFIRMATIONS_MAX: u32 = 2;
/// Longest time that a request waits for capacity, in percent of its route's
/// target latency. After a longer wait the first event would be late.
const QUEUE_WAIT_PERCENT: u64 = 100;
/// Delay after which a request that may run twice is also sent to a second
/// endpoint, in percent of the target latency. It is long enough that few
/// requests are hedged, and short enough that the second response can still be
/// on time.
const HEDGE_DELAY_PERCENT: u64 = 60;
/// Longest time by which callers are told to come back later than a service takes requests
/// again, so that they don't return in the same instant.
const RETURN_JITTER_MAX: Span = Span::from_ms(500);
/// Expected output of a generation whose caller gives no estimate, in percent of
/// the longest output that it allows.
const DEFAULT_OUTPUT_PERCENT: u32 = 50;

/// An admitted request and what happened to it so far.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) request: Rc<InboundRequest>,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    pub(crate) organisation: Option<OrganisationId>,
    pub(crate) rank: PriorityLevel,
    pub(crate) config_version: ConfigVersion,
    /// The version that the request's stream must stay at.
    version: RefCell<VersionNeed>,
    /// Identifies the request by its content, also when a caller repeats it.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) arrived: Time,
    /// When the caller must have the complete response.
    pub(crate) deadline: Time,
    attempts: Cell<AttemptLimit>,
    /// Number of endpoints that run the request, have run it or may have run it.
    possible_runs: Cell<u32>,
    /// Endpoints that the request is not sent to again.
    excluded: RefCell<Vec<EndpointId>>,
    /// Notes on each attempt, for the log.
    notes: RefCell<Vec<String>>,
}

/// The head of an endpoint's response, with the capacity it occupies.
#[derive(Debug)]
pub(crate) struct OpenedResponse {
    pub(crate) reply: Reply,
    pub(crate) permit: Permit,
}

/// The outcome of one attempt.
enum SendOutcome {
    /// The endpoint responded.
    Answered(Reply),
    /// The endpoint reported a failure, or a success without its signature.
    Failed(Reply),
    /// The endpoint stated that it did not run the request.
    Declined,
    /// Nothing was sent, as the endpoint could not be reached.
    NotSent,
    /// Another endpoint has taken over the address.
    EndpointGone,
    /// The response is lost; the request may have run.
    ResponseLost,
}

impl Job {
    /// Records that the request is sent. Until a response proves otherwise, it may have run.
    fn record_send(&self) {
        self.possible_runs.set(self.possible_runs.get() + 1);
    }

    /// Records that an endpoint did not run the request.
    fn record_not_run(&self) {
        let runs = self.possible_runs.get();
        self.possible_runs.set(runs.saturating_sub(1));
    }

    pub(crate) fn new(
        route: Route,
        service: ServiceName,
        organisation: Option<(OrganisationId, Option<PriorityLevel>)>,
        config_version: ConfigVersion,
        (arrived, deadline): (Time, Time),
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
            config_version,
            version: RefCell::default(),
            arrived,
            deadline,
            attempts: Cell::new(AttemptLimit::new(route.endpoints_max)),
            possible_runs: Cell::new(0),
            excluded: RefCell::default(),
            notes: RefCell::default(),
            route,
        }
    }

    /// The key under which the version of the stream is recorded.
    pub(crate) fn stream_key(&self) -> StreamKey {
        StreamKey::of(self.fingerprint, self.request.first_attempt().as_str())
    }

    /// Returns the prompt tokens and expected output tokens of a generation.
    pub(crate) fn token_estimate(&self) -> Option<(TokenCount, TokenCount)> {
        if !is_stream(&self.route) {
            return None;
        }
        let generation = self.request.generation.as_ref()?;
        let max_output = generation.max_output_tokens;
        let expected = generation.expected_output_tokens.map_or_else(
            || TokenCount::new(max_output.get() / 100 * DEFAULT_OUTPUT_PERCENT),
            |hint| hint.min(max_output),
        );
        Some((generation.prompt_tokens, expected))
    }

    /// The parts of a generation's prompt that other requests may have in common with it.
    pub(crate) fn shared_parts(&self) -> &[PromptPartId] {
        let generation = self.request.generation.as_ref();
        generation.map_or(&[], |generation| generation.shared_parts.as_slice())
    }

    /// Checks that the request is not known to crash endpoints.
    pub(crate) fn check_poison(&self, gateway: &Gateway) -> Result<(), Refusal> {
        let now = gateway.now();
        let Some(refusal) = gateway.poison.refusal(now, self) else {
            return Ok(());
        };
        self.note(format!("refused: {}", refusal.reason));
        let retry_after = refusal.until.since(now);
        Err(self.refuse_for(RefusalReason::Poison, Some(retry_after)))
    }

    /// Like [`Self::refuse`] for a request that was not sent again, with a `retry-after` of
    /// its own if the request can be repeated at all.
    fn refuse_for(&self, reason: RefusalReason, retry_after: Option<Span>) -> Refusal {
        let refusal = self.refuse(reason, None);
        match (refusal.retry_after, retry_after) {
            (Some(_), Some(retry_after)) => refusal.retry_after(retry_after),
            (None, _) | (_, None) => refusal,
        }
    }

    /// Builds a refusal. Its outcome is unknown if an endpoint may have run the
    /// request.
    pub(crate) fn refuse(&self, reason: RefusalReason, proof: Option<NotRunProof>) -> Refusal {
        if self.possible_runs.get() > 0 {
            return Refusal::unknown(reason);
        }
        let proof = proof.unwrap_or(NotRunProof::NeverSent);
        let refusal = Refusal::not_run(proof, reason);
        match reason {
            // A version that is gone does not return.
            RefusalReason::VersionGone => refusal,
            _ => refusal.retry_after(RETRY_AFTER_REFUSAL),
        }
    }

    /// Takes a retry from the budget. Returns `false` if the budget or the route's
    /// limit on endpoints is used up.
    pub(crate) fn take_retry(&self, gateway: &Gateway) -> bool {
        let mut attempts = self.attempts.get();
        if !attempts.try_grant() || !gateway.spend_retry(&self.service) {
            return false;
        }
        self.attempts.set(attempts);
        self.note(format!("attempt {} granted", attempts.granted()));
        true
    }

    /// Returns whether a body is complete, and notes why it may not be.
    pub(crate) fn check_complete(&self, end: &EndedBody) -> bool {
        let doubt = end.doubt();
        if let Some(doubt) = doubt {
            self.note(format!("the answer may not be complete: {doubt}"));
        }
        doubt.is_none()
    }

    /// Returns an attempt that is not sent.
    fn return_attempt(&self) {
        let mut attempts = self.attempts.get();
        attempts.return_unsent();
        self.attempts.set(attempts);
    }

    /// Restricts further attempts to endpoints of this version, or to those that state no valid
    /// one.
    pub(crate) fn require_version(&self, version: Option<Version>) {
        self.version.replace(VersionNeed::Only(version));
    }

    /// Whether the request may go on at a place of this version.
    pub(crate) fn allows(&self, place: &PlacedRequest) -> bool {
        match &*self.version.borrow() {
            VersionNeed::Any => true,
            VersionNeed::Only(version) => place.version == *version,
        }
    }

    /// Which versions the request may be placed at.
    pub(crate) fn version_need(&self) -> VersionNeed {
        self.version.borrow().clone()
    }

    /// Excludes an endpoint from further attempts.
    pub(crate) fn exclude(&self, endpoint: EndpointId) {
        self.excluded.borrow_mut().push(endpoint);
    }

    pub(crate) fn note(&self, text: String) {
        self.notes.borrow_mut().push(text);
    }

    /// Logs the outcome of the request.
    pub(crate) fn log_outcome(&self, gateway: &Gateway, outcome: &str) {
        log::info!(
            request:% = self.request.id,
            fingerprint:% = self.fingerprint,
            route = self.route.name.as_str(),
            service:% = self.service,
            version:% = self.config_version,
            took_ms = gateway.now().since(self.arrived).as_ms(),
            trail = self.notes.borrow().join("; ").as_str(),
            outcome = outcome;
            "request ended"
        );
    }
}

impl Gateway {
    /// Sends a request, retrying at other endpoints as far as allowed, until an
    /// endpoint starts to respond. If no retry succeeds, the response is the failure that
    /// an endpoint reported before.
    pub(crate) async fn open_response(
        self: &Rc<Self>,
        job: &Job,
        resume: Option<Resume>,
        generated_tokens: TokenCount,
    ) -> Result<OpenedResponse, Refusal> {
        let mut failed = None;
        let opened = self
            .send_until_answered(job, resume, generated_tokens, &mut failed)
            .await;
        opened.or_else(|refusal| failed.ok_or(refusal))
    }

    async fn send_until_answered(
        self: &Rc<Self>,
        job: &Job,
        resume: Option<Resume>,
        generated_tokens: TokenCount,
        failed: &mut Option<OpenedResponse>,
    ) -> Result<OpenedResponse, Refusal> {
        let mut unreached = 0;
        loop {
            let placed = self.place_job(job, generated_tokens).await;
            let permit = placed.inspect_err(|_| job.return_attempt())?;
            self.check_config_trusted(job.organisation.as_ref())?;
            job.check_poison(self)?;
            match self.send_once(job, &permit, resume.clone()).await {
                SendOutcome::Answered(reply) => {
                    if self.keeps_version(job, &permit) {
                        return Ok(OpenedResponse { reply, permit });
                    }
                    job.note(format!("{} has changed", permit.place.endpoint));
                    if !job.route.is_retryable() || !job.take_retry(self) {
                        return Err(job.refuse(RefusalReason::EndpointFailed, None));
                    }
                }
                SendOutcome::NotSent => {
                    unreached += 1;
                    if unreached >= UNREACHED_ENDPOINTS_MAX {
                        return Err(job.refuse(RefusalReason::EndpointFailed, None));
                    }
                }
                SendOutcome::EndpointGone => {
                    // The route's limit counts endpoints that may have run the request.
                    if !self.spend_retry(&job.service) {
                        let proof = NotRunProof::EndpointDeclined;
                        return Err(job.refuse(RefusalReason::EndpointFailed, Some(proof)));
                    }
                }
                SendOutcome::Declined => {
                    if !job.take_retry(self) {
                        let proof = NotRunProof::EndpointDeclined;
                        let refusal = job.refuse(RefusalReason::Overloaded, Some(proof));
                        return Err(self.with_return_time(job, generated_tokens, refusal));
                    }
                }
                SendOutcome::ResponseLost => {
                    if !self.may_rerun(job, &permit, AnswerProgress::None).await {
                        return Err(job.refuse(RefusalReason::EndpointFailed, None));
                    }
                }
                SendOutcome::Failed(reply) => {
                    // A success without its signature must not reach the caller.
                    if !reply.status.is_success() {
                        *failed = Some(OpenedResponse { reply, permit });
                    }
                    if !job.route.is_retryable() || !job.take_retry(self) {
                        return Err(job.refuse(RefusalReason::EndpointFailed, None));
                    }
                }
            }
        }
    }

    /// Whether the endpoint that a request was placed at may write events of its stream. An
    /// endpoint that restarts between its choice and its answer may have another version.
    pub(crate) fn keeps_version(&self, job: &Job, permit: &Permit) -> bool {
        let place = &permit.place;
        *job.version.borrow() == VersionNeed::Any
            || (job.allows(place) && self.fleet.borrow().is_unchanged(place))
    }

    /// Reserves capacity at an endpoint that the request was not sent to before.
    async fn place_job(&self, job: &Job, generated_tokens: TokenCount) -> Result<Permit, Refusal> {
        let wait = Span::from_us(job.route.target_latency.as_us() / 100 * QUEUE_WAIT_PERCENT);
        let wait_until = job.deadline.min(self.now() + wait);
        let excluded = job.excluded.borrow().clone();
        let need = Self::need(job, generated_tokens);
        // Endpoints of a version that is gone don't return, so that there is nothing to wait for.
        if self.is_version_gone(self.now(), &need) {
            job.note(format!("no capacity: {}", RefusalReason::VersionGone));
            return Err(job.refuse(RefusalReason::VersionGone, None));
        }
        let found = if self.fleet.borrow().is_adaptive(&job.service) {
            let wait = Wait {
                need,
                excluded,
                until: wait_until,
            };
            Either::Left(self.wait_in_order(job, wait, generated_tokens))
        } else {
            Either::Right(self.wait_for_place(job, need, &excluded, wait_until))
        };
        let found = found.await;
        found.map_err(|mut refusal| {
            if self.is_version_gone(self.now(), &Self::need(job, generated_tokens)) {
                refusal.reason = RefusalReason::VersionGone;
            }
            job.note(format!("no capacity: {}", refusal.reason));
            let refusal = job.refuse_for(refusal.reason, refusal.retry_after);
            self.with_return_time(job, generated_tokens, refusal)
        })
    }

    /// Tells the caller of a refusal to come back when an endpoint of the service takes
    /// requests again, if all of them named a time. The endpoints that have turned the
    /// request away count, as the caller's repeat is another request.
    fn with_return_time(
        &self,
        job: &Job,
        generated_tokens: TokenCount,
        refusal: Refusal,
    ) -> Refusal {
        let now = self.now();
        let need = Self::need(job, generated_tokens);
        let limited = self.fleet.borrow().limited_capacity(now, &need, &[]);
        match (refusal.retry_after, limited) {
            (Some(retry_after), Some(limited)) => {
                let returns_in = limited.next_at.since(now) + return_jitter(need.jitter_seed);
                refusal.retry_after(retry_after.max(returns_in))
            }
            (Some(_) | None, _) => refusal,
        }
    }

    /// Sends a request to one endpoint and evaluates the response.
    async fn send_once(
        self: &Rc<Self>,
        job: &Job,
        permit: &Permit,
        resume: Option<Resume>,
    ) -> SendOutcome {
        let endpoint = &permit.place.endpoint;
        job.exclude(endpoint.clone());
        job.record_send();
        let sent_at = self.now();
        if is_stream(&job.route) {
            let waited_ms = sent_at.since(job.arrived).as_ms();
            let parts = poison::parts_text(job.shared_parts());
            log::info!(request:% = job.request.id, endpoint:% = endpoint, endpoint_version = permit.place.version_text(), waited_ms = waited_ms, parts = parts.as_str(); "generation request sent");
            announcements::announce(self, job, permit);
        }
        self.plan_backup(job, permit);
        self.record_version(job, permit);
        let call = self.build_call(job, permit, resume);
        let response = self.endpoint_client.send(call).await;
        let took_ms = self.now().since(sent_at).as_ms();
        match response {
            Ok(reply) => {
                self.record_reply(job, endpoint, sent_at, &reply);
                self.classify_reply(job, permit, reply, took_ms)
            }
            Err(SendError::NotSent(reason)) => {
                permit.record_result(AttemptResult::Unreachable);
                job.record_not_run();
                job.note(format!("{endpoint} not reached in {took_ms} ms: {reason}"));
                SendOutcome::NotSent
            }
            Err(SendError::Unknown(reason)) => {
                permit.record_result(AttemptResult::Unreachable);
                job.note(format!(
                    "response of {endpoint} lost after {took_ms} ms: {reason}"
                ));
                SendOutcome::ResponseLost
            }
            Err(SendError::Mismatched(reason)) => {
                permit.record_result(AttemptResult::Failed);
                job.note(format!("{endpoint} sent a mismatched response: {reason}"));
                SendOutcome::ResponseLost
            }
        }
    }

    /// Derives the outcome of an attempt from the head of the response.
    fn classify_reply(
        &self,
        job: &Job,
        permit: &Permit,
        reply: Reply,
        took_ms: u64,
    ) -> SendOutcome {
        let endpoint = &permit.place.endpoint;
        let status = reply.status;
        match reply.attestation {
            Attestation::OtherEndpoint => {
                job.record_not_run();
                job.note(format!("another endpoint has the address of {endpoint}"));
                if self
                    .fleet
                    .borrow_mut()
                    .mark_gone(self.now(), endpoint)
                    .is_some()
                {
                    log::info!(endpoint:% = endpoint; "endpoint is no longer at its address");
                }
                SendOutcome::EndpointGone
            }
            Attestation::NotRun => {
                permit.record_result(AttemptResult::Overloaded);
                job.record_not_run();
                job.note(format!("{endpoint} declined with {status}"));
                SendOutcome::Declined
            }
            Attestation::Ran | Attestation::Nothing => {
                job.note(format!("{endpoint} answered {status} in {took_ms} ms"));
                let unsigned = reply.attestation == Attestation::Nothing;
                if status.is_server_error() || (unsigned && status.is_success()) {
                    permit.record_result(AttemptResult::Failed);
                    self.record_version_answer(permit, false);
                    return SendOutcome::Failed(reply);
                }
                // Of a stream, the first event counts.
                if !is_stream(&job.route) || !status.is_success() {
                    self.record_version_answer(permit, true);
                }
                SendOutcome::Answered(reply)
            }
        }
    }

    /// Returns whether a request whose response was lost may run once more, and
    /// takes a retry from the budget if so. Also reports the endpoint if it
    /// crashed.
    pub(crate) async fn may_rerun(
        self: &Rc<Self>,
        job: &Job,
        permit: &Permit,
        progress: AnswerProgress,
    ) -> bool {
        let lost = LostAnswer::new(job, &permit.place, progress);
        let unsettled = self.rollouts.settle_later(permit.place.id);
        if !job.route.is_retryable() {
            poison::spawn_crash_check(self, lost, unsettled);
            return false;
        }
        poison::report_if_crashed(self, &lost).await;
        self.record_version_failure(job.fingerprint, unsettled);
        self.poison.refusal(self.now(), job).is_none() && job.take_retry(self)
    }

    pub(crate) fn build_call(&self, job: &Job, permit: &Permit, resume: Option<Resume>) -> Call {
        Call {
            request: Rc::clone(&job.request),
            endpoint: permit.place.endpoint.clone(),
            address: permit.place.address,
            organisation: job.organisation.clone(),
            remaining: job.deadline.since(self.now()),
            rank: is_stream(&job.route).then_some(job.rank),
            resume,
            backup: permit.backup_address(),
            reuse: if is_stream(&job.route) || !job.route.is_retryable() {
                Reuse::Never
            } else {
                Reuse::Any
            },
        }
    }

    /// Counts a request that is sent to an endpoint, for a roll-out of its version.
    pub(crate) fn record_version(&self, job: &Job, permit: &Permit) {
        if !self.rollouts.is_enabled() {
            return;
        }
        let place = &permit.place;
        let fleet = self.fleet.borrow();
        let Some(zone) = fleet.zone(&place.endpoint) else {
            return;
        };
        let request = ActiveRequest {
            service: job.service.clone(),
            route: job.route.name.clone(),
            zone: zone.clone(),
            version: place.version.clone(),
            sent_at: self.now(),
            deadline: job.deadline,
            counts: !self.poison.is_suspect(job.fingerprint),
            answered: false,
            settled: false,
            stalled: false,
        };
        self.rollouts.record_sent(place.id, request);
    }

    /// Counts an answer or the first event of a stream.
    pub(crate) fn record_version_answer(&self, permit: &Permit, ok: bool) {
        let now = self.now();
        self.rollouts.record(permit.place.id, |request, own, key| {
            let latency = now.since(request.sent_at);
            request.record_answer(own, key, latency, ok);
        });
    }

    /// Counts an answer that was lost, unless its request may have crashed the endpoint.
    pub(crate) fn record_version_failure(
        &self,
        fingerprint: Fingerprint,
        unsettled: Option<ActiveRequest>,
    ) {
        if let Some(request) = unsettled
            && !self.poison.is_suspect(fingerprint)
        {
            self.rollouts.record_lost(self.now(), request);
        }
    }

    /// Updates the endpoint table with what a response says about its endpoint.
    pub(crate) fn record_reply(
        self: &Rc<Self>,
        job: &Job,
        endpoint: &EndpointId,
        sent_at: Time,
        reply: &Reply,
    ) {
        self.record_endpoint_state(&job.service, endpoint, reply);
        self.record_named_limit(job, endpoint, sent_at, reply);
        self.record_leaving(job, endpoint, reply);
        self.record_rest(job, endpoint, sent_at, reply);
    }

    /// Stops sending to an endpoint that wants no requests for a while.
    fn record_rest(&self, job: &Job, endpoint: &EndpointId, sent_at: Time, reply: &Reply) {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        let Some(retry_after) = reply.retry_after else {
            if !reply.status.is_server_error() {
                fleet.record_answer(endpoint, sent_at);
            }
            return;
        };
        let notice = RestNotice {
            retry_after,
            phase_seed: job.request.id.stable_hash(),
        };
        fleet.record_rest(now, endpoint, notice);
        log::info!(endpoint:% = endpoint, request:% = job.request.id, retry_after:% = retry_after; "endpoint asked for no requests");
    }

    /// Stops sending to an endpoint that says that it is leaving.
    fn record_leaving(self: &Rc<Self>, job: &Job, endpoint: &EndpointId, reply: &Reply) {
        // The endpoint that has taken over the address speaks for itself.
        if !reply.is_leaving || reply.attestation == Attestation::OtherEndpoint {
            return;
        }
        let change = self.fleet.borrow_mut().record_leaving(self.now(), endpoint);
        if change.is_some() {
            log::info!(endpoint:% = endpoint, request:% = job.request.id; "an answer says that the endpoint leaves");
        }
        self.handle_fleet_changes(change);
    }

    fn record_endpoint_state(&self, service: &ServiceName, endpoint: &EndpointId, reply: &Reply) {
        let now = self.now();
        let mut fleet = self.fleet.borrow_mut();
        if let Some(load) = reply.load
            && fleet.record_load(now, endpoint, load)
        {
            log::info!(service:% = service, endpoint:% = endpoint; "the service is scheduled adaptively, as an endpoint states its pace");
        }
        if let Some(cold_for) = reply.cold_for {
            fleet.record_cold(now, endpoint, cold_for);
        }
    }

    /// Updates the limit that an endpoint names with its responses.
    fn record_named_limit(&self, job: &Job, endpoint: &EndpointId, sent_at: Time, reply: &Reply) {
        // A response that proves nothing can name a limit, as caution costs little, and not
        // withdraw one.
        let counts = match reply.attestation {
            Attestation::Ran | Attestation::NotRun => true,
            Attestation::OtherEndpoint => false,
            Attestation::Nothing => reply.rate_limit.is_some(),
        };
        if !counts {
            return;
        }
        let notice = LimitNotice {
            sent_at,
            rate: reply.rate_limit,
            phase_seed: job.request.id.stable_hash(),
        };
        let change = self
            .fleet
            .borrow_mut()
            .record_limit(self.now(), endpoint, notice);
        match change {
            Some(LimitChange::Named(rate)) => {
                log::info!(endpoint:% = endpoint, limit:% = rate; "endpoint named a limit");
            }
            Some(LimitChange::Withdrawn) => {
                log::info!(endpoint:% = endpoint; "endpoint withdrew its limit");
            }
            None => {}
        }
    }

    /// Serves a request whose response is buffered. Hedges it if it may run twice.
    pub(crate) async fn serve_buffered(
        self: &Rc<Self>,
        job: &Job,
    ) -> Result<GatewayResponse, Refusal> {
        let first = std::pin::pin!(self.send_buffered(job));
        if !job.route.is_retryable() {
            return first.await;
        }
        let delay = Span::from_us(job.route.target_latency.as_us() / 100 * HEDGE_DELAY_PERCENT);
        let hedge_timer = std::pin::pin!(tokio::time::sleep(delay.into()));
        let first = match select(first, hedge_timer).await {
            Either::Left((response, _)) => return response,
            Either::Right(((), first)) => first,
        };
        if !job.take_retry(self) {
            return first.await;
        }
        job.note("hedged".into());
        let second = std::pin::pin!(self.send_buffered(job));
        let (earlier, later) = match select(first, second).await {
            Either::Left((earlier, later)) => (earlier, Either::Left(later)),
            Either::Right((earlier, later)) => (earlier, Either::Right(later)),
        };
        if is_served(&earlier) {
            return earlier;
        }
        let later = match later {
            Either::Left(later) => later.await,
            Either::Right(later) => later.await,
        };
        if is_served(&later) || earlier.is_err() {
            return later;
        }
        earlier
    }

    /// Describes a body that ends now, without an order to stop its run.
    pub(crate) fn ended_body(&self, job: &Job, permit: &Permit, framing: BodyFraming) -> EndedBody {
        let now = self.now();
        EndedBody {
            framing,
            stop_order: StopOrder::NotCarriedOut,
            ended_at: now,
            budget_ends_at: job.deadline,
            endpoint_ended: self.fleet.borrow().may_have_ended(now, &permit.place),
            answers_after: None,
        }
    }

    /// Returns whether the engine of a stream that has ended still answers, in the lifetime in
    /// which it began the stream. A process that is killed closes its connections as one does
    /// whose stream is complete, but answers nothing more.
    pub(crate) async fn answers_after_end(&self, permit: &Permit) -> bool {
        let place = &permit.place;
        for _ in 0..CONFIRMATIONS_MAX {
            let now = self.now();
            match self.endpoint_client.inspect(place.address, now).await {
                Ok(report) => return self.fleet.borrow().shows_alive(now, place, &report),
                // An answer that is no report comes from a process that has not ended either.
                Err(InspectError::NoReport(_)) => {
                    return !self.fleet.borrow().may_have_ended(now, place);
                }
                Err(InspectError::Unanswered(reason)) => {
                    log::info!(endpoint:% = place.endpoint; "endpoint does not answer after the end of a stream: {reason}");
                }
            }
        }
        false
    }

    async fn send_buffered(self: &Rc<Self>, job: &Job) -> Result<GatewayResponse, Refusal> {
        loop {
            let OpenedResponse { reply, permit } =
                self.open_response(job, None, TokenCount::ZERO).await?;
            let status = reply.status;
            let framing = reply.framing;
            let collected = self.response_buffers.collect(reply.body).await;
            let collected = collected.and_then(|body| {
                let end = self.ended_body(job, &permit, framing);
                job.check_complete(&end)
                    .then_some(body)
                    .ok_or(CollectError::Interrupted)
            });
            match collected {
                Ok(body) => {
                    if !status.is_success() {
                        // A fast failure must not count as a low latency.
                        permit.exclude_latency();
                    }
                    if !status.is_server_error() {
                        permit.record_result(AttemptResult::Succeeded);
                        self.poison.clear(job.fingerprint);
                    }
                    let took = self.now().since(job.arrived);
                    self.metrics.count_request("answered");
                    self.metrics.first_event_s.observe(seconds(took));
                    job.log_outcome(self, status.as_str());
                    return Ok(GatewayResponse::Endpoint {
                        status,
                        headers: reply.headers,
                        body: ResponseBody::from(body),
                    });
                }
                Err(error) => {
                    permit.record_result(AttemptResult::Failed);
                    job.note(format!("response body not read: {error}"));
                    if !self.may_rerun(job, &permit, AnswerProgress::Head).await {
                        return Err(job.refuse(RefusalReason::EndpointFailed, None));
                    }
                }
            }
        }
    }
}

/// Returns a part of [`RETURN_JITTER_MAX`] that depends on the request.
fn return_jitter(seed: u64) -> Span {
    Span::from_us(seed % RETURN_JITTER_MAX.as_us())
}

/// Returns whether an endpoint responded without a server error.
fn is_served(response: &Result<GatewayResponse, Refusal>) -> bool {
    matches!(response, Ok(GatewayResponse::Endpoint { status, .. }) if !status.is_server_error())
}

/// Converts a span to seconds, for histograms.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn seconds(span: Span) -> f64 {
    span.as_us() as f64 / 1e6
}
