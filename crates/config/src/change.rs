//! Applies a change to a configuration.

use lentil_core::{EndpointId, OrganisationId, PresetName, ZoneId};
use thiserror::Error;

use crate::{Change, Configuration, ConfigurationError};

/// Reason why a change cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ChangeError {
    /// No configuration exists yet, and the change does not replace the complete configuration.
    #[error("no configuration is in force yet; publish a complete one first")]
    NoConfiguration,
    /// The named preset does not exist.
    #[error("preset {0} does not exist")]
    UnknownPreset(PresetName),
    /// The preset in force cannot be removed.
    #[error("preset {0} is in force; switch to another preset before removing it")]
    PresetInForce(PresetName),
    /// The availability zone is already out of service.
    #[error("availability zone {0} is already out of service")]
    ZoneAlreadyOut(ZoneId),
    /// The availability zone is not out of service.
    #[error("availability zone {0} is not out of service")]
    ZoneNotOut(ZoneId),
    /// The endpoint is already out of service.
    #[error("endpoint {0} is already out of service")]
    EndpointAlreadyOut(EndpointId),
    /// The endpoint is not out of service.
    #[error("endpoint {0} is not out of service")]
    EndpointNotOut(EndpointId),
    /// The named organisation does not exist.
    #[error("organisation {0} does not exist")]
    UnknownOrganisation(OrganisationId),
    /// The resulting configuration is invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
}

impl Change {
    /// Returns the configuration after this change.
    ///
    /// The result depends on the arguments only, so every process computes the same one.
    ///
    /// # Errors
    /// The change refers to an item that does not exist, or the resulting configuration is invalid.
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

fn ensure(condition: bool, error: impl FnOnce() -> ChangeError) -> Result<(), ChangeError> {
    if condition { Ok(()) } else { Err(error()) }
}
