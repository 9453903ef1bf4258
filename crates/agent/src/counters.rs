//! Metrics of an agent.

use lentil_order::Counters as OrderCounters;
use lentil_shell::Metrics;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

/// Label that tells how a generation, call or order ended.
type EndLabel = [(&'static str, &'static str); 1];

/// The counters and gauges of an agent.
#[derive(Debug, Clone, Default)]
pub(crate) struct Counters {
    generations: Family<EndLabel, Counter>,
    calls: Family<EndLabel, Counter>,
    orders: Family<EndLabel, Counter>,
    pub(crate) tokens: Counter,
    pub(crate) held: Gauge,
}

impl Counters {
    /// Creates the counters and registers them with the process's metrics.
    pub(crate) fn register(metrics: &Metrics) -> Self {
        let counters = Self::default();
        let all = counters.clone();
        metrics.register("generations", "Generations by their end", all.generations);
        metrics.register("calls", "Calls of the service by their end", all.calls);
        metrics.register("orders", "What orders to the engine met", all.orders);
        metrics.register("endpoint_tokens", "Tokens the engine made", all.tokens);
        metrics.register("held_generations", "Generations in memory", all.held);
        counters
    }

    /// Counts one generation that ended as `end`.
    pub(crate) fn generation_ended(&self, end: &'static str) {
        self.generations.get_or_create(&[("end", end)]).inc();
    }

    /// Counts one service call that ended as `end`.
    pub(crate) fn call_ended(&self, end: &'static str) {
        self.calls.get_or_create(&[("end", end)]).inc();
    }

    /// Adds the difference between two snapshots of the order counters.
    pub(crate) fn record_order_outcomes(&self, before: &OrderCounters, after: &OrderCounters) {
        let counts = [
            ("granted", after.granted - before.granted),
            ("refused", after.refused - before.refused),
            ("ordered", after.orders - before.orders),
            ("lapsed", after.lapsed - before.lapsed),
            ("answer_lost", after.answers_lost - before.answers_lost),
            ("expired", after.expired - before.expired),
            ("foreign", after.foreign - before.foreign),
        ];
        for (end, count) in counts.into_iter().filter(|(_, count)| *count > 0) {
            self.orders.get_or_create(&[("end", end)]).inc_by(count);
        }
    }
}
