//! Forwarding of streams, event by event, across engine changes.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use http::{HeaderMap, StatusCode};
use lentil_core::{Refusal, RefusalReason, Span, Time, TokenCount};
use lentil_fleet::{AttemptResult, GenerationSize, VersionNeed};
use lentil_handoff::{BodyFraming, EndedBody, StopOrder};
use lentil_stream::{EventSplitter, SplitError};

use crate::attempt::{Job, OpenedResponse, seconds};
use crate::backups::Backup;
use crate::body::{BodyInterrupted, ChunkJoiner, ResponseBody};
use crate::endpoints::{Attestation, KvCopy, Reply, Resume, SendError};
use crate::gateway::{Gateway, Permit, RETRY_AFTER_STORE_FAILURE};
use crate::origins::Recorded;
use crate::poison::{self, AnswerProgress, LostAnswer};
use crate::request::GatewayResponse;
use crate::rollout_evidence::ActiveRequest;
use crate::runs::{Continuation, RunGuard};

/// Longest wait for the engine on which a stopped run continues.
const CONTINUATION_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time after the first event from which on an answer counts as established.
const ESTABLISHING_TIME: Span = Span::from_ms(500);

type ReplyBody = LocalBoxStream<'static, Result<Bytes, BodyInterrupted>>;

/// A stream that is being forwarded to its caller.
struct StreamRelay {
    gateway: Rc<Gateway>,
    job: Rc<Job>,
    permit: Permit,
    run_guard: RunGuard,
    /// The status and the headers of the present engine's answer. The caller gets those of the
    /// engine that wrote the first event.
    head: (StatusCode, HeaderMap),
    framing: BodyFraming,
    body: ReplyBody,
    splitter: EventSplitter,
    /// The last event that was forwarded to the caller.
    last_event_id: Option<u64>,
    prompt_tokens: TokenCount,
    generated_tokens: TokenCount,
    tokens_per_event: TokenCount,
    last_forwarded_at: Time,
    /// When the answer counts as established; `None` before its first event.
    established_at: Option<Time>,
    /// Whether the parts of the prompt have been cleared of suspicion by this answer.
    parts_cleared: bool,
    /// When the stream counts as stalled unless an event with data arrives before.
    stalled_at: Time,
    longest_pause: Span,
    /// Tokens of the events that arrived first, together.
    tokens_at_first: TokenCount,
    /// Whether the run has continued at its backup engine.
    recovered: bool,
    /// Whether anything that the present engine wrote has been passed on.
    passed_on: bool,
    /// Why the stream could not go on, if it was refused a further run.
    refused_for: Option<RefusalReason>,
    end_reason: Option<&'static str>,
}

/// How an engine's response body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    /// The stream is complete.
    None,
    /// The connection or the body ended inside the stream, so the engine no longer runs it.
    Ended,
    /// The engine stays silent or wrote something else, and may go on running the request.
    Open,
}

impl Cut {
    const fn label(self) -> &'static str {
        match self {
            Self::None => "whole",
            Self::Ended => "interrupted",
            Self::Open => "open",
        }
    }
}

/// Where the copy comes from that a run continues from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyOrigin {
    /// An engine that stopped the run so that it could move.
    Move,
    /// The backup engine of a run whose engine crashed.
    Backup,
}

impl CopyOrigin {
    fn count(self, gateway: &Gateway, step: &'static str) {
        match self {
            Self::Move => gateway.metrics.count_move(step),
            Self::Backup => gateway.metrics.count_backup(step),
        }
    }
}

/// What happens after an engine's response body ended.
enum BodyEnd {
    /// The stream continues with a new body.
    Continued,
    /// The stream is complete.
    Complete,
    /// The stream is lost.
    Lost,
}

/// What came of continuing a run from a copy of its KV cache.
enum Continued {
    /// The stream goes on, or is lost as the engine may have run it.
    Settled(BodyEnd),
    /// The engine did not run it.
    NotRun,
}

