//! A seeded play of a store that comes back from older copies while configurations change, endpoints
//! join and leave, and gateways start.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

use crate::daemon_process::DaemonProcess;
use crate::fake_http::ClientConnection;
use crate::fake_store::StoreMode;
use crate::gateway_harness::{Replica, request_head, respond_ok, wait_until};
use crate::restored_store::{Reader, Restored, with_key};
use crate::taken_up_play::number_from;

/// Duration of the play if `LENTIL_PLAY_S` is not set.
const PLAY_S: u64 = 14;
/// Seed if `LENTIL_SEED` is not set.
const SEED: u64 = 20_261_204;
/// Time after which a revoked key must stop working.
const REVOKE_MS: u64 = 4_000;
/// Time within which lost records are written again, in milliseconds. It leaves a busy machine some of
/// the 2 s that the pages allow.
const WRITE_AGAIN_MAX_MS: u64 = 1_500;
/// Largest number of records of a topic that are lost at once.
const LOST_MAX: usize = 4;
/// Time after the last change after which each endpoint is known as it is.
const QUIET: Duration = Duration::from_secs(5);
/// Number of older keys that are tried beside the newest one.
const OLDER_KEYS: u64 = 3;
/// Pause between two rounds of requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(15);

/// The newest value of each key of a topic; `None` if it was deleted.
type Written = BTreeMap<(&'static str, String), Option<Value>>;

/// An endpoint of the service `desk` and whether it is listed.
struct Desk {
    replica: Replica,
    is_listed: bool,
}

/// A gateway that is killed and started again.
struct Started {
    process: DaemonProcess,
    /// The newest version whose key it accepted.
    accepted: u64,
}

/// The state of a play.
struct Play {
    test: String,
    restored: Restored,
    rng: ChaCha8Rng,
    /// What was written last, whether it was lost or not.
    written: Written,
    /// What the store has lost, and when it is written again.
    lost: BTreeMap<(&'static str, String), Instant>,
    /// When each version was acknowledged, from version 1 on. Only its own key is valid.
    acked_at: Vec<Instant>,
    /// The newest version whose key was accepted.
    accepted: u64,
    desks: Vec<Desk>,
    started: Option<Started>,
    starts: u64,
    next_step_at: Instant,
    away_until: Option<Instant>,
    requests: u64,
    restores: u64,
}

impl Play {
    fn new(test: &str, reader: Reader, seed: u64) -> Self {
        let restored = Restored::start_revoking(test, reader, REVOKE_MS);
        let listed = ["i-1", "i-2"].into_iter().filter_map(|name| {
            let entry = restored.newest("keyed.servers", name)?;
            Some((("keyed.servers", name.to_owned()), Some(entry)))
        });
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            test: test.to_owned(),
            written: listed.collect(),
            restored,
            lost: BTreeMap::new(),
            acked_at: vec![Instant::now()],
            accepted: 1,
            desks: Vec::new(),
            started: None,
            starts: 0,
            next_step_at: Instant::now(),
            away_until: None,
            requests: 0,
            restores: 0,
        }
    }

    fn write(&mut self, topic: &'static str, key: &str, value: Option<Value>) {
        self.restored.put(topic, key, value.as_ref());
        self.lost.remove(&(topic, key.to_owned()));
        self.written.insert((topic, key.to_owned()), value);
    }

    fn version(&self) -> u64 {
        u64::try_from(self.acked_at.len()).unwrap()
    }

    fn step(&mut self) {
        let now = Instant::now();
        self.next_step_at = now + Duration::from_millis(self.rng.random_range(50..500));
        if self.rng.random_range(0..10) < 2 {
            self.start_gateway();
        }
        if self.away_until.is_some() {
            return;
        }
        match self.rng.random_range(0..10) {
            0..=3 => self.publish(),
            4..=5 => self.add_desk(),
            6 => self.remove_desk(),
            _ => self.restore(),
        }
    }

    /// Starts a gateway in place of the one before.
    fn start_gateway(&mut self) {
        self.started = None;
        self.starts += 1;
        let name = format!("{}_{}", self.test, self.starts);
        self.started = Some(Started {
            process: self.restored.start_gateway(&name, REVOKE_MS),
            accepted: 0,
        });
    }

    fn publish(&mut self) {
        let version = self.version() + 1;
        let config = with_key(version, &format!("key{version}"));
        self.write("keyed.op", "config", Some(config));
        self.acked_at.push(Instant::now());
    }

    fn entry(desk: &Desk, sequence: u64) -> Value {
        json!({"service": "desk", "address": desk.replica.address().to_string(), "zone": "z",
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "sequence": sequence, "born": 7})
    }

    fn add_desk(&mut self) {
        let name = format!("j-{}", self.desks.len());
        let desk = Desk {
            replica: Replica::start(&name, respond_ok),
            is_listed: true,
        };
        let entry = Self::entry(&desk, 1);
        self.desks.push(desk);
        self.write("keyed.servers", &name, Some(entry));
    }

    fn remove_desk(&mut self) {
        let listed = self.desks.iter_mut().find(|desk| desk.is_listed);
        let Some(desk) = listed else {
            return;
        };
        desk.is_listed = false;
        let name = desk.replica.name.clone();
        self.write("keyed.servers", &name, None);
    }

    /// The store is away for a while, and comes back without its last records.
    fn restore(&mut self) {
        self.restores += 1;
        self.restored.set_mode(StoreMode::Closing);
        let away_ms = self.rng.random_range(50..1_200);
        self.away_until = Some(Instant::now() + Duration::from_millis(away_ms));
    }

    fn come_back(&mut self) {
        self.away_until = None;
        let lost = [(); 2].map(|()| self.rng.random_range(0..=LOST_MAX));
        self.restored
            .lose_of(&[("keyed.op", lost[0]), ("keyed.servers", lost[1])]);
        let now = Instant::now();
        for ((topic, key), value) in &self.written {
            let held = self.restored.newest(topic, key);
            if held != *value {
                let at_once = self.rng.random_bool(0.4);
                let delay_ms = self.rng.random_range(0..WRITE_AGAIN_MAX_MS);
                let delay_ms = if at_once { 0 } else { delay_ms };
                let due = now + Duration::from_millis(delay_ms);
                self.lost.insert((topic, key.clone()), due);
            }
        }
        self.write_again(now);
        self.restored.set_mode(StoreMode::Serving);
    }

    /// Writes what is due again. Endpoints renew their entries.
    fn write_again(&mut self, now: Instant) {
        let due = self.lost.iter().filter(|(_, at)| **at <= now);
        let due: Vec<_> = due.map(|(key, _)| key.clone()).collect();
        for (topic, key) in due {
            let mut value = self.written[&(topic, key.clone())].clone();
            if let Some(entry) = value.as_mut().filter(|_| topic == "keyed.servers") {
                let sequence = entry["sequence"].as_u64().unwrap();
                entry["sequence"] = json!(sequence + 1);
            }
            self.write(topic, &key, value);
        }
    }

    /// Sends a request with the key of a version to a gateway.
    fn accepts_at(&mut self, gateway: SocketAddr, version: u64) -> bool {
        self.requests += 1;
        let head = request_head("/lookup/a", &format!("r{}", self.requests), "");
        let head = head.replace("Bearer k1", &format!("Bearer key{version}"));
        let mut connection = ClientConnection::open(gateway);
        connection.send(&head, "hello");
        connection.receive().unwrap().status == 200
    }

    /// The same at the gateway that runs all the while.
    fn accepts(&mut self, version: u64) -> bool {
        let gateway = self.restored.site().gateway.address("callers");
        self.accepts_at(gateway, version)
    }

    /// Sends a request with each of the newest keys to a gateway, and checks that none is accepted that
    /// has been taken away for too long, or after a newer one was. Returns the newest accepted version.
    fn check_keys_at(&mut self, gateway: SocketAddr, mut accepted: u64) -> u64 {
        let newest = self.version();
        for version in newest.saturating_sub(OLDER_KEYS).max(2)..=newest {
            let sent_at = Instant::now();
            if !self.accepts_at(gateway, version) {
                continue;
            }
            assert!(version >= accepted, "{version} after {accepted}");
            accepted = version;
            let revoked = usize::try_from(version).unwrap();
            if let Some(revoked_at) = self.acked_at.get(revoked) {
                let late = sent_at.saturating_duration_since(*revoked_at);
                let bound = Duration::from_millis(REVOKE_MS);
                assert!(
                    late <= bound,
                    "key {version} accepted {late:?} after its end"
                );
            }
        }
        accepted
    }

    fn check_keys(&mut self) {
        let gateway = self.restored.site().gateway.address("callers");
        self.accepted = self.check_keys_at(gateway, self.accepted);
        let Some(started) = &self.started else {
            return;
        };
        let gateway = started.process.address("callers");
        let accepted = self.check_keys_at(gateway, started.accepted);
        self.started.as_mut().unwrap().accepted = accepted;
    }

    fn run(&mut self, time: Duration) {
        self.publish();
        let end = Instant::now() + time;
        while Instant::now() < end {
            let now = Instant::now();
            if self.away_until.is_some_and(|until| until <= now) {
                self.come_back();
            }
            if self.away_until.is_none() {
                self.write_again(now);
            }
            if self.next_step_at <= now {
                self.step();
            }
            self.check_keys();
            std::thread::sleep(REQUEST_PAUSE);
        }
    }

    /// Lets the store be read, and checks that the gateway knows what was written last.
    fn settle(&mut self) {
        if self.away_until.is_some() {
            self.come_back();
        }
        let end = Instant::now() + QUIET;
        while Instant::now() < end {
            self.write_again(Instant::now());
            self.check_keys();
            std::thread::sleep(REQUEST_PAUSE);
        }
        let newest = self.version();
        wait_until("the newest key is accepted", || self.accepts(newest));
        if let Some(started) = &self.started {
            let gateway = started.process.address("callers");
            wait_until("the newest key is accepted at the start", || {
                self.accepts_at(gateway, newest)
            });
        }
        let gone = self.desks.iter().filter(|desk| !desk.is_listed);
        let reached = |desk: &Desk| desk.replica.requests().len();
        let before: Vec<_> = gone.clone().map(reached).collect();
        let first = self.requests;
        while self.requests < first + 200 {
            assert!(self.accepts(newest));
        }
        let gone = self.desks.iter().filter(|desk| !desk.is_listed);
        assert_eq!(gone.map(reached).collect::<Vec<_>>(), before);
    }
}

/// Guards against a configuration that goes back or a key that works for too long after a restore,
/// also at a gateway that has just started, and against a gateway that does not know in the end what was
/// written last.
#[test]
fn random_restores() {
    let seed = number_from("LENTIL_SEED", SEED);
    let time = Duration::from_secs(number_from("LENTIL_PLAY_S", PLAY_S));
    let reader = if seed.is_multiple_of(2) {
        Reader::Gateway
    } else {
        Reader::Observer
    };
    let mut play = Play::new(&format!("restored_play_{seed}"), reader, seed);
    play.run(time);
    play.settle();
    println!(
        "{} requests, {} versions, {} restores, {} starts",
        play.requests,
        play.version(),
        play.restores,
        play.starts
    );
}
