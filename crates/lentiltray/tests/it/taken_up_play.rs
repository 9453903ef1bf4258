//! Seeded plays of versions that come and leave, gateways that are killed, and callers
//! that take streams up; one of them with a store that turns gateways away, and observers that
//! restart.

use std::time::{Duration, Instant};

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::seq::IndexedRandom as _;
use rand_chacha::ChaCha8Rng;

use crate::fake_store::{CallFault, StoreLink, StoreMode};
use crate::version_fleet::{
    Caller, EVENTS, EngineOptions, Fleet, READ_EVENTS, config_with_timeout,
};

/// Duration of the play if `LENTIL_PLAY_S` is not set.
const PLAY_S: u64 = 12;
/// Seed if `LENTIL_SEED` is not set.
const SEED: u64 = 20_261_204;
/// Number of gateways.
const GATEWAYS: usize = 3;
/// Timeout of the route: short, so that the default version changes within a play.
const TIMEOUT: Duration = Duration::from_millis(2_500);
/// Age at which a caller gives its stream up: twice the timeout, after which it counts as
/// gone, without what a last take-up may wait for.
const AGE_MAX: Duration = Duration::from_millis(4_000);
/// Largest number of streams at once.
const CALLERS: usize = 16;
/// Number of streams that begin, or are taken up, in one step.
const STEP_CALLERS: usize = 4;
/// Largest number of events that a caller reads in one step.
const STEP_EVENTS: usize = 8;

/// Mean number of steps between two faults of the store or of observers.
const FAULT_STEPS: usize = 4;
/// Longest time for which the store turns a gateway away, or refuses appends.
const FAULT_MAX_MS: u64 = 1_500;
/// Shortest time between two such faults of one kind.
const FAULT_PAUSE: Duration = Duration::from_secs(1);
/// Shortest time between two restarts of observers, in which gateways send them their records again.
const OBSERVER_PAUSE: Duration = Duration::from_secs(3);

