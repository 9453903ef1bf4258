//! Output as tables for people or as JSON for scripts.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;
use thiserror::Error;

/// The output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Output {
    Table,
    Json,
}

/// The text is not an output format.
#[derive(Debug, Error)]
#[error("the output format must be table or json")]
pub(crate) struct ParseOutputError;

impl FromStr for Output {
    type Err = ParseOutputError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(ParseOutputError),
        }
    }
}

impl Output {
    /// Prints a value in this format.
    pub(crate) fn print<T: Serialize + fmt::Display>(self, value: &T) -> eyre::Result<()> {
        match self {
            Self::Table => println!("{value}"),
            Self::Json => println!("{}", serde_json::to_string_pretty(value)?),
        }
        Ok(())
    }
}

/// A table with a header row; all rows have the same length.
#[derive(Debug, Serialize)]
pub(crate) struct Table {
    head: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new(head: &[&'static str], rows: Vec<Vec<String>>) -> Self {
        Self {
            head: head.to_vec(),
            rows,
        }
    }

    fn width(&self, column: usize) -> usize {
        let head = self.head.get(column).map_or(0, |text| text.chars().count());
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells
            .map(|text| text.chars().count())
            .fold(head, usize::max)
    }

    fn line<T: AsRef<str>>(&self, cells: &[T]) -> String {
        let pad = |(column, cell): (usize, &T)| {
            let width = self.width(column);
            format!("{:<width$}", cell.as_ref())
        };
        let cells: Vec<String> = cells.iter().enumerate().map(pad).collect();
        cells.join("  ").trim_end().to_owned()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.line(&self.head))?;
        self.rows
            .iter()
            .try_for_each(|row| write!(f, "\n{}", self.line(row)))
    }
}
