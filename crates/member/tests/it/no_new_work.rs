//! An endpoint that is out of service or leaving receives no new work, and an
//! entry hands out no work after a pause until its configuration is confirmed,
//! whatever other events arrive and in whatever order.

use std::collections::{BTreeMap, BTreeSet};

use lentil_core::{BootId, Span, Time};
use lentil_member::{Event, MemberTable, OutOfService, ReportedState};
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::{collection, proptest};

use crate::support::{cases, endpoint, listed_endpoint, members};

const ZONES: [&str; 3] = ["ch-a", "ch-b", "kyushu-a"];
const PER_ZONE: usize = 2;
const PAUSE_MAX_MS: u64 = 2_000;
const CONFIRM_MAX_MS: u64 = 2_000;
const LEASE_MS: u64 = 15_000;

#[derive(Debug, Clone)]
enum Step {
    HostList([bool; 6], [bool; 6]),
    Report(usize, u64, u8),
    LinkFailed(usize),
    RoundTrip(usize, u64),
    OutOfService([bool; 3], [bool; 6]),
    ConfigurationConfirmed,
    Advance(u64),
    Pause(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let at = 0..ZONES.len() * PER_ZONE;
    let step = prop_oneof![
        2 => (any::<[bool; 6]>(), any::<[bool; 6]>()).prop_map(|(a, b)| Step::HostList(a, b)),
        6 => (at.clone(), 1..4_u64, 0..8_u8).prop_map(|(at, boot, s)| Step::Report(at, boot, s)),
        1 => at.clone().prop_map(Step::LinkFailed),
        1 => (at, 1..500_u64).prop_map(|(at, ms)| Step::RoundTrip(at, ms)),
        2 => (any::<[bool; 3]>(), any::<[bool; 6]>()).prop_map(|(z, e)| Step::OutOfService(z, e)),
        1 => Just(Step::ConfigurationConfirmed),
        4 => (1..5_000_u64).prop_map(Step::Advance),
        1 => (1..30_000_u64).prop_map(Step::Pause),
    ];
    collection::vec(step, 1..60)
}

/// The state of an endpoint as the reference model expects it.
#[derive(Debug, Default, Clone, Copy)]
struct ExpectedMember {
    listed: bool,
    listed_leaving: bool,
    boot: u64,
    announced_leaving: bool,
    down: bool,
    last_report_ms: Option<u64>,
}

struct ReferenceModel {
    now_ms: u64,
    members: MemberTable,
    out_of_service: OutOfService,
    expected: BTreeMap<usize, ExpectedMember>,
    last_tick_ms: u64,
    confirm_deadline_ms: Option<u64>,
    sequence: u64,
}

impl ReferenceModel {
    fn now(&self) -> Time {
        Time::ZERO + Span::from_ms(self.now_ms)
    }

    fn tick(&mut self) {
        if self.now_ms - self.last_tick_ms >= PAUSE_MAX_MS {
            self.confirm_deadline_ms = Some(self.now_ms + CONFIRM_MAX_MS);
        }
        self.confirm_deadline_ms = self.confirm_deadline_ms.filter(|at| *at > self.now_ms);
        self.last_tick_ms = self.now_ms;
        let now = self.now();
        self.members.on(now, Event::Tick);
        let now_ms = self.now_ms;
        self.expected.retain(|_, expected| {
            expected.listed
                || expected
                    .last_report_ms
                    .is_some_and(|at| now_ms < at + LEASE_MS)
        });
    }