/// Serves a stream. Waits for the first event, so that an earlier failure can
/// still be reported with a status code, then forwards events as they arrive.
pub(crate) async fn serve_stream(
    gateway: Rc<Gateway>,
    job: Rc<Job>,
) -> Result<GatewayResponse, Refusal> {
    let resume = job.request.last_event_id.map(|after| Resume {
        last_event_id: Some(after),
        kv_copy: None,
    });
    let is_new = resume.is_none();
    if !is_new && job.route.is_retryable() {
        let version = gateway.find_origin(&job).await?;
        job.require_version(version);
    } else if let Some(version) = gateway.unrecorded_version(&job) {
        job.note("begins where it needs no record".to_owned());
        job.require_version(version);
    }
    let opened = gateway
        .open_response(&job, resume, TokenCount::ZERO)
        .await?;
    let OpenedResponse { reply, permit } = opened;
    if !reply.status.is_success() {
        return answer_failure(&gateway, &job, reply, &permit).await;
    }
    let mut relay = StreamRelay::new(Rc::clone(&gateway), Rc::clone(&job), permit, reply);
    let Some(first) = relay.begin(is_new).await? else {
        let (status, headers) = relay.head.clone();
        return Ok(GatewayResponse::Endpoint {
            status,
            headers,
            body: ResponseBody::from(Bytes::new()),
        });
    };
    let (status, headers) = relay.head.clone();
    let took = gateway.now().since(job.arrived);
    gateway.metrics.first_event_s.observe(seconds(took));
    job.note(format!("first event at {} ms", took.as_ms()));
    let rest = futures_util::stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next_before_deadline().await? {
            Ok(bytes) => Some((Ok(bytes), Some(relay))),
            Err(error) => Some((Err(error), None)),
        }
    });
    let rest = if gateway.bounds.memory_pressure {
        gateway.read_ahead.start(rest.boxed_local())
    } else {
        rest.boxed_local()
    };
    let chunks = futures_util::stream::once(async move { Ok(first) }).chain(rest);
    Ok(GatewayResponse::Endpoint {
        status,
        headers,
        body: ResponseBody::Pieces(chunks.boxed_local()),
    })
}

/// Answers a request with the failure that an endpoint reported.
async fn answer_failure(
    gateway: &Gateway,
    job: &Job,
    reply: Reply,
    permit: &Permit,
) -> Result<GatewayResponse, Refusal> {
    let (status, headers) = (reply.status, reply.headers);
    let body = gateway
        .response_buffers
        .collect(reply.body)
        .await
        .map_err(|_| job.refuse(RefusalReason::EndpointFailed, None))?;
    let end = gateway.ended_body(job, permit, reply.framing);
    if !job.check_complete(&end) {
        return Err(job.refuse(RefusalReason::EndpointFailed, None));
    }
    gateway.metrics.count_request("answered");
    job.log_outcome(gateway, status.as_str());
    let body = ResponseBody::from(body);
    Ok(GatewayResponse::Endpoint {
        status,
        headers,
        body,
    })
}

impl StreamRelay {
    fn new(gateway: Rc<Gateway>, job: Rc<Job>, permit: Permit, reply: Reply) -> Self {
        let (prompt_tokens, output) = job.token_estimate().unwrap_or_default();
        let run_guard = gateway.runs.register(
            job.request.id.clone(),
            job.service.clone(),
            permit.place.clone(),
            (prompt_tokens, output),
            job.route.gap_target,
        );
        run_guard.run.backup.replace(permit.take_backup());
        let tokens_per_event = gateway.tokens_per_event(&job.service);
        Self {
            last_forwarded_at: gateway.now(),
            established_at: None,
            parts_cleared: false,
            stalled_at: Time::NEVER,
            last_event_id: job.request.last_event_id,
            gateway,
            job,
            permit,
            run_guard,
            head: (reply.status, reply.headers),
            framing: reply.framing,
            body: reply.body,
            splitter: EventSplitter::default(),
            prompt_tokens,
            generated_tokens: TokenCount::ZERO,
            tokens_per_event,
            longest_pause: Span::ZERO,
            tokens_at_first: TokenCount::ZERO,
            recovered: false,
            passed_on: false,
            refused_for: None,
            end_reason: None,
        }
    }

