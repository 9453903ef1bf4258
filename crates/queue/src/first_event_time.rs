//! Measured time from the start of a request to its first event.

use lentil_core::Span;

use crate::request::RequestCost;

/// Divisor that gives the weight of a new sample in the averages.
const AVERAGE_DIVISOR: u64 = 16;
/// The averages are kept for a request of this cost.
const COST_SCALE: u64 = 1_024;
/// Number of mean deviations that are allowed for beyond the mean. With the mean alone, half of
/// the requests that start at the last moment are late.
const DEVIATIONS: u64 = 2;

/// Time to the first event, relative to the cost that is due before it.
#[derive(Debug, Default)]
pub(crate) struct FirstEventTime {
    mean_us: u64,
    deviation_us: u64,
    is_measured: bool,
}

impl FirstEventTime {
    pub(crate) fn record(&mut self, cost: RequestCost, took: Span) {
        let sample_us = took.as_us().saturating_mul(COST_SCALE) / cost.first_event();
        if !std::mem::replace(&mut self.is_measured, true) {
            self.mean_us = sample_us;
            return;
        }
        let deviation_us = self.mean_us.abs_diff(sample_us);
        self.mean_us = averaged(self.mean_us, sample_us);
        self.deviation_us = averaged(self.deviation_us, deviation_us);
    }

    /// Time that most requests of this cost need; zero if none is measured.
    pub(crate) fn allowance(&self, cost: RequestCost) -> Span {
        let scaled_us = self
            .mean_us
            .saturating_add(self.deviation_us.saturating_mul(DEVIATIONS));
        Span::from_us(scaled_us.saturating_mul(cost.first_event()) / COST_SCALE)
    }
}

const fn averaged(average: u64, sample: u64) -> u64 {
    (average.saturating_mul(AVERAGE_DIVISOR - 1)).saturating_add(sample) / AVERAGE_DIVISOR
}
