//! Scripted scenarios: YAML lists of steps under a virtual clock.
//!
//! A test implements [`Subject`] for what it drives, and [`run`] reads a
//! scenario, applies its steps in order and returns the trace, which the test
//! compares with a snapshot.

use std::fmt::Write as _;

use lentil_core::{Span, Time};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// What a scenario drives.
pub trait Subject {
    /// One step, as it stands under `do`.
    type Step: DeserializeOwned;

    /// Applies a step at `now` and says what happened, a line each.
    fn apply(&mut self, now: Time, step: Self::Step) -> Vec<String>;

    /// Lets time pass until `now` and says what happened meanwhile.
    fn advance(&mut self, now: Time) -> Vec<String> {
        let _ = now;
        Vec::new()
    }
}

/// A scenario file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, bound = "S: DeserializeOwned")]
struct Scenario<S> {
    /// What the scenario shows.
    about: String,
    /// Its steps.
    steps: Vec<Line<S>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, bound = "S: DeserializeOwned")]
struct Line<S> {
    at_ms: u64,
    #[serde(rename = "do")]
    step: S,
    /// Texts that must be among the lines of this step's trace.
    #[serde(default)]
    expect: Vec<String>,
}

/// Why a scenario failed.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file is not a scenario; the message names line and column.
    #[error("{0}")]
    Parse(#[from] serde_saphyr::Error),
    /// A step lies before the one ahead of it.
    #[error("step {step} goes back in time")]
    StepOutOfOrder {
        /// Its number, from 1.
        step: usize,
    },
    /// An expected line did not come.
    #[error("step {step}: expected {expected:?}; the trace is\n{trace}")]
    ExpectationFailed {
        /// Its number, from 1.
        step: usize,
        /// The missing line.
        expected: String,
        /// Everything up to here.
        trace: String,
    },
}

/// Seed of property tests when the environment gives none.
const SEED: u64 = 20_261_204;

/// The seed of property tests: `LENTIL_SEED`, or a fixed one.
#[must_use]
pub fn seed() -> u64 {
    std::env::var("LENTIL_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEED)
}

/// Runs a scenario on a subject and returns the trace.
///
/// # Errors
/// The text is no scenario, or an expectation failed.
pub fn run<S: Subject>(text: &str, subject: &mut S) -> Result<String, ScenarioError> {
    let scenario: Scenario<S::Step> = serde_saphyr::from_str(text)?;
    let mut trace = format!("{}\n", scenario.about);
    let mut last = Time::ZERO;
    for (index, line) in scenario.steps.into_iter().enumerate() {
        let step = index + 1;
        let now = Time::ZERO + Span::from_ms(line.at_ms);
        if now < last {
            return Err(ScenarioError::StepOutOfOrder { step });
        }
        last = now;
        let mut facts = subject.advance(now);
        facts.extend(subject.apply(now, line.step));
        for fact in &facts {
            let _ = writeln!(trace, "{:>8} ms  {fact}", line.at_ms);
        }
        let missing = line
            .expect
            .into_iter()
            .find(|text| !facts.iter().any(|fact| fact.contains(text.as_str())));
        if let Some(expected) = missing {
            return Err(ScenarioError::ExpectationFailed {
                step,
                expected,
                trace,
            });
        }
    }
    Ok(trace)
}
