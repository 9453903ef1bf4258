//! The age of an engine's report at an observer.

use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use lentil_wire::v1;
use lentil_wire::v1::observer_client::ObserverClient;
use serde_json::json;

use crate::fake_http::response_with_length;
use crate::gateway_harness::{Replica, free_port, start_observer, wait_until, write_response};

/// Time that the report of the engine is on its way.
const REPORT_DELAY: Duration = Duration::from_millis(500);
/// Time between two reports of the observer that come from one poll of the engine.
const AGE: Duration = Duration::from_millis(300);

/// Time until the engine terminates.
const NOTICE: Duration = Duration::from_secs(60);

/// Starts an engine that leaves, and whose reports after the first one take long.
fn slow_engine() -> Replica {
    let polls = AtomicUsize::new(0);
    let leaves_at = Instant::now() + NOTICE;
    Replica::start_at(Ipv4Addr::new(127, 0, 3, 1), "i-1", move |_, stream| {
        let left_ms = (leaves_at - Instant::now()).as_millis();
        let report = json!({"stage": "combined", "models": [], "busy": false, "sequence": 1,
            "waiting": 0, "running": 1, "kvUsed": 400, "kvTotal": 34000, "handles": 0,
            "state": "draining", "leaves_ms": u64::try_from(left_ms).unwrap(), "born": 7});
        if polls.fetch_add(1, Ordering::SeqCst) > 0 {
            std::thread::sleep(REPORT_DELAY);
        }
        write_response(
            stream,
            &response_with_length(200, "", report.to_string().as_bytes()),
        )
    })
}

/// Guards against a report that is sent again as if it were new: gateways would take an engine
/// to terminate later than it does, by the time since the observer's poll.
#[test]
fn time_left_shrinks() {
    let engine = slow_engine();
    let port = free_port(Ipv4Addr::new(127, 0, 3, 1));
    let _observer = start_observer("time_left", &engine, port, None);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let uri = format!("http://{}:{port}", engine.address().ip());
        let mut client = ObserverClient::connect(uri).await.unwrap();
        // A poll of the engine has just begun, so that the report stays the same meanwhile.
        let polls = engine.report_count();
        wait_until("the engine is polled", || engine.report_count() > polls);
        let entry = "gateway".to_owned();
        let follow = client.follow(v1::FollowRequest { entry }).await.unwrap();
        let mut reports = follow.into_inner();
        let first = reports.message().await.unwrap().unwrap();
        tokio::time::sleep(AGE).await;
        // Gateways are told of an announced run at once.
        let request = v1::AnnounceRunRequest {
            run: "r1".to_owned(),
            prompt_tokens: 100,
        };
        client.announce_run(request).await.unwrap();
        let second = reports.message().await.unwrap().unwrap();
        let (first_ms, second_ms) = (first.gone_in_ms.unwrap(), second.gone_in_ms.unwrap());
        // Half of the time, as polls may differ by their own duration.
        let half_ms = u64::try_from(AGE.as_millis()).unwrap() / 2;
        assert!(
            second_ms + half_ms <= first_ms,
            "{first_ms} ms left, and {second_ms} ms {AGE:?} later"
        );
    });
}
