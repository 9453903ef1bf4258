//! An engine crashes while it runs generations.

use lentil_site::{Site, SiteOptions};

use crate::caller::{Caller, block_on, completion, read_events, texts};

#[test]
fn stream_ends_with_error() {
    let plan = SiteOptions {
        engines: 1,
        ..SiteOptions::default()
    };
    let mut site = Site::start(plan).unwrap();
    let address = site.entries[0].address();
    let engine = site.engines.remove(0);
    let expected = engine.expected_tokens("a report", Some(400));
    block_on(async move {
        let caller = Caller::new().await;
        let mut response = caller
            .complete(address, &completion("a report", 400, true))
            .await;
        let mut events = read_events(&mut response, 10).await;
        engine.crash();
        events.extend(read_events(&mut response, usize::MAX).await);
        let received = texts(&events);
        assert!(received.len() < expected.len());
        assert_eq!(received, expected[..received.len()]);
        let last: serde_json::Value = serde_json::from_str(&events.last().unwrap().data).unwrap();
        assert_eq!(last["title"], "endpoint_failed");
    });
    site.stop().unwrap();
}

#[test]
fn other_engines_serve() {
    let mut site = Site::start(SiteOptions::default()).unwrap();
    let address = site.entries[0].address();
    let engine = site.engines.remove(0);
    block_on(async move {
        let caller = Caller::new().await;
        caller
            .complete(address, &completion("warm", 1, false))
            .await;
        engine.crash();
        for _ in 0..20 {
            let response = caller
                .complete(address, &completion("a verdict", 3, false))
                .await;
            assert!(response.status().is_success());
        }
    });
    site.stop().unwrap();
}
