//! Tracing of a request under one trace identifier, from the caller's header to
//! the endpoint.

use fastrace::Span;
use fastrace::collector::{Config, Reporter, SpanContext, SpanRecord};
use lentil_core::Permille;
use lentil_settings::{Trace, TraceExport};

/// Denominator of the sampling rate.
const PERMILLE_BASE: u128 = 1_000;
const NS_PER_US: u64 = 1_000;

/// Starts the export of finished spans for the whole process.
pub fn start_traces(trace: &Trace) {
    match trace.export {
        TraceExport::None => {}
        TraceExport::Log => fastrace::set_reporter(LogReporter, Config::default()),
    }
}

/// Writes each finished span as a log line.
struct LogReporter;

impl Reporter for LogReporter {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for span in spans {
            log::info!(
                trace_id:% = span.trace_id,
                span_id:% = span.span_id,
                parent_id:% = span.parent_id,
                name:% = span.name,
                begin_unix_us = span.begin_time_unix_ns / NS_PER_US,
                duration_us = span.duration_ns / NS_PER_US;
                "span"
            );
        }
    }
}

/// Returns the caller's trace context, or a new one that is sampled at the rate
/// `sample`.
#[must_use]
pub fn trace_context(traceparent: &str, sample: Permille) -> SpanContext {
    SpanContext::decode_w3c_traceparent(traceparent).unwrap_or_else(|| {
        let context = SpanContext::random();
        let draw = context.trace_id.0 % PERMILLE_BASE;
        context.sampled(draw < u128::from(sample.get()))
    })
}

/// A span of a request's trace, which ends when it is dropped.
#[derive(Debug)]
pub struct TraceSpan {
    span: Span,
    context: SpanContext,
}

impl TraceSpan {
    /// Starts a span under `context`.
    #[must_use]
    pub fn start(name: &'static str, context: SpanContext) -> Self {
        let span = if context.sampled {
            Span::root(name, context)
        } else {
            Span::noop()
        };
        Self { span, context }
    }

    /// Starts a span under the context that another process sent.
    #[must_use]
    pub fn from_traceparent(name: &'static str, traceparent: &str) -> Self {
        Self::start(name, trace_context(traceparent, Permille::ZERO))
    }

    /// Starts a child span.
    #[must_use]
    pub fn child(&self, name: &'static str) -> Self {
        Self {
            span: Span::enter_with_parent(name, &self.span),
            context: self.context,
        }
    }

    /// The W3C `traceparent` value to send to the next process.
    #[must_use]
    pub fn traceparent(&self) -> String {
        SpanContext::from_span(&self.span)
            .unwrap_or(self.context)
            .encode_w3c_traceparent()
    }
}

/// A span with consecutive child spans, one for each stage.
#[derive(Debug)]
pub struct StagedSpan {
    parent: TraceSpan,
    stage: Option<TraceSpan>,
}

impl StagedSpan {
    /// Starts the child span of the first stage in processing the request that `parent` covers,
    /// for example its admission by the agent.
    #[must_use]
    pub fn start(parent: TraceSpan, first: &'static str) -> Self {
        let stage = Some(parent.child(first));
        Self { parent, stage }
    }

    /// Ends the current stage and starts another.
    pub fn next_stage(&mut self, name: &'static str) {
        self.stage = None;
        self.stage = Some(self.parent.child(name));
    }

    /// The W3C `traceparent` value of the current stage.
    #[must_use]
    pub fn traceparent(&self) -> String {
        self.stage.as_ref().unwrap_or(&self.parent).traceparent()
    }
}
