//! The current version never decreases, and the validity period starts when the
//! request is sent to the store.

use lentil_catalog::{CurrentCatalog, ReplaceOutcome};
use lentil_core::{ConfigVersion, Span, Time};

use crate::fixtures::{catalog, route};

fn catalog_version(number: u64) -> lentil_catalog::Catalog {
    catalog(number, vec![route("h", "/", "a")])
}

#[test]
fn older_version_is_dropped() {
    let mut current = CurrentCatalog::new(Span::from_s(4));
    let none = ConfigVersion::default();
    assert_eq!(
        current.replace(catalog_version(5)),
        ReplaceOutcome::Newer { previous: none }
    );
    assert_eq!(current.replace(catalog_version(3)), ReplaceOutcome::Older);
    assert_eq!(current.replace(catalog_version(5)), ReplaceOutcome::Same);
    assert_eq!(current.version(), ConfigVersion::new(5));
}

#[test]
fn validity_counts_from_request() {
    let mut current = CurrentCatalog::new(Span::from_s(4));
    let requested_at = Time::from_us(1_000_000);
    current.confirm(requested_at);
    assert_eq!(current.valid_until(), Time::from_us(5_000_000));
    current.confirm(Time::ZERO);
    assert_eq!(current.valid_until(), Time::from_us(5_000_000));
}

/// Once the store holds a newer catalog that can't be used, no confirmation makes the
/// current one valid again.
#[test]
fn superseded_catalog_stays_invalid() {
    let mut current = CurrentCatalog::new(Span::from_s(4));
    current.replace(catalog_version(5));
    current.confirm(Time::from_us(1_000_000));
    current.supersede();
    assert!(current.valid_until().has_passed(Time::from_us(1_000_000)));
    current.confirm(Time::from_us(2_000_000));
    assert_eq!(current.replace(catalog_version(5)), ReplaceOutcome::Same);
    assert_eq!(current.replace(catalog_version(4)), ReplaceOutcome::Older);
    current.confirm(Time::from_us(3_000_000));
    assert!(current.valid_until().has_passed(Time::from_us(3_000_000)));
    current.replace(catalog_version(6));
    current.confirm(Time::from_us(4_000_000));
    assert_eq!(current.valid_until(), Time::from_us(8_000_000));
}
