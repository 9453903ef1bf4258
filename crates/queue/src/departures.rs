//! Measured rate at which requests leave a queue that has waiting requests.

use std::collections::VecDeque;

use lentil_catalog::PriorityLevel;
use lentil_core::{Span, Time};

/// Length of one measurement interval.
const INTERVAL: Span = Span::from_ms(250);
/// Number of intervals that the rate is measured over: 2 s, within which endpoints join and
/// leave.
const INTERVALS_MAX: usize = 8;
/// Shortest time with waiting requests that gives a rate.
const BUSY_MIN: Span = Span::from_ms(200);
/// Number of priority levels.
const LEVELS: usize = 10;

#[derive(Debug, Default)]
struct Interval {
    began: Time,
    /// Time during which requests waited.
    busy_us: u64,
    /// Cost of the requests that left, by priority level.
    cost_by_level: [u64; LEVELS],
}

/// Cost of the requests that left the queue while others waited, over the last two seconds.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    intervals: VecDeque<Interval>,
    advanced_to: Time,
}

impl Departures {
    /// Accounts for the time until `now`, during which requests waited if `busy`.
    pub(crate) fn advance(&mut self, now: Time, busy: bool) {
        let elapsed = now.since(self.advanced_to);
        self.advanced_to = now;
        let starts_interval = self
            .intervals
            .back()
            .is_none_or(|last| (last.began + INTERVAL).has_passed(now));
        if starts_interval {
            let interval = Interval {
                began: now,
                ..Interval::default()
            };
            self.intervals.push_back(interval);
        }
        let window = INTERVAL.times(INTERVALS_MAX as u64);
        while self.intervals.len() > INTERVALS_MAX
            || self
                .intervals
                .front()
                .is_some_and(|first| (first.began + window).has_passed(now))
        {
            self.intervals.pop_front();
        }
        if let Some(last) = self.intervals.back_mut()
            && busy
        {
            last.busy_us += elapsed.as_us().min(window.as_us());
        }
    }

    pub(crate) fn record(&mut self, level: PriorityLevel, cost: u64) {
        let last = self.intervals.back_mut();
        if let Some(sum) =
            last.and_then(|last| last.cost_by_level.get_mut(usize::from(level.get())))
        {
            *sum += cost;
        }
    }

    /// Takes back a departure that did no work, as the endpoint failed or declined it.
    pub(crate) fn retract(&mut self, level: PriorityLevel, mut cost: u64) {
        for interval in self.intervals.iter_mut().rev() {
            if let Some(sum) = interval.cost_by_level.get_mut(usize::from(level.get())) {
                let taken = cost.min(*sum);
                *sum -= taken;
                cost -= taken;
            }
        }
    }

    /// Time in which requests of a total cost leave that have this or a less urgent level.
    /// `None` if too little is measured.
    pub(crate) fn time_for(&self, cost: u64, most_urgent: PriorityLevel) -> Option<Span> {
        let busy_us: u64 = self.intervals.iter().map(|interval| interval.busy_us).sum();
        if busy_us < BUSY_MIN.as_us() {
            return None;
        }
        let levels = usize::from(most_urgent.get())..;
        let departed: u64 = self
            .intervals
            .iter()
            .filter_map(|interval| interval.cost_by_level.get(levels.clone()))
            .flatten()
            .sum();
        // With nothing measured, at most one plain request left in this time.
        let departed = departed.max(crate::RequestCost::PLAIN.total());
        let time_us = u128::from(cost) * u128::from(busy_us) / u128::from(departed);
        Some(Span::from_us(u64::try_from(time_us).unwrap_or(u64::MAX)))
    }
}
