//! The validated configuration that processes use.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lentil_core::{
    EndpointId, OrganisationId, Permille, PresetName, Priority, TokenCount, Weight, ZoneId,
};
use thiserror::Error;

use crate::{
    ConfigurationFile, KeyHash, OldSystem, Organisation, Preset, PresetLimits, Presets,
    PriorityWeights, Quota,
};

/// Maximum number of presets in one configuration.
const PRESETS_MAX: usize = 64;
/// Maximum number of organisations in one configuration.
const ORGANISATIONS_MAX: usize = 65_536;
/// Maximum number of bearer keys of one organisation.
const KEYS_MAX: usize = 16;
/// Maximum number of endpoints, or of availability zones, that are out of service.
/// Also limits the zone weights of a preset.
const OUT_OF_SERVICE_MAX: usize = 4_096;
/// Maximum share, in permille.
const SHARE_MAX_PERMILLE: u32 = 1_000;
/// Weight of an availability zone for which a preset sets none.
const DEFAULT_ZONE_WEIGHT: Weight = Weight::new(100);

/// Reason why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// The preset to put in force is not in the list of presets.
    #[error("preset {0} cannot be put in force: it does not exist")]
    InForcePresetMissing(PresetName),
    /// A share exceeds 1000 permille.
    #[error("a share has at most 1000 permille; {0} is too much")]
    ShareTooLarge(Permille),
    /// A preset serves no priority class.
    #[error("preset {0} refuses requests of every priority")]
    NoPriorityServed(PresetName),
    /// A list has more items than a process may hold.
    #[error("too many {what}: {count}, at most {max} are allowed")]
    TooMany {
        /// Kind of the items.
        what: &'static str,
        /// Number of items.
        count: usize,
        /// Maximum number of items.
        max: usize,
    },
    /// Two organisations have a bearer key in common.
    #[error("organisations {0} and {1} have a key in common")]
    SharedKey(OrganisationId, OrganisationId),
}

/// Organisations with an index by bearer key.
#[derive(Debug, Clone, Default, PartialEq)]
struct Organisations {
    by_name: BTreeMap<OrganisationId, Organisation>,
    by_key: BTreeMap<KeyHash, OrganisationId>,
}

/// The validated configuration of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    presets: Presets,
    organisations: Arc<Organisations>,
    zones_out: BTreeSet<ZoneId>,
    endpoints_out: BTreeSet<EndpointId>,
    old_system: OldSystem,
}

impl Configuration {
    /// Returns all presets.
    #[must_use]
    pub const fn presets(&self) -> &Presets {
        &self.presets
    }

    /// Returns the preset in force.
    #[must_use]
    pub const fn preset(&self) -> &Preset {
        self.presets.in_force()
    }

    /// Returns the limits that the preset in force sets.
    #[must_use]
    pub fn limits(&self) -> PresetLimits {
        self.preset().limits.clone().unwrap_or_default()
    }

    /// Returns the weights of the priority classes in the preset in force.
    #[must_use]
    pub fn priorities(&self) -> PriorityWeights {
        self.preset().priorities.clone().unwrap_or_default()
    }

    /// Returns whether the preset in force serves a priority class.
    #[must_use]
    pub fn serves(&self, priority: Priority) -> bool {
        let weights = self.priorities();
        let weight = match priority {
            Priority::Verdict => weights.verdict,
            Priority::Interactive => weights.interactive,
            Priority::Report => weights.report,
        };
        weight != Weight::ZERO
    }

    /// Returns the maximum output length of a generation in the preset in force.
    #[must_use]
    pub fn tokens_max(&self) -> TokenCount {
        self.limits().tokens_max
    }

    /// Returns the weight of an availability zone in the preset in force.
    #[must_use]
    pub fn zone_weight(&self, zone: &ZoneId) -> Weight {
        let weights = &self.preset().zone_weights;
        weights.get(zone).copied().unwrap_or(DEFAULT_ZONE_WEIGHT)
    }

    /// Returns the quota of an organisation in the preset in force.
    #[must_use]
    pub fn quota(&self, organisation: &OrganisationId) -> Quota {
        let preset = self.preset();
        preset
            .quotas
            .get(organisation)
            .or(preset.quota.as_ref())
            .cloned()
            .unwrap_or_default()
    }

    /// Returns the share of requests that the old system serves.
    #[must_use]
    pub fn old_system_share(&self) -> Permille {
        self.preset()
            .old_system_share_permille
            .unwrap_or(self.old_system.share_permille)
    }

    /// Returns the settings of the old system, which runs in parallel with this one.
    #[must_use]
    pub const fn old_system(&self) -> &OldSystem {
        &self.old_system
    }

    /// Returns the organisation that a bearer key belongs to.
    #[must_use]
    pub fn organisation_of(&self, key: &str) -> Option<&OrganisationId> {
        self.organisations.by_key.get(&KeyHash::of(key))
    }

    /// Returns all organisations by name.
    #[must_use]
    pub fn organisations(&self) -> &BTreeMap<OrganisationId, Organisation> {
        &self.organisations.by_name
    }

    /// Returns the availability zones that are out of service.
    #[must_use]
    pub const fn zones_out(&self) -> &BTreeSet<ZoneId> {
        &self.zones_out
    }

    /// Returns the endpoints that are out of service.
    #[must_use]
    pub const fn endpoints_out(&self) -> &BTreeSet<EndpointId> {
        &self.endpoints_out
    }

