//! Applying a change to a configuration.

use lentil_core::{EndpointId, OrganisationId, PresetName, ZoneId};
use thiserror::Error;

use crate::{Change, Configuration, ConfigurationError};

/// Why a change can't be applied.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// Only a whole configuration can be the first.
    #[error("no configuration is in force yet; publish a whole one first")]
    NoConfiguration,
    /// There is no such preset.
    #[error("there is no preset {0}")]
    UnknownPreset(PresetName),
    /// The preset in force can't be removed.
    #[error("preset {0} is in force; use another one before it is removed")]
    PresetInForce(PresetName),
    /// The availability zone is out already.
    #[error("availability zone {0} is out already")]
    ZoneAlreadyOut(ZoneId),
    /// The availability zone is not out.
    #[error("availability zone {0} is not out")]
    ZoneNotOut(ZoneId),
    /// The endpoint is out already.
    #[error("endpoint {0} is out already")]
    EndpointAlreadyOut(EndpointId),
    /// The endpoint is not out.
    #[error("endpoint {0} is not out")]
    EndpointNotOut(EndpointId),
    /// There is no such organisation.
    #[error("there is no organisation {0}")]
    UnknownOrganisation(OrganisationId),
    /// The result would not be usable.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
}

impl Change {
    /// The configuration after this change. Alike in every process.
    ///
    /// # Errors
    /// The change names what isn't there, or its result is not usable.
    pub fn apply(&self, current: Option<&Configuration>) -> Result<Configuration, ChangeError> {
        if let Self::Replace(file) = self {
            return Ok(Configuration::try_from(file.clone())?);
        }
        let mut next = current.ok_or(ChangeError::NoConfiguration)?.clone();
        self.apply_to(&mut next)?;
        next.check()?;
        Ok(next)
    }

    fn apply_to(&self, next: &mut Configuration) -> Result<(), ChangeError> {
        match self {
            Self::Replace(file) => *next = Configuration::try_from(file.clone())?,
            Self::UsePreset(name) => ensure(next.presets_mut().put_in_force(name), || {
                ChangeError::UnknownPreset(name.clone())
            })?,
            Self::PutPreset(named) => next
                .presets_mut()
                .put(named.name.clone(), named.preset.clone()),
            Self::RemovePreset(name) => remove_preset(next, name)?,
            Self::ZoneOut(zone) => ensure(next.zones_out_mut().insert(zone.clone()), || {
                ChangeError::ZoneAlreadyOut(zone.clone())
            })?,
            Self::ZoneIn(zone) => ensure(next.zones_out_mut().remove(zone), || {
                ChangeError::ZoneNotOut(zone.clone())
            })?,
            Self::EndpointOut(endpoint) => {
                ensure(next.endpoints_out_mut().insert(endpoint.clone()), || {
                    ChangeError::EndpointAlreadyOut(endpoint.clone())
                })?;
            }
            Self::EndpointIn(endpoint) => {
                ensure(next.endpoints_out_mut().remove(endpoint), || {
                    ChangeError::EndpointNotOut(endpoint.clone())
                })?;
            }
            Self::PutOrganisation(named) => {
                next.check_keys(&named.name, &named.organisation)?;
                next.put_organisation(named.name.clone(), named.organisation.clone());
            }
            Self::RemoveOrganisation(name) => ensure(next.remove_organisation(name), || {
                ChangeError::UnknownOrganisation(name.clone())
            })?,
            Self::OldSystemShare(share) => next.set_old_system_share(*share),
        }
        Ok(())
    }
}

fn remove_preset(next: &mut Configuration, name: &PresetName) -> Result<(), ChangeError> {
    if next.presets().in_force_name() == name {
        return Err(ChangeError::PresetInForce(name.clone()));
    }
    ensure(next.presets_mut().remove(name), || {
        ChangeError::UnknownPreset(name.clone())
    })
}

fn ensure(holds: bool, error: impl FnOnce() -> ChangeError) -> Result<(), ChangeError> {
    if holds { Ok(()) } else { Err(error()) }
}
