//! Passing a stream on, event by event, through changes of its engine.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use lentil_core::{Refusal, RefusalReason, Span, Time, TokenCount};
use lentil_fleet::AttemptResult;

use crate::attempt::{Job, Opened, WHOLE_MAX_BYTES, seconds};
use crate::body::{BodyInterrupted, Joiner, ResponseBody, collect};
use crate::endpoints::{Attestation, KvCopy, Resume};
use crate::events::EventSplitter;
use crate::gateway::{Gateway, Permit};
use crate::request::GatewayResponse;
use crate::runs::{Continuation, RunTicket};

/// Longest wait for the word where a stopped run goes on.
const CONTINUATION_WAIT: Duration = Duration::from_millis(2_500);

/// A stream on its way to its caller.
struct Relay {
    gateway: Rc<Gateway>,
    job: Rc<Job>,
    permit: Permit,
    ticket: RunTicket,
    body: LocalBoxStream<'static, Result<Bytes, BodyInterrupted>>,
    splitter: EventSplitter,
    /// The last event that the caller has.
    last: Option<u64>,
    prompt: TokenCount,
    made: TokenCount,
    event_tokens: TokenCount,
    passed_at: Time,
    longest_pause: Span,
    end: Option<&'static str>,
}

/// What follows the end of a body.
enum After {
    /// The stream goes on at another engine.
    GoesOn,
    /// It was complete.
    Complete,
    /// It is lost.
    Lost,
}

/// Serves a stream: waits for its first event, so that a failure before it can
/// still be told, and passes the rest on as it comes.
pub(crate) async fn serve(gateway: Rc<Gateway>, job: Rc<Job>) -> Result<GatewayResponse, Refusal> {
    let resume = job.request.last_event_id.map(|after| Resume {
        last_event_id: Some(after),
        kv_copy: None,
    });
    let opened = gateway.open(&job, resume, TokenCount::ZERO).await?;
    let Opened { reply, permit } = opened;
    let (status, headers) = (reply.status, reply.headers);
    if !status.is_success() {
        let body = collect(reply.body, WHOLE_MAX_BYTES)
            .await
            .map_err(|_| job.refuse(RefusalReason::EndpointFailed, None))?;
        gateway.counters.ended("answered");
        job.log_end(&gateway, status.as_str());
        let body = ResponseBody::from(body);
        return Ok(GatewayResponse::Endpoint {
            status,
            headers,
            body,
        });
    }
    let mut relay = Relay::new(Rc::clone(&gateway), Rc::clone(&job), permit, reply.body);
    let first = match relay.next().await {
        Some(Ok(first)) => first,
        Some(Err(BodyInterrupted)) => {
            relay.end = Some("lost before its first event");
            return Err(job.refuse(RefusalReason::EndpointFailed, None));
        }
        None => Bytes::new(),
    };
    let took = gateway.now().since(job.arrived);
    gateway.counters.first_s.observe(seconds(took));
    job.note(format!("first event at {} ms", took.as_ms()));
    let rest = futures_util::stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next_in_time().await? {
            Ok(bytes) => Some((Ok(bytes), Some(relay))),
            Err(broken) => Some((Err(broken), None)),
        }
    });
    let pieces = futures_util::stream::once(async move { Ok(first) }).chain(rest);
    Ok(GatewayResponse::Endpoint {
        status,
        headers,
        body: ResponseBody::Pieces(pieces.boxed_local()),
    })
}

impl Relay {
    fn new(
        gateway: Rc<Gateway>,
        job: Rc<Job>,
        permit: Permit,
        body: LocalBoxStream<'static, Result<Bytes, BodyInterrupted>>,
    ) -> Self {
        let (prompt, output) = job.generation().unwrap_or_default();
        let ticket = gateway.runs.begin(
            job.request.id.clone(),
            job.service.clone(),
            permit.place.clone(),
            (prompt, output),
        );
        let event_tokens = gateway.event_tokens(&job.service);
        Self {
            passed_at: gateway.now(),
            last: job.request.last_event_id,
            gateway,
            job,
            permit,
            ticket,
            body,
            splitter: EventSplitter::default(),
            prompt,
            made: TokenCount::ZERO,
            event_tokens,
            longest_pause: Span::ZERO,
            end: None,
        }
    }

    /// The next whole events; none later than the caller's deadline.
    async fn next_in_time(&mut self) -> Option<Result<Bytes, BodyInterrupted>> {
        let until = self.gateway.instant(self.job.until);
        let next = tokio::time::timeout_at(until, self.next()).await;
        next.unwrap_or_else(|_| {
            self.end = Some("cut at its deadline");
            Some(Err(BodyInterrupted))
        })
    }

