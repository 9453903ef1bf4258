//! Planned stops interrupt no request.

use lentil_site::{Site, SiteOptions};

use crate::caller::{Caller, block_on, completion, read_events, texts};

/// Number of tokens in a stream, enough that it still runs when the stop begins.
const TOKENS: u32 = 200;

#[test]
fn entry_stops() {
    let mut site = Site::start(SiteOptions::default()).unwrap();
    let entry = site.entries.remove(0);
    let address = entry.address();
    let expected = site.engines[0].expected_tokens("a report", Some(TOKENS.into()));
    block_on(async move {
        let caller = Caller::new().await;
        let body = completion("a report", TOKENS, true);
        let mut response = caller.complete(address, &body).await;
        let mut events = read_events(&mut response, 5).await;
        let stop = std::thread::spawn(move || entry.stop());
        events.extend(read_events(&mut response, usize::MAX).await);
        assert_eq!(texts(&events), expected);
        stop.join().unwrap().unwrap();
    });
    site.stop().unwrap();
}

#[test]
fn agents_stop() {
    let mut site = Site::start(SiteOptions::default()).unwrap();
    let address = site.entries[0].address();
    let expected = site.engines[0].expected_tokens("a report", Some(TOKENS.into()));
    let agents = std::mem::take(&mut site.agents);
    block_on(async move {
        let caller = Caller::new().await;
        let body = completion("a report", TOKENS, true);
        let mut response = caller.complete(address, &body).await;
        let mut events = read_events(&mut response, 5).await;
        let stops: Vec<_> = agents
            .into_iter()
            .map(|agent| std::thread::spawn(move || agent.stop()))
            .collect();
        events.extend(read_events(&mut response, usize::MAX).await);
        assert_eq!(texts(&events), expected);
        for stop in stops {
            stop.join().unwrap().unwrap();
        }
    });
    site.stop().unwrap();
}

#[test]
fn host_leaves() {
    let mut site = Site::start(SiteOptions::default()).unwrap();
    let address = site.entries[0].address();
    let agent = site.agents.remove(0);
    block_on(async move {
        let caller = Caller::new().await;
        caller
            .complete(address, &completion("warm", 1, false))
            .await;
        let stop = std::thread::spawn(move || agent.stop());
        for _ in 0..30 {
            let response = caller
                .complete(address, &completion("a verdict", 3, false))
                .await;
            assert!(response.status().is_success());
        }
        stop.join().unwrap().unwrap();
    });
    site.stop().unwrap();
}
