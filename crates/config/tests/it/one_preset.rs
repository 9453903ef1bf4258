//! Exactly one preset is in force after any sequence of changes.

use lentil_config::{
    Change, ChangeError, Configuration, ConfigurationFile, KeyHash, NamedOrganisation, NamedPreset,
    Organisation, Preset,
};
use lentil_core::Permille;
use proptest::prelude::{Strategy, any, prop_oneof};
use proptest::{collection, proptest};

use crate::support::{cases, first_file};

pub(crate) fn changes() -> impl Strategy<Value = Change> {
    let name = prop_oneof!["ordinary", "peak", "maintenance", "unknown"];
    let zone = prop_oneof!["kurume-a", "tosu-b"];
    let endpoint = prop_oneof!["lentil-writers-1", "round-desk-1"];
    prop_oneof![
        name.clone()
            .prop_map(|n| Change::UsePreset(n.parse().unwrap())),
        name.clone()
            .prop_map(|n| Change::RemovePreset(n.parse().unwrap())),
        (name, any::<bool>()).prop_map(|(n, about)| {
            let about = if about {
                "busy".to_owned()
            } else {
                String::new()
            };
            Change::PutPreset(NamedPreset {
                name: n.parse().unwrap(),
                preset: Preset {
                    about,
                    ..Preset::default()
                },
            })
        }),
        zone.clone()
            .prop_map(|z| Change::ZoneOut(z.parse().unwrap())),
        zone.prop_map(|z| Change::ZoneIn(z.parse().unwrap())),
        endpoint
            .clone()
            .prop_map(|e| Change::EndpointOut(e.parse().unwrap())),
        endpoint.prop_map(|e| Change::EndpointIn(e.parse().unwrap())),
        (0_u32..1_200).prop_map(|share| Change::OldSystemShare(Permille::new(share))),
        ("[ab]", "[xyz]").prop_map(|(name, key)| put(&name, &key)),
        "[ab]".prop_map(|name| Change::RemoveOrganisation(name.parse().unwrap())),
    ]
}

fn put(name: &str, key: &str) -> Change {
    Change::PutOrganisation(NamedOrganisation {
        name: name.parse().unwrap(),
        organisation: Organisation {
            keys: vec![KeyHash::of(key)],
            ..Organisation::default()
        },
    })
}

proptest! {
    #![proptest_config(cases(256))]

    #[test]
    fn exactly_one_preset_is_in_force(changes in collection::vec(changes(), 0..40)) {
        let mut current = Configuration::try_from(first_file()).unwrap();
        for change in changes {
            let Ok(next) = change.apply(Some(&current)) else { continue };
            let name = next.presets().in_force_name().clone();
            let all = next.presets().all();
            assert_eq!(all.len(), next.presets().count());
            assert_eq!(all.get(&name), Some(next.preset()));
            let removed = current.presets().all().len().saturating_sub(all.len());
            assert_eq!(removed, usize::from(matches!(change, Change::RemovePreset(_))));
            let file = ConfigurationFile::from(&next);
            assert_eq!(Configuration::try_from(file).unwrap(), next);
            current = next;
        }
    }
}

#[test]
fn preset_in_force_cannot_be_removed() {
    let current = Configuration::try_from(first_file()).unwrap();
    let name: lentil_core::PresetName = "ordinary".parse().unwrap();
    let result = Change::RemovePreset(name.clone()).apply(Some(&current));
    assert_eq!(result, Err(ChangeError::PresetInForce(name)));
}

#[test]
fn keys_are_hashed() {
    let current = Configuration::try_from(first_file()).unwrap();
    let next = put("parks-office", "secret").apply(Some(&current)).unwrap();
    let found = next.organisation_of("secret").map(ToString::to_string);
    assert_eq!(found.as_deref(), Some("parks-office"));
    assert_eq!(next.organisation_of("Secret"), None);
    let text = serde_json::to_string(&ConfigurationFile::from(&next)).unwrap();
    assert!(!text.contains("secret"));
    assert!(put("ward-clerks", "secret").apply(Some(&next)).is_err());
}
