//! Resuming a generation stream after a caller reconnects.

use std::time::Instant;

use lentil_core::{GenerationId, OrganisationId, Refusal, RefusalReason};
use lentil_shell::{TraceSpan, trace_context};
use lentil_wire::v1;
use ntex::web::{HttpRequest, HttpResponse};

use crate::answer_stream::AnswerStream;
use crate::attempt::OpenGeneration;
use crate::callers::Context;
use crate::completions::{ApiKind, streamed_response};
use crate::counters::StreamMeter;
use crate::problem::{self, never_sent};

/// The position from which a caller resumes a generation.
struct ResumePoint {
    organisation: OrganisationId,
    generation: GenerationId,
    next_index: u64,
}

fn parse_resume_point(context: &Context, request: &HttpRequest) -> Result<ResumePoint, Refusal> {
    let bad_request = || never_sent(RefusalReason::BadRequest);
    let organisation = context.organisation(request)?;
    let text = request.match_info().get("generation").unwrap_or("");
    let generation: GenerationId = text.parse().map_err(|_| bad_request())?;
    let next_index = match request.headers().get("last-event-id") {
        None => 0,
        Some(value) => {
            let (event_generation, index) = value
                .to_str()
                .ok()
                .and_then(|value| value.rsplit_once(':'))
                .ok_or_else(bad_request)?;
            if event_generation != text {
                return Err(bad_request());
            }
            index
                .parse::<u64>()
                .map_err(|_| bad_request())?
                .saturating_add(1)
        }
    };
    Ok(ResumePoint {
        organisation,
        generation,
        next_index,
    })
}

/// Handles a resume request: streams the rest of a generation as server-sent events.
pub(crate) async fn resume(context: &Context, request: &HttpRequest) -> HttpResponse {
    let resume_point = match parse_resume_point(context, request) {
        Ok(resume_point) => resume_point,
        Err(refusal) => return problem::response(&refusal, None),
    };
    let api_kind = if request.query_string().contains("form=chat") {
        ApiKind::Chat
    } else {
        ApiKind::Text
    };
    let started_at = Instant::now();
    let traceparent = request.headers().get("traceparent");
    let traceparent = traceparent.and_then(|value| value.to_str().ok());
    let parent = trace_context(traceparent.unwrap_or(""), context.trace_sampling);
    let hop = TraceSpan::start("caller resumes", parent);
    match resume_generation(context, &resume_point).await {
        Ok(opened) => {
            let answer = AnswerStream::new(
                context.clone(),
                resume_point.organisation,
                opened,
                resume_point.next_index,
            );
            let meter = StreamMeter::begin(context.counters.clone(), started_at);
            let answer = answer.with_telemetry(meter, hop);
            streamed_response(answer, api_kind, String::new())
        }
        Err(refusal) => problem::response(&refusal, None),
    }
}

async fn resume_generation(
    context: &Context,
    resume_point: &ResumePoint,
) -> Result<OpenGeneration, Refusal> {
    let unknown = || Refusal::unknown(RefusalReason::NotFound);
    let mut connection = context
        .find_agent(resume_point.generation.endpoint.clone())
        .await
        .ok_or_else(unknown)?;
    let message = v1::ResumeRequest {
        generation: resume_point.generation.to_string(),
        next_index: resume_point.next_index,
        organisation: resume_point.organisation.to_string(),
    };
    let events = connection
        .client
        .resume(message)
        .await
        .map_err(|_| Refusal::unknown(RefusalReason::EndpointFailed))?;
    Ok(OpenGeneration {
        generation: resume_point.generation.clone(),
        events: events.into_inner(),
        routed_attempt: None,
    })
}
