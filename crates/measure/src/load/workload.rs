//! Workloads: the requests with their arrival times, and the incidents during a run.

use lentil_core::{Priority, Span, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine::{BLOCK_TOKENS, BLOCKS, SLOTS, step_time_us};
use super::numeric::{exponential, log_normal, truncate_to_u32, u64_to_f64};

/// Number of engines.
pub(crate) const ENGINES: usize = 12;
/// Number of availability zones.
pub(crate) const ZONES: usize = 3;
/// Number of entries.
pub(crate) const ENTRIES: usize = 3;
/// Weights of the organisations in the traffic; a few are large.
pub(crate) const ORGANISATION_SHARES: [f64; 10] =
    [30.0, 20.0, 12.0, 8.0, 8.0, 6.0, 5.0, 5.0, 4.0, 2.0];
/// Warm-up time; requests that arrive during it are not measured.
pub(crate) const WARM_UP: Span = Span::from_s(20);
/// Time at which arrivals end.
pub(crate) const ARRIVALS_END: Span = Span::from_s(80);
/// Average share of KV cache blocks in use at which an engine counts as at capacity.
const CAPACITY_FILL: f64 = 0.85;
/// Maximum number of output tokens.
pub(crate) const MAX_TOKENS: u32 = 8_192;
/// Number of prompt prefixes that each organisation's requests share.
const PREFIXES: u64 = 3;

/// One randomly sampled request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SampledRequest {
    pub(crate) at: Time,
    pub(crate) organisation: usize,
    pub(crate) priority: Priority,
    pub(crate) prompt: u32,
    pub(crate) length: u32,
    pub(crate) prefix: u64,
    pub(crate) deadline: Time,
}

/// A scheduled incident that affects engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Incident {
    /// Operators withdraw a zone from service; its engines finish what they run.
    ZoneOut(usize),
    /// The zone returns to service with restarted engines.
    ZoneReturns(usize),
    /// A warm engine becomes cold without notice.
    BecomesCold(usize),
    /// An engine becomes three times slower for the rest of the run.
    BecomesSlow(usize),
    /// An engine crashes and is not replaced.
    Crashes(usize),
}

/// One class of requests in a workload's mix.
#[derive(Debug, Clone, Copy)]
struct Class {
    priority: Priority,
    share: f64,
    /// Median number of prompt tokens.
    prompt: f64,
    /// Median number of output tokens.
    median: f64,
    /// Sigma of the log-normal distribution of output tokens.
    sigma: f64,
    /// Time after arrival until which the caller waits for the first token.
    deadline: Span,
}

/// Tanaka: status texts, summaries read while they stream, monthly reports.
const TANAKA: [Class; 3] = [
    class(Priority::Verdict, 0.35, 150.0, 24.0, 0.5, Span::from_s(4)),
    class(
        Priority::Interactive,
        0.35,
        400.0,
        180.0,
        0.8,
        Span::from_s(10),
    ),
    class(Priority::Report, 0.30, 700.0, 500.0, 0.7, Span::from_s(60)),
];

/// Hebezeug: verdicts on hoist logs, and long reports read while they stream.
const HEBEZEUG: [Class; 3] = [
    class(Priority::Verdict, 0.45, 150.0, 20.0, 0.5, Span::from_s(4)),
    class(
        Priority::Interactive,
        0.45,
        500.0,
        450.0,
        0.9,
        Span::from_s(10),
    ),
    class(Priority::Report, 0.10, 700.0, 600.0, 0.7, Span::from_s(60)),
];

const fn class(
    priority: Priority,
    share: f64,
    prompt: f64,
    median: f64,
    sigma: f64,
    deadline: Span,
) -> Class {
    Class {
        priority,
        share,
        prompt,
        median,
        sigma,
        deadline,
    }
}

