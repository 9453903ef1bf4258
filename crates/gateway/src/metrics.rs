//! Metrics of gateways and observers.

use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};

use lentil_catalog::PriorityLevel;
use lentil_core::Span;
use lentil_handoff::BodyFraming;
use lentil_rollout::Stage;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::rollout::RolloutProgress;

/// Prefix of the gateway's metric names.
const PREFIX: &str = "lentiltray_gateway";
/// Prefix of the observer's metric names.
const OBSERVER_PREFIX: &str = "lentiltray_observer";
/// Upper bound of the first latency bucket, in seconds.
const BUCKET_FIRST_S: f64 = 0.005;
/// Ratio of the upper bounds of adjacent latency buckets.
const BUCKET_RATIO: f64 = 2.0;
/// Number of latency buckets. The last one ends at about 40 seconds.
const BUCKETS: u16 = 14;

/// Labels of the request counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub(crate) outcome: &'static str,
}

/// Labels of the move counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct MoveLabels {
    pub(crate) step: &'static str,
}

/// Labels of the counter of ended stream bodies.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct BodyEndLabels {
    framing: String,
    end: &'static str,
}

/// Labels of the number of waiting requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct QueuedLabels {
    pub(crate) priority: u64,
}

/// Labels of the counter of rejections from queues.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RejectionLabels {
    pub(crate) reason: &'static str,
}

/// Labels of the gauges of roll-outs.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RolloutLabels {
    pub(crate) service: String,
}

/// Metrics of roll-outs.
#[derive(Clone, Default)]
struct RolloutMetrics {
    stage: Family<RolloutLabels, Gauge>,
    share: Family<RolloutLabels, Gauge>,
    evidence_age_ms: Family<RolloutLabels, Gauge>,
    writes: Family<RequestLabels, Counter>,
}

impl RolloutMetrics {
    fn register(&self, registry: &mut Registry) {
        registry.register(
            "rollout_stage",
            "Stage of the newest order: 0 waiting, 1 trial, 2 promoting, 3 completed, 4 rolled back",
            self.stage.clone(),
        );
        registry.register(
            "rollout_share_permille",
            "Share of a service's requests for the version that is rolled out",
            self.share.clone(),
        );
        registry.register(
            "rollout_evidence_age_ms",
            "Age of the counters of other gateways",
            self.evidence_age_ms.clone(),
        );
        registry.register(
            "rollout_writes",
            "Writes of a roll-out's status by what they came to",
            self.writes.clone(),
        );
    }
}

/// All metrics of a gateway.
#[derive(Clone)]
pub struct GatewayMetrics {
    registry: Arc<Mutex<Registry>>,
    pub(crate) requests: Family<RequestLabels, Counter>,
    pub(crate) moves: Family<MoveLabels, Counter>,
    pub(crate) backups: Family<MoveLabels, Counter>,
    body_ends: Family<BodyEndLabels, Counter>,
    pub(crate) retries: Counter,
    pub(crate) version_gone: Counter,
    pub(crate) waiting: Gauge,
    queued: Family<QueuedLabels, Gauge>,
    rejections: Family<RejectionLabels, Counter>,
    pub(crate) running: Gauge,
    pub(crate) limited: Gauge,
    pub(crate) resting: Gauge,
    pub(crate) catalog_version: Gauge,
    pub(crate) store_era: Gauge,
    pub(crate) first_event_s: Histogram,
    pub(crate) pause_s: Histogram,
    stream_records: Family<RequestLabels, Counter>,
    take_ups: Family<RequestLabels, Counter>,
    rollouts: RolloutMetrics,
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
        let requests = Family::default();
        let moves = Family::default();
        let backups = Family::default();
        let body_ends = Family::default();
        let retries = Counter::default();
        let version_gone = Counter::default();
        let waiting = Gauge::default();
        let queued = Family::default();
        let rejections = Family::default();
        let running = Gauge::default();
        let limited = Gauge::default();
        let resting = Gauge::default();
        let catalog_version = Gauge::default();
        let store_era = Gauge::default();
        let first_event_s = Histogram::new(buckets());
        let pause_s = Histogram::new(buckets());
        registry.register(
            "requests",
            "Requests by what they came to",
            requests.clone(),
        );
        registry.register("moves", "Steps of moving generations", moves.clone());
        registry.register(
            "backups",
            "Backup engines of generations: named, used, refused and freed copies",
            backups.clone(),
        );
        registry.register(
            "body_ends",
            "Ends of the bodies of streams, by framing and by whether they were whole",
            body_ends.clone(),
        );
        registry.register("repeats", "Requests sent once more", retries.clone());
        registry.register(
            "version_gone",
            "Streams that broke off, as no endpoint of their version was available",
            version_gone.clone(),
        );
        registry.register("waiting", "Requests that wait for a place", waiting.clone());
        registry.register(
            "queued",
            "Requests that wait for services that are scheduled adaptively",
            queued.clone(),
        );
        registry.register(
            "queue_rejections",
            "Requests that such a queue rejected",
            rejections.clone(),
        );
        registry.register("running", "Streams that run", running.clone());
        registry.register(
            "limited_endpoints",
            "Endpoints that name a limit",
            limited.clone(),
        );
        registry.register(
            "resting_endpoints",
            "Endpoints that want no requests now",
            resting.clone(),
        );
        registry.register(
            "catalog_version",
            "Version in force",
            catalog_version.clone(),
        );
        registry.register("store_era", "Era of the store", store_era.clone());
        registry.register(
            "first_seconds",
            "Time to an answer or its first event",
            first_event_s.clone(),
        );
        registry.register(
            "pause_seconds",
            "Longest pause of each stream",
            pause_s.clone(),
        );
        let stream_records = Family::default();
        let take_ups = Family::default();
        registry.register(
            "stream_records",
            "Records of the versions of streams, by what became of their write",
            stream_records.clone(),
        );
        registry.register(
            "take_ups",
            "Streams that callers take up, by whether the version that began them is known",
            take_ups.clone(),
        );
        let rollouts = RolloutMetrics::default();
        rollouts.register(&mut registry);
        Self {
            rollouts,
            registry: Arc::new(Mutex::new(registry)),
            requests,
            moves,
            backups,
            body_ends,
            retries,
            version_gone,
            waiting,
            queued,
            rejections,
            running,
            limited,
            resting,
            catalog_version,
            store_era,
            first_event_s,
            pause_s,
            stream_records,
            take_ups,
        }
    }
}