    /// The next whole events; `None` at the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, BodyInterrupted>> {
        loop {
            match self.take_events() {
                Ok(Some(bytes)) => return Some(Ok(bytes)),
                Ok(None) => {}
                Err(BodyInterrupted) => return Some(Err(self.lose("broke its order"))),
            }
            let broke = match self.body.next().await {
                Some(Ok(bytes)) => {
                    self.splitter.push(&bytes);
                    continue;
                }
                Some(Err(BodyInterrupted)) => true,
                None => self.splitter.has_partial_event(),
            };
            match self.after_end(broke).await {
                After::GoesOn => {}
                After::Complete => {
                    self.end = Some("complete");
                    self.gateway.poison.clear(self.job.fingerprint);
                    self.permit.ending(AttemptResult::Succeeded);
                    return None;
                }
                After::Lost => return Some(Err(self.lose("lost"))),
            }
        }
    }

    fn lose(&mut self, why: &'static str) -> BodyInterrupted {
        self.end = Some(why);
        self.permit.ending(AttemptResult::Failed);
        BodyInterrupted
    }

    /// All whole events that have come, each once and in order.
    fn take_events(&mut self) -> Result<Option<Bytes>, BodyInterrupted> {
        let mut events = Joiner::default();
        while let Some(event) = self.splitter.next_event().map_err(|_| BodyInterrupted)? {
            if let (Some(number), Some(last)) = (event.id, self.last)
                && number <= last
            {
                continue;
            }
            self.last = event.id.or(self.last);
            self.made += self.event_tokens;
            events.push(event.bytes);
        }
        let bytes = events.into_bytes();
        if bytes.is_empty() {
            return Ok(None);
        }
        self.count();
        Ok(Some(bytes))
    }

    fn count(&mut self) {
        let now = self.gateway.now();
        let run = &self.ticket.run;
        if run.begun.replace(true) {
            let pause = now.since(self.passed_at);
            self.longest_pause = self.longest_pause.max(pause);
        }
        self.passed_at = now;
        run.memory.set(self.prompt + self.made);
        let (_, output) = self.job.generation().unwrap_or_default();
        run.growth.set(output - self.made);
        self.permit.progress(self.made);
    }

    /// The engine's body ended, or broke off.
    async fn after_end(&mut self, broke: bool) -> After {
        if let Some(word) = self.ticket.run.take_continuation() {
            match tokio::time::timeout(CONTINUATION_WAIT, word).await {
                Ok(Ok(Continuation::From { permit, memory })) => {
                    return self.go_on(Some(permit), memory).await;
                }
                Ok(Ok(Continuation::Back { memory })) => {
                    return self.go_on(None, memory).await;
                }
                Ok(Ok(Continuation::Ended) | Err(_)) | Err(_) => {}
            }
        }
        if !broke {
            return After::Complete;
        }
        let again = self.gateway.may_run_again(&self.job, &self.permit).await;
        if !again {
            return After::Lost;
        }
        self.resume().await
    }

    /// Goes on from the run's memory, at another engine or, without one, where it
    /// was stopped; it is the same run.
    async fn go_on(&mut self, other: Option<Permit>, memory: KvCopy) -> After {
        let resume = Resume {
            last_event_id: self.last,
            kv_copy: Some(memory),
        };
        let permit = other.as_ref().unwrap_or(&self.permit);
        let call = self.gateway.call(&self.job, permit, Some(resume));
        let endpoint = permit.place.endpoint.clone();
        match self.gateway.endpoints.send(call).await {
            Ok(reply) if reply.status.is_success() && reply.attestation == Attestation::Ran => {
                self.job.note(format!(
                    "goes on at {endpoint} after event {}",
                    self.last.unwrap_or(0)
                ));
                self.gateway.counters.moved("went_on");
                if let Some(other) = other {
                    self.take_over(other);
                }
                self.read_on(reply.body);
                After::GoesOn
            }
            Ok(reply) => {
                self.job
                    .note(format!("{endpoint} did not go on: {}", reply.status));
                self.gateway.counters.moved("refused");
                After::Lost
            }
            Err(error) => {
                permit.ending(AttemptResult::Unreachable);
                self.job.note(format!("{endpoint} did not go on: {error}"));
                self.gateway.counters.moved("failed");
                After::Lost
            }
        }
    }

    /// Has another engine make the rest anew.
    async fn resume(&mut self) -> After {
        self.permit.ending(AttemptResult::Failed);
        let resume = Resume {
            last_event_id: self.last,
            kv_copy: None,
        };
        self.job.excludes(self.permit.place.endpoint.clone());
        let opened = self.gateway.open(&self.job, Some(resume), self.made).await;
        match opened {
            Ok(opened) if opened.reply.status.is_success() => {
                self.take_over(opened.permit);
                self.read_on(opened.reply.body);
                After::GoesOn
            }
            Ok(_) | Err(_) => After::Lost,
        }
    }

    fn take_over(&mut self, permit: Permit) {
        self.ticket.run.place.replace(permit.place.clone());
        permit.progress(self.made);
        self.permit = permit;
    }

    fn read_on(&mut self, body: LocalBoxStream<'static, Result<Bytes, BodyInterrupted>>) {
        self.body = body;
        self.splitter.clear();
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let end = self.end.unwrap_or("its caller left");
        let outcome = match self.end {
            Some("complete") => "answered",
            Some(_) => "broken",
            None => "left",
        };
        self.gateway.counters.ended(outcome);
        self.gateway
            .counters
            .pause_s
            .observe(seconds(self.longest_pause));
        self.job.note(format!(
            "{} made, longest pause {} ms",
            self.made,
            self.longest_pause.as_ms()
        ));
        self.job.log_end(&self.gateway, end);
    }
}
