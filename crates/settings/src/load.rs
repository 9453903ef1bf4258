//! Reads settings from a file or a text.

use std::path::Path;

use serde::de::DeserializeOwned;

use crate::locate::{FieldMap, Position};
use crate::{InvalidField, InvalidSetting, Problem, Process, Settings, SettingsError};

/// Path that the deserializer reports for an error in the whole text.
const WHOLE_TEXT: &str = ".";
/// Path suffix that stands for an unknown key.
const UNKNOWN_KEY: &str = ".?";
/// Start of the position that the parser appends to its messages.
const LOCATION_SUFFIX: &str = " at line ";

/// Reads settings from a file.
///
/// # Errors
/// The file cannot be read, or contains an invalid key or value.
pub fn load(path: &Path) -> Result<Settings, SettingsError> {
    parse(&read(path)?)
}

/// Reads settings from a file and converts them to domain types.
///
/// # Errors
/// The file cannot be read, or contains an invalid key or value.
pub fn load_process(path: &Path) -> Result<Process, SettingsError> {
    Ok(parse_process(&read(path)?)?)
}

/// Reads settings from a text.
///
/// # Errors
/// The text contains an invalid key or value.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    let (settings, _) = parse_and_check(text)?;
    Ok(settings)
}

/// Reads settings from a text and converts them to domain types.
///
/// # Errors
/// The text contains an invalid key or value.
pub fn parse_process(text: &str) -> Result<Process, InvalidSetting> {
    let (_, process) = parse_and_check(text)?;
    Ok(process)
}

pub(crate) fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })
}

fn parse_and_check(text: &str) -> Result<(Settings, Process), InvalidSetting> {
    let settings = parse_schema(text)?;
    let process = Process::try_from(&settings).map_err(|error| locate_field(text, error))?;
    Ok((settings, process))
}

/// Adds the position in the text to an invalid field.
pub(crate) fn locate_field(text: &str, error: InvalidField) -> InvalidSetting {
    let position = FieldMap::read(text).position(&error.field);
    invalid_setting(position, error.field, error.problem)
}

/// Deserialises a text into a schema type.
pub(crate) fn parse_schema<T: DeserializeOwned>(text: &str) -> Result<T, InvalidSetting> {
    let mut path = String::new();
    let read = serde_saphyr::with_deserializer_from_str(text, |deserializer| {
        serde_path_to_error::deserialize(deserializer).map_err(|error| {
            path = error.path().to_string();
            error.into_inner()
        })
    });
    read.map_err(|error| malformed_text(text, &path, &error))
}

/// Converts a deserialisation error. The message omits the surrounding text, which may
/// contain secret keys.
fn malformed_text(text: &str, path: &str, error: &serde_saphyr::Error) -> InvalidSetting {
    let error = error.without_snippet();
    let section = path.trim_end_matches(UNKNOWN_KEY);
    let (field, message) = match error {
        serde_saphyr::Error::DuplicateMappingKey { key: Some(key), .. } => {
            (format!("{section}.{key}"), "duplicate key".to_owned())
        }
        _ if path == WHOLE_TEXT => (String::new(), plain_message(error)),
        _ => (section.to_owned(), plain_message(error)),
    };
    let field = field.trim_start_matches('.').to_owned();
    let position = match error {
        serde_saphyr::Error::DuplicateMappingKey { location, .. } => {
            Some(Position::from(*location))
        }
        _ => FieldMap::read(text).position(&field),
    };
    let position = position.or_else(|| match error {
        serde_saphyr::Error::SerdeMissingField { .. } => None,
        _ => error.location().map(Position::from),
    });
    invalid_setting(position, field, Problem::Malformed(message))
}

fn plain_message(error: &serde_saphyr::Error) -> String {
    let message = error.to_string();
    let message = message.split(LOCATION_SUFFIX).next().unwrap_or_default();
    message.split_whitespace().collect::<Vec<_>>().join(" ")
}

fn invalid_setting(position: Option<Position>, field: String, problem: Problem) -> InvalidSetting {
    let position = position.unwrap_or(Position { line: 1, column: 1 });
    InvalidSetting {
        line: position.line,
        column: position.column,
        field,
        problem,
    }
}
