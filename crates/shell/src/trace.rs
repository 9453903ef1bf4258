//! Tracing of a request under one trace identifier, from the caller's header to
//! the endpoint.

use std::time::{SystemTime, UNIX_EPOCH};

use lentil_core::Permille;
use lentil_settings::{Trace, TraceExport};
use opentelemetry::trace::{
    Span, SpanContext, SpanId, TraceContextExt, TraceFlags, TraceId, TraceState, Tracer,
    TracerProvider,
};
use opentelemetry::{Context, global};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{
    IdGenerator, RandomIdGenerator, SdkTracerProvider, SpanData, SpanExporter,
};

/// Denominator of the sampling rate.
const PERMILLE_BASE: u128 = 1_000;
/// Name of the tracer.
const TRACER: &str = "lentiltray";
/// The only version of the W3C header that there is.
const TRACEPARENT_VERSION: &str = "00";

/// Starts the export of finished spans for the whole process.
pub fn start_traces(trace: &Trace) {
    match trace.export {
        TraceExport::None => {}
        TraceExport::Log => export_spans(LogExporter),
    }
}

/// Exports each finished span of the process to `exporter` from now on.
pub fn export_spans(exporter: impl SpanExporter + 'static) {
    let provider = SdkTracerProvider::builder()
        .with_simple_exporter(exporter)
        .build();
    global::set_tracer_provider(provider);
}

/// Writes each finished span as a log line.
#[derive(Debug)]
struct LogExporter;

impl SpanExporter for LogExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        for span in batch {
            let lasted = span.end_time.duration_since(span.start_time);
            log::info!(
                trace_id:% = span.span_context.trace_id(),
                span_id:% = span.span_context.span_id(),
                parent_id:% = span.parent_span_id,
                name:% = span.name,
                begin_unix_us = unix_us(span.start_time),
                duration_us = us(lasted.unwrap_or_default());
                "span"
            );
        }
        Ok(())
    }
}

fn unix_us(time: SystemTime) -> u64 {
    us(time.duration_since(UNIX_EPOCH).unwrap_or_default())
}

fn us(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// The trace and the span under which a new span starts.
#[derive(Debug, Clone)]
pub struct TraceContext(SpanContext);

impl TraceContext {
    fn encode(&self) -> String {
        let context = &self.0;
        format!(
            "{TRACEPARENT_VERSION}-{}-{}-{:02x}",
            context.trace_id(),
            context.span_id(),
            context.trace_flags()
        )
    }

    fn decode(traceparent: &str) -> Option<Self> {
        let mut fields = traceparent.trim().split('-');
        if fields.next()? != TRACEPARENT_VERSION {
            return None;
        }
        let trace_id = TraceId::from_hex(fields.next()?).ok()?;
        let span_id = SpanId::from_hex(fields.next()?).ok()?;
        let flags = u8::from_str_radix(fields.next()?, 16).ok()?;
        let sampled = TraceFlags::new(flags).is_sampled();
        Some(Self::new(trace_id, span_id, sampled))
    }

    fn new(trace_id: TraceId, span_id: SpanId, sampled: bool) -> Self {
        let flags = TraceFlags::default().with_sampled(sampled);
        let state = TraceState::default();
        Self(SpanContext::new(trace_id, span_id, flags, true, state))
    }
}

/// Returns the caller's trace context, or a new one that is sampled at the rate
/// `sample`.
#[must_use]
pub fn trace_context(traceparent: &str, sample: Permille) -> TraceContext {
    TraceContext::decode(traceparent).unwrap_or_else(|| {
        let ids = RandomIdGenerator::default();
        let trace_id = ids.new_trace_id();
        let draw = u128::from_be_bytes(trace_id.to_bytes()) % PERMILLE_BASE;
        let sampled = draw < u128::from(sample.get());
        TraceContext::new(trace_id, ids.new_span_id(), sampled)
    })
}

/// A span of a request's trace, which ends when it is dropped.
#[derive(Debug)]
pub struct TraceSpan {
    span: Option<global::BoxedSpan>,
    context: TraceContext,
}

impl TraceSpan {
    /// Starts a span under `context`.
    #[must_use]
    pub fn start(name: &'static str, context: TraceContext) -> Self {
        if !context.0.is_sampled() {
            return Self {
                span: None,
                context,
            };
        }
        let parent = Context::new().with_remote_span_context(context.0.clone());
        let tracer = global::tracer_provider().tracer(TRACER);
        let span = tracer.start_with_context(name, &parent);
        let own = span.span_context().clone();
        // Without an exporter, spans have no ids of their own.
        let context = if own.is_valid() {
            TraceContext(own)
        } else {
            context
        };
        Self {
            span: Some(span),
            context,
        }
    }

    /// Starts a span under the context that another process sent.
    #[must_use]
    pub fn from_traceparent(name: &'static str, traceparent: &str) -> Self {
        Self::start(name, trace_context(traceparent, Permille::ZERO))
    }

    /// Starts a child span.
    #[must_use]
    pub fn child(&self, name: &'static str) -> Self {
        Self::start(name, self.context.clone())
    }

    /// The W3C `traceparent` value to send to the next process.
    #[must_use]
    pub fn traceparent(&self) -> String {
        self.context.encode()
    }
}

impl Drop for TraceSpan {
    fn drop(&mut self) {
        if let Some(span) = &mut self.span {
            span.end();
        }
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