/// A workload to measure.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Workload {
    pub(crate) name: &'static str,
    hebezeug: bool,
    /// Load over time, as a share of capacity.
    shape: LoadShape,
    /// Share of output lengths sampled from a Pareto tail.
    tail: f64,
    pub(crate) incidents: &'static [(u64, Incident)],
    /// Whether each organisation's waits are compared with a run of its requests alone.
    pub(crate) alone: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum LoadShape {
    Steady(f64),
    /// A slow sine wave around this mean load.
    Day(f64),
    /// A base load, and an additional load of reports from 30 s to 50 s.
    MonthEnd(f64, f64),
    /// A low load that rises to a high one from 35 s to 65 s.
    Surge(f64, f64),
    /// A base load, and a load that one organisation adds from 30 s to 70 s.
    Flood(f64, f64),
}

const ZONE_WITHDRAWAL: &[(u64, Incident)] =
    &[(35, Incident::ZoneOut(1)), (55, Incident::ZoneReturns(1))];
const SLOW_AND_COLD: &[(u64, Incident)] = &[
    (30, Incident::BecomesSlow(2)),
    (40, Incident::BecomesCold(5)),
    (50, Incident::BecomesCold(8)),
];
const HALF_CRASHES: &[(u64, Incident)] = &[
    (40, Incident::Crashes(0)),
    (40, Incident::Crashes(1)),
    (40, Incident::Crashes(2)),
    (40, Incident::Crashes(3)),
    (40, Incident::Crashes(4)),
    (40, Incident::Crashes(5)),
];

const fn workload(name: &'static str, hebezeug: bool, shape: LoadShape) -> Workload {
    Workload {
        name,
        hebezeug,
        shape,
        tail: 0.0,
        incidents: &[],
        alone: false,
    }
}

/// All workloads, in the order of the tables.
pub(crate) const WORKLOADS: [Workload; 13] = [
    workload("tanaka-day", false, LoadShape::Day(0.6)),
    workload("tanaka-month-end", false, LoadShape::MonthEnd(0.5, 0.6)),
    Workload {
        alone: true,
        ..workload("tanaka-flood", false, LoadShape::Flood(0.6, 1.0))
    },
    Workload {
        alone: true,
        ..workload("tanaka-90", false, LoadShape::Steady(0.9))
    },
    workload("tanaka-120", false, LoadShape::Steady(1.2)),
    Workload {
        incidents: ZONE_WITHDRAWAL,
        ..workload("tanaka-zone", false, LoadShape::Steady(0.6))
    },
    Workload {
        incidents: HALF_CRASHES,
        ..workload("tanaka-half-dies", false, LoadShape::Steady(0.6))
    },
    workload("hebezeug-get-in", true, LoadShape::Surge(0.3, 1.05)),
    workload("hebezeug-90", true, LoadShape::Steady(0.9)),
    workload("hebezeug-120", true, LoadShape::Steady(1.2)),
    Workload {
        tail: 0.05,
        ..workload("hebezeug-heavy-tail", true, LoadShape::Steady(0.85))
    },
    Workload {
        incidents: ZONE_WITHDRAWAL,
        ..workload("hebezeug-zone", true, LoadShape::Steady(0.6))
    },
    Workload {
        incidents: SLOW_AND_COLD,
        ..workload("hebezeug-cold", true, LoadShape::Steady(0.6))
    },
];

