//! The canary analysis: comparison of the target with the old version.

use std::collections::{BTreeMap, BTreeSet};
use std::f64::consts::SQRT_2;
use std::fmt;

use lentil_core::ZoneId;

use crate::comparison::{Comparison, Measure, quantile_us, start_us, sum, sum_old};
use crate::evidence::{Evidence, LATENCY_BUCKETS, Side};
use crate::poisson;

/// A version that fails this share of its answers is taken for good with a probability of
/// at most [`GOOD_ERROR`]. It follows that at least 60 answers are needed.
const BAD_SHARE: f64 = 0.05;
/// The same for each busy route by itself: at least 15 answers.
const ROUTE_BAD_SHARE: f64 = 0.2;
const GOOD_ERROR: f64 = 0.05;
/// A route with this share of the old version's answers needs enough answers of the
/// target's own. Less busy routes would never get them within the exposure bound.
const BUSY_ROUTE_SHARE: f64 = 0.15;
/// Answers of the target in a step of the promotion before the next one, on all routes and
/// on each busy one: enough to hold the promotion if most of them are bad.
const STEP_ANSWERS_MIN: u64 = 30;
const STEP_ROUTE_MIN: u64 = 6;
/// Answers of the old version below which a comparison uses a wider group.
const OLD_ANSWERS_MIN: u64 = 20;
/// Share of failures from which on the old version proves nothing about a zone.
const CLEAN_ZONE_SHARE: f64 = 0.025;
/// Failures of the target that nothing excuses in a zone where the old version fails
/// too. At the 50th bad answer the time to roll back starts.
const UNEXCUSED_FAILURES_MAX: u64 = 35;
/// An answer is slow if it takes more than this many times the old version's median, or
/// its 90th percentile. Load and noise alone cause smaller differences.
const SLOW_FACTORS: [(f64, f64); 2] = [(0.5, 2.5), (0.9, 2.0)];
/// Share of requests without an answer that holds a promotion, beyond twice the old
/// version's.
const PENDING_TOLERANCE: f64 = 0.1;

/// What distinguishes a bad version from the old one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Symptom {
    /// More answers fail.
    Failures,
    /// Answers or first events take several times as long.
    Slowness,
    /// More answers are late because of pauses.
    Pauses,
}

impl fmt::Display for Symptom {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failures => "failures",
            Self::Slowness => "slowness",
            Self::Pauses => "pauses",
        })
    }
}

/// The result of the canary analysis.
///
/// A version as good as the old one is found bad in less than 1 of 100 orders. A version
/// that fails 1 answer in 20 is found good in at most 1 of 20 orders, or 1 of 3,000 with
/// the 160 answers that a trial of 30 s at 70 requests a second gives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Too few samples, or the old version fails too.
    Unclear,
    /// The target is as good as the old version.
    Good,
    /// The target is worse.
    Bad {
        /// What is worse.
        symptom: Symptom,
        /// The route on which it shows; `None` if it shows over all routes only.
        route: Option<String>,
    },
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unclear => f.write_str("unclear"),
            Self::Good => f.write_str("good"),
            Self::Bad {
                symptom,
                route: Some(route),
            } => write!(f, "bad: {symptom} on route {route}"),
            Self::Bad { symptom, .. } => write!(f, "bad: {symptom}"),
        }
    }
}

/// Compares target and old version over the periods of a roll-out.
///
/// Each period has its own comparison by route and zone, since the share of the target
/// differs between periods: a fault of the environment would otherwise count against the
/// version that had more traffic while it lasted.
pub(crate) struct Analysis<'a> {
    past: &'a [Evidence],
    current: &'a Evidence,
    whole: &'a Evidence,
}

impl<'a> Analysis<'a> {
    /// Creates the analysis of consecutive periods, whose sum is `whole`.
    pub(crate) const fn new(
        past: &'a [Evidence],
        current: &'a Evidence,
        whole: &'a Evidence,
    ) -> Self {
        Self {
            past,
            current,
            whole,
        }
    }

    pub(crate) fn verdict(&self) -> Verdict {
        let rows = self.whole.rows();
        let routes: BTreeSet<&str> = rows.map(|(key, _)| key.route.as_str()).collect();
        let mut is_suspicious = false;
        // A fault that needs the load of the current period shows there first.
        for first in BTreeSet::from([0, self.past.len()]) {
            for (route, measure, comparison) in self.comparisons(&routes, first) {
                if comparison.is_bad() {
                    return bad(measure, route);
                }
                is_suspicious |= comparison.is_suspicious();
            }
        }
        let clean = self.clean_zones();
        if clean.is_empty() && self.whole.total(Side::Target).failed >= UNEXCUSED_FAILURES_MAX {
            return bad(Measure::Failed, None);
        }
        if is_suspicious || self.is_unanswered() || !self.has_enough(&routes, &clean) {
            return Verdict::Unclear;
        }
        Verdict::Good
    }

