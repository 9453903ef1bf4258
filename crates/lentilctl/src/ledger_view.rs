//! Access to the configuration and its presets, with errors for the operator.

use lentil_config::{
    ConfigLedger, Configuration, ConfigurationFile, Preset, VersionedConfiguration,
};
use lentil_core::PresetName;

/// Returns the configuration in force.
pub(crate) fn in_force(ledger: &ConfigLedger) -> eyre::Result<&VersionedConfiguration> {
    ledger
        .in_force()
        .map(AsRef::as_ref)
        .ok_or_else(|| eyre::eyre!("no configuration has been published yet; see `config publish`"))
}

/// Returns a preset by its name.
pub(crate) fn preset<'a>(
    configuration: &'a Configuration,
    name: &PresetName,
) -> eyre::Result<&'a Preset> {
    configuration
        .presets()
        .get(name)
        .ok_or_else(|| eyre::eyre!("there is no preset {name}"))
}

/// Parses a configuration in YAML. Errors name the position of the mistake.
pub(crate) fn parse_file(text: &str) -> eyre::Result<ConfigurationFile> {
    Ok(serde_saphyr::from_str(text)?)
}
