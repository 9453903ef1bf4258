//! Reading settings from a file or a text.

use std::path::Path;

use serde::de::DeserializeOwned;

use crate::locate::{FieldMap, Place};
use crate::{InvalidField, InvalidSetting, Problem, Process, Settings, SettingsError};

/// How the path of a whole text is written.
const WHOLE_TEXT: &str = ".";
/// Stands in a path for a key that was not read.
const UNKNOWN_KEY: &str = ".?";
/// Begins the place that the parser adds to its message.
const LOCATION_SUFFIX: &str = " at line ";

/// Reads settings from a file.
///
/// # Errors
/// The file can't be read, or holds a wrong key or value.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    parse(&read(path)?)
}

/// Reads settings from a file and checks them.
///
/// # Errors
/// The file can't be read, or holds a wrong key or value.
pub fn load_process(path: &Path) -> Result<Process, SettingsError> {
    Ok(parse_process(&read(path)?)?)
}

/// Reads settings from a text.
///
/// # Errors
/// The text holds a wrong key or value.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    let (settings, _) = parse_both(text)?;
    Ok(settings)
}

/// Reads settings from a text and checks them.
///
/// # Errors
/// The text holds a wrong key or value.
pub fn parse_process(text: &str) -> Result<Process, InvalidSetting> {
    let (_, process) = parse_both(text)?;
    Ok(process)
}

pub(crate) fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })
}

fn parse_both(text: &str) -> Result<(Settings, Process), InvalidSetting> {
    let settings = read_shape(text)?;
    let process = Process::try_from(&settings).map_err(|error| wrong_field(text, error))?;
    Ok((settings, process))
}

/// A wrong field with its place in the text.
pub(crate) fn wrong_field(text: &str, error: InvalidField) -> InvalidSetting {
    let place = FieldMap::read(text).place(&error.field);
    wrong(place, error.field, error.problem)
}

/// Reads a text of a schema's shape.
pub(crate) fn read_shape<T: DeserializeOwned>(text: &str) -> Result<T, InvalidSetting> {
    let mut path = String::new();
    let read = serde_saphyr::with_deserializer_from_str(text, |deserializer| {
        serde_path_to_error::deserialize(deserializer).map_err(|error| {
            path = error.path().to_string();
            error.into_inner()
        })
    });
    read.map_err(|error| wrong_shape(text, &path, &error))
}

/// The message goes without the text around it, which may hold keys.
fn wrong_shape(text: &str, path: &str, error: &serde_saphyr::Error) -> InvalidSetting {
    let error = error.without_snippet();
    let section = path.trim_end_matches(UNKNOWN_KEY);
    let (field, message) = match error {
        serde_saphyr::Error::DuplicateMappingKey { key: Some(key), .. } => {
            (format!("{section}.{key}"), "stands twice".to_owned())
        }
        _ if path == WHOLE_TEXT => (String::new(), plain_message(error)),
        _ => (section.to_owned(), plain_message(error)),
    };
    let field = field.trim_start_matches('.').to_owned();
    let place = match error {
        serde_saphyr::Error::DuplicateMappingKey { location, .. } => Some(Place::from(*location)),
        _ => FieldMap::read(text).place(&field),
    };
    let place = place.or_else(|| match error {
        serde_saphyr::Error::SerdeMissingField { .. } => None,
        _ => error.location().map(Place::from),
    });
    wrong(place, field, Problem::Malformed(message))
}

fn plain_message(error: &serde_saphyr::Error) -> String {
    let message = error.to_string();
    let message = message.split(LOCATION_SUFFIX).next().unwrap_or_default();
    message.split_whitespace().collect::<Vec<_>>().join(" ")
}

fn wrong(place: Option<Place>, field: String, problem: Problem) -> InvalidSetting {
    let place = place.unwrap_or(Place { line: 1, column: 1 });
    InvalidSetting {
        line: place.line,
        column: place.column,
        field,
        problem,
    }
}