/// The number that an environment variable holds.
pub(crate) fn number_from(variable: &str, default: u64) -> u64 {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// The faults of a play's store and observers.
struct Faults {
    /// The links to the store, in the order of the fleet's gateways.
    links: Vec<StoreLink>,
    /// When the fault of links, that of appends and the pause after a restart of an observer end.
    link_until: Instant,
    appends_until: Instant,
    observers_until: Instant,
}

impl Faults {
    /// Begins a fault, unless the last one of its kind has only just ended.
    fn begin(&mut self, fleet: &mut Fleet, rng: &mut ChaCha8Rng) {
        let now = Instant::now();
        let until = now + Duration::from_millis(rng.random_range(100..=FAULT_MAX_MS));
        match rng.random_range(0..3) {
            0 if self.link_until + FAULT_PAUSE <= now => {
                let modes = [
                    StoreMode::Refusing(503),
                    StoreMode::Refusing(429),
                    StoreMode::Silent,
                    StoreMode::Closing,
                ];
                let count = rng.random_range(1..=self.links.len());
                for link in &self.links[..count] {
                    link.set_mode_until(*modes.choose(rng).unwrap(), until);
                }
                self.link_until = until;
            }
            1 if self.appends_until + FAULT_PAUSE <= now => {
                let faults = [
                    CallFault::Refused(503),
                    CallFault::Unanswered,
                    CallFault::AnswerLost,
                ];
                let fault = *faults.choose(rng).unwrap();
                fleet.store.set_append_fault_until(fault, until);
                self.appends_until = until;
            }
            2 if self.observers_until <= now => {
                let engine = rng.random_range(0..fleet.engines());
                fleet.kill_observer(engine);
                fleet.restart_observer(engine);
                self.observers_until = Instant::now() + OBSERVER_PAUSE;
            }
            _ => {}
        }
    }
}

/// The state of a play.
struct Play {
    fleet: Fleet,
    faults: Option<Faults>,
    rng: ChaCha8Rng,
    callers: Vec<Caller>,
    begun: usize,
    taken_up: usize,
    refused: usize,
    /// Number of the newest version.
    newest: usize,
}

impl Play {
    fn address(&mut self) -> std::net::SocketAddr {
        let gateway = self.rng.random_range(0..self.fleet.gateways());
        self.fleet.address(gateway)
    }

    /// Does one random thing.
    fn step(&mut self) {
        self.callers.retain(|caller| caller.age() < AGE_MAX);
        if let Some(faults) = &mut self.faults
            && self.rng.random_range(0..FAULT_STEPS) == 0
        {
            faults.begin(&mut self.fleet, &mut self.rng);
        }
        match self.rng.random_range(0..40) {
            0 => self.lose_gateways(1),
            1 => self.lose_gateways(GATEWAYS),
            2..=4 => self.change_versions(),
            5..=15 => (0..STEP_CALLERS).for_each(|_| self.begin()),
            16..=27 => (0..STEP_CALLERS).for_each(|_| self.take_up()),
            _ => self.read(),
        }
    }

    fn lose_gateways(&mut self, count: usize) {
        for _ in 0..count {
            self.fleet.kill_gateway(0);
        }
        for _ in 0..count {
            match &mut self.faults {
                Some(faults) => {
                    let link = self.fleet.store.open_link();
                    self.fleet.add_gateway_at(&link);
                    faults.links.remove(0);
                    faults.links.push(link);
                }
                None => self.fleet.add_gateway(),
            }
        }
    }

    /// Starts a version if there is one, and ends one if there are several.
    fn change_versions(&mut self) {
        let versions = self.fleet.listed_versions();
        if let [_] = versions[..] {
            // A version that has left may come back.
            let version = self.rng.random_range(1..=self.newest + 1);
            self.newest = self.newest.max(version);
            for _ in 0..2 {
                let breaks_before = self.rng.random_bool(0.3).then_some(EVENTS / 2);
                let options = EngineOptions {
                    begin_delay: Duration::from_millis(self.rng.random_range(0..60)),
                    breaks_before,
                };
                self.fleet.add_engine(&format!("v{version}"), options);
            }
            return;
        }
        let gone = versions.choose(&mut self.rng).unwrap().clone();
        self.fleet.remove_version(&gone);
    }

    fn begin(&mut self) {
        if self.callers.len() == CALLERS {
            return;
        }
        self.begun += 1;
        let mut caller = Caller::new(&format!("play{}", self.begun));
        let gateway = self.address();
        if caller.repeat(gateway, "").is_ok() {
            caller.read_until(READ_EVENTS);
        }
        if caller.received() > 0 {
            self.callers.push(caller);
        }
    }

    fn read(&mut self) {
        let Some(caller) = self.take_caller() else {
            return;
        };
        self.go_on(caller);
    }

    /// Takes a stream up. It must go on if its version is listed.
    fn take_up(&mut self) {
        let Some(mut caller) = self.take_caller() else {
            return;
        };
        let gateway = self.address();
        let is_listed = self
            .fleet
            .listed_versions()
            .iter()
            .any(|version| version == caller.version());
        match caller.take_up(gateway) {
            Ok(()) => {
                self.taken_up += 1;
                self.go_on(caller);
            }
            Err(refusal) => {
                self.refused += 1;
                assert_eq!(refusal.status, 503, "{refusal:?}");
                assert!(!is_listed, "{} of {refusal:?}", caller.version());
            }
        }
    }

    fn take_caller(&mut self) -> Option<Caller> {
        if self.callers.is_empty() {
            return None;
        }
        let chosen = self.rng.random_range(0..self.callers.len());
        Some(self.callers.swap_remove(chosen))
    }

    /// Reads some events; a stream that broke off is kept to be taken up later.
    fn go_on(&mut self, mut caller: Caller) {
        if caller.is_connected() {
            let events = self.rng.random_range(1..=STEP_EVENTS);
            caller.read_until(caller.received() + events);
        }
        caller.check();
        if caller.is_complete {
            caller.check_whole();
        } else {
            self.callers.push(caller);
        }
    }
}

/// Plays until the time is over.
fn play(fleet: Fleet, faults: Option<Faults>) {
    let seed = number_from("LENTIL_SEED", SEED);
    let until = Instant::now() + Duration::from_secs(number_from("LENTIL_PLAY_S", PLAY_S));
    println!("seed {seed}");
    let mut play = Play {
        fleet,
        faults,
        rng: ChaCha8Rng::seed_from_u64(seed),
        callers: Vec::new(),
        begun: 0,
        taken_up: 0,
        refused: 0,
        newest: 1,
    };
    while Instant::now() < until {
        play.step();
    }
    let defaults = play.fleet.store.appended_defaults();
    let Play {
        begun,
        taken_up,
        refused,
        ..
    } = play;
    println!("{begun} begun, {taken_up} taken up, {refused} refused, {defaults} defaults");
    assert!(taken_up > 0);
}

/// Streams held events of two versions after some sequence of such events.
#[test]
fn random_play() {
    let config = config_with_timeout(TIMEOUT);
    play(Fleet::start("random_play", GATEWAYS, &config), None);
}

/// The same where the store turned gateways away or refused appends, and observers restarted.
#[test]
fn random_store_faults() {
    let config = config_with_timeout(TIMEOUT);
    let seed = number_from("LENTIL_SEED", SEED);
    let test = format!("random_store_faults_{seed}");
    let mut fleet = Fleet::start_observed(&test, 0, &config);
    let links: Vec<_> = (0..GATEWAYS).map(|_| fleet.store.open_link()).collect();
    for link in &links {
        fleet.add_gateway_at(link);
    }
    let now = Instant::now();
    let faults = Faults {
        links,
        link_until: now,
        appends_until: now,
        observers_until: now,
    };
    play(fleet, Some(faults));
}