    /// Returns whether an endpoint may receive new requests, that is, whether operators
    /// have taken neither it nor its availability zone out of service.
    #[must_use]
    pub fn permits(&self, zone: &ZoneId, endpoint: &EndpointId) -> bool {
        !self.zones_out.contains(zone) && !self.endpoints_out.contains(endpoint)
    }

    pub(crate) const fn presets_mut(&mut self) -> &mut Presets {
        &mut self.presets
    }

    pub(crate) const fn zones_out_mut(&mut self) -> &mut BTreeSet<ZoneId> {
        &mut self.zones_out
    }

    pub(crate) const fn endpoints_out_mut(&mut self) -> &mut BTreeSet<EndpointId> {
        &mut self.endpoints_out
    }

    pub(crate) const fn set_old_system_share(&mut self, share: Permille) {
        self.old_system.share_permille = share;
    }

    pub(crate) fn put_organisation(&mut self, name: OrganisationId, organisation: Organisation) {
        let organisations = Arc::make_mut(&mut self.organisations);
        organisations.remove(&name);
        organisations.put(name, organisation);
    }

    pub(crate) fn remove_organisation(&mut self, name: &OrganisationId) -> bool {
        Arc::make_mut(&mut self.organisations).remove(name)
    }

    /// Checks the constraints that the types do not express.
    pub(crate) fn check(&self) -> Result<(), ConfigurationError> {
        check_count("presets", self.presets.count(), PRESETS_MAX)?;
        let organisations = self.organisations().len();
        check_count("organisations", organisations, ORGANISATIONS_MAX)?;
        check_count(
            "availability zones out",
            self.zones_out.len(),
            OUT_OF_SERVICE_MAX,
        )?;
        check_count(
            "endpoints out",
            self.endpoints_out.len(),
            OUT_OF_SERVICE_MAX,
        )?;
        check_share(self.old_system.share_permille)?;
        for (name, preset) in &self.presets.all() {
            check_preset(name, preset)?;
        }
        Ok(())
    }

    /// Checks that no other organisation has a bearer key of this one.
    pub(crate) fn check_keys(
        &self,
        name: &OrganisationId,
        organisation: &Organisation,
    ) -> Result<(), ConfigurationError> {
        check_count("keys", organisation.keys.len(), KEYS_MAX)?;
        let owner = |key| self.organisations.by_key.get(key);
        match organisation
            .keys
            .iter()
            .filter_map(owner)
            .find(|other| *other != name)
        {
            Some(other) => Err(ConfigurationError::SharedKey(other.clone(), name.clone())),
            None => Ok(()),
        }
    }
}

impl Organisations {
    fn put(&mut self, name: OrganisationId, organisation: Organisation) {
        for key in &organisation.keys {
            self.by_key.insert(*key, name.clone());
        }
        self.by_name.insert(name, organisation);
    }

    fn remove(&mut self, name: &OrganisationId) -> bool {
        let Some(removed) = self.by_name.remove(name) else {
            return false;
        };
        for key in &removed.keys {
            self.by_key.remove(key);
        }
        true
    }
}

impl TryFrom<ConfigurationFile> for Configuration {
    type Error = ConfigurationError;

    fn try_from(file: ConfigurationFile) -> Result<Self, ConfigurationError> {
        let presets = Presets::new(file.in_force.clone(), file.presets)
            .ok_or(ConfigurationError::InForcePresetMissing(file.in_force))?;
        let mut configuration = Self {
            presets,
            organisations: Arc::default(),
            zones_out: file.zones_out.into_iter().collect(),
            endpoints_out: file.endpoints_out.into_iter().collect(),
            old_system: file.old_system.unwrap_or_default(),
        };
        for (name, organisation) in file.organisations {
            configuration.check_keys(&name, &organisation)?;
            configuration.put_organisation(name, organisation);
        }
        configuration.check()?;
        Ok(configuration)
    }
}

impl From<&Configuration> for ConfigurationFile {
    fn from(configuration: &Configuration) -> Self {
        Self {
            in_force: configuration.presets.in_force_name().clone(),
            presets: configuration.presets.all(),
            organisations: configuration.organisations().clone(),
            zones_out: configuration.zones_out.iter().cloned().collect(),
            endpoints_out: configuration.endpoints_out.iter().cloned().collect(),
            old_system: Some(configuration.old_system.clone()),
        }
    }
}

fn check_preset(name: &PresetName, preset: &Preset) -> Result<(), ConfigurationError> {
    preset
        .old_system_share_permille
        .map_or(Ok(()), check_share)?;
    let limits = preset.limits.clone().unwrap_or_default();
    check_share(limits.endpoint_slots_permille)?;
    check_count("quotas", preset.quotas.len(), ORGANISATIONS_MAX)?;
    check_count(
        "zone weights",
        preset.zone_weights.len(),
        OUT_OF_SERVICE_MAX,
    )?;
    let weights = preset.priorities.clone().unwrap_or_default();
    if weights.verdict + weights.interactive + weights.report == Weight::ZERO {
        return Err(ConfigurationError::NoPriorityServed(name.clone()));
    }
    Ok(())
}

const fn check_share(share: Permille) -> Result<(), ConfigurationError> {
    if share.get() > SHARE_MAX_PERMILLE {
        return Err(ConfigurationError::ShareTooLarge(share));
    }
    Ok(())
}

const fn check_count(
    what: &'static str,
    count: usize,
    max: usize,
) -> Result<(), ConfigurationError> {
    if count > max {
        return Err(ConfigurationError::TooMany { what, count, max });
    }
    Ok(())
}
