//! Scripted test scenarios: YAML lists of steps, run with a virtual clock.
//!
//! A test implements [`Subject`] for the system under test. [`run`] parses a
//! scenario, applies its steps in order and returns a trace, which the test
//! compares with a snapshot.

use std::fmt::Write as _;

use lentil_core::{Span, Time};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The system under test of a scenario.
pub trait Subject {
    /// A step, deserialized from the `do` field.
    type Step: DeserializeOwned;

    /// Applies a step at time `now` and returns trace lines for what happened.
    fn apply(&mut self, now: Time, step: Self::Step) -> Vec<String>;

    /// Advances the clock to `now`, before the next step, and returns trace lines for what
    /// happened meanwhile.
    fn advance(&mut self, now: Time) -> Vec<String> {
        let _ = now;
        Vec::new()
    }
}

/// A scenario file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, bound = "S: DeserializeOwned")]
struct Scenario<S> {
    /// Description of the scenario, the first line of the trace.
    about: String,
    steps: Vec<ScenarioStep<S>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, bound = "S: DeserializeOwned")]
struct ScenarioStep<S> {
    at_ms: u64,
    #[serde(rename = "do")]
    step: S,
    /// Texts that must each be contained in a trace line of this step.
    #[serde(default)]
    expect: Vec<String>,
}

/// An error while running a scenario.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The text is not a valid scenario; the message contains line and column.
    #[error("{0}")]
    Parse(#[from] serde_saphyr::Error),
    /// A step is earlier than the one before it.
    #[error("step {step} is earlier than the step before it")]
    StepOutOfOrder {
        /// Its number, from 1.
        step: usize,
    },
    /// An expected text is missing from the trace of a step.
    #[error("step {step}: expected {expected:?}; the trace is\n{trace}")]
    ExpectationFailed {
        /// Its number, from 1.
        step: usize,
        /// The missing text.
        expected: String,
        /// The trace up to and including this step.
        trace: String,
    },
}

/// Seed of property tests if `LENTIL_SEED` is not set.
const SEED: u64 = 20_261_204;

/// Returns the seed of property tests: `LENTIL_SEED`, or a fixed default.
#[must_use]
pub fn seed() -> u64 {
    std::env::var("LENTIL_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(SEED)
}

/// Runs a scenario against a subject and returns the trace.
///
/// # Errors
/// Fails if the text is not a valid scenario, its steps are out of order or an expected text
/// is missing.
pub fn run<S: Subject>(text: &str, subject: &mut S) -> Result<String, ScenarioError> {
    let scenario: Scenario<S::Step> = serde_saphyr::from_str(text)?;
    let mut trace = format!("{}\n", scenario.about);
    let mut previous = Time::ZERO;
    for (index, scenario_step) in scenario.steps.into_iter().enumerate() {
        let step = index + 1;
        let now = Time::ZERO + Span::from_ms(scenario_step.at_ms);
        if now < previous {
            return Err(ScenarioError::StepOutOfOrder { step });
        }
        previous = now;
        let mut lines = subject.advance(now);
        lines.extend(subject.apply(now, scenario_step.step));
        for line in &lines {
            let _ = writeln!(trace, "{:>8} ms  {line}", scenario_step.at_ms);
        }
        let missing = scenario_step
            .expect
            .into_iter()
            .find(|text| !lines.iter().any(|line| line.contains(text.as_str())));
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