    fn apply(&mut self, step: &Step) {
        let now = self.now();
        let endpoint_at = |at: usize| endpoint(ZONES[at / PER_ZONE], at);
        match *step {
            Step::HostList(listed, leaving) => self.read_host_list(listed, leaving),
            Step::Report(at, boot, state) => {
                self.sequence += 1;
                let state = match state {
                    0 => ReportedState::Leaving,
                    1 => ReportedState::Down,
                    2 => ReportedState::Cold,
                    _ => ReportedState::Warm,
                };
                let report = Event::Report {
                    endpoint: endpoint_at(at),
                    boot: BootId::new(boot),
                    sequence: self.sequence,
                    state,
                };
                self.members.on(now, report);
                let now_ms = self.now_ms;
                let Some(expected) = self.expected.get_mut(&at) else {
                    return;
                };
                if boot < expected.boot {
                    return;
                }
                expected.announced_leaving = state == ReportedState::Leaving
                    || (expected.announced_leaving && boot == expected.boot);
                expected.boot = boot;
                expected.down = state == ReportedState::Down;
                expected.last_report_ms = Some(now_ms);
            }
            Step::LinkFailed(at) => {
                self.members.on(now, Event::LinkFailed(endpoint_at(at)));
                if let Some(expected) = self.expected.get_mut(&at) {
                    expected.last_report_ms = None;
                }
            }
            Step::RoundTrip(at, ms) => {
                self.members
                    .on(now, Event::RoundTrip(endpoint_at(at), Span::from_ms(ms)));
            }
            Step::OutOfService(zones, endpoints) => {
                let out = |(at, out): (usize, bool)| out.then(|| endpoint_at(at));
                let zone = |(at, out): (usize, bool)| out.then(|| ZONES[at].parse().unwrap());
                self.out_of_service = OutOfService {
                    zones_out: zones.into_iter().enumerate().filter_map(zone).collect(),
                    endpoints_out: endpoints.into_iter().enumerate().filter_map(out).collect(),
                };
                self.members
                    .on(now, Event::OutOfService(self.out_of_service.clone()));
            }
            Step::ConfigurationConfirmed => {
                self.members.on(now, Event::ConfigurationConfirmed);
                if self.now_ms - self.last_tick_ms < PAUSE_MAX_MS {
                    self.confirm_deadline_ms = None;
                }
            }
            Step::Advance(ms) => {
                for _ in 0..ms / 500 {
                    self.now_ms += 500;
                    self.tick();
                }
            }
            Step::Pause(ms) => self.now_ms += ms,
        }
    }

    fn read_host_list(&mut self, listed: [bool; 6], leaving: [bool; 6]) {
        for expected in self.expected.values_mut() {
            expected.listed = false;
        }
        let mut listed_endpoints = Vec::new();
        for (at, leaving) in leaving
            .into_iter()
            .enumerate()
            .filter(|(at, _)| listed[*at])
        {
            listed_endpoints.push(listed_endpoint(ZONES[at / PER_ZONE], at, leaving));
            let expected = self.expected.entry(at).or_default();
            expected.listed = true;
            expected.listed_leaving = leaving;
        }
        self.members
            .on(self.now(), Event::HostListRead(listed_endpoints));
    }

    fn check(&self) {
        for at in 0..ZONES.len() * PER_ZONE {
            let zone = ZONES[at / PER_ZONE];
            let name = endpoint(zone, at);
            let eligibility = self.members.eligibility(self.now(), &name);
            if !eligibility.accepts_work() {
                continue;
            }
            let expected = self.expected[&at];
            assert!(
                !self.out_of_service.covers(&zone.parse().unwrap(), &name),
                "{name} is out of service"
            );
            assert!(
                !expected.announced_leaving && !expected.listed_leaving,
                "{name} is leaving"
            );
            assert!(!expected.down, "{name} is down");
            let report_valid = expected
                .last_report_ms
                .is_some_and(|at| self.now_ms < at + LEASE_MS);
            assert!(report_valid, "the report lease of {name} has expired");
            assert!(
                self.now_ms - self.last_tick_ms < PAUSE_MAX_MS,
                "work is handed out after a missed tick"
            );
            assert_eq!(
                self.confirm_deadline_ms, None,
                "work is handed out before the configuration is confirmed"
            );
        }
    }
}

proptest! {
    #![proptest_config(cases(512))]

    #[test]
    fn ineligible_endpoints_get_no_work(steps in steps()) {
        let mut model = ReferenceModel {
            now_ms: 0,
            members: members("entry-1", "ch-a"),
            out_of_service: OutOfService::default(),
            expected: BTreeMap::new(),
            last_tick_ms: 0,
            confirm_deadline_ms: None,
            sequence: 0,
        };
        model.apply(&Step::HostList([true; 6], [false; 6]));
        for step in steps {
            model.apply(&step);
            model.check();
        }
    }
}

#[test]
fn pause_blocks_work_until_confirmed() {
    let mut members = members("entry-1", "ch-a");
    let name = endpoint("ch-a", 1);
    members.on(
        Time::ZERO,
        Event::HostListRead(vec![listed_endpoint("ch-a", 1, false)]),
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
