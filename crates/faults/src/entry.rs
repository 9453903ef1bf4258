//! Entries and callers of a run.

use std::collections::BTreeSet;

use lentil_core::{AttemptId, Fingerprint, Outcome, RefusalReason, Span, Time};
use lentil_once::{AttemptReport, Call, CallTracker, Evidence, KeyDigest, NextStep, Reply};
use rand::RngExt as _;

use crate::event::{Happening, RequestNumber, ToAgent, ToEntry};
use crate::plan::FaultKind;
use crate::report::{CallResult, Heard};
use crate::world::CallSimulation;

/// Attempts of an entry for one request.
const TRIES: u32 = 6;
/// How long an entry waits for the word on an attempt.
const SETTLE_TIMEOUT: Span = Span::from_ms(500);
/// How long the end of a link takes to be noticed.
const LINK_BREAK: Span = Span::from_ms(3);
/// Wait between two attempts.
const AGAIN_WAIT: Span = Span::from_ms(100);

/// One caller's request at one entry.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) key: KeyDigest,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) attempts: BTreeSet<AttemptId>,
    pub(crate) answer: Option<String>,
    entry: usize,
    endpoint: usize,
    repeats: u32,
    tracker: CallTracker,
    current: Option<(AttemptId, lentil_core::BootId)>,
    begun: Time,
    ended: Option<Time>,
    expires: Time,
    told: CallResult,
}

impl Request {
    pub(crate) fn heard(&self) -> Heard {
        Heard {
            attempts: self.attempts.clone(),
            told: self.told,
        }
    }

    pub(crate) const fn told(&self) -> CallResult {
        self.told
    }

    pub(crate) fn wait(&self) -> Span {
        self.ended.unwrap_or(self.begun).since(self.begun)
    }
}

impl CallSimulation {
    pub(crate) fn add_request(
        &mut self,
        key: KeyDigest,
        fingerprint: Fingerprint,
        entry: usize,
        repeats: u32,
        at: Time,
    ) {
        let by_key = usize::try_from(key.get()).unwrap_or(0) % self.scene.endpoints;
        let number = self.requests.len();
        let expires = at + self.scene.caller_timeout;
        self.requests.push(Request {
            key,
            fingerprint,
            attempts: BTreeSet::new(),
            answer: None,
            entry,
            endpoint: self.scene.first_endpoint.unwrap_or(by_key),
            repeats,
            tracker: CallTracker::new(TRIES),
            current: None,
            begun: at,
            ended: None,
            expires,
            told: CallResult::NoReply,
        });
        self.at(at, Happening::Send(number));
        self.at(expires, Happening::Deadline(number));
    }

    /// Sends the next attempt of a request.
    pub(crate) fn on_send(&mut self, number: RequestNumber) {
        let attempt = self.new_attempt();
        let now = self.now;
        let share = self.scene.key_share;
        let Some(request) = self.requests.get_mut(number) else {
            return;
        };
        if request.ended.is_some() {
            return;
        }
        let endpoint = request.endpoint;
        request.tracker.begin(attempt);
        let target = self.current.get(endpoint).copied().flatten();
        let Some(process) = target.and_then(|id| self.processes.get(&id)) else {
            let report = AttemptReport::NeverSent(RefusalReason::EndpointFailed);
            return self.report_attempt(number, attempt, &report);
        };
        let boot = process.claims.attempts().epoch();
        request.attempts.insert(attempt);
        request.current = Some((attempt, boot));
        let remaining = request.expires.since(now);
        let call = Call {
            attempt,
            key: request.key,
            fingerprint: request.fingerprint,
            boot,
            // A deadline crosses the link as what remains.
            expires: now + remaining,
            share,
            evidence: Evidence::None,
        };
        self.send_call(endpoint, call);
        let timeout = Happening::Entry(number, attempt, ToEntry::AttemptTimeout);
        self.after(self.scene.attempt_timeout, timeout);
    }

    fn send_call(&mut self, endpoint: usize, call: Call) {
        let at = self.link_arrival(endpoint);
        self.at(at, Happening::Endpoint(endpoint, ToAgent::Call(call)));
        let twin = self.plan.active(FaultKind::Duplicate, self.now).is_some();
        if twin && self.rng.random_bool(0.5) {
            let late = Span::from_us(self.rng.random_range(0..4_000_000));
            self.at(
                at + late,
                Happening::Endpoint(endpoint, ToAgent::Call(call)),
            );
        }
    }

    pub(crate) fn deliver_entry(
        &mut self,
        number: RequestNumber,
        attempt: AttemptId,
        message: ToEntry,
    ) {
        let Some(request) = self.requests.get_mut(number) else {
            return;
        };
        if request.ended.is_some() || !request.tracker.is_current(attempt) {
            return;
        }
        match message {
            ToEntry::Reply(reply) => self.on_reply(number, attempt, reply),
            ToEntry::AttemptTimeout => self.ask_settle(number, attempt),
            ToEntry::Settled(Outcome::NotRun) => {
                let report = AttemptReport::Refused(Outcome::NotRun, RefusalReason::EndpointFailed);
                self.report_attempt(number, attempt, &report);
            }
            // The agent lives: the same key joins there, or gets the kept answer.
            ToEntry::Settled(Outcome::Ran | Outcome::Unknown) => {
                self.report_attempt(number, attempt, &AttemptReport::Lost);
            }
            ToEntry::LinkBroke | ToEntry::SettleTimeout => {
                request.endpoint = (request.endpoint + 1) % self.scene.endpoints;
                self.report_attempt(number, attempt, &AttemptReport::Lost);
            }
        }
    }

