//! Metrics of an entry.

use std::time::Instant;

use lentil_core::Refusal;
use lentil_shell::Metrics;
use ntex::web::HttpResponse;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

/// Labels of a counter: name and value.
type Labels = [(&'static str, String); 2];

/// Upper bound of the first histogram bucket, in seconds.
const BUCKET_MIN_S: f64 = 0.001;
/// Ratio between the bounds of consecutive buckets.
const BUCKET_RATIO: f64 = 2.0;
/// Number of buckets; the last bound is about half a minute.
const BUCKETS: u16 = 16;

/// The metrics of an entry.
#[derive(Debug, Clone)]
pub(crate) struct Counters {
    requests: Family<Labels, Counter>,
    refusals: Family<Labels, Counter>,
    pub(crate) tokens: Counter,
    pub(crate) streams: Gauge,
    pub(crate) resumes: Counter,
    first_token: Histogram,
    token_gap: Histogram,
}

impl Counters {
    /// Creates the metrics and registers them.
    pub(crate) fn register(metrics: &Metrics) -> Self {
        let histogram = || Histogram::new(exponential_buckets(BUCKET_MIN_S, BUCKET_RATIO, BUCKETS));
        let counters = Self {
            requests: Family::default(),
            refusals: Family::default(),
            tokens: Counter::default(),
            streams: Gauge::default(),
            resumes: Counter::default(),
            first_token: histogram(),
            token_gap: histogram(),
        };
        let all = counters.clone();
        metrics.register("requests", "Answered requests", all.requests);
        metrics.register("refusals", "Refused requests", all.refusals);
        metrics.register("tokens", "Tokens handed to callers", all.tokens);
        metrics.register("open_streams", "Streams being read", all.streams);
        metrics.register(
            "resumed_links",
            "Links to agents taken up again",
            all.resumes,
        );
        metrics.register(
            "first_token_seconds",
            "Time from a request to its first token",
            all.first_token,
        );
        metrics.register(
            "token_gap_seconds",
            "Time between two tokens of a stream",
            all.token_gap,
        );
        counters
    }

    /// Counts a response and, if it is a refusal, its reason and outcome.
    pub(crate) fn record_response(&self, route: &'static str, response: &HttpResponse) {
        let status = response.status().as_str().to_owned();
        let labels = [("route", route.to_owned()), ("status", status)];
        self.requests.get_or_create(&labels).inc();
        if let Some(refusal) = response.extensions().get::<Refusal>() {
            let labels = [
                ("reason", refusal.reason.to_string()),
                ("outcome", refusal.outcome().to_string()),
            ];
            self.refusals.get_or_create(&labels).inc();
        }
    }
}

/// Records the metrics of one stream; it counts as open until dropped.
#[derive(Debug)]
pub(crate) struct StreamMeter {
    counters: Counters,
    started_at: Instant,
    last: Option<Instant>,
}

impl StreamMeter {
    /// Starts recording; time to the first token is measured from `started_at`.
    pub(crate) fn begin(counters: Counters, started_at: Instant) -> Self {
        counters.streams.inc();
        Self {
            counters,
            started_at,
            last: None,
        }
    }

    /// Records tokens that arrived together.
    pub(crate) fn tokens(&mut self, count: usize) {
        let now = Instant::now();
        match self.last.replace(now) {
            None => {
                let span = now.duration_since(self.started_at);
                self.counters.first_token.observe(span.as_secs_f64());
            }
            Some(last) => {
                let span = now.duration_since(last);
                self.counters.token_gap.observe(span.as_secs_f64());
            }
        }
        self.counters
            .tokens
            .inc_by(u64::try_from(count).unwrap_or(u64::MAX));
    }
}

impl Drop for StreamMeter {
    fn drop(&mut self) {
        self.counters.streams.dec();
    }
}