impl Workload {
    const fn classes(&self) -> &'static [Class; 3] {
        if self.hebezeug { &HEBEZEUG } else { &TANAKA }
    }

    /// Returns the base load and the additional load at a time, as shares of capacity.
    fn load_at(&self, second: f64) -> (f64, f64) {
        let during = |from, to, load| {
            if (from..to).contains(&second) {
                load
            } else {
                0.0
            }
        };
        match self.shape {
            LoadShape::Steady(load) => (load, 0.0),
            LoadShape::Day(mean) => (mean * (1.0 + 0.3 * (second / 10.0).sin()), 0.0),
            LoadShape::MonthEnd(base, reports) => (base, during(30.0, 50.0, reports)),
            LoadShape::Surge(low, high) => (low + during(35.0, 65.0, high - low), 0.0),
            LoadShape::Flood(base, flood) => (base, during(30.0, 70.0, flood)),
        }
    }

    /// Samples all requests of a run; the seed alone determines them, so that they are the same
    /// for every policy.
    pub(crate) fn sample_requests(&self, seed: u64) -> Vec<SampledRequest> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let capacity = self.capacity(&mut rng);
        let peak = 2.0 * capacity;
        let end = u64_to_f64(ARRIVALS_END.as_us()) / 1e6;
        let mut second = 0.0;
        let mut requests = Vec::new();
        loop {
            second += exponential(&mut rng, 1.0 / peak);
            if second >= end {
                return requests;
            }
            let (base, additional) = self.load_at(second);
            let pick = rng.random::<f64>() * 2.0;
            let request = self.sample_request(&mut rng, second);
            if pick < base {
                requests.push(request);
            } else if pick < base + additional {
                requests.push(self.sample_additional(&mut rng, second, request));
            }
        }
    }

    /// Estimates the requests per second at which the average use of KV cache blocks reaches
    /// [`CAPACITY_FILL`].
    fn capacity(&self, rng: &mut ChaCha8Rng) -> f64 {
        let samples = 20_000;
        let (mut block_steps, mut steps, mut prefill) = (0.0, 0.0, 0.0);
        for _ in 0..samples {
            let request = self.sample_request(rng, 0.0);
            let (prompt, length) = (f64::from(request.prompt), f64::from(request.length));
            let tokens = prompt * length + length * length / 2.0;
            block_steps += tokens / f64::from(BLOCK_TOKENS) + length / 2.0;
            steps += length;
            prefill += prompt;
        }
        let count = f64::from(samples);
        let room = f64::from(BLOCKS) * CAPACITY_FILL;
        let batch = (room * steps / block_steps).min(f64::from(SLOTS));
        let tokens_each = steps / count;
        let prompt_a_step = batch / tokens_each * (prefill / count);
        let step_s = step_time_us(batch, prompt_a_step) / 1e6;
        batch / step_s / tokens_each * super::numeric::count_to_f64(ENGINES)
    }

    fn sample_request(&self, rng: &mut ChaCha8Rng, second: f64) -> SampledRequest {
        let organisation = pick_organisation(rng);
        let classes = self.classes();
        let mut left = rng.random::<f64>();
        let class = classes
            .iter()
            .find(|class| {
                left -= class.share;
                left < 0.0
            })
            .unwrap_or(&classes[0]);
        self.sample_of_class(rng, second, organisation, class)
    }

    fn sample_of_class(
        &self,
        rng: &mut ChaCha8Rng,
        second: f64,
        organisation: usize,
        class: &Class,
    ) -> SampledRequest {
        // Output lengths differ by up to four times between organisations.
        let length_factor =
            0.5 * 4.0_f64.powf(super::numeric::count_to_f64(organisation * 7 % 10) / 9.0);
        let mut length = log_normal(rng, class.median * length_factor, class.sigma);
        let tail = rng.random::<f64>() < self.tail;
        let pareto = (1.0 - rng.random::<f64>()).powf(-1.0 / 1.2);
        if tail {
            length = 1_000.0 * pareto;
        }
        let prompt = log_normal(rng, class.prompt, 0.4);
        let prefix = rng.random_range(0..PREFIXES);
        let at = Time::ZERO + Span::from_us(u64::from(truncate_to_u32(second * 1e6)));
        let organisation_number = u64::try_from(organisation).unwrap_or(0);
        SampledRequest {
            at,
            organisation,
            priority: class.priority,
            prompt: truncate_to_u32(prompt).clamp(16, 4_000),
            length: truncate_to_u32(length).clamp(1, MAX_TOKENS),
            prefix: organisation_number * PREFIXES + prefix,
            deadline: at + class.deadline,
        }
    }

    fn sample_additional(
        &self,
        rng: &mut ChaCha8Rng,
        second: f64,
        request: SampledRequest,
    ) -> SampledRequest {
        let classes = self.classes();
        match self.shape {
            LoadShape::MonthEnd(..) => {
                self.sample_of_class(rng, second, request.organisation, &classes[2])
            }
            _ => self.sample_of_class(rng, second, 0, &classes[1]),
        }
    }
}

fn pick_organisation(rng: &mut ChaCha8Rng) -> usize {
    let total: f64 = ORGANISATION_SHARES.iter().sum();
    let mut left = rng.random::<f64>() * total;
    ORGANISATION_SHARES
        .iter()
        .position(|share| {
            left -= share;
            left < 0.0
        })
        .unwrap_or(0)
}
