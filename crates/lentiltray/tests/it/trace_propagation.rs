//! Trace context is passed on from the caller's `traceparent` header to the endpoint.

use std::collections::BTreeMap;

use lentil_shell::export_spans;
use lentil_site::{Site, SiteOptions};
use opentelemetry_sdk::trace::{InMemorySpanExporter, SpanData};

use crate::caller::{Caller, block_on, completion, read_events};

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const CALLER_SPAN: &str = "b7ad6b7169203331";

#[test]
fn hops_share_one_trace() {
    let exporter = InMemorySpanExporter::default();
    export_spans(exporter.clone());
    let plan = SiteOptions {
        engines: 1,
        ..SiteOptions::default()
    };
    let site = Site::start(plan).unwrap();
    let entry = site.entries[0].address();
    block_on(async move {
        let caller = Caller::new().await;
        let body = completion("a report", 5, true);
        let ready = completion("ready", 1, false);
        caller.complete(entry, &ready).await.body().await.unwrap();
        let url = format!("http://{entry}/v1/completions");
        let header = format!("00-{TRACE}-{CALLER_SPAN}-01");
        let request = caller.client.post(url).header("traceparent", header);
        let mut response = request.send_json(&body).await.unwrap();
        read_events(&mut response, usize::MAX).await;
    });
    let traceparents = site.engines[0].traceparents();
    site.stop().unwrap();
    let spans = exporter.get_finished_spans().unwrap();
    let spans: Vec<_> = spans
        .iter()
        .filter(|span| span.span_context.trace_id().to_string() == TRACE)
        .collect();
    let by_name: BTreeMap<_, _> = spans
        .iter()
        .map(|span| (span.name.as_ref(), *span))
        .collect();
    let span_id = |span: &SpanData| span.span_context.span_id();
    let parent = |span: &SpanData| {
        let parent = spans
            .iter()
            .find(|other| span_id(other) == span.parent_span_id);
        parent.map_or("", |parent| parent.name.as_ref()).to_owned()
    };
    let mut tree: Vec<_> = spans
        .iter()
        .map(|span| format!("{} < {}", span.name, parent(span)))
        .collect();
    tree.sort();
    insta::assert_snapshot!(tree.join("\n"));
    assert_eq!(by_name["caller"].parent_span_id.to_string(), CALLER_SPAN);
    let endpoint = span_id(by_name["endpoint"]);
    assert_eq!(
        traceparents.last(),
        Some(&format!("00-{TRACE}-{endpoint}-01"))
    );
}
