//! Simulation of a poison request: it crashes every endpoint it runs at, and its caller keeps
//! sending it to randomly chosen entries.

use lentil_core::{BootId, EndpointId, Fingerprint, Span, Time};
use lentil_poison::{CrashId, Limits, Suspects, Verdict};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::plan::Guard;

/// Number of entries of a poison simulation; each has its own list of suspects.
pub const POISON_ENTRIES: usize = 12;
/// Innocent requests that run at an endpoint beside the poison request.
const OTHERS_PER_ENDPOINT: u128 = 8;
/// Number of times the caller sends the poison request.
const SENDS: u64 = 100;
/// Fingerprint of the poison request.
const POISON: Fingerprint = Fingerprint::new(u128::MAX);

/// Counts of one or more poison simulations.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoisonReport {
    /// Simulations run.
    pub simulations: u64,
    /// Endpoints that crashed.
    pub endpoints_lost: u64,
    /// Maximum number of endpoints that crashed in one simulation.
    pub endpoints_lost_max: u64,
    /// Innocent requests that ran at an endpoint when it crashed.
    pub innocents_hit: u64,
    /// Innocent requests of these that succeeded afterwards.
    pub innocents_finished: u64,
    /// Innocent requests that were refused as poison requests.
    pub innocents_refused: u64,
}

impl PoisonReport {
    /// Adds the counts of another report.
    pub fn add(&mut self, other: &Self) {
        self.simulations += other.simulations;
        self.endpoints_lost += other.endpoints_lost;
        self.endpoints_lost_max = self.endpoints_lost_max.max(other.endpoints_lost_max);
        self.innocents_hit += other.innocents_hit;
        self.innocents_finished += other.innocents_finished;
        self.innocents_refused += other.innocents_refused;
    }
}

/// Runs one simulation. After each sending, every entry sends its suspect records to
/// `peers_told` randomly drawn entries.
#[must_use]
pub fn simulate_poison(seed: u64, guard: Guard, peers_told: usize) -> PoisonReport {
    let mut simulation = PoisonSimulation {
        rng: ChaCha8Rng::seed_from_u64(seed),
        entries: (0..POISON_ENTRIES)
            .map(|_| Suspects::new(Limits::default()))
            .collect(),
        guard,
        peers_told,
        now: Time::ZERO,
        next_innocent: 0,
        report: PoisonReport {
            simulations: 1,
            ..PoisonReport::default()
        },
    };
    for number in 0..SENDS {
        simulation.now = simulation.now + Span::from_s(1);
        simulation.send(number);
        simulation.gossip();
    }
    simulation.report.endpoints_lost_max = simulation.report.endpoints_lost;
    simulation.report
}

struct PoisonSimulation {
    rng: ChaCha8Rng,
    entries: Vec<Suspects>,
    guard: Guard,
    peers_told: usize,
    now: Time,
    next_innocent: u128,
    report: PoisonReport,
}

impl PoisonSimulation {
    /// Sends the poison request to a random entry.
    fn send(&mut self, number: u64) {
        let at = self.rng.random_range(0..self.entries.len());
        let Some(entry) = self.entries.get(at) else {
            return;
        };
        let verdict = match self.guard {
            Guard::On => entry.verdict(POISON),
            Guard::Off => Verdict::Clear,
        };
        let mut running = vec![POISON];
        match verdict {
            Verdict::Refused => return,
            Verdict::Suspect { .. } => {}
            Verdict::Clear => {
                let others = self.next_innocent..self.next_innocent + OTHERS_PER_ENDPOINT;
                running.extend(others.map(Fingerprint::new));
            }
        }
        self.next_innocent += OTHERS_PER_ENDPOINT;
        self.report.endpoints_lost += 1;
        let Some(endpoint) = endpoint(number) else {
            return;
        };
        let crash = CrashId::of(&endpoint, BootId::new(number));
        if let Some(entry) = self.entries.get_mut(at) {
            entry.on_crash(self.now, crash, &running);
        }
        for innocent in running.into_iter().filter(|body| *body != POISON) {
            self.retry_alone(at, innocent);
        }
    }

    /// Retries an innocent request alone, where it succeeds unless it is refused.
    fn retry_alone(&mut self, at: usize, innocent: Fingerprint) {
        self.report.innocents_hit += 1;
        let Some(entry) = self.entries.get_mut(at) else {
            return;
        };
        if entry.verdict(innocent) == Verdict::Refused {
            self.report.innocents_refused += 1;
            return;
        }
        entry.on_success(innocent);
        self.report.innocents_finished += 1;
    }

    /// Sends the suspect records of each entry to some of its peers.
    fn gossip(&mut self) {
        for from in 0..self.entries.len() {
            let records = self
                .entries
                .get(from)
                .map(Suspects::records)
                .unwrap_or_default();
            for _ in 0..self.peers_told {
                let to = self.rng.random_range(0..self.entries.len());
                let now = self.now;
                if let Some(peer) = self.entries.get_mut(to) {
                    records
                        .iter()
                        .for_each(|record| peer.merge_record(now, record));
                }
            }
        }
    }
}

fn endpoint(number: u64) -> Option<EndpointId> {
    format!("pool-{number}").parse().ok()
}
