//! Reading a generation again from where a caller stopped.

use std::time::Instant;

use lentil_core::{GenerationId, OrganisationId, Refusal, RefusalReason};
use lentil_shell::{TraceSpan, trace_context};
use lentil_wire::v1;
use ntex::web::{HttpRequest, HttpResponse};

use crate::answer::Answer;
use crate::attempt::Opened;
use crate::callers::Context;
use crate::completions::{Form, respond_streamed};
use crate::counters::StreamMeter;
use crate::problem::{self, never_sent};

/// What a caller that comes back states.
struct Place {
    organisation: OrganisationId,
    generation: GenerationId,
    next_index: u64,
}

fn place(context: &Context, request: &HttpRequest) -> Result<Place, Refusal> {
    let bad = || never_sent(RefusalReason::BadRequest);
    let organisation = context.organisation(request)?;
    let text = request.match_info().get("generation").unwrap_or("");
    let generation: GenerationId = text.parse().map_err(|_| bad())?;
    let next_index = match request.headers().get("last-event-id") {
        None => 0,
        Some(value) => {
            let (of, index) = value
                .to_str()
                .ok()
                .and_then(|value| value.rsplit_once(':'))
                .ok_or_else(bad)?;
            if of != text {
                return Err(bad());
            }
            index.parse::<u64>().map_err(|_| bad())?.saturating_add(1)
        }
    };
    Ok(Place {
        organisation,
        generation,
        next_index,
    })
}

/// Serves the rest of a generation as server-sent events.
pub(crate) async fn resume(context: &Context, request: &HttpRequest) -> HttpResponse {
    let place = match place(context, request) {
        Ok(place) => place,
        Err(refusal) => return problem::response(&refusal, None),
    };
    let form = if request.query_string().contains("form=chat") {
        Form::Chat
    } else {
        Form::Text
    };
    let begun = Instant::now();
    let traceparent = request.headers().get("traceparent");
    let traceparent = traceparent.and_then(|value| value.to_str().ok());
    let parent = trace_context(traceparent.unwrap_or(""), context.sample);
    let hop = TraceSpan::start("caller resumes", parent);
    match open(context, &place).await {
        Ok(opened) => {
            let answer = Answer::new(
                context.clone(),
                place.organisation,
                opened,
                place.next_index,
            );
            let meter = StreamMeter::begin(context.counters.clone(), begun);
            let answer = answer.observed(meter, hop);
            respond_streamed(answer, form, String::new())
        }
        Err(refusal) => problem::response(&refusal, None),
    }
}

async fn open(context: &Context, place: &Place) -> Result<Opened, Refusal> {
    let unknown = || Refusal::unknown(RefusalReason::NotFound);
    let mut picked = context
        .find(place.generation.endpoint.clone())
        .await
        .ok_or_else(unknown)?;
    let message = v1::ResumeRequest {
        generation: place.generation.to_string(),
        next_index: place.next_index,
        organisation: place.organisation.to_string(),
    };
    let events = picked
        .client
        .resume(message)
        .await
        .map_err(|_| Refusal::unknown(RefusalReason::EndpointFailed))?;
    Ok(Opened {
        generation: place.generation.clone(),
        events: events.into_inner(),
        permit: None,
    })
}
