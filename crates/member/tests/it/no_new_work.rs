//! What is out, leaving, or unknown after a pause gets no new work, whatever
//! else is heard in whatever order.

use std::collections::{BTreeMap, BTreeSet};

use lentil_core::{BootId, Span, Time};
use lentil_member::{Event, MemberTable, OutOfService, ReportedState};
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::{collection, proptest};

use crate::support::{cases, endpoint, line, members};

const ZONES: [&str; 3] = ["ch-a", "ch-b", "kyushu-a"];
const PER_ZONE: usize = 2;
const PAUSE_MAX_MS: u64 = 2_000;
const CONFIRM_MAX_MS: u64 = 2_000;
const LEASE_MS: u64 = 15_000;

#[derive(Debug, Clone)]
enum Step {
    Listed([bool; 6], [bool; 6]),
    Report(usize, u64, u8),
    LinkFailed(usize),
    RoundTrip(usize, u64),
    Orders([bool; 3], [bool; 6]),
    Confirmed,
    Run(u64),
    Pause(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let at = 0..ZONES.len() * PER_ZONE;
    let step = prop_oneof![
        2 => (any::<[bool; 6]>(), any::<[bool; 6]>()).prop_map(|(a, b)| Step::Listed(a, b)),
        6 => (at.clone(), 1..4_u64, 0..8_u8).prop_map(|(at, boot, s)| Step::Report(at, boot, s)),
        1 => at.clone().prop_map(Step::LinkFailed),
        1 => (at, 1..500_u64).prop_map(|(at, ms)| Step::RoundTrip(at, ms)),
        2 => (any::<[bool; 3]>(), any::<[bool; 6]>()).prop_map(|(z, e)| Step::Orders(z, e)),
        1 => Just(Step::Confirmed),
        4 => (1..5_000_u64).prop_map(Step::Run),
        1 => (1..30_000_u64).prop_map(Step::Pause),
    ];
    collection::vec(step, 1..60)
}

/// What the test itself remembers of each endpoint.
#[derive(Debug, Default, Clone, Copy)]
struct Known {
    listed: bool,
    listed_leaving: bool,
    boot: u64,
    left: bool,
    down: bool,
    heard_ms: Option<u64>,
}

struct Model {
    now_ms: u64,
    members: MemberTable,
    orders: OutOfService,
    known: BTreeMap<usize, Known>,
    ticked_ms: u64,
    confirm_ms: Option<u64>,
    sequence: u64,
}

impl Model {
    fn now(&self) -> Time {
        Time::ZERO + Span::from_ms(self.now_ms)
    }

    fn tick(&mut self) {
        if self.now_ms - self.ticked_ms >= PAUSE_MAX_MS {
            self.confirm_ms = Some(self.now_ms + CONFIRM_MAX_MS);
        }
        self.confirm_ms = self.confirm_ms.filter(|at| *at > self.now_ms);
        self.ticked_ms = self.now_ms;
        let now = self.now();
        self.members.on(now, Event::Tick);
        let now_ms = self.now_ms;
        self.known.retain(|_, known| {
            known.listed || known.heard_ms.is_some_and(|at| now_ms < at + LEASE_MS)
        });
    }

    fn apply(&mut self, step: &Step) {
        let now = self.now();
        let name = |at: usize| endpoint(ZONES[at / PER_ZONE], at);
        match *step {
            Step::Listed(listed, leaving) => self.list(listed, leaving),
            Step::Report(at, boot, state) => {
                self.sequence += 1;
                let state = match state {
                    0 => ReportedState::Leaving,
                    1 => ReportedState::Down,
                    2 => ReportedState::Cold,
                    _ => ReportedState::Warm,
                };
                let report = Event::Report {
                    endpoint: name(at),
                    boot: BootId::new(boot),
                    sequence: self.sequence,
                    state,
                };
                self.members.on(now, report);
                let now_ms = self.now_ms;
                let Some(known) = self.known.get_mut(&at) else {
                    return;
                };
                if boot < known.boot {
                    return;
                }
                known.left = state == ReportedState::Leaving || (known.left && boot == known.boot);
                known.boot = boot;
                known.down = state == ReportedState::Down;
                known.heard_ms = Some(now_ms);
            }
            Step::LinkFailed(at) => {
                self.members.on(now, Event::LinkFailed(name(at)));
                if let Some(known) = self.known.get_mut(&at) {
                    known.heard_ms = None;
                }
            }
            Step::RoundTrip(at, ms) => {
                self.members
                    .on(now, Event::RoundTrip(name(at), Span::from_ms(ms)));
            }
            Step::Orders(zones, endpoints) => {
                let out = |(at, out): (usize, bool)| out.then(|| name(at));
                let zone = |(at, out): (usize, bool)| out.then(|| ZONES[at].parse().unwrap());
                self.orders = OutOfService {
                    zones_out: zones.into_iter().enumerate().filter_map(zone).collect(),
                    endpoints_out: endpoints.into_iter().enumerate().filter_map(out).collect(),
                };
                self.members
                    .on(now, Event::OutOfService(self.orders.clone()));
            }
            Step::Confirmed => {
                self.members.on(now, Event::ConfigurationConfirmed);
                if self.now_ms - self.ticked_ms < PAUSE_MAX_MS {
                    self.confirm_ms = None;
                }
            }
            Step::Run(ms) => {
                for _ in 0..ms / 500 {
                    self.now_ms += 500;
                    self.tick();
                }
            }
            Step::Pause(ms) => self.now_ms += ms,
        }
    }

