//! Configurations, changes and fleets to measure with.

use std::collections::BTreeMap;

use lentil_config::{
    Change, ChangeRecord, ConfigurationFile, EntryBody, KeyHash, NamedOrganisation, Organisation,
    Preset, encode_record,
};
use lentil_core::ConfigVersion;

use super::fleet::Layout;

/// Zones of the fleet with their regions.
const ZONES: [(&str, &str); 7] = [
    ("kurume-a", "kyushu-north"),
    ("tosu-b", "kyushu-north"),
    ("ogori-c", "kyushu-north"),
    ("ch-west-a", "ch-west"),
    ("ch-west-b", "ch-west"),
    ("nord-a", "nord"),
    ("nord-b", "nord"),
];
/// The region that is cut from the others.
pub(crate) const CUT_REGION: &str = "nord";

/// Spreads `count` processes over the first `zones` zones.
pub(crate) fn layout(count: usize, zones: usize) -> Layout {
    let zones = zones.clamp(1, ZONES.len());
    let part = |(at, (zone, region)): (usize, &(&'static str, &'static str))| {
        let extra = usize::from(at < count % zones);
        (*zone, *region, count / zones + extra)
    };
    ZONES.iter().take(zones).enumerate().map(part).collect()
}

/// Three presets and a number of organisations with one key each.
pub(crate) fn file(organisations: usize) -> eyre::Result<ConfigurationFile> {
    let mut presets = BTreeMap::new();
    for name in ["ordinary", "peak", "maintenance"] {
        presets.insert(name.parse()?, Preset::default());
    }
    let mut by_name = BTreeMap::new();
    for number in 0..organisations {
        let organisation = Organisation {
            keys: vec![KeyHash::of(&format!("key {number}"))],
            ..Organisation::default()
        };
        by_name.insert(format!("organisation-{number}").parse()?, organisation);
    }
    Ok(ConfigurationFile {
        in_force: "ordinary".parse()?,
        presets,
        organisations: by_name,
        zones_out: Vec::new(),
        endpoints_out: Vec::new(),
        old_system: None,
    })
}

/// The kinds of change that a day brings, by number.
pub(crate) fn change(number: u64) -> eyre::Result<Change> {
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

/// A change as a record of the log.
pub(crate) fn record(id: &str, base: ConfigVersion, change: Change) -> eyre::Result<Vec<u8>> {
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
