//! The configuration as the processes use it.

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

/// Most presets in one configuration.
const PRESETS_MAX: usize = 64;
/// Most organisations in one configuration.
const ORGANISATIONS_MAX: usize = 65_536;
/// Most keys of one organisation.
const KEYS_MAX: usize = 16;
/// Most endpoints or availability zones out of service.
const OUT_MAX: usize = 4_096;
/// A whole, in thousandths.
const WHOLE: u32 = 1_000;
/// Weight of an availability zone that a preset doesn't name.
const ZONE_WEIGHT: Weight = Weight::new(100);

/// Why a configuration can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// The preset to be in force is not among the presets.
    #[error("there is no preset {0} to put in force")]
    InForcePresetMissing(PresetName),
    /// A share is above a whole.
    #[error("a share has at most 1000 permille; {0} is too much")]
    ShareTooLarge(Permille),
    /// A preset serves no class of work.
    #[error("preset {0} refuses all classes of work")]
    NoPriorityServed(PresetName),
    /// Something is listed more often than a process can hold.
    #[error("at most {max} {what} are held, not {count}")]
    TooMany {
        /// What is listed.
        what: &'static str,
        /// How often.
        count: usize,
        /// The limit.
        max: usize,
    },
    /// Two organisations show the same key.
    #[error("organisations {0} and {1} have a key in common")]
    SharedKey(OrganisationId, OrganisationId),
}

/// Organisations with an index of their keys.
#[derive(Debug, Clone, Default, PartialEq)]
struct Organisations {
    by_name: BTreeMap<OrganisationId, Organisation>,
    by_key: BTreeMap<KeyHash, OrganisationId>,
}

/// The configuration of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    presets: Presets,
    organisations: Arc<Organisations>,
    zones_out: BTreeSet<ZoneId>,
    endpoints_out: BTreeSet<EndpointId>,
    old_system: OldSystem,
}

impl Configuration {
    /// All presets.
    #[must_use]
    pub const fn presets(&self) -> &Presets {
        &self.presets
    }

    /// The preset in force.
    #[must_use]
    pub const fn preset(&self) -> &Preset {
        self.presets.in_force()
    }

    /// Bounds that the preset in force sets.
    #[must_use]
    pub fn limits(&self) -> PresetLimits {
        self.preset().limits.clone().unwrap_or_default()
    }

    /// Shares of the classes of work in the preset in force.
    #[must_use]
    pub fn priorities(&self) -> PriorityWeights {
        self.preset().priorities.clone().unwrap_or_default()
    }

    /// Whether the preset in force serves a class of work.
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

    /// The longest output in the preset in force.
    #[must_use]
    pub fn tokens_max(&self) -> TokenCount {
        self.limits().tokens_max
    }

    /// The weight of an availability zone in the preset in force.
    #[must_use]
    pub fn zone_weight(&self, zone: &ZoneId) -> Weight {
        let weights = &self.preset().zone_weights;
        weights.get(zone).copied().unwrap_or(ZONE_WEIGHT)
    }

    /// What an organisation may use in the preset in force.
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

    /// Share of requests that the old system serves.
    #[must_use]
    pub fn old_system_share(&self) -> Permille {
        self.preset()
            .old_system_share_permille
            .unwrap_or(self.old_system.share_permille)
    }

    /// The system that runs beside this one.
    #[must_use]
    pub const fn old_system(&self) -> &OldSystem {
        &self.old_system
    }

    /// The organisation that a bearer key belongs to.
    #[must_use]
    pub fn organisation_of(&self, key: &str) -> Option<&OrganisationId> {
        self.organisations.by_key.get(&KeyHash::of(key))
    }

    /// All organisations by name.
    #[must_use]
    pub fn organisations(&self) -> &BTreeMap<OrganisationId, Organisation> {
        &self.organisations.by_name
    }

    /// Availability zones out of service.
    #[must_use]
    pub const fn zones_out(&self) -> &BTreeSet<ZoneId> {
        &self.zones_out
    }

    /// Endpoints out of service.
    #[must_use]
    pub const fn endpoints_out(&self) -> &BTreeSet<EndpointId> {
        &self.endpoints_out
    }

    /// Whether operators let an endpoint have new work.
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

    /// Checks what the types leave open.
    pub(crate) fn check(&self) -> Result<(), ConfigurationError> {
        at_most("presets", self.presets.count(), PRESETS_MAX)?;
        let organisations = self.organisations().len();
        at_most("organisations", organisations, ORGANISATIONS_MAX)?;
        at_most("availability zones out", self.zones_out.len(), OUT_MAX)?;
        at_most("endpoints out", self.endpoints_out.len(), OUT_MAX)?;
        check_share(self.old_system.share_permille)?;
        for (name, preset) in &self.presets.all() {
            check_preset(name, preset)?;
        }
        Ok(())
    }

    /// Checks the keys of one organisation against all others.
    pub(crate) fn check_keys(
        &self,
        name: &OrganisationId,
        organisation: &Organisation,
    ) -> Result<(), ConfigurationError> {
        at_most("keys", organisation.keys.len(), KEYS_MAX)?;
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
        let Some(gone) = self.by_name.remove(name) else {
            return false;
        };
        for key in &gone.keys {
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
    at_most("quotas", preset.quotas.len(), ORGANISATIONS_MAX)?;
    at_most("zone weights", preset.zone_weights.len(), OUT_MAX)?;
    let weights = preset.priorities.clone().unwrap_or_default();
    if weights.verdict + weights.interactive + weights.report == Weight::ZERO {
        return Err(ConfigurationError::NoPriorityServed(name.clone()));
    }
    Ok(())
}

const fn check_share(share: Permille) -> Result<(), ConfigurationError> {
    if share.get() > WHOLE {
        return Err(ConfigurationError::ShareTooLarge(share));
    }
    Ok(())
}

const fn at_most(what: &'static str, count: usize, max: usize) -> Result<(), ConfigurationError> {
    if count > max {
        return Err(ConfigurationError::TooMany { what, count, max });
    }
    Ok(())
}
