//! Costs of the agent's decisions.

use lentil_admit::{
    Action, Admission, EngineConfig, Event, GenerationSpec, LearnedLengths, LengthEstimator as _,
    LengthKey,
};
use lentil_core::{
    AttemptId, Blocks, BootId, OrganisationId, ParseIdError, Priority, Time, TokenCount,
};

use super::fit::{Slope, Unit};
use super::meter;
use super::names;

const SLOTS: u32 = 128;
const STREAMS: usize = 84;
const OUTPUT: u32 = 255;

fn shape() -> EngineConfig {
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
    let mut admission = Admission::new(shape(), BootId::new(1), Box::new(LearnedLengths::new()));
    admission.on(Time::ZERO, Event::EndpointStarted { foreign: 0 });
    admission
}

fn work(number: usize, organisation: &OrganisationId) -> Result<GenerationSpec, ParseIdError> {
    Ok(GenerationSpec {
        attempt: AttemptId::new(u128::try_from(number).unwrap_or(u128::MAX)),
        organisation: organisation.clone(),
        model: names::model(0)?,
        priority: Priority::Interactive,
        prompt: TokenCount::new(400),
        max_tokens: TokenCount::new(4_096),
        deadline: Time::NEVER,
        suspect: false,
    })
}

/// An admission with this many running generations.
fn running(count: usize) -> Result<Admission, ParseIdError> {
    let mut admission = admission();
    let organisations = names::organisations(names::ORGANISATIONS)?;
    for (number, organisation) in organisations.iter().cycle().take(count).enumerate() {
        admission.on(Time::ZERO, Event::Arrived(work(number, organisation)?));
    }
    Ok(admission)
}

/// Requests from arrival to end beside the usual number of running ones.
fn serve(admission: &mut Admission, organisations: &[OrganisationId], count: usize) {
    let arrivals = organisations.iter().cycle().take(count).enumerate();
    for (number, organisation) in arrivals {
        let number = STREAMS + number;
        let now = Time::from_us(u64::try_from(number).unwrap_or(0) * 118_000);
        let Ok(work) = work(number, organisation) else {
            return;
        };
        let started = admission.on(now, Event::Arrived(work));
        let attempts = started.into_iter().filter_map(|action| match action {
            Action::Start { attempt, .. } => Some(attempt),
            _ => None,
        });
        for attempt in attempts.collect::<Vec<_>>() {
            let generated = TokenCount::new(OUTPUT);
            admission.on(now, Event::Progress { attempt, generated });
            admission.on(now, Event::Finished { attempt });
        }
    }
}

/// Tokens of all running generations in turn.
fn progress(admission: &mut Admission, count: usize) {
    for number in 0..count {
        let attempt = AttemptId::new(u128::try_from(number % STREAMS).unwrap_or(0));
        let generated = u32::try_from(number / STREAMS).unwrap_or(u32::MAX);
        let generated = TokenCount::new(generated % OUTPUT);
        let now = Time::from_us(u64::try_from(number).unwrap_or(0) * 461);
        admission.on(now, Event::Progress { attempt, generated });
    }
}

/// Sketches of this many organisations, in all three classes.
pub(crate) fn learned(count: usize) -> Result<LearnedLengths, ParseIdError> {
    let mut lengths = LearnedLengths::new();
    for organisation in names::organisations(count)? {
        for priority in Priority::ALL {
            let kind = LengthKey {
                organisation: organisation.clone(),
                model: names::model(0)?,
                priority,
            };
            lengths.record(&kind, TokenCount::new(OUTPUT));
        }
    }
    Ok(lengths)
}

pub(crate) fn slopes() -> Result<Vec<Slope>, ParseIdError> {
    let organisations = names::organisations(names::ORGANISATIONS)?;
    let requests = meter::time(
        &[5_000, 10_000, 20_000],
        |_| running(STREAMS),
        |admission, count| {
            if let Ok(mut admission) = admission {
                serve(&mut admission, &organisations, count);
            }
        },
    );
    let tokens = meter::time(
        &[200_000, 400_000, 800_000],
        |_| running(STREAMS),
        |admission, count| {
            if let Ok(mut admission) = admission {
                progress(&mut admission, count);
            }
        },
    );
    Ok(vec![
        Slope::fit("agent: request admitted", Unit::Nanoseconds, requests),
        Slope::fit("agent: token counted", Unit::Nanoseconds, tokens),
        Slope::fit(
            "agent: running generation",
            Unit::Bytes,
            meter::memory(&[16, 32, 64, 128], running),
        ),
        Slope::fit(
            "agent: organisation's length sketches",
            Unit::Bytes,
            meter::memory(&[40, 80, 160, 320], learned),
        ),
    ])
}