    /// Returns the first events, or `None` if the stream has none, once other gateways can tell the
    /// version that wrote them. A new stream of which nobody else could tell it is refused. It can't
    /// run at another version under the same attempt, as its record may still turn up.
    async fn begin(&mut self, is_new: bool) -> Result<Option<Bytes>, Refusal> {
        let Some(first) = self.first().await? else {
            return Ok(None);
        };
        let version = self.permit.place.version.clone();
        let recorded = self.gateway.record_origin(&self.job, version.clone()).await;
        let must_begin_at = self.gateway.unrecorded_version(&self.job);
        if is_new
            && recorded == Recorded::Nowhere
            && must_begin_at.is_some_and(|other| other != version)
        {
            self.end_reason = Some("not recorded");
            let refusal = Refusal::unknown(RefusalReason::LogUnavailable);
            return Err(refusal.retry_after(RETRY_AFTER_STORE_FAILURE));
        }
        Ok(Some(first))
    }

    /// Returns the first events, or `None` if the stream has none.
    async fn first(&mut self) -> Result<Option<Bytes>, Refusal> {
        let first = self.next().await.transpose();
        first.map_err(|BodyInterrupted| {
            self.end_reason = Some("lost before the first event");
            let reason = self.refused_for.unwrap_or(RefusalReason::EndpointFailed);
            self.job.refuse(reason, None)
        })
    }

    /// Returns the next complete events. Fails at the caller's deadline.
    async fn next_before_deadline(&mut self) -> Option<Result<Bytes, BodyInterrupted>> {
        let deadline = self.gateway.instant(self.job.deadline);
        let next = tokio::time::timeout_at(deadline, self.next()).await;
        next.unwrap_or_else(|_| {
            self.end_reason = Some("stopped at the deadline");
            Some(Err(BodyInterrupted))
        })
    }

