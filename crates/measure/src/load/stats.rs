//! Statistics of one run.

use hdrhistogram::{CreationError, Histogram};
use lentil_core::{Priority, Span, Time};
use serde::Serialize;

use super::numeric::{count_to_f64, u64_to_f64};
use super::workload::{ORGANISATION_SHARES, SampledRequest, WARM_UP};

/// Length beyond which a gap between tokens counts as a stall.
const STALL_THRESHOLD: Span = Span::from_ms(100);
/// Latency target for the first token.
const FIRST_TOKEN_TARGET: Span = Span::from_ms(1_700);
/// Latency target for the time between tokens, averaged over a generation.
const GAP_TARGET: Span = Span::from_ms(32);
/// Largest value that the histogram of gaps can hold, in microseconds.
const HISTOGRAM_MAX_US: u64 = 600_000_000;

/// Status of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum RequestStatus {
    /// Waiting or running.
    #[default]
    Open,
    Finished,
    /// Refused explicitly, at once or while it waited.
    Refused,
    /// The caller left before the first token.
    Late,
    /// Lost after its first token, or failed on all attempts.
    Failed,
}

/// Progress of one request.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RequestRecord {
    pub(crate) first: Option<Time>,
    pub(crate) last: Time,
    pub(crate) tokens: u32,
    pub(crate) status: RequestStatus,
}

/// Statistics collected during one run.
#[derive(Debug)]
pub(crate) struct RunStats {
    gaps: Histogram<u64>,
    stalled_us: u64,
    pub(crate) records: Vec<RequestRecord>,
    pub(crate) preemptions: u64,
    pub(crate) attempts: u64,
    /// Peak load on an engine that warms up, in multiples of its bound.
    pub(crate) warm_up_peak_load: f64,
    /// Engines that crashed under load while they warmed up.
    pub(crate) overload_crashes: u64,
}

/// Metrics of one run.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Metrics {
    pub(crate) requests: f64,
    /// Seconds by which gaps exceed 100 ms, per 1000 requests.
    pub(crate) stall_s: f64,
    /// Per 1000 requests.
    pub(crate) preemptions: f64,
    pub(crate) gap_p99_ms: f64,
    pub(crate) gap_p999_ms: f64,
    /// Of requests that a person waits for, which excludes reports.
    pub(crate) first_p95_ms: f64,
    pub(crate) goodput: f64,
    /// Goodput from the withdrawal of a zone until 20 s after its return.
    pub(crate) zone_goodput: f64,
    pub(crate) refused: f64,
    pub(crate) late: f64,
    pub(crate) failed: f64,
    /// Jain's fairness index over the organisations' goodput.
    pub(crate) fairness: f64,
    /// Peak load on an endpoint that warms up, in multiples of its bound.
    pub(crate) warming_peak: f64,
    /// Attempts per request.
    pub(crate) attempts: f64,
    /// Largest ratio of an organisation's p95 wait to its p95 wait in a run alone.
    pub(crate) wait_ratio: f64,
    /// Engines that crashed under load while they warmed up.
    pub(crate) fell_over: f64,
}

/// Sorts the samples and returns their quantile at `permille`, or 0 without samples.
pub(crate) fn quantile_us(samples: &mut [u64], permille: usize) -> u64 {
    samples.sort_unstable();
    let index = (samples.len() * permille / 1_000).min(samples.len().saturating_sub(1));
    samples.get(index).copied().unwrap_or(0)
}

fn ms(us: u64) -> f64 {
    u64_to_f64(us) / 1e3
}

impl RunStats {
    pub(crate) fn new(requests: usize) -> Result<Self, CreationError> {
        Ok(Self {
            gaps: Histogram::new_with_bounds(1, HISTOGRAM_MAX_US, 3)?,
            stalled_us: 0,
            records: vec![RequestRecord::default(); requests],
            preemptions: 0,
            attempts: 0,
            warm_up_peak_load: 0.0,
            overload_crashes: 0,
        })
    }

