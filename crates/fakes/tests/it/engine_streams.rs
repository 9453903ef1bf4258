use futures_util::StreamExt;
use lentil_core::Span;
use lentil_fakes::{EngineOptions, FakeEngine};
use ntex::client::{Client, ClientResponse};
use serde_json::{Value, json};

fn engine(options: EngineOptions) -> FakeEngine {
    FakeEngine::start(EngineOptions {
        token_interval: Span::from_us(500),
        prefill_time: Span::ZERO,
        ..options
    })
    .unwrap()
}

async fn post(engine: &FakeEngine, id: &str, prompt: &str, stream: bool) -> ClientResponse {
    let body = json!({
        "request_id": id, "model": "lentil-small", "prompt": prompt, "stream": stream,
    });
    let url = format!("http://{}/v1/completions", engine.address());
    Client::new()
        .await
        .post(url)
        .send_json(&body)
        .await
        .unwrap()
}

async fn get(engine: &FakeEngine, path: &str) -> ClientResponse {
    let url = format!("http://{}{path}", engine.address());
    Client::new().await.get(url).send().await.unwrap()
}

/// Reads a stream to its end. Returns its tokens and whether it ended with `[DONE]`.
async fn read_stream(mut response: ClientResponse) -> (Vec<String>, bool) {
    let mut text = String::new();
    while let Some(Ok(chunk)) = response.next().await {
        text.push_str(std::str::from_utf8(&chunk).unwrap());
    }
    let tokens = text
        .split("\n\n")
        .filter(|event| event.starts_with("id: "))
        .map(|event| {
            let data: Value = serde_json::from_str(event.split_once("data: ").unwrap().1).unwrap();
            data["choices"][0]["text"].as_str().unwrap().to_owned()
        })
        .collect();
    (tokens, text.ends_with("data: [DONE]\n\n"))
}

#[ntex::test]
async fn stream_completes_and_resumes() {
    let engine = engine(EngineOptions::default());
    let expected = engine.expected_tokens("summary tokens=40", None);
    assert_eq!(expected.len(), 40);
    let (tokens, complete) =
        read_stream(post(&engine, "g1", "summary tokens=40", true).await).await;
    assert_eq!((tokens, complete), (expected.clone(), true));
    let (rest, complete) = read_stream(get(&engine, "/v1/streams/g1?next_index=25").await).await;
    assert_eq!((rest, complete), (expected[25..].to_vec(), true));
}

#[ntex::test]
async fn unstreamed_response_and_continued_prompt() {
    let engine = engine(EngineOptions::default());
    let expected = engine.expected_tokens("verdict tokens=9", None);
    let body: Value = post(&engine, "g1", "verdict tokens=9", false)
        .await
        .json()
        .await
        .unwrap();
    assert_eq!(body["choices"][0]["text"], json!(expected.concat()));
    let prefix = format!("verdict tokens=9{}", expected[..4].concat());
    assert_eq!(
        engine.expected_tokens(&prefix, Some(5)),
        expected[4..].to_vec()
    );
}

#[ntex::test]
async fn cancelled_stream_frees_its_slot() {
    let engine = engine(EngineOptions::default());
    let response = post(&engine, "g1", "tokens=1000000", true).await;
    let url = format!("http://{}/v1/streams/g1", engine.address());
    let cancelled = Client::new().await.delete(&url).send().await.unwrap();
    assert_eq!(cancelled.status().as_u16(), 204);
    read_stream(response).await;
    let stats = engine.stats();
    assert_eq!((stats.cancelled, stats.running), (1, 0));
}

#[ntex::test]
async fn full_cache_preempts_without_loss() {
    let engine = engine(EngineOptions {
        cache_blocks: 8,
        block_tokens: 4,
        ..EngineOptions::default()
    });
    let (first, second) = futures_util::future::join(
        async { read_stream(post(&engine, "a", "a tokens=24", true).await).await },
        async { read_stream(post(&engine, "b", "b tokens=24", true).await).await },
    )
    .await;
    assert_eq!(first.0, engine.expected_tokens("a tokens=24", None));
    assert_eq!(second.0, engine.expected_tokens("b tokens=24", None));
    assert!(engine.stats().preemptions > 0, "{:?}", engine.stats());
}

#[ntex::test]
async fn crash_breaks_all_streams() {
    let engine = engine(EngineOptions {
        crash_on: Some("poison".to_owned()),
        ..EngineOptions::default()
    });
    let innocent = post(&engine, "a", "tokens=1000000", true).await;
    let body = json!({ "request_id": "p", "model": "lentil-small", "prompt": "poison" });
    let url = format!("http://{}/v1/completions", engine.address());
    let answer = Client::new().await.post(url).send_json(&body).await;
    let status = answer.map(|response| response.status().as_u16());
    let (_, complete) = read_stream(innocent).await;
    assert!(!complete);
    assert!(
        engine.stats().crashes == 1,
        "{status:?} {:?}",
        engine.stats()
    );
}

#[ntex::test]
async fn stale_orders_are_refused_when_fenced() {
    let engine = engine(EngineOptions::default());
    let url = format!("http://{}/orders", engine.address());
    let client = Client::new().await;
    for (fence, checks, status) in [(5, true, 200), (4, true, 409), (4, false, 200)] {
        engine.set_checks_fence(checks);
        let body = json!({ "fence": fence, "load": { "model": "lentil-large" } });
        let response = client.post(&url).send_json(&body).await.unwrap();
        assert_eq!(response.status().as_u16(), status);
    }
    let fences: Vec<_> = engine
        .orders()
        .into_iter()
        .map(|(fence, _)| fence)
        .collect();
    assert_eq!(fences, vec![5, 4]);
}

#[ntex::test]
async fn cache_events_have_gaps() {
    let engine = engine(EngineOptions {
        cache_event_loss_interval: 2,
        ..EngineOptions::default()
    });
    for id in 0..4 {
        read_stream(post(&engine, &format!("g{id}"), &format!("{id} tokens=1"), true).await).await;
    }
    let events: Value = get(&engine, "/cache-events?from=0")
        .await
        .json()
        .await
        .unwrap();
    let sequences: Vec<_> = events["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|event| event["sequence"].as_u64().unwrap())
        .collect();
    assert_eq!((sequences, &events["next"]), (vec![0, 2], &json!(4)));
}
