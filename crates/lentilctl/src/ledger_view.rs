//! What commands read from the log.

use lentil_config::{
    ConfigLedger, Configuration, ConfigurationFile, Preset, VersionedConfiguration,
};
use lentil_core::PresetName;

/// The configuration in force.
pub(crate) fn in_force(ledger: &ConfigLedger) -> eyre::Result<&VersionedConfiguration> {
    ledger
        .in_force()
        .map(AsRef::as_ref)
        .ok_or_else(|| eyre::eyre!("no configuration was published yet; see `config publish`"))
}

/// A preset by its name.
pub(crate) fn preset<'a>(
    configuration: &'a Configuration,
    name: &PresetName,
) -> eyre::Result<&'a Preset> {
    configuration
        .presets()
        .get(name)
        .ok_or_else(|| eyre::eyre!("there is no preset {name}"))
}

/// A configuration from a YAML file, with the place of a mistake.
pub(crate) fn parse(text: &str) -> eyre::Result<ConfigurationFile> {
    Ok(serde_saphyr::from_str(text)?)
}