impl GatewayMetrics {
    pub(crate) fn count_request(&self, outcome: &'static str) {
        self.requests
            .get_or_create(&RequestLabels { outcome })
            .inc();
    }

    pub(crate) fn count_stream_record(&self, outcome: &'static str) {
        self.stream_records
            .get_or_create(&RequestLabels { outcome })
            .inc();
    }

    pub(crate) fn count_take_up(&self, outcome: &'static str) {
        self.take_ups
            .get_or_create(&RequestLabels { outcome })
            .inc();
    }

    pub(crate) fn count_backup(&self, step: &'static str) {
        self.backups.get_or_create(&MoveLabels { step }).inc();
    }

    pub(crate) fn count_body_end(&self, framing: BodyFraming, end: &'static str) {
        let framing = framing.to_string();
        self.body_ends
            .get_or_create(&BodyEndLabels { framing, end })
            .inc();
    }

    pub(crate) fn set_queued(&self, priority: PriorityLevel, waiting: usize) {
        let priority = u64::from(priority.get());
        let waiting = i64::try_from(waiting).unwrap_or(i64::MAX);
        self.queued
            .get_or_create(&QueuedLabels { priority })
            .set(waiting);
    }

    pub(crate) fn count_rejection(&self, reason: &'static str) {
        self.rejections
            .get_or_create(&RejectionLabels { reason })
            .inc();
    }

    pub(crate) fn record_rollout(&self, progress: &RolloutProgress) {
        let labels = RolloutLabels {
            service: progress.service.to_string(),
        };
        let stage = match progress.stage {
            Stage::Waiting => 0,
            Stage::Trial => 1,
            Stage::Promoting => 2,
            Stage::Completed => 3,
            Stage::RolledBack => 4,
        };
        self.rollouts.stage.get_or_create(&labels).set(stage);
        let share = i64::from(progress.target_share.get());
        self.rollouts.share.get_or_create(&labels).set(share);
        let age_ms = progress.evidence_age.map_or(0, Span::as_ms);
        let age_ms = i64::try_from(age_ms).unwrap_or(i64::MAX);
        self.rollouts
            .evidence_age_ms
            .get_or_create(&labels)
            .set(age_ms);
    }

    pub(crate) fn count_rollout_write(&self, outcome: &'static str) {
        self.rollouts
            .writes
            .get_or_create(&RequestLabels { outcome })
            .inc();
    }

    pub(crate) fn count_move(&self, step: &'static str) {
        self.moves.get_or_create(&MoveLabels { step }).inc();
    }
}

impl MetricsSource for GatewayMetrics {
    fn encode(&self) -> Result<String, fmt::Error> {
        encode_all(&self.registry)
    }
}

/// A source of metrics for a metrics page.
pub trait MetricsSource {
    /// Encodes all metrics in the OpenMetrics text format.
    ///
    /// # Errors
    /// A metric can't be encoded.
    fn encode(&self) -> Result<String, fmt::Error>;
}

fn encode_all(registry: &Mutex<Registry>) -> Result<String, fmt::Error> {
    let registry = registry.lock().unwrap_or_else(PoisonError::into_inner);
    let mut text = String::new();
    encode(&mut text, &registry)?;
    Ok(text)
}

/// All metrics of an observer.
#[derive(Clone)]
pub struct ObserverMetrics {
    registry: Arc<Mutex<Registry>>,
    pub(crate) response_s: Histogram,
    pub(crate) unanswered: Counter,
    pub(crate) followers: Gauge,
    pub(crate) link_requests: Counter,
    pub(crate) held_streams: Gauge,
}

impl fmt::Debug for ObserverMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ObserverCounters(..)")
    }
}

impl Default for ObserverMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix(OBSERVER_PREFIX);
        let response_s = Histogram::new(exponential_buckets(BUCKET_FIRST_S, BUCKET_RATIO, BUCKETS));
        let unanswered = Counter::default();
        let followers = Gauge::default();
        let link_requests = Counter::default();
        let held_streams = Gauge::default();
        registry.register(
            "engine_answer_seconds",
            "Time of the engine's answers",
            response_s.clone(),
        );
        registry.register(
            "engine_unanswered",
            "Questions without an answer of the engine",
            unanswered.clone(),
        );
        registry.register("followers", "Gateways that follow", followers.clone());
        registry.register("turns", "Turns on the engine's link", link_requests.clone());
        registry.register(
            "held_streams",
            "Versions of streams held for gateways",
            held_streams.clone(),
        );
        Self {
            registry: Arc::new(Mutex::new(registry)),
            response_s,
            unanswered,
            followers,
            link_requests,
            held_streams,
        }
    }
}

impl MetricsSource for ObserverMetrics {
    fn encode(&self) -> Result<String, fmt::Error> {
        encode_all(&self.registry)
    }
}
