//! Counters and latency histograms of a gateway.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Prefix of every metric's name.
const PREFIX: &str = "lentiltray_gateway";
/// Upper bound of the first latency bucket, in seconds.
const BUCKET_FIRST_S: f64 = 0.005;
/// Ratio of neighbouring latency buckets.
const BUCKET_RATIO: f64 = 2.0;
/// Latency buckets; the last ends at about 40 seconds.
const BUCKETS: u16 = 14;

/// What a request came to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Ended {
    pub(crate) outcome: &'static str,
}

/// What a move of a running generation came to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Moved {
    pub(crate) step: &'static str,
}

/// All counters of a gateway.
#[derive(Clone)]
pub struct Counters {
    registry: Arc<Mutex<Registry>>,
    pub(crate) ended: Family<Ended, Counter>,
    pub(crate) moves: Family<Moved, Counter>,
    pub(crate) repeats: Counter,
    pub(crate) waiting: Gauge,
    pub(crate) running: Gauge,
    pub(crate) version: Gauge,
    pub(crate) first_s: Histogram,
    pub(crate) pause_s: Histogram,
}

impl fmt::Debug for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Counters(..)")
    }
}

impl Default for Counters {
    fn default() -> Self {
        let buckets = || exponential_buckets(BUCKET_FIRST_S, BUCKET_RATIO, BUCKETS);
        let mut registry = Registry::with_prefix(PREFIX);
        let ended = Family::default();
        let moves = Family::default();
        let repeats = Counter::default();
        let waiting = Gauge::default();
        let running = Gauge::default();
        let version = Gauge::default();
        let first_s = Histogram::new(buckets());
        let pause_s = Histogram::new(buckets());
        registry.register("requests", "Requests by what they came to", ended.clone());
        registry.register("moves", "Steps of moving generations", moves.clone());
        registry.register("repeats", "Requests sent once more", repeats.clone());
        registry.register("waiting", "Requests that wait for a place", waiting.clone());
        registry.register("running", "Streams that run", running.clone());
        registry.register("catalog_version", "Version in force", version.clone());
        registry.register(
            "first_seconds",
            "Time to an answer or its first event",
            first_s.clone(),
        );
        registry.register(
            "pause_seconds",
            "Longest pause of each stream",
            pause_s.clone(),
        );
        Self {
            registry: Arc::new(Mutex::new(registry)),
            ended,
            moves,
            repeats,
            waiting,
            running,
            version,
            first_s,
            pause_s,
        }
    }
}

impl Counters {
    pub(crate) fn ended(&self, outcome: &'static str) {
        self.ended.get_or_create(&Ended { outcome }).inc();
    }

    pub(crate) fn moved(&self, step: &'static str) {
        self.moves.get_or_create(&Moved { step }).inc();
    }

    /// All metrics in the OpenMetrics text form.
    ///
    /// # Errors
    /// A metric can't be written.
    pub fn encode(&self) -> Result<String, fmt::Error> {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        encode(&mut text, &registry)?;
        Ok(text)
    }
}
