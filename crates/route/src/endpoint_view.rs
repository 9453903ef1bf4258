//! What an entry believes of one endpoint.

use std::collections::VecDeque;

use lentil_core::{BootId, EndpointLoad, EndpointState, Priority, Span, Time, ZoneId};

use crate::event::SendMode;

/// Requests sent to an agent that has not told its load yet.
const PROBES_MAX: u32 = 1;
/// Weight of a new sample in the average time of a token.
const AVERAGE_WEIGHT_PERCENT: u64 = 20;
/// Samples before an endpoint's speed is judged.
const SAMPLES_MIN: u32 = 8;
/// Time without any answer after which a link counts as stalled.
const STALL: Span = Span::from_ms(500);
/// Age at which a sent request shows in the load that comes then.
const SEEN_AFTER: Span = Span::from_ms(50);
/// Agents keep one slot in this many from reports, half of that from streams.
const RESERVE_PART: u32 = 8;

/// One endpoint, as seen from one entry.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) zone: ZoneId,
    pub(crate) withdrawn: bool,
    load: Option<EndpointLoad>,
    credits: u32,
    credits_expire: Time,
    /// When requests were sent that the agent's load doesn't show yet.
    unseen: VecDeque<Time>,
    token_us: u64,
    samples: u32,
}

impl Replica {
    pub(crate) fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            withdrawn: false,
            load: None,
            credits: 0,
            credits_expire: Time::ZERO,
            unseen: VecDeque::new(),
            token_us: 0,
            samples: 0,
        }
    }

    /// Takes figures in, unless they are older than those known.
    pub(crate) fn told(&mut self, now: Time, load: EndpointLoad) {
        if !self.is_news(load.boot, load.sequence) {
            return;
        }
        if self.load.is_some_and(|known| known.boot < load.boot) {
            self.credits = 0;
            self.unseen.clear();
        }
        self.unseen
            .retain(|sent| !(*sent + SEEN_AFTER).has_passed(now));
        self.load = Some(load);
    }

    fn is_news(&self, boot: BootId, sequence: u64) -> bool {
        self.load
            .is_none_or(|known| (known.boot, known.sequence) < (boot, sequence))
    }

    pub(crate) fn granted(&mut self, boot: BootId, credits: u32, expires: Time) {
        if self.load.is_none_or(|known| known.boot <= boot) {
            self.credits = credits;
            self.credits_expire = expires;
        }
    }

    pub(crate) fn sent(&mut self, now: Time) {
        self.unseen.push_back(now);
        self.credits = self.credits.saturating_sub(1);
    }

    /// The agent answered a request that was sent then.
    pub(crate) fn answered(&mut self, sent: Time) {
        if let Some(place) = self.unseen.iter().position(|unseen| *unseen == sent) {
            self.unseen.remove(place);
        }
    }

    /// Requests sent that the agent's load doesn't show.
    fn unseen(&self) -> u32 {
        u32::try_from(self.unseen.len()).unwrap_or(u32::MAX)
    }

    /// The agent refused: it has no room until it says otherwise.
    pub(crate) fn refused(&mut self) {
        if let Some(load) = &mut self.load {
            load.free_slots = 0;
        }
        self.credits = 0;
    }

    pub(crate) fn made_tokens(&mut self, took: Span, tokens: u32) {
        if tokens < 2 {
            return;
        }
        let sample_us = took.as_us() / u64::from(tokens);
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

    /// Average time of a token, once it is known.
    pub(crate) fn token_us(&self) -> Option<u64> {
        (self.samples >= SAMPLES_MIN).then_some(self.token_us)
    }

    pub(crate) fn is_stalled(&self, now: Time) -> bool {
        self.unseen
            .front()
            .is_some_and(|since| (*since + STALL).has_passed(now))
    }

    /// Whether a request of this class is believed to start there at once.
    pub(crate) fn has_room(&self, now: Time, mode: SendMode, priority: Priority) -> bool {
        if self.withdrawn || self.is_stalled(now) {
            return false;
        }
        match (mode, self.load) {
            (_, Some(load)) if !load.state.accepts_requests() => false,
            (SendMode::Credits, _) => self.credits > 0 && !self.credits_expire.has_passed(now),
            (SendMode::Optimistic, None) => self.unseen() < PROBES_MAX,
            (SendMode::Optimistic, Some(load)) => {
                load.free_slots > self.unseen() + reserve(&load, priority)
            }
        }
    }

    /// Share of the endpoint in use, in thousandths.
    pub(crate) fn occupancy(&self) -> u64 {
        let Some(load) = self.load else {
            return 0;
        };
        let busy = u64::from(load.running) + u64::from(load.waiting) + u64::from(self.unseen());
        let slots = u64::from(load.running) + u64::from(load.free_slots);
        let by_slots = busy * 1_000 / slots.max(1);
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

fn reserve(load: &EndpointLoad, priority: Priority) -> u32 {
    let limit = load.running.saturating_add(load.free_slots);
    match priority {
        Priority::Verdict => 0,
        Priority::Interactive => limit / (RESERVE_PART * 2),
        Priority::Report => limit / RESERVE_PART,
    }
}
