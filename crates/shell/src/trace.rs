//! Traces: one identifier from the caller's header to the endpoint.

use fastrace::Span;
use fastrace::collector::{Config, Reporter, SpanContext, SpanRecord};
use lentil_core::Permille;
use lentil_settings::{Trace, TraceExport};

/// Draws are made out of so many.
const WHOLE_PERMILLE: u128 = 1_000;
/// Nanoseconds in a microsecond.
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

/// The context of a request: its caller's, or a new one that is sampled by
/// chance.
#[must_use]
pub fn trace_context(traceparent: &str, sample: Permille) -> SpanContext {
    SpanContext::decode_w3c_traceparent(traceparent).unwrap_or_else(|| {
        let context = SpanContext::random();
        let drawn = context.trace_id.0 % WHOLE_PERMILLE;
        context.sampled(drawn < u128::from(sample.get()))
    })
}

/// One hop of a request, from its beginning until it is dropped.
#[derive(Debug)]
pub struct TraceSpan {
    span: Span,
    context: SpanContext,
}

impl TraceSpan {
    /// Begins a hop under `context`.
    #[must_use]
    pub fn start(name: &'static str, context: SpanContext) -> Self {
        let span = if context.sampled {
            Span::root(name, context)
        } else {
            Span::noop()
        };
        Self { span, context }
    }

    /// Begins a hop that a message from another process asked for.
    #[must_use]
    pub fn from_traceparent(name: &'static str, traceparent: &str) -> Self {
        Self::start(name, trace_context(traceparent, Permille::ZERO))
    }

    /// Begins a hop within this one.
    #[must_use]
    pub fn child(&self, name: &'static str) -> Self {
        Self {
            span: Span::enter_with_parent(name, &self.span),
            context: self.context,
        }
    }

    /// What a further process is told, in the W3C form.
    #[must_use]
    pub fn traceparent(&self) -> String {
        SpanContext::from_span(&self.span)
            .unwrap_or(self.context)
            .encode_w3c_traceparent()
    }
}

/// A hop with stages that follow each other.
#[derive(Debug)]
pub struct StagedSpan {
    whole: TraceSpan,
    stage: Option<TraceSpan>,
}

impl StagedSpan {
    /// Begins a hop and its first stage.
    #[must_use]
    pub fn start(whole: TraceSpan, first: &'static str) -> Self {
        let stage = Some(whole.child(first));
        Self { whole, stage }
    }

    /// Ends the present stage and begins another.
    pub fn next_stage(&mut self, name: &'static str) {
        self.stage = None;
        self.stage = Some(self.whole.child(name));
    }

    /// What the next process is told: the present stage.
    #[must_use]
    pub fn traceparent(&self) -> String {
        self.stage.as_ref().unwrap_or(&self.whole).traceparent()
    }
}