    fn list(&mut self, listed: [bool; 6], leaving: [bool; 6]) {
        for known in self.known.values_mut() {
            known.listed = false;
        }
        let mut lines = Vec::new();
        for (at, leaving) in leaving
            .into_iter()
            .enumerate()
            .filter(|(at, _)| listed[*at])
        {
            lines.push(line(ZONES[at / PER_ZONE], at, leaving));
            let known = self.known.entry(at).or_default();
            known.listed = true;
            known.listed_leaving = leaving;
        }
        self.members.on(self.now(), Event::HostListRead(lines));
    }

    fn check(&self) {
        for at in 0..ZONES.len() * PER_ZONE {
            let zone = ZONES[at / PER_ZONE];
            let name = endpoint(zone, at);
            let standing = self.members.eligibility(self.now(), &name);
            if !standing.accepts_work() {
                continue;
            }
            let known = self.known[&at];
            assert!(
                !self.orders.covers(&zone.parse().unwrap(), &name),
                "{name} is out"
            );
            assert!(!known.left && !known.listed_leaving, "{name} is leaving");
            assert!(!known.down, "{name} is down");
            let heard = known.heard_ms.is_some_and(|at| self.now_ms < at + LEASE_MS);
            assert!(heard, "the lease of {name} has lapsed");
            assert!(self.now_ms - self.ticked_ms < PAUSE_MAX_MS, "after a pause");
            assert_eq!(self.confirm_ms, None, "no news after a pause");
        }
    }
}

proptest! {
    #![proptest_config(cases(512))]

    #[test]
    fn out_means_out(steps in steps()) {
        let mut model = Model {
            now_ms: 0,
            members: members("entry-1", "ch-a"),
            orders: OutOfService::default(),
            known: BTreeMap::new(),
            ticked_ms: 0,
            confirm_ms: None,
            sequence: 0,
        };
        model.apply(&Step::Listed([true; 6], [false; 6]));
        for step in steps {
            model.apply(&step);
            model.check();
        }
    }
}

#[test]
fn pause_needs_news() {
    let mut members = members("entry-1", "ch-a");
    let name = endpoint("ch-a", 1);
    members.on(
        Time::ZERO,
        Event::HostListRead(vec![line("ch-a", 1, false)]),
    );
    let report = |sequence| Event::Report {
        endpoint: endpoint("ch-a", 1),
        boot: BootId::new(1),
        sequence,
        state: ReportedState::Warm,
    };
    members.on(Time::ZERO, report(1));
    assert!(members.eligibility(Time::ZERO, &name).accepts_work());
    let later = Time::ZERO + Span::from_s(60);
    assert!(!members.eligibility(later, &name).accepts_work());
    members.on(later, Event::Tick);
    members.on(later, report(2));
    assert!(!members.eligibility(later, &name).accepts_work());
    members.on(later, Event::ConfigurationConfirmed);
    assert!(members.eligibility(later, &name).accepts_work());
    members.on(
        later,
        Event::OutOfService(OutOfService {
            zones_out: BTreeSet::from(["ch-a".parse().unwrap()]),
            endpoints_out: BTreeSet::new(),
        }),
    );
    assert!(!members.eligibility(later, &name).accepts_work());
}
