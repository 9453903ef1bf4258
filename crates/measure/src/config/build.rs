//! Builds the configurations, changes and fleet layouts for the measurements.

use std::collections::BTreeMap;

use lentil_config::{
    Change, ChangeRecord, ConfigurationFile, EntryBody, KeyHash, NamedOrganisation, Organisation,
    Preset, encode_record,
};
use lentil_core::ConfigVersion;

use super::fleet::Layout;

/// Availability zones of the fleet, each with its region.
const ZONES: [(&str, &str); 7] = [
    ("kurume-a", "kyushu-north"),
    ("tosu-b", "kyushu-north"),
    ("ogori-c", "kyushu-north"),
    ("ch-west-a", "ch-west"),
    ("ch-west-b", "ch-west"),
    ("nord-a", "nord"),
    ("nord-b", "nord"),
];
/// The region that is partitioned from the others.
pub(crate) const PARTITIONED_REGION: &str = "nord";

/// Spreads `count` processes evenly over the first `zones` availability zones.
pub(crate) fn spread_over_zones(count: usize, zones: usize) -> Layout {
    let zones = zones.clamp(1, ZONES.len());
    let zone_share = |(at, (zone, region)): (usize, &(&'static str, &'static str))| {
        let extra = usize::from(at < count % zones);
        (*zone, *region, count / zones + extra)
    };
    ZONES
        .iter()
        .take(zones)
        .enumerate()
        .map(zone_share)
        .collect()
}

/// Builds a configuration with three presets and `organisation_count` organisations of one
/// key each.
pub(crate) fn configuration_file(organisation_count: usize) -> eyre::Result<ConfigurationFile> {
    let mut presets = BTreeMap::new();
    for name in ["ordinary", "peak", "maintenance"] {
        presets.insert(name.parse()?, Preset::default());
    }
    let mut organisations = BTreeMap::new();
    for number in 0..organisation_count {
        let organisation = Organisation {
            keys: vec![KeyHash::of(&format!("key {number}"))],
            ..Organisation::default()
        };
        organisations.insert(format!("organisation-{number}").parse()?, organisation);
    }
    Ok(ConfigurationFile {
        in_force: "ordinary".parse()?,
        presets,
        organisations,
        zones_out: Vec::new(),
        endpoints_out: Vec::new(),
        old_system: None,
    })
}

/// Returns a typical change; `number` selects its kind and contents.
pub(crate) fn sample_change(number: u64) -> eyre::Result<Change> {
    let names = ["peak", "maintenance", "ordinary"];
    let name = usize::try_from(number % 3)?;
    Ok(match number % 4 {
        0 => Change::UsePreset(names.get(name).copied().unwrap_or("peak").parse()?),
        1 => Change::ZoneOut("tosu-b".parse()?),
        2 => Change::ZoneIn("tosu-b".parse()?),
        _ => Change::PutOrganisation(NamedOrganisation {
            name: format!("organisation-{}", number % 16).parse()?,
            organisation: Organisation {
                keys: vec![KeyHash::of(&format!("new key {number}"))],
                ..Organisation::default()
            },
        }),
    })
}

/// Encodes a change as a log record.
pub(crate) fn encode_change(
    id: &str,
    base: ConfigVersion,
    change: Change,
) -> eyre::Result<Vec<u8>> {
    let record = ChangeRecord {
        id: id.to_owned(),
        base,
        by: "operator".to_owned(),
        why: "measurement of the configuration".to_owned(),
        at_unix_ms: 0,
        change,
    };
    Ok(encode_record(EntryBody::Change(record))?)
}
