//! Marginal costs of admission in the agent.

use lentil_admit::{
    Action, Admission, EngineConfig, Event, GenerationSpec, LearnedLengths, LengthEstimator as _,
    LengthKey,
};
use lentil_core::{
    AttemptId, Blocks, BootId, OrganisationId, ParseIdError, Priority, Time, TokenCount,
};

use super::fit::{Slope, Unit};
use super::fixtures;
use super::meter;

/// Concurrent generations that the engine has room for.
const SLOTS: u32 = 128;
/// Generations that run during the timed measurements.
const RUNNING: usize = 84;
/// Output tokens of a generation.
const OUTPUT_TOKENS: u32 = 255;

fn engine_config() -> EngineConfig {
    EngineConfig {
        slots: SLOTS,
        cold_slots: SLOTS,
        blocks: Blocks::new(400_000),
        block_tokens: TokenCount::new(16),
        waiting_max: 8,
        agent_preempts: false,
    }
}

fn admission() -> Admission {
    let mut admission = Admission::new(
        engine_config(),
        BootId::new(1),
        Box::new(LearnedLengths::new()),
    );
    admission.on(Time::ZERO, Event::EndpointStarted { foreign: 0 });
    admission
}

fn generation_spec(
    number: usize,
    organisation: &OrganisationId,
) -> Result<GenerationSpec, ParseIdError> {
    Ok(GenerationSpec {
        attempt: AttemptId::new(u128::try_from(number).unwrap_or(u128::MAX)),
        organisation: organisation.clone(),
        model: fixtures::model(0)?,
        priority: Priority::Interactive,
        prompt: TokenCount::new(400),
        max_tokens: TokenCount::new(4_096),
        deadline: Time::NEVER,
        suspect: false,
    })
}

/// Builds an agent's admission controller on which `count` generations are already running.
fn admission_with_running(count: usize) -> Result<Admission, ParseIdError> {
    let mut admission = admission();
    let organisations = fixtures::organisations(fixtures::ORGANISATIONS)?;
    for (number, organisation) in organisations.iter().cycle().take(count).enumerate() {
        admission.on(
            Time::ZERO,
            Event::Arrived(generation_spec(number, organisation)?),
        );
    }
    Ok(admission)
}

/// Passes `count` requests from arrival to end through an admission that already has [`RUNNING`]
/// generations.
fn complete_requests(admission: &mut Admission, organisations: &[OrganisationId], count: usize) {
    let arrivals = organisations.iter().cycle().take(count).enumerate();
    for (number, organisation) in arrivals {
        let number = RUNNING + number;
        let now = Time::from_us(u64::try_from(number).unwrap_or(0) * 118_000);
        let Ok(spec) = generation_spec(number, organisation) else {
            return;
        };
        let started = admission.on(now, Event::Arrived(spec));
        let attempts = started.into_iter().filter_map(|action| match action {
            Action::Start { attempt, .. } => Some(attempt),
            _ => None,
        });
        for attempt in attempts.collect::<Vec<_>>() {
            let generated = TokenCount::new(OUTPUT_TOKENS);
            admission.on(now, Event::Progress { attempt, generated });
            admission.on(now, Event::Finished { attempt });
        }
    }
}

/// Reports the progress of the [`RUNNING`] generations in turn, `count` tokens in all.
fn report_progress(admission: &mut Admission, count: usize) {
    for number in 0..count {
        let attempt = AttemptId::new(u128::try_from(number % RUNNING).unwrap_or(0));
        let generated = u32::try_from(number / RUNNING).unwrap_or(u32::MAX);
        let generated = TokenCount::new(generated % OUTPUT_TOKENS);
        let now = Time::from_us(u64::try_from(number).unwrap_or(0) * 461);
        admission.on(now, Event::Progress { attempt, generated });
    }
}

/// Builds the output length sketches of `count` organisations, in all three priorities.
pub(crate) fn learned_lengths(count: usize) -> Result<LearnedLengths, ParseIdError> {
    let mut lengths = LearnedLengths::new();
    for organisation in fixtures::organisations(count)? {
        for priority in Priority::ALL {
            let key = LengthKey {
                organisation: organisation.clone(),
                model: fixtures::model(0)?,
                priority,
            };
            lengths.record(&key, TokenCount::new(OUTPUT_TOKENS));
        }
    }
    Ok(lengths)
}

pub(crate) fn slopes() -> Result<Vec<Slope>, ParseIdError> {
    let organisations = fixtures::organisations(fixtures::ORGANISATIONS)?;
    let requests = meter::time(
        &[5_000, 10_000, 20_000],
        |_| admission_with_running(RUNNING),
        |admission, count| {
            if let Ok(mut admission) = admission {
                complete_requests(&mut admission, &organisations, count);
            }
        },
    );
    let tokens = meter::time(
        &[200_000, 400_000, 800_000],
        |_| admission_with_running(RUNNING),
        |admission, count| {
            if let Ok(mut admission) = admission {
                report_progress(&mut admission, count);
            }
        },
    );
    Ok(vec![
        Slope::fit("agent: request admitted", Unit::Nanoseconds, requests),
        Slope::fit("agent: token counted", Unit::Nanoseconds, tokens),
        Slope::fit(
            "agent: running generation",
            Unit::Bytes,
            meter::memory(&[16, 32, 64, 128], admission_with_running),
        ),
        Slope::fit(
            "agent: organisation's length sketches",
            Unit::Bytes,
            meter::memory(&[40, 80, 160, 320], learned_lengths),
        ),
    ])
}
