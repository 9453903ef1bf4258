//! Entries and callers of a call simulation.

use std::collections::BTreeSet;

use lentil_core::{AttemptId, Fingerprint, Outcome, RefusalReason, Span, Time};
use lentil_once::{AttemptReport, Call, CallTracker, Evidence, KeyDigest, NextStep, Reply};
use rand::RngExt as _;

use crate::event::{AgentMessage, EntryMessage, RequestIndex, SimulationEvent};
use crate::plan::FaultKind;
use crate::report::{CallResult, RequestSummary};
use crate::simulation::CallSimulation;

/// Maximum number of attempts that an entry makes for one request.
const ATTEMPTS_MAX: u32 = 6;
/// Time an entry waits for the settled outcome of an attempt.
const SETTLE_TIMEOUT: Span = Span::from_ms(500);
/// Time until an entry notices that a link was closed.
const LINK_CLOSE_DELAY: Span = Span::from_ms(3);
/// Delay between two attempts.
const RETRY_DELAY: Span = Span::from_ms(100);

/// One caller's request at one entry.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) key: KeyDigest,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) attempts: BTreeSet<AttemptId>,
    pub(crate) answer: Option<String>,
    entry: usize,
    endpoint: usize,
    retries_left: u32,
    tracker: CallTracker,
    current: Option<(AttemptId, lentil_core::BootId)>,
    started_at: Time,
    ended_at: Option<Time>,
    expires_at: Time,
    result: CallResult,
}

impl Request {
    pub(crate) fn summary(&self) -> RequestSummary {
        RequestSummary {
            attempts: self.attempts.clone(),
            result: self.result,
        }
    }

    pub(crate) const fn result(&self) -> CallResult {
        self.result
    }

    pub(crate) fn duration(&self) -> Span {
        self.ended_at
            .unwrap_or(self.started_at)
            .since(self.started_at)
    }
}

impl CallSimulation {
    pub(crate) fn add_request(
        &mut self,
        key: KeyDigest,
        fingerprint: Fingerprint,
        entry: usize,
        retries_left: u32,
        at: Time,
    ) {
        let endpoint_for_key = usize::try_from(key.get()).unwrap_or(0) % self.scenario.endpoints;
        let number = self.requests.len();
        let expires_at = at + self.scenario.caller_timeout;
        self.requests.push(Request {
            key,
            fingerprint,
            attempts: BTreeSet::new(),
            answer: None,
            entry,
            endpoint: self.scenario.first_endpoint.unwrap_or(endpoint_for_key),
            retries_left,
            tracker: CallTracker::new(ATTEMPTS_MAX),
            current: None,
            started_at: at,
            ended_at: None,
            expires_at,
            result: CallResult::NoReply,
        });
        self.schedule_at(at, SimulationEvent::SendAttempt(number));
        self.schedule_at(expires_at, SimulationEvent::CallerTimeout(number));
    }

    /// Sends the next attempt of a request.
    pub(crate) fn on_send_attempt(&mut self, number: RequestIndex) {
        let attempt = self.new_attempt();
        let now = self.now;
        let share = self.scenario.key_share;
        let Some(request) = self.requests.get_mut(number) else {
            return;
        };
        if request.ended_at.is_some() {
            return;
        }
        let endpoint = request.endpoint;
        request.tracker.begin(attempt);
        let target = self.current_processes.get(endpoint).copied().flatten();
        let Some(process) = target.and_then(|id| self.processes.get(&id)) else {
            let report = AttemptReport::NeverSent(RefusalReason::EndpointFailed);
            return self.report_attempt(number, attempt, &report);
        };
        let boot = process.claims.attempts().epoch();
        request.attempts.insert(attempt);
        request.current = Some((attempt, boot));
        let remaining = request.expires_at.since(now);
        let call = Call {
            attempt,
            key: request.key,
            fingerprint: request.fingerprint,
            boot,
            // Links carry a deadline as the remaining time.
            expires: now + remaining,
            share,
            evidence: Evidence::None,
        };
        self.send_call(endpoint, call);
        let timeout =
            SimulationEvent::DeliverToEntry(number, attempt, EntryMessage::AttemptTimeout);
        self.schedule_after(self.scenario.attempt_timeout, timeout);
    }

    fn send_call(&mut self, endpoint: usize, call: Call) {
        let at = self.link_arrival_time(endpoint);
        self.schedule_at(
            at,
            SimulationEvent::DeliverToEndpoint(endpoint, AgentMessage::Call(call)),
        );
        let duplicate = self.plan.active(FaultKind::Duplicate, self.now).is_some();
        if duplicate && self.rng.random_bool(0.5) {
            let delay = Span::from_us(self.rng.random_range(0..4_000_000));
            self.schedule_at(
                at + delay,
                SimulationEvent::DeliverToEndpoint(endpoint, AgentMessage::Call(call)),
            );
        }
    }

