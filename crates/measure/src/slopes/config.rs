//! Marginal costs of the configuration.

use lentil_config::{
    Change, ChangeRecord, ConfigLedger, ConfigurationFile, EntryBody, KeyHash, NamedOrganisation,
    Organisation, Preset, encode_record,
};
use lentil_core::{ConfigVersion, Offset, Weight};

use lentil_wire::v1;
use prost::Message as _;

use super::fit::{Slope, Unit};
use super::fixtures;
use super::meter;

fn organisation(index: usize) -> Organisation {
    Organisation {
        keys: vec![KeyHash::of(&format!("key-of-organisation-{index}"))],
        weight: Weight::new(1),
    }
}

fn file(count: usize) -> eyre::Result<ConfigurationFile> {
    let presets = ["ordinary", "peak", "maintenance"].into_iter();
    let presets = presets.map(|name| Ok((name.parse()?, Preset::default())));
    let organisations =
        (0..count).map(|index| Ok((fixtures::organisation(index)?, organisation(index))));
    Ok(ConfigurationFile {
        in_force: "ordinary".parse()?,
        presets: presets.collect::<eyre::Result<_>>()?,
        organisations: organisations.collect::<eyre::Result<_>>()?,
        zones_out: Vec::new(),
        endpoints_out: Vec::new(),
        old_system: None,
    })
}

fn record(base: usize, change: Change) -> eyre::Result<Vec<u8>> {
    let body = EntryBody::Change(ChangeRecord {
        id: format!("{base:032x}"),
        base: ConfigVersion::new(u64::try_from(base)?),
        by: "operator@tanaka".to_owned(),
        why: "weight of one customer".to_owned(),
        at_unix_ms: 1_764_823_000_000,
        change,
    });
    Ok(encode_record(body)?)
}

/// Builds a ledger whose configuration in force has `count` organisations.
pub(crate) fn ledger(count: usize) -> eyre::Result<ConfigLedger> {
    let mut ledger = ConfigLedger::default();
    ledger.apply_record(Offset::new(0), &record(0, Change::Replace(file(count)?))?);
    Ok(ledger)
}

/// Encodes a change to one organisation, based on version `base`.
pub(crate) fn change(base: usize) -> eyre::Result<Vec<u8>> {
    let name = fixtures::organisation(base % fixtures::ORGANISATIONS)?;
    let organisation = organisation(base);
    record(
        base,
        Change::PutOrganisation(NamedOrganisation { name, organisation }),
    )
}

fn fold_changes(mut ledger: ConfigLedger, changes: &[Vec<u8>]) {
    for (number, change) in changes.iter().enumerate() {
        let offset = Offset::new(u64::try_from(number).unwrap_or(u64::MAX).saturating_add(1));
        ledger.apply_record(offset, change);
    }
}

/// Counts the bytes of `count` exchange requests between peers at the same version.
fn idle_exchange(count: usize) -> usize {
    let exchange = v1::ExchangeRequest {
        sender: "lentil-pool-0042".to_owned(),
        version: 100_000,
        ..v1::ExchangeRequest::default()
    };
    count * (exchange.encoded_len() + super::link::FRAME_BYTES)
}

pub(crate) fn slopes() -> eyre::Result<Vec<Slope>> {
    let sizes = [1_000, 2_000, 4_000, fixtures::ORGANISATIONS];
    let checkpoint_bytes = meter::count(&sizes, |count| {
        let checkpoint = ledger(count).ok().and_then(|ledger| ledger.checkpoint());
        let bytes =
            checkpoint.and_then(|checkpoint| encode_record(EntryBody::Checkpoint(checkpoint)).ok());
        bytes.map_or(0, |bytes| bytes.len())
    });
    let changes: Vec<Vec<u8>> = (1..=80).map(change).collect::<eyre::Result<_>>()?;
    let fold_times = meter::time(
        &[20, 40, 80],
        |_| ledger(fixtures::ORGANISATIONS),
        |ledger, count| {
            if let Ok(ledger) = ledger {
                fold_changes(ledger, changes.get(..count).unwrap_or_default());
            }
        },
    );
    let replace_times = meter::time(
        &sizes,
        |count| {
            let record = file(count).and_then(|file| record(0, Change::Replace(file)));
            record.unwrap_or_default()
        },
        |record, _| {
            ConfigLedger::default().apply_record(Offset::new(0), &record);
        },
    );
    Ok(vec![
        Slope::fit(
            "configuration: organisation in force",
            Unit::Bytes,
            meter::memory(&sizes, ledger),
        ),
        Slope::fit(
            "configuration: organisation in a checkpoint",
            Unit::Bytes,
            checkpoint_bytes,
        ),
        Slope::fit(
            "configuration: change on the link",
            Unit::Bytes,
            meter::count(&[20, 40, 80], |count| {
                changes.iter().take(count).map(Vec::len).sum()
            }),
        ),
        Slope::fit(
            "configuration: idle exchange",
            Unit::Bytes,
            meter::count(&[20, 40, 80], idle_exchange),
        ),
        Slope::fit(
            "configuration: change folded",
            Unit::Nanoseconds,
            fold_times,
        ),
        Slope::fit(
            "configuration: organisation adopted",
            Unit::Nanoseconds,
            replace_times,
        ),
    ])
}