    /// All comparisons since the period `first`: by route, and over all routes together.
    /// What is slow differs between routes.
    fn comparisons<'r>(
        &self,
        routes: &BTreeSet<&'r str>,
        first: usize,
    ) -> Vec<(Option<&'r str>, Measure, Comparison)> {
        let mut comparisons = Vec::new();
        for measure in [Measure::Failed, Measure::Stalled] {
            let mut all = Comparison::default();
            for route in routes {
                let on_route = self.compare(route, None, measure, first);
                all.add(on_route);
                comparisons.push((Some(*route), measure, on_route));
            }
            comparisons.push((None, measure, all));
            // An old endpoint that fails in one zone must not offset failures in others.
            for zone in self.target_zones() {
                let mut in_zone = Comparison::default();
                for route in routes {
                    in_zone.add(self.compare(route, Some(zone), measure, first));
                }
                comparisons.push((None, measure, in_zone));
            }
        }
        for (quantile, factor) in SLOW_FACTORS {
            let mut all = Comparison::default();
            for route in routes {
                if let Some(bucket) = self.slow_bucket(route, quantile, factor) {
                    let measure = Measure::Slow(bucket);
                    let on_route = self.compare(route, None, measure, first);
                    all.add(on_route);
                    comparisons.push((Some(*route), measure, on_route));
                }
            }
            comparisons.push((None, Measure::Slow(0), all));
        }
        comparisons
    }

    /// Sums the comparisons of a route over the periods since `first` and, without `zone`,
    /// over zones.
    #[allow(clippy::cast_precision_loss)]
    fn compare(
        &self,
        route: &str,
        zone: Option<&ZoneId>,
        measure: Measure,
        first: usize,
    ) -> Comparison {
        let mut sum = Comparison::default();
        for (index, period) in self.periods().enumerate().skip(first) {
            let targets = period
                .rows()
                .filter(|(key, _)| key.side == Side::Target && key.route == route)
                .filter(|(key, _)| zone.is_none_or(|zone| key.zone == *zone));
            for (key, counts) in targets {
                let (bad, answers) = measure.of(counts);
                if answers == 0 {
                    continue;
                }
                let (old_bad, old_answers) = self.old(index, route, &key.zone, measure);
                // The share of bad answers that both versions have together: where they
                // are equally good, it is the best estimate for either.
                let share = (bad + old_bad) as f64 / (answers + old_answers) as f64;
                sum.add(Comparison {
                    bad,
                    expected: share * answers as f64,
                    tolerated: measure.tolerance() * answers as f64,
                });
            }
        }
        sum
    }

    fn periods(&self) -> impl Iterator<Item = &'a Evidence> + use<'a> {
        self.past.iter().chain([self.current])
    }

    /// The old version's answers to compare with: of the same period, route and zone, or
    /// else of the narrowest group that has enough of them. When a step begins, and at the
    /// end of the promotion, the old version has hardly any answers in the current period.
    fn old(&self, index: usize, route: &str, zone: &ZoneId, measure: Measure) -> (u64, u64) {
        let is_enough = |(_, answers): &(u64, u64)| *answers >= OLD_ANSWERS_MIN;
        let periods: Vec<_> = self.periods().take(index + 1).collect();
        let newest_first = || periods.iter().rev();
        let exact =
            newest_first().map(|period| sum_old(period, measure, |r, z| r == route && z == zone));
        let in_zone = newest_first().map(|period| sum_old(period, measure, |_, z| z == zone));
        let on_route = newest_first().map(|period| sum_old(period, measure, |r, _| r == route));
        // Failures depend on the zone more than on the route, latencies on the route only.
        let found = match measure {
            Measure::Failed | Measure::Stalled => {
                let now = exact.clone().take(1).chain(in_zone.clone().take(1));
                now.chain(exact).chain(on_route).find(is_enough)
            }
            Measure::Slow(_) => exact.take(1).chain(on_route).find(is_enough),
        };
        if let Some(found) = found {
            return found;
        }
        let whole = sum_old(self.whole, measure, |r, _| r == route);
        if is_enough(&whole) || matches!(measure, Measure::Slow(_)) {
            return whole;
        }
        sum_old(self.whole, measure, |_, _| true)
    }

    /// The first latency bucket that is slow on a route: the one whose start is nearest to
    /// `factor` times the old version's quantile.
    fn slow_bucket(&self, route: &str, quantile: f64, factor: f64) -> Option<usize> {
        let mut buckets = [0_u64; LATENCY_BUCKETS];
        let old = self.whole.rows();
        for (_, counts) in old.filter(|(key, _)| key.side == Side::Old && key.route == route) {
            for (sum, count) in buckets.iter_mut().zip(&counts.latency) {
                *sum += count;
            }
        }
        if buckets.iter().sum::<u64>() < OLD_ANSWERS_MIN {
            return None;
        }
        let slow_us = quantile_us(&buckets, quantile)? * factor;
        // Half of the ratio between the starts of two buckets.
        let nearest = |index: &usize| start_us(*index) >= slow_us / SQRT_2.sqrt();
        (1..LATENCY_BUCKETS).find(nearest)
    }

    /// Zones in which the old version hardly fails and the target has answers.
    #[allow(clippy::cast_precision_loss)]
    fn clean_zones(&self) -> BTreeSet<&'a ZoneId> {
        let is_clean = |zone: &&ZoneId| {
            let in_zone = sum_old(self.whole, Measure::Failed, |_, z| z == *zone);
            let (failed, answers) = if in_zone.1 >= OLD_ANSWERS_MIN {
                in_zone
            } else {
                sum_old(self.whole, Measure::Failed, |_, _| true)
            };
            answers > 0 && (failed as f64) <= CLEAN_ZONE_SHARE * answers as f64
        };
        self.target_zones().into_iter().filter(is_clean).collect()
    }

    fn target_zones(&self) -> BTreeSet<&'a ZoneId> {
        let targets = self
            .whole
            .rows()
            .filter(|(key, _)| key.side == Side::Target);
        targets.map(|(key, _)| &key.zone).collect()
    }

    /// Whether the target leaves clearly more requests without an answer during the trial.
    /// Later the shares change, and answers that are only under way would count as missing.
    #[allow(clippy::cast_precision_loss)]
    fn is_unanswered(&self) -> bool {
        let share = |side| {
            let whole = self.whole.total(side);
            // Requests that their callers gave up have ended without an answer.
            let pending = whole.sent.saturating_sub(whole.answered.max(whole.ended));
            pending as f64 / whole.sent.max(1) as f64
        };
        let is_trial = self.past.is_empty();
        is_trial && share(Side::Target) > 2.0 * share(Side::Old) + PENDING_TOLERANCE
    }

    /// Whether there are enough answers to call the target good: in all zones together or,
    /// if the old version fails in some, in the others.
    fn has_enough(&self, routes: &BTreeSet<&str>, clean: &BTreeSet<&ZoneId>) -> bool {
        let proves = |is_in: &dyn Fn(&ZoneId) -> bool| {
            let busy = routes.iter().filter(|route| self.is_busy(route));
            self.proves(BAD_SHARE, |_, zone| is_in(zone))
                && busy
                    .into_iter()
                    .all(|route| self.proves(ROUTE_BAD_SHARE, |r, zone| r == *route && is_in(zone)))
        };
        proves(&|_| true) || proves(&|zone| clean.contains(zone))
    }

    /// Whether the target fails less than this share, with the stated error.
    #[allow(clippy::cast_precision_loss)]
    fn proves(&self, share: f64, is_in: impl Fn(&str, &ZoneId) -> bool) -> bool {
        let (failed, answers) = sum(self.whole, Side::Target, Measure::Failed, is_in);
        poisson::at_most(failed, share * answers as f64) <= GOOD_ERROR
    }

    #[allow(clippy::cast_precision_loss)]
    fn is_busy(&self, route: &str) -> bool {
        let all = sum_old(self.whole, Measure::Failed, |_, _| true).1;
        let on_route = sum_old(self.whole, Measure::Failed, |r, _| r == route).1;
        on_route as f64 >= BUSY_ROUTE_SHARE * all as f64
    }

    /// Whether the target has answered enough in the current period to show a fault that
    /// needs the load of this period.
    pub(crate) fn has_enough_at_this_load(&self) -> bool {
        let mut routes = BTreeMap::<&str, u64>::new();
        for (key, counts) in self.whole.rows() {
            let now = self.current.rows().find(|(now, _)| *now == key);
            let is_target = key.side == Side::Target;
            let answered = now.filter(|_| is_target).map_or(0, |(_, now)| now.answered);
            *routes.entry(&key.route).or_default() += answered.min(counts.answered);
        }
        routes.values().sum::<u64>() >= STEP_ANSWERS_MIN
            && routes
                .iter()
                .all(|(route, answers)| *answers >= STEP_ROUTE_MIN || !self.is_busy(route))
    }
}

fn bad(measure: Measure, route: Option<&str>) -> Verdict {
    Verdict::Bad {
        symptom: measure.symptom(),
        route: route.map(str::to_owned),
    }
}
