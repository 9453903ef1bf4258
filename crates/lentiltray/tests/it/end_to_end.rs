//! Requests from a caller through an entry and an agent to an endpoint.

use lentil_site::{SERVICE, Site, SiteOptions};

use crate::caller::{Caller, block_on, completion, read_events, texts};

#[test]
fn streamed_response() {
    let site = Site::start(SiteOptions::default()).unwrap();
    let entry = site.entries[0].address();
    let expected = site.engines[0].expected_tokens("a short report", Some(20));
    block_on(async move {
        let caller = Caller::new().await;
        let body = completion("a short report", 20, true);
        let mut response = caller.complete(entry, &body).await;
        let events = read_events(&mut response, usize::MAX).await;
        assert_eq!(texts(&events), expected);
        assert_eq!(events.last().unwrap().data, "[DONE]");
    });
    site.stop().unwrap();
}

#[test]
fn complete_response() {
    let site = Site::start(SiteOptions::default()).unwrap();
    let entry = site.entries[1].address();
    let expected = site.engines[0]
        .expected_tokens("a verdict", Some(6))
        .concat();
    block_on(async move {
        let caller = Caller::new().await;
        let response = caller
            .complete(entry, &completion("a verdict", 6, false))
            .await;
        let answer: serde_json::Value = response.json().await.unwrap();
        assert_eq!(answer["choices"][0]["text"], expected);
        assert_eq!(answer["usage"]["completion_tokens"], 6);
    });
    site.stop().unwrap();
}

#[test]
fn resume_at_other_entry() {
    let site = Site::start(SiteOptions::default()).unwrap();
    let (first, second) = (site.entries[0].address(), site.entries[1].address());
    let expected = site.engines[0].expected_tokens("a long report", Some(60));
    block_on(async move {
        let caller = Caller::new().await;
        let ready = caller.complete(second, &completion("warm", 1, false)).await;
        assert!(ready.status().is_success());
        let body = completion("a long report", 60, true);
        let mut response = caller.complete(first, &body).await;
        let mut events = read_events(&mut response, 10).await;
        drop(response);
        let last = events.last().unwrap().id.clone().unwrap();
        let mut rest = caller.resume(second, &last).await;
        events.extend(read_events(&mut rest, usize::MAX).await);
        assert_eq!(texts(&events), expected);
    });
    site.stop().unwrap();
}

#[test]
fn call_without_key_is_rejected() {
    let site = Site::start(SiteOptions::default()).unwrap();
    let entry = site.entries[0].address();
    block_on(async move {
        let caller = Caller::new().await;
        let response = caller
            .client
            .post(format!("http://{entry}/services/{SERVICE}/confirm"))
            .send_body("bin 3 emptied")
            .await
            .unwrap();
        assert_eq!(response.status().as_u16(), 400);
        let problem: serde_json::Value =
            serde_json::from_slice(&response.body().await.unwrap()).unwrap();
        assert_eq!(problem["outcome"], "not_run");
    });
    let executions: u64 = site
        .services
        .iter()
        .map(lentil_fakes::FakeService::total)
        .sum();
    assert_eq!(executions, 0);
    site.stop().unwrap();
}
