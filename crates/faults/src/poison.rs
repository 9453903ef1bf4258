//! A request that crashes endpoints, sent again by its caller at changing entries.

use lentil_core::{BootId, EndpointId, Fingerprint, Span, Time};
use lentil_poison::{CrashId, Limits, Suspects, Verdict};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::plan::Guard;

/// Entries of a poison scene, each with its own knowledge of suspects.
pub const POISON_ENTRIES: usize = 12;
/// Requests on board of an endpoint besides the poisonous one.
const COMPANY: u128 = 8;
/// Times that the caller sends it.
const SENT: u64 = 100;
/// The poisonous request.
const POISON: Fingerprint = Fingerprint::new(u128::MAX);

/// What a poisonous request did.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoisonReport {
    /// Runs of the scene.
    pub simulations: u64,
    /// Endpoints lost.
    pub endpoints_lost: u64,
    /// Most endpoints lost in one scene.
    pub endpoints_lost_max: u64,
    /// Innocent requests that were on board of a crash.
    pub innocents_hit: u64,
    /// Those that ended well afterwards.
    pub innocents_finished: u64,
    /// Innocent requests that were refused as poison.
    pub innocents_refused: u64,
}

impl PoisonReport {
    /// Adds another scene.
    pub fn add(&mut self, other: &Self) {
        self.simulations += other.simulations;
        self.endpoints_lost += other.endpoints_lost;
        self.endpoints_lost_max = self.endpoints_lost_max.max(other.endpoints_lost_max);
        self.innocents_hit += other.innocents_hit;
        self.innocents_finished += other.innocents_finished;
        self.innocents_refused += other.innocents_refused;
    }
}

/// Runs one scene in which each entry tells `peers_told` others, drawn at
/// random, what it knows between two sendings.
#[must_use]
pub fn simulate_poison(seed: u64, guard: Guard, peers_told: usize) -> PoisonReport {
    let mut scene = PoisonSimulation {
        rng: ChaCha8Rng::seed_from_u64(seed),
        entries: (0..POISON_ENTRIES)
            .map(|_| Suspects::new(Limits::default()))
            .collect(),
        guard,
        peers_told,
        now: Time::ZERO,
        innocents: 0,
        report: PoisonReport {
            simulations: 1,
            ..PoisonReport::default()
        },
    };
    for number in 0..SENT {
        scene.now = scene.now + Span::from_s(1);
        scene.send(number);
        scene.gossip();
    }
    scene.report.endpoints_lost_max = scene.report.endpoints_lost;
    scene.report
}

struct PoisonSimulation {
    rng: ChaCha8Rng,
    entries: Vec<Suspects>,
    guard: Guard,
    peers_told: usize,
    now: Time,
    innocents: u128,
    report: PoisonReport,
}

impl PoisonSimulation {
    /// The caller sends the request at some entry.
    fn send(&mut self, number: u64) {
        let at = self.rng.random_range(0..self.entries.len());
        let Some(entry) = self.entries.get(at) else {
            return;
        };
        let verdict = match self.guard {
            Guard::On => entry.verdict(POISON),
            Guard::Off => Verdict::Clear,
        };
        let mut on_board = vec![POISON];
        match verdict {
            Verdict::Refused => return,
            Verdict::Suspect { .. } => {}
            Verdict::Clear => {
                let company = self.innocents..self.innocents + COMPANY;
                on_board.extend(company.map(Fingerprint::new));
            }
        }
        self.innocents += COMPANY;
        self.report.endpoints_lost += 1;
        let Some(endpoint) = endpoint(number) else {
            return;
        };
        let crash = CrashId::of(&endpoint, BootId::new(number));
        if let Some(entry) = self.entries.get_mut(at) {
            entry.on_crash(self.now, crash, &on_board);
        }
        for innocent in on_board.into_iter().filter(|body| *body != POISON) {
            self.again(at, innocent);
        }
    }

    /// An innocent request runs again, alone, and ends well.
    fn again(&mut self, at: usize, innocent: Fingerprint) {
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

    /// Each entry tells some peers what it knows.
    fn gossip(&mut self) {
        for from in 0..self.entries.len() {
            let rumours = self
                .entries
                .get(from)
                .map(Suspects::records)
                .unwrap_or_default();
            for _ in 0..self.peers_told {
                let to = self.rng.random_range(0..self.entries.len());
                let now = self.now;
                if let Some(peer) = self.entries.get_mut(to) {
                    rumours
                        .iter()
                        .for_each(|rumour| peer.merge_record(now, rumour));
                }
            }
        }
    }
}

fn endpoint(number: u64) -> Option<EndpointId> {
    format!("pool-{number}").parse().ok()
}
