//! An entry's view of one endpoint.

use std::collections::VecDeque;

use lentil_core::{BootId, EndpointLoad, EndpointState, Priority, Span, Time, ZoneId};

use crate::event::SendMode;

/// Most unanswered requests at an agent that has not reported its load yet.
const PROBE_REQUESTS_MAX: u32 = 1;
/// Weight of a new sample in the average time per token.
const AVERAGE_WEIGHT_PERCENT: u64 = 20;
/// Samples needed before the average time per token is used.
const SAMPLES_MIN: u32 = 8;
/// Time without an answer to a request after which the link counts as stalled.
const STALL_TIMEOUT: Span = Span::from_ms(500);
/// Age from which a sent request is assumed to be included in a load report.
const LOAD_LAG: Span = Span::from_ms(50);
/// Agents close one slot in this many to reports, and half as many to interactive requests.
const RESERVE_DIVISOR: u32 = 8;

/// The state of one endpoint as known to one entry.
#[derive(Debug)]
pub(crate) struct EndpointView {
    pub(crate) zone: ZoneId,
    pub(crate) withdrawn: bool,
    load: Option<EndpointLoad>,
    credits: u32,
    credits_expire_at: Time,
    /// Send times of the requests that the agent's load does not include yet.
    unreported: VecDeque<Time>,
    token_us: u64,
    samples: u32,
}

impl EndpointView {
    pub(crate) fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            withdrawn: false,
            load: None,
            credits: 0,
            credits_expire_at: Time::ZERO,
            unreported: VecDeque::new(),
            token_us: 0,
            samples: 0,
        }
    }

    /// Stores a load report, unless it is older than the known one.
    pub(crate) fn load_reported(&mut self, now: Time, load: EndpointLoad) {
        if !self.is_newer(load.boot, load.sequence) {
            return;
        }
        if self.load.is_some_and(|known| known.boot < load.boot) {
            self.credits = 0;
            self.unreported.clear();
        }
        self.unreported
            .retain(|sent_at| !(*sent_at + LOAD_LAG).has_passed(now));
        self.load = Some(load);
    }

    fn is_newer(&self, boot: BootId, sequence: u64) -> bool {
        self.load
            .is_none_or(|known| (known.boot, known.sequence) < (boot, sequence))
    }

    pub(crate) fn credits_granted(&mut self, boot: BootId, credits: u32, expires: Time) {
        if self.load.is_none_or(|known| known.boot <= boot) {
            self.credits = credits;
            self.credits_expire_at = expires;
        }
    }

    pub(crate) fn request_sent(&mut self, now: Time) {
        self.unreported.push_back(now);
        self.credits = self.credits.saturating_sub(1);
    }

    /// Records that the agent answered the request sent at `sent_at`.
    pub(crate) fn request_answered(&mut self, sent_at: Time) {
        if let Some(index) = self
            .unreported
            .iter()
            .position(|unreported| *unreported == sent_at)
        {
            self.unreported.remove(index);
        }
    }

    /// Number of requests sent that the agent's load does not include yet.
    fn unreported(&self) -> u32 {
        u32::try_from(self.unreported.len()).unwrap_or(u32::MAX)
    }

    /// Records a refusal; the endpoint counts as full until its agent reports otherwise.
    pub(crate) fn refused(&mut self) {
        if let Some(load) = &mut self.load {
            load.free_slots = 0;
        }
        self.credits = 0;
    }

    pub(crate) fn record_tokens(&mut self, elapsed: Span, tokens: u32) {
        if tokens < 2 {
            return;
        }
        let sample_us = elapsed.as_us() / u64::from(tokens);
        self.token_us = match self.samples {
            0 => sample_us,
            _ => {
                (self.token_us * (100 - AVERAGE_WEIGHT_PERCENT)
                    + sample_us * AVERAGE_WEIGHT_PERCENT)
                    / 100
            }
        };
        self.samples = self.samples.saturating_add(1);
    }

    /// Average time per token, once there are enough samples.
    pub(crate) fn token_us(&self) -> Option<u64> {
        (self.samples >= SAMPLES_MIN).then_some(self.token_us)
    }

    pub(crate) fn is_stalled(&self, now: Time) -> bool {
        self.unreported
            .front()
            .is_some_and(|since| (*since + STALL_TIMEOUT).has_passed(now))
    }

    /// Whether a request of this priority is expected to start there immediately.
    pub(crate) fn has_capacity(&self, now: Time, mode: SendMode, priority: Priority) -> bool {
        if self.withdrawn || self.is_stalled(now) {
            return false;
        }
        match (mode, self.load) {
            (_, Some(load)) if !load.state.accepts_requests() => false,
            (SendMode::Credits, _) => self.credits > 0 && !self.credits_expire_at.has_passed(now),
            (SendMode::Optimistic, None) => self.unreported() < PROBE_REQUESTS_MAX,
            (SendMode::Optimistic, Some(load)) => {
                load.free_slots > self.unreported() + reserved_slots(&load, priority)
            }
        }
    }

    /// Share of the endpoint in use, in thousandths.
    pub(crate) fn occupancy(&self) -> u64 {
        let Some(load) = self.load else {
            return 0;
        };
        let requests =
            u64::from(load.running) + u64::from(load.waiting) + u64::from(self.unreported());
        let slots = u64::from(load.running) + u64::from(load.free_slots);
        let by_slots = requests * 1_000 / slots.max(1);
        let blocks_total = u64::from(load.blocks_total.get());
        if blocks_total == 0 {
            return by_slots;
        }
        by_slots.max(u64::from(load.blocks_used.get()) * 1_000 / blocks_total)
    }

    pub(crate) fn state(&self) -> Option<EndpointState> {
        self.load.map(|load| load.state)
    }
}

fn reserved_slots(load: &EndpointLoad, priority: Priority) -> u32 {
    let limit = load.running.saturating_add(load.free_slots);
    match priority {
        Priority::Verdict => 0,
        Priority::Interactive => limit / (RESERVE_DIVISOR * 2),
        Priority::Report => limit / RESERVE_DIVISOR,
    }
}
