//! The baseline policies: an entry picks an endpoint at once and requests queue at the engine.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::policy::Policy;
use super::simulation::{Reply, Scheduler, Simulation, entry_of_request, zone_of_engine};
use super::stats::RequestStatus;
use super::workload::{ENGINES, ENTRIES, ZONES};

/// Maximum number of attempts for one request.
const ATTEMPTS_MAX: u32 = 3;

/// Engine loads as one entry sees them.
#[derive(Debug, Clone)]
struct View {
    /// Requests at each engine according to the last load report.
    reported_loads: [usize; ENGINES],
    /// Requests that the entry has sent to each engine since that report.
    sent: [usize; ENGINES],
    next: usize,
}

/// The policies round robin, least requests and power of two choices.
#[derive(Debug)]
pub(crate) struct Baseline {
    policy: Policy,
    views: Vec<View>,
    sampled_loads: [usize; ENGINES],
    withdrawn: [bool; ZONES],
    crashed: [bool; ENGINES],
    attempts: std::collections::HashMap<usize, u32>,
    rng: ChaCha8Rng,
}

impl Baseline {
    pub(crate) fn new(policy: Policy, seed: u64) -> Self {
        let view = View {
            reported_loads: [0; ENGINES],
            sent: [0; ENGINES],
            next: 0,
        };
        Self {
            policy,
            views: vec![view; ENTRIES],
            sampled_loads: [0; ENGINES],
            withdrawn: [false; ZONES],
            crashed: [false; ENGINES],
            attempts: std::collections::HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
        }
    }

    fn available_engines(&self) -> Vec<usize> {
        let is_available = |engine: &usize| {
            !self
                .withdrawn
                .get(zone_of_engine(*engine))
                .copied()
                .unwrap_or(true)
                && !self.crashed.get(*engine).copied().unwrap_or(true)
        };
        (0..ENGINES).filter(is_available).collect()
    }

    fn pick(&mut self, entry: usize) -> Option<usize> {
        let available_engines = self.available_engines();
        let view = self.views.get_mut(entry)?;
        let load = |engine: &usize| {
            view.reported_loads.get(*engine).copied().unwrap_or(0)
                + view.sent.get(*engine).copied().unwrap_or(0)
        };
        match self.policy {
            Policy::RoundRobin => {
                view.next += 1;
                available_engines
                    .get(view.next % available_engines.len().max(1))
                    .copied()
            }
            Policy::PowerOfTwo => {
                let one = *available_engines
                    .get(self.rng.random_range(0..available_engines.len().max(1)))?;
                let two = *available_engines
                    .get(self.rng.random_range(0..available_engines.len().max(1)))?;
                Some(if load(&one) <= load(&two) { one } else { two })
            }
            _ => {
                let start = self.rng.random_range(0..ENGINES);
                available_engines
                    .into_iter()
                    .min_by_key(|engine| (load(engine), (engine + start) % ENGINES))
            }
        }
    }

    fn send(&mut self, sim: &mut Simulation, request: usize) {
        let attempts = self.attempts.entry(request).or_default();
        *attempts += 1;
        let exhausted = *attempts > ATTEMPTS_MAX;
        let entry = entry_of_request(request);
        match self.pick(entry) {
            Some(engine) if !exhausted => {
                let sent = self
                    .views
                    .get_mut(entry)
                    .and_then(|view| view.sent.get_mut(engine));
                if let Some(sent) = sent {
                    *sent += 1;
                }
                sim.send(engine, request);
            }
            _ => sim.set_status(request, RequestStatus::Failed),
        }
    }
}

impl Scheduler for Baseline {
    fn request_arrived(&mut self, sim: &mut Simulation, request: usize) {
        self.send(sim, request);
    }

    fn request_delivered(&mut self, sim: &mut Simulation, engine: usize, request: usize) {
        if !sim.is_open(request) {
            return;
        }
        if sim.engines.get(engine).is_some_and(|target| target.up) {
            sim.start(engine, request, 0);
        } else {
            sim.reply(engine, request, Reply::Failed);
        }
    }

    fn reply_arrived(
        &mut self,
        sim: &mut Simulation,
        _engine: usize,
        request: usize,
        reply: Reply,
    ) {
        if reply == Reply::Failed && sim.is_open(request) {
            self.send(sim, request);
        }
    }

    fn caller_left(&mut self, sim: &mut Simulation, request: usize) {
        if let Some(Some(engine)) = sim.running_on.get(request).copied()
            && let Some(target) = sim.engines.get_mut(engine)
        {
            target.remove(request);
        }
    }

    fn sample_loads(&mut self, sim: &mut Simulation) {
        for (sampled_loads, engine) in self.sampled_loads.iter_mut().zip(&sim.engines) {
            *sampled_loads = engine.running() + engine.waiting();
        }
    }

    fn loads_delivered(&mut self, _sim: &mut Simulation) {
        for view in &mut self.views {
            view.reported_loads = self.sampled_loads;
            view.sent = [0; ENGINES];
        }
    }

    fn engine_crashed(&mut self, _sim: &mut Simulation, engine: usize) {
        if let Some(crashed) = self.crashed.get_mut(engine) {
            *crashed = true;
        }
    }

    fn engine_started(&mut self, _sim: &mut Simulation, engine: usize) {
        if let Some(crashed) = self.crashed.get_mut(engine) {
            *crashed = false;
        }
    }

    fn zone_changed(&mut self, _sim: &mut Simulation, zone: usize, withdrawn: bool) {
        if let Some(out) = self.withdrawn.get_mut(zone) {
            *out = withdrawn;
        }
    }
}
