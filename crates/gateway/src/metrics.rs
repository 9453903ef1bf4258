//! Counters and latency histograms of gateways and observers.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Prefix of the names of a gateway's metrics.
const PREFIX: &str = "lentiltray_gateway";
/// Prefix of the names of an observer's metrics.
const OBSERVER_PREFIX: &str = "lentiltray_observer";
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
pub struct GatewayMetrics {
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

impl fmt::Debug for GatewayMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Counters(..)")
    }
}

impl Default for GatewayMetrics {
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

impl GatewayMetrics {
    pub(crate) fn ended(&self, outcome: &'static str) {
        self.ended.get_or_create(&Ended { outcome }).inc();
    }

    pub(crate) fn moved(&self, step: &'static str) {
        self.moves.get_or_create(&Moved { step }).inc();
    }
}

impl MetricsSource for GatewayMetrics {
    fn encode(&self) -> Result<String, fmt::Error> {
        encode_all(&self.registry)
    }
}

/// Metrics that a page shows.
pub trait MetricsSource {
    /// All metrics in the OpenMetrics text form.
    ///
    /// # Errors
    /// A metric can't be written.
    fn encode(&self) -> Result<String, fmt::Error>;
}

fn encode_all(registry: &Mutex<Registry>) -> Result<String, fmt::Error> {
    let registry = registry.lock().unwrap_or_else(PoisonError::into_inner);
    let mut text = String::new();
    encode(&mut text, &registry)?;
    Ok(text)
}

/// All counters of an observer.
#[derive(Clone)]
pub struct ObserverMetrics {
    registry: Arc<Mutex<Registry>>,
    pub(crate) answer_s: Histogram,
    pub(crate) unanswered: Counter,
    pub(crate) followers: Gauge,
    pub(crate) turns: Counter,
}

impl fmt::Debug for ObserverMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ObserverCounters(..)")
    }
}

impl Default for ObserverMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix(OBSERVER_PREFIX);
        let answer_s = Histogram::new(exponential_buckets(BUCKET_FIRST_S, BUCKET_RATIO, BUCKETS));
        let unanswered = Counter::default();
        let followers = Gauge::default();
        let turns = Counter::default();
        registry.register(
            "engine_answer_seconds",
            "Time of the engine's answers",
            answer_s.clone(),
        );
        registry.register(
            "engine_unanswered",
            "Questions without an answer of the engine",
            unanswered.clone(),
        );
        registry.register("followers", "Gateways that follow", followers.clone());
        registry.register("turns", "Turns on the engine's link", turns.clone());
        Self {
            registry: Arc::new(Mutex::new(registry)),
            answer_s,
            unanswered,
            followers,
            turns,
        }
    }
}

impl MetricsSource for ObserverMetrics {
    fn encode(&self) -> Result<String, fmt::Error> {
        encode_all(&self.registry)
    }
}
