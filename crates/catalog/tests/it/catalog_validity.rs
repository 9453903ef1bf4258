//! Versions never go back, and reliance counts from the moment of asking.

use lentil_catalog::{CurrentCatalog, ReplaceOutcome};
use lentil_core::{ConfigVersion, Span, Time};

use crate::build::{catalog, route};

fn version(number: u64) -> lentil_catalog::Catalog {
    catalog(number, vec![route("h", "/", "a")])
}

#[test]
fn never_back() {
    let mut in_force = CurrentCatalog::new(Span::from_s(4));
    let none = ConfigVersion::default();
    assert_eq!(
        in_force.replace(version(5)),
        ReplaceOutcome::Newer { previous: none }
    );
    assert_eq!(in_force.replace(version(3)), ReplaceOutcome::Older);
    assert_eq!(in_force.replace(version(5)), ReplaceOutcome::Same);
    assert_eq!(in_force.version(), ConfigVersion::new(5));
}

#[test]
fn late_answer() {
    let mut in_force = CurrentCatalog::new(Span::from_s(4));
    let asked = Time::from_us(1_000_000);
    in_force.confirm(asked);
    assert_eq!(in_force.valid_until(), Time::from_us(5_000_000));
    in_force.confirm(Time::ZERO);
    assert_eq!(in_force.valid_until(), Time::from_us(5_000_000));
}