    /// Records a token of a request.
    pub(crate) fn record_token(&mut self, now: Time, request: usize, measured: bool) {
        let Some(record) = self.records.get_mut(request) else {
            return;
        };
        record.tokens += 1;
        if record.first.is_none() {
            record.first = Some(now);
        } else if measured {
            let gap = now.since(record.last);
            self.gaps.saturating_record(gap.as_us());
            self.stalled_us += gap.as_us().saturating_sub(STALL_THRESHOLD.as_us());
        }
        record.last = now;
    }

    /// Returns the times to first token of requests that a person waits for, in microseconds.
    pub(crate) fn waits(
        &self,
        requests: &[SampledRequest],
        organisation: Option<usize>,
    ) -> Vec<u64> {
        let waited = |request: &SampledRequest| {
            is_measured(request)
                && request.priority != Priority::Report
                && organisation.is_none_or(|picked| picked == request.organisation)
        };
        self.records
            .iter()
            .zip(requests)
            .filter(|(_, request)| waited(request))
            .filter_map(|(record, request)| Some(record.first?.since(request.at).as_us()))
            .collect()
    }

    /// Computes the metrics of the run; `zone` is the period of a zone's withdrawal and return.
    pub(crate) fn metrics(
        &self,
        requests: &[SampledRequest],
        zone: Option<(Time, Time)>,
    ) -> Metrics {
        let measured: Vec<(&RequestRecord, &SampledRequest)> = self
            .records
            .iter()
            .zip(requests)
            .filter(|(_, request)| is_measured(request))
            .collect();
        let count = count_to_f64(measured.len()).max(1.0);
        let share = |status| {
            count_to_f64(measured.iter().filter(|(r, _)| r.status == status).count()) / count
        };
        Metrics {
            requests: count,
            stall_s: u64_to_f64(self.stalled_us) / 1e6 / count * 1e3,
            preemptions: u64_to_f64(self.preemptions) / count * 1e3,
            gap_p99_ms: ms(self.gaps.value_at_quantile(0.99)),
            gap_p999_ms: ms(self.gaps.value_at_quantile(0.999)),
            first_p95_ms: ms(quantile_us(&mut self.waits(requests, None), 950)),
            goodput: goodput(&measured, |_| true),
            zone_goodput: zone.map_or(f64::NAN, |(from, to)| {
                goodput(&measured, |request| request.at >= from && request.at < to)
            }),
            refused: share(RequestStatus::Refused),
            late: share(RequestStatus::Late),
            failed: share(RequestStatus::Failed),
            fairness: fairness(&measured),
            warming_peak: self.warm_up_peak_load,
            attempts: u64_to_f64(self.attempts) / count_to_f64(requests.len()).max(1.0),
            wait_ratio: f64::NAN,
            fell_over: u64_to_f64(self.overload_crashes),
        }
    }
}

/// Whether a request arrived after the warm-up.
pub(crate) fn is_measured(request: &SampledRequest) -> bool {
    request.at >= Time::ZERO + WARM_UP
}

/// Whether a request finished within its latency targets; a report only has to finish.
fn is_good(record: &RequestRecord, request: &SampledRequest) -> bool {
    if record.status != RequestStatus::Finished {
        return false;
    }
    let Some(first) = record.first else {
        return false;
    };
    if request.priority == Priority::Report {
        return true;
    }
    let gaps = u64::from(record.tokens.saturating_sub(1)).max(1);
    first.since(request.at) <= FIRST_TOKEN_TARGET
        && record.last.since(first).as_us() / gaps <= GAP_TARGET.as_us()
}

fn goodput(
    measured: &[(&RequestRecord, &SampledRequest)],
    pick: impl Fn(&SampledRequest) -> bool,
) -> f64 {
    let picked: Vec<_> = measured
        .iter()
        .filter(|(_, request)| pick(request))
        .collect();
    let good = picked
        .iter()
        .filter(|(record, request)| is_good(record, request))
        .count();
    count_to_f64(good) / count_to_f64(picked.len()).max(1.0)
}

fn fairness(measured: &[(&RequestRecord, &SampledRequest)]) -> f64 {
    let shares: Vec<f64> = (0..ORGANISATION_SHARES.len())
        .map(|organisation| goodput(measured, |request| request.organisation == organisation))
        .collect();
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    sum * sum / (count_to_f64(shares.len()) * squares).max(f64::MIN_POSITIVE)
}