    fn on_reply(&mut self, number: RequestNumber, attempt: AttemptId, reply: Reply) {
        let report = match reply {
            Reply::Answered { answer, .. } => {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                if let Some(request) = self.request(number) {
                    request.answer = Some(body);
                }
                return self.tell(number, CallResult::Answered);
            }
            Reply::Refused(refusal) => AttemptReport::Refused(refusal.outcome(), refusal.reason),
            Reply::Follow(executor) => AttemptReport::Follow(executor),
        };
        self.report_attempt(number, attempt, &report);
    }

    fn ask_settle(&mut self, number: RequestNumber, attempt: AttemptId) {
        let Some(request) = self.requests.get(number) else {
            return;
        };
        let Some((_, boot)) = request.current else {
            return;
        };
        let (endpoint, key) = (request.endpoint, request.key);
        let at = self.link_arrival(endpoint);
        let settle = ToAgent::Settle { attempt, key, boot };
        self.at(at, Happening::Endpoint(endpoint, settle));
        let timeout = Happening::Entry(number, attempt, ToEntry::SettleTimeout);
        self.after(SETTLE_TIMEOUT, timeout);
    }

    fn report_attempt(
        &mut self,
        number: RequestNumber,
        attempt: AttemptId,
        report: &AttemptReport,
    ) {
        let endpoints = self.scene.endpoints;
        let Some(request) = self.request(number) else {
            return;
        };
        let never_sent = matches!(report, AttemptReport::NeverSent(_));
        match request.tracker.report(attempt, report) {
            Some(NextStep::Refuse(refusal)) => {
                self.tell(number, CallResult::Refused(refusal.outcome()))
            }
            Some(NextStep::Retry(target)) => {
                if never_sent {
                    request.endpoint = (request.endpoint + 1) % endpoints;
                }
                let found =
                    target.and_then(|id| (0..endpoints).find(|at| Self::endpoint_id(*at) == id));
                request.endpoint = found.unwrap_or(request.endpoint);
                self.after(AGAIN_WAIT, Happening::Send(number));
            }
            None => {}
        }
    }

    pub(crate) fn on_deadline(&mut self, number: RequestNumber) {
        let Some(request) = self.request(number) else {
            return;
        };
        if request.ended.is_none() {
            let refusal = request.tracker.give_up(RefusalReason::DeadlineExceeded);
            self.tell(number, CallResult::Refused(refusal.outcome()));
        }
    }

    /// Ends a request; its caller may repeat it at another entry.
    fn tell(&mut self, number: RequestNumber, told: CallResult) {
        let now = self.now;
        let Some(request) = self.request(number) else {
            return;
        };
        request.ended = Some(now);
        request.told = told;
        let (key, fingerprint, repeats) = (request.key, request.fingerprint, request.repeats);
        let entry = request.entry;
        if told != CallResult::Answered && repeats > 0 {
            let wait = Span::from_us(self.rng.random_range(50_000..2_000_000));
            let entry = self.live_entry_after(entry);
            self.add_request(key, fingerprint, entry, repeats - 1, now + wait);
        }
    }

    fn live_entry_after(&self, entry: usize) -> usize {
        (1..=self.scene.entries)
            .map(|step| (entry + step) % self.scene.entries)
            .find(|at| self.dead_entries.get(*at) == Some(&false))
            .unwrap_or(entry)
    }

    pub(crate) fn kill_entry(&mut self, victim: usize) {
        let entry = victim % self.scene.entries;
        if let Some(dead) = self.dead_entries.get_mut(entry) {
            *dead = true;
        }
        let now = self.now;
        let cut: Vec<RequestNumber> = (0..self.requests.len())
            .filter(|number| {
                self.requests
                    .get(*number)
                    .is_some_and(|r| r.entry == entry && r.ended.is_none() && r.begun <= now)
            })
            .collect();
        for number in cut {
            self.tell(number, CallResult::NoReply);
        }
    }

    /// Entries notice that nothing listens beside an endpoint any more.
    pub(crate) fn break_links(&mut self, endpoint: usize) {
        for number in 0..self.requests.len() {
            let current = self
                .requests
                .get(number)
                .filter(|r| r.endpoint == endpoint && r.ended.is_none())
                .and_then(|r| r.current);
            if let Some((attempt, _)) = current {
                // What was sent before the end of a link arrives before it.
                let way = LINK_BREAK;
                self.after(way, Happening::Entry(number, attempt, ToEntry::LinkBroke));
            }
        }
    }
}