    /// Returns the next complete events, or `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, BodyInterrupted>> {
        loop {
            let is_unconfirmed =
                !self.passed_on && !self.gateway.keeps_version(&self.job, &self.permit);
            let cut = if is_unconfirmed {
                let endpoint = &self.permit.place.endpoint;
                self.job
                    .note(format!("{endpoint} has changed; its answer is dropped"));
                self.splitter.clear();
                Cut::Ended
            } else {
                match self.drain_events() {
                    Ok(Some(bytes)) => {
                        self.record_passed_on();
                        return Some(Ok(bytes));
                    }
                    Err(SplitError::TooLong) => return Some(Err(self.fail("event too long"))),
                    Err(SplitError::NoField) => {
                        self.job.note("bytes that are no event".to_owned());
                        Cut::Open
                    }
                    Ok(None) => match self.next_bytes().await {
                        Some(Ok(bytes)) => {
                            self.splitter.push(&bytes);
                            continue;
                        }
                        Some(Err(cut)) => cut,
                        None if self.splitter.has_partial_event() || !self.has_begun() => {
                            Cut::Ended
                        }
                        None => Cut::None,
                    },
                }
            };
            match self.handle_body_end(cut).await {
                BodyEnd::Continued => {}
                BodyEnd::Complete => {
                    self.end_reason = Some("complete");
                    self.gateway.poison.clear(self.job.fingerprint);
                    self.clear_parts();
                    self.permit.record_result(AttemptResult::Succeeded);
                    return None;
                }
                BodyEnd::Lost => return Some(Err(self.fail("lost"))),
            }
        }
    }

    /// Binds the stream to the version of the engine whose bytes are the first to be passed on.
    fn record_passed_on(&mut self) {
        if std::mem::replace(&mut self.passed_on, true)
            || self.job.version_need() != VersionNeed::Any
        {
            return;
        }
        let place = &mut self.permit.place;
        let fleet = self.gateway.fleet.borrow();
        if !fleet.is_in_flight(place.id) {
            // A restart breaks the connections of the process before, so that the bytes are
            // those of the engine that is known now.
            place.version = fleet.version(&place.endpoint).cloned();
            self.run_guard.run.place.replace(place.clone());
        }
        self.job.require_version(place.version.clone());
    }

    /// Returns whether the caller has received an event, from this response or, if it
    /// resumes a stream, before.
    const fn has_begun(&self) -> bool {
        self.last_event_id.is_some() || self.generated_tokens.get() > 0
    }

    /// Returns the next bytes of the body. A stream that has begun and brings no event
    /// with data for too long counts as interrupted, whatever other bytes it brings.
    async fn next_bytes(&mut self) -> Option<Result<Bytes, Cut>> {
        let ended = |next: Result<Bytes, BodyInterrupted>| next.map_err(|_| Cut::Ended);
        if self.stalled_at == Time::NEVER {
            return self.body.next().await.map(ended);
        }
        let stalled_at = self.gateway.instant(self.stalled_at);
        let next = tokio::time::timeout_at(stalled_at, self.body.next()).await;
        if let Ok(next) = next {
            return next.map(ended);
        }
        self.job.note("stalled: no event in time".to_owned());
        let place = self.permit.place.id;
        let has_restarted = !self.gateway.fleet.borrow().is_in_flight(place);
        Some(Err(if has_restarted { Cut::Ended } else { Cut::Open }))
    }

    fn fail(&mut self, reason: &'static str) -> BodyInterrupted {
        self.end_reason = Some(reason);
        self.permit.record_result(AttemptResult::Failed);
        BodyInterrupted
    }

    /// Returns all complete events received so far, without duplicates. Fails once those
    /// before the failure have been returned.
    fn drain_events(&mut self) -> Result<Option<Bytes>, SplitError> {
        let mut events = ChunkJoiner::default();
        let mut progressed = false;
        let ended = loop {
            let event = match self.splitter.next_event() {
                Ok(Some(event)) => event,
                Ok(None) => break Ok(None),
                Err(error) => break Err(error),
            };
            if let (Some(id), Some(last)) = (event.id, self.last_event_id)
                && id <= last
            {
                continue;
            }
            self.last_event_id = event.id.or(self.last_event_id);
            if event.has_data {
                self.generated_tokens += self.tokens_per_event;
                progressed = true;
            }
            events.push(event.bytes);
        };
        if progressed {
            self.record_progress();
        }
        let bytes = events.into_bytes();
        if bytes.is_empty() {
            return ended;
        }
        Ok(Some(bytes))
    }

    fn record_progress(&mut self) {
        let now = self.gateway.now();
        if self.established_at.is_none() {
            self.gateway.record_version_answer(&self.permit, true);
        }
        let established_at = *self.established_at.get_or_insert(now + ESTABLISHING_TIME);
        if established_at.has_passed(now) {
            self.clear_parts();
        }
        let run = &self.run_guard.run;
        if run.started.replace(true) {
            let pause = now.since(self.last_forwarded_at);
            self.longest_pause = self.longest_pause.max(pause);
            let record_pause = |request: &mut ActiveRequest, own: &mut _, key: &_| {
                request.record_pause(own, key, pause);
            };
            self.gateway
                .rollouts
                .record(self.permit.place.id, record_pause);
            run.tokens_since_first
                .set(self.generated_tokens - self.tokens_at_first);
        } else {
            run.first_event_at.set(now);
            self.tokens_at_first = self.generated_tokens;
        }
        self.last_forwarded_at = now;
        self.stalled_at = now + self.gateway.bounds.stream_stall_timeout;
        run.cached_tokens
            .set(self.prompt_tokens + self.generated_tokens);
        let (_, output) = self.job.token_estimate().unwrap_or_default();
        run.remaining_tokens.set(output - self.generated_tokens);
        self.permit.record_progress(self.generated_tokens);
    }

    /// Clears the parts of the prompt, once, as an engine has answered on them.
    fn clear_parts(&mut self) {
        if !std::mem::replace(&mut self.parts_cleared, true) {
            poison::clear_parts(&self.gateway, self.job.shared_parts());
        }
    }

    fn progress(&self) -> AnswerProgress {
        match self.established_at {
            None => AnswerProgress::Head,
            Some(at) if at.has_passed(self.gateway.now()) => AnswerProgress::Established,
            Some(_) => AnswerProgress::FirstEvents,
        }
    }

    /// Handles the end of an engine's response body, which may be truncated.
    async fn handle_body_end(&mut self, cut: Cut) -> BodyEnd {
        self.gateway
            .metrics
            .count_body_end(self.framing, cut.label());
        let mut end = self
            .gateway
            .ended_body(&self.job, &self.permit, self.framing);
        self.note_termination(end.ended_at);
        // An engine closes a stream that it has stopped without its end, which shows here.
        if cut == Cut::None && self.framing == BodyFraming::Delimited {
            self.run_guard.run.clear_switch();
            return BodyEnd::Complete;
        }
        if self.run_guard.run.is_unsettled() {
            end.stop_order = StopOrder::Unsettled;
        }
        if let Some(switch) = self.run_guard.run.take_switch() {
            let outcome = tokio::time::timeout(CONTINUATION_TIMEOUT, switch.outcome()).await;
            let outcome = outcome.unwrap_or(Continuation::Unsettled);
            self.job.note(format!(
                "body ({}, {}) ended after an order to stop: {outcome}",
                self.framing,
                cut.label(),
            ));
            match outcome {
                Continuation::FromCopy { permit, kv_copy } => {
                    return self.continue_stopped(Some(*permit), kv_copy).await;
                }
                Continuation::AtSource { kv_copy } => {
                    return self.continue_stopped(None, kv_copy).await;
                }
                // An engine that stops a run may wrongly say that it had none. Events that
                // arrive after its answer show that the run went on.
                Continuation::Ended { answered_at } if self.last_forwarded_at > answered_at => {}
                Continuation::NotStopped => {}
                Continuation::Ended { .. } | Continuation::Unsettled => {
                    end.stop_order = StopOrder::Unsettled;
                }
            }
        }
        // Other endpoints have no report, and another request would wait for a slot there.
        let is_engine = self.gateway.has_engines(&self.job.service);
        if cut == Cut::None && is_engine && end.needs_answer() {
            end.answers_after = Some(self.gateway.answers_after_end(&self.permit).await);
        }
        match cut {
            Cut::None if self.is_complete(&end) => BodyEnd::Complete,
            Cut::None | Cut::Ended => self.recover_or_rerun().await,
            Cut::Open => self.rerun_or_lose().await,
        }
    }

    /// Notes how the end of a body without length or chunks lies to the termination of its
    /// engine, if that is known.
    fn note_termination(&self, ended_at: Time) {
        let terminates_at = self
            .gateway
            .fleet
            .borrow()
            .terminates_at(&self.permit.place.endpoint);
        let Some(terminates_at) = terminates_at else {
            return;
        };
        if self.framing == BodyFraming::UntilClose {
            let before = terminates_at.since(ended_at);
            let after = ended_at.since(terminates_at);
            self.job.note(format!(
                "body ended {before} before and {after} after the expected termination"
            ));
        }
    }

    /// Returns whether a body that ended without an error is the whole stream.
    fn is_complete(&self, end: &EndedBody) -> bool {
        let is_complete = self.job.check_complete(end);
        if !is_complete {
            self.gateway.metrics.count_body_end(self.framing, "doubted");
        }
        is_complete
    }

    /// Continues the run at its backup engine, if it has one, or else reruns the request if
    /// its route allows that.
    async fn recover_or_rerun(&mut self) -> BodyEnd {
        let Some((permit, kv_copy)) = self.place_at_backup() else {
            return self.rerun_or_lose().await;
        };
        let endpoint = permit.place.endpoint.clone();
        let lost = LostAnswer::new(&self.job, &self.permit.place, self.progress());
        let unsettled = self.gateway.rollouts.settle_later(self.permit.place.id);
        poison::spawn_crash_check(&self.gateway, lost, unsettled);
        self.permit.record_result(AttemptResult::Failed);
        log::info!(
            request:% = self.job.request.id,
            from:% = self.permit.place.endpoint,
            backup:% = endpoint,
            after_event = self.last_event_id.unwrap_or(0);
            "stream broke off; it is continued at its backup engine"
        );
        self.recovered = true;
        let origin = CopyOrigin::Backup;
        match self.continue_from_copy(Some(permit), kv_copy, origin).await {
            Continued::Settled(end) => end,
            Continued::NotRun => self.rerun_or_lose().await,
        }
    }

    /// Reserves capacity for the run at its backup engine. A run continues there only once,
    /// and only if it had run for long enough that its request is unlikely to have crashed the
    /// engine.
    fn place_at_backup(&self) -> Option<(Permit, KvCopy)> {
        let run = &self.run_guard.run;
        let backup = run.backup.take()?;
        let job = &self.job;
        if self.recovered
            || self.progress() != AnswerProgress::Established
            || job.check_poison(&self.gateway).is_err()
        {
            return None;
        }
        let size = GenerationSize {
            prompt_tokens: run.cached_tokens.get(),
            expected_output_tokens: run.remaining_tokens.get(),
        };
        let version = self.permit.place.version.clone();
        let permit = self
            .gateway
            .place_at_backup(&job.service, &backup, version, size);
        if permit.is_none() {
            let endpoint = &backup.endpoint;
            job.note(format!("backup engine {endpoint} takes no requests"));
        }
        permit.map(|permit| (permit, backup.kv_copy(&job.request.id)))
    }

    /// Continues the stream with another run if its route allows that.
    async fn rerun_or_lose(&mut self) -> BodyEnd {
        let may_rerun = self
            .gateway
            .may_rerun(&self.job, &self.permit, self.progress())
            .await;
        if !may_rerun {
            return BodyEnd::Lost;
        }
        self.resume_elsewhere().await
    }

    /// Continues a run that was stopped for a move: at its target, else at the engine that
    /// stopped it, which keeps the memory, else like a run whose engine is lost. The next one is
    /// asked only if the one before stated that it did not run it, or was never reached.
    async fn continue_stopped(&mut self, target: Option<Permit>, kv_copy: KvCopy) -> BodyEnd {
        let origin = CopyOrigin::Move;
        if let Some(target) = target {
            let continued = self.continue_from_copy(Some(target), kv_copy.clone(), origin);
            if let Continued::Settled(end) = continued.await {
                return end;
            }
        }
        match self.continue_from_copy(None, kv_copy, origin).await {
            Continued::Settled(end) => end,
            Continued::NotRun => self.recover_or_rerun().await,
        }
    }

    /// Continues the same run from a copy of its KV cache: at the engine of `other`
    /// or, without one, at the engine that stopped it.
    async fn continue_from_copy(
        &mut self,
        other: Option<Permit>,
        kv_copy: KvCopy,
        origin: CopyOrigin,
    ) -> Continued {
        if self.progress() != AnswerProgress::Established
            && self.job.check_poison(&self.gateway).is_err()
        {
            return Continued::Settled(BodyEnd::Lost);
        }
        let resume = Resume {
            last_event_id: self.last_event_id,
            kv_copy: Some(kv_copy),
        };
        if !self.has_copy_engine(other.as_ref()) {
            return Continued::NotRun;
        }
        let permit = other.as_ref().unwrap_or(&self.permit);
        let now = self.gateway.now();
        let allowed = self
            .gateway
            .fleet
            .borrow_mut()
            .allow_continuation(now, &permit.place.endpoint);
        if !allowed {
            self.job.note(format!(
                "{} wants no requests and does not continue the stream",
                permit.place.endpoint
            ));
            return Continued::NotRun;
        }
        if origin == CopyOrigin::Move && !self.recovered {
            self.gateway.plan_backup(&self.job, permit);
        }
        let call = self.gateway.build_call(&self.job, permit, Some(resume));
        let endpoint = permit.place.endpoint.clone();
        let sent_at = self.gateway.now();
        let response = self.gateway.endpoint_client.send(call).await;
        if let Ok(reply) = &response {
            self.gateway
                .record_reply(&self.job, &endpoint, sent_at, reply);
        }
        match response {
            Ok(_) if !self.has_copy_engine(other.as_ref()) => {
                origin.count(&self.gateway, "refused");
                Continued::Settled(self.rerun_or_lose().await)
            }
            Ok(reply) if reply.status.is_success() && reply.attestation == Attestation::Ran => {
                self.job.note(format!(
                    "continues at {endpoint} ({}) after event {}",
                    permit.place.version_text(),
                    self.last_event_id.unwrap_or(0)
                ));
                origin.count(&self.gateway, "went_on");
                match other {
                    Some(other) => self.replace_permit(other),
                    None => self.replace_backup(self.permit.take_backup()),
                }
                self.replace_body(reply);
                Continued::Settled(BodyEnd::Continued)
            }
            Ok(reply) => {
                self.job
                    .note(format!("{endpoint} refused to continue: {}", reply.status));
                origin.count(&self.gateway, "refused");
                match reply.attestation {
                    Attestation::NotRun | Attestation::OtherEndpoint => Continued::NotRun,
                    Attestation::Ran | Attestation::Nothing => Continued::Settled(BodyEnd::Lost),
                }
            }
            Err(error) => {
                permit.record_result(AttemptResult::Unreachable);
                self.job
                    .note(format!("{endpoint} failed to continue: {error}"));
                origin.count(&self.gateway, "failed");
                match error {
                    SendError::NotSent(_) => Continued::NotRun,
                    SendError::Unknown(_) | SendError::Mismatched(_) => {
                        Continued::Settled(BodyEnd::Lost)
                    }
                }
            }
        }
    }

    /// Resumes the stream at another engine, without a copy of the KV cache.
    async fn resume_elsewhere(&mut self) -> BodyEnd {
        self.permit.record_result(AttemptResult::Failed);
        let resume = Resume {
            last_event_id: self.last_event_id,
            kv_copy: None,
        };
        self.job.exclude(self.permit.place.endpoint.clone());
        let opened = self
            .gateway
            .open_response(&self.job, Some(resume), self.generated_tokens)
            .await;
        match opened {
            Ok(opened) if opened.reply.status.is_success() => {
                let place = &opened.permit.place;
                self.job.note(format!(
                    "runs again at {} ({}) after event {}",
                    place.endpoint,
                    place.version_text(),
                    self.last_event_id.unwrap_or(0)
                ));
                self.replace_permit(opened.permit);
                self.replace_body(opened.reply);
                BodyEnd::Continued
            }
            Ok(_) => BodyEnd::Lost,
            Err(refusal) => {
                if refusal.reason == RefusalReason::VersionGone {
                    self.gateway.metrics.version_gone.inc();
                    self.refused_for = Some(refusal.reason);
                }
                BodyEnd::Lost
            }
        }
    }

    /// Whether the engine that is to continue the run is still the one that was chosen: that of
    /// `other` or, without one, the engine that stopped the run and keeps its KV cache.
    fn has_copy_engine(&self, other: Option<&Permit>) -> bool {
        let fleet = self.gateway.fleet.borrow();
        let (place, is_kept) = match other {
            Some(other) => (
                &other.place,
                fleet.is_unchanged(&other.place) && self.job.allows(&other.place),
            ),
            None => (&self.permit.place, fleet.is_in_flight(self.permit.place.id)),
        };
        if !is_kept {
            let endpoint = &place.endpoint;
            self.job.note(format!(
                "{endpoint} has changed and does not continue the stream"
            ));
        }
        is_kept
    }

    /// Replaces the backup engine. The copy at the former one is of no use, as it is not
    /// kept up to date any more.
    fn replace_backup(&self, backup: Option<Backup>) {
        let run = &self.run_guard.run;
        let address = |backup: &Option<Backup>| backup.as_ref().map(|it| it.address);
        let is_kept = address(&backup) == address(&run.backup.borrow());
        if !is_kept {
            self.gateway.release_backup(run);
        }
        run.backup.replace(backup);
    }

    fn replace_permit(&mut self, permit: Permit) {
        self.run_guard.run.place.replace(permit.place.clone());
        self.run_guard.run.clear_switch();
        self.replace_backup(permit.take_backup());
        permit.record_progress(self.generated_tokens);
        self.gateway.record_version(&self.job, &permit);
        self.permit = permit;
    }

    fn replace_body(&mut self, reply: Reply) {
        self.framing = reply.framing;
        self.head = (reply.status, reply.headers);
        self.passed_on = false;
        self.run_guard.run.stopped.set(false);
        self.body = reply.body;
        self.splitter.clear();
        self.stalled_at = self.gateway.now() + self.gateway.bounds.stream_stall_timeout;
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        self.gateway.release_backup(&self.run_guard.run);
        let end = self.end_reason.unwrap_or("caller disconnected");
        let outcome = match self.end_reason {
            Some("complete") => "answered",
            Some(_) => "broken",
            None => "left",
        };
        self.gateway.metrics.count_request(outcome);
        self.gateway
            .metrics
            .pause_s
            .observe(seconds(self.longest_pause));
        self.job.note(format!(
            "{} generated, longest pause {} ms",
            self.generated_tokens,
            self.longest_pause.as_ms()
        ));
        self.job.log_outcome(&self.gateway, end);
    }
}
