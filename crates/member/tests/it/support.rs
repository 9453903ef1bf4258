//! Builders shared by the tests.

use std::collections::BTreeSet;

use lentil_core::{EndpointId, Time};
use lentil_member::{Group, ListedEndpoint, Location, MemberLimits, MemberTable};
use proptest::test_runner::{Config, RngSeed};

/// A proptest configuration with a number of cases and a fixed seed.
pub(crate) fn cases(count: u32) -> Config {
    Config {
        cases: count,
        rng_seed: RngSeed::Fixed(lentil_scenario::seed()),
        ..Config::default()
    }
}

pub(crate) fn location(zone: &str) -> Location {
    let region = zone.split_once('-').map_or(zone, |(region, _)| region);
    Location {
        zone: zone.parse().unwrap(),
        region: region.parse().unwrap(),
    }
}

pub(crate) fn group() -> Group {
    Group::Model("lentil-writers".parse().unwrap())
}

pub(crate) fn endpoint(zone: &str, number: usize) -> EndpointId {
    format!("{zone}-{number}").parse().unwrap()
}

pub(crate) fn listed_endpoint(zone: &str, number: usize, leaving: bool) -> ListedEndpoint {
    ListedEndpoint {
        endpoint: endpoint(zone, number),
        host: format!("host-{zone}-{number}").parse().unwrap(),
        location: location(zone),
        groups: BTreeSet::from([group()]),
        address: String::new(),
        leaving,
    }
}

pub(crate) fn members(name: &str, zone: &str) -> MemberTable {
    let limits = MemberLimits::default();
    MemberTable::new(Time::ZERO, name.parse().unwrap(), location(zone), limits)
}