    pub(crate) fn deliver_entry(
        &mut self,
        number: RequestIndex,
        attempt: AttemptId,
        message: EntryMessage,
    ) {
        let Some(request) = self.requests.get_mut(number) else {
            return;
        };
        if request.ended_at.is_some() || !request.tracker.is_current(attempt) {
            return;
        }
        match message {
            EntryMessage::Reply(reply) => self.on_reply(number, attempt, reply),
            EntryMessage::AttemptTimeout => self.send_settle(number, attempt),
            EntryMessage::Settled(Outcome::NotRun) => {
                let report = AttemptReport::Refused(Outcome::NotRun, RefusalReason::EndpointFailed);
                self.report_attempt(number, attempt, &report);
            }
            // The agent is alive: a retry with the same key joins the running call there or gets
            // the stored answer.
            EntryMessage::Settled(Outcome::Ran | Outcome::Unknown) => {
                self.report_attempt(number, attempt, &AttemptReport::Lost);
            }
            EntryMessage::LinkClosed | EntryMessage::SettleTimeout => {
                request.endpoint = (request.endpoint + 1) % self.scenario.endpoints;
                self.report_attempt(number, attempt, &AttemptReport::Lost);
            }
        }
    }

    fn on_reply(&mut self, number: RequestIndex, attempt: AttemptId, reply: Reply) {
        let report = match reply {
            Reply::Answered { answer, .. } => {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                if let Some(request) = self.request_mut(number) {
                    request.answer = Some(body);
                }
                return self.finish_request(number, CallResult::Answered);
            }
            Reply::Refused(refusal) => AttemptReport::Refused(refusal.outcome(), refusal.reason),
            Reply::Follow(executor) => AttemptReport::Follow(executor),
        };
        self.report_attempt(number, attempt, &report);
    }

    fn send_settle(&mut self, number: RequestIndex, attempt: AttemptId) {
        let Some(request) = self.requests.get(number) else {
            return;
        };
        let Some((_, boot)) = request.current else {
            return;
        };
        let (endpoint, key) = (request.endpoint, request.key);
        let at = self.link_arrival_time(endpoint);
        let settle = AgentMessage::Settle { attempt, key, boot };
        self.schedule_at(at, SimulationEvent::DeliverToEndpoint(endpoint, settle));
        let timeout = SimulationEvent::DeliverToEntry(number, attempt, EntryMessage::SettleTimeout);
        self.schedule_after(SETTLE_TIMEOUT, timeout);
    }

    fn report_attempt(&mut self, number: RequestIndex, attempt: AttemptId, report: &AttemptReport) {
        let endpoints = self.scenario.endpoints;
        let Some(request) = self.request_mut(number) else {
            return;
        };
        let never_sent = matches!(report, AttemptReport::NeverSent(_));
        match request.tracker.report(attempt, report) {
            Some(NextStep::Refuse(refusal)) => {
                self.finish_request(number, CallResult::Refused(refusal.outcome()));
            }
            Some(NextStep::Retry(target)) => {
                if never_sent {
                    request.endpoint = (request.endpoint + 1) % endpoints;
                }
                let found =
                    target.and_then(|id| (0..endpoints).find(|at| Self::endpoint_id(*at) == id));
                request.endpoint = found.unwrap_or(request.endpoint);
                self.schedule_after(RETRY_DELAY, SimulationEvent::SendAttempt(number));
            }
            None => {}
        }
    }

    pub(crate) fn on_caller_timeout(&mut self, number: RequestIndex) {
        let Some(request) = self.request_mut(number) else {
            return;
        };
        if request.ended_at.is_none() {
            let refusal = request.tracker.give_up(RefusalReason::DeadlineExceeded);
            self.finish_request(number, CallResult::Refused(refusal.outcome()));
        }
    }

    /// Ends a request with `result`; its caller may retry it at another entry.
    fn finish_request(&mut self, number: RequestIndex, result: CallResult) {
        let now = self.now;
        let Some(request) = self.request_mut(number) else {
            return;
        };
        request.ended_at = Some(now);
        request.result = result;
        let (key, fingerprint, retries_left) =
            (request.key, request.fingerprint, request.retries_left);
        let entry = request.entry;
        if result != CallResult::Answered && retries_left > 0 {
            let wait = Span::from_us(self.rng.random_range(50_000..2_000_000));
            let entry = self.live_entry_after(entry);
            self.add_request(key, fingerprint, entry, retries_left - 1, now + wait);
        }
    }

    fn live_entry_after(&self, entry: usize) -> usize {
        (1..=self.scenario.entries)
            .map(|step| (entry + step) % self.scenario.entries)
            .find(|at| self.dead_entries.get(*at) == Some(&false))
            .unwrap_or(entry)
    }

    pub(crate) fn kill_entry(&mut self, target: usize) {
        let entry = target % self.scenario.entries;
        if let Some(dead) = self.dead_entries.get_mut(entry) {
            *dead = true;
        }
        let now = self.now;
        let interrupted: Vec<RequestIndex> = (0..self.requests.len())
            .filter(|number| {
                self.requests.get(*number).is_some_and(|r| {
                    r.entry == entry && r.ended_at.is_none() && r.started_at <= now
                })
            })
            .collect();
        for number in interrupted {
            self.finish_request(number, CallResult::NoReply);
        }
    }

    /// Makes entries notice that the agent of an endpoint no longer listens.
    pub(crate) fn close_links(&mut self, endpoint: usize) {
        for number in 0..self.requests.len() {
            let current = self
                .requests
                .get(number)
                .filter(|r| r.endpoint == endpoint && r.ended_at.is_none())
                .and_then(|r| r.current);
            if let Some((attempt, _)) = current {
                // Messages sent before the link closed arrive before the notice of its closing.
                let delay = LINK_CLOSE_DELAY;
                self.schedule_after(
                    delay,
                    SimulationEvent::DeliverToEntry(number, attempt, EntryMessage::LinkClosed),
                );
            }
        }
    }
}
