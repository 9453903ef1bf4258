//! A request that crashes every endpoint that runs it and is then sent again.

use crate::fake_http::ConnectionAction;
use crate::gateway_harness::{Replica, Site, respond_ok, wait_until};

fn crashing_replica(name: &str) -> Replica {
    Replica::start(name, |request, stream| {
        if request.target == "/lookup/poison" {
            return ConnectionAction::Crash;
        }
        respond_ok(request, stream)
    })
}

/// After three crashes the request is no longer sent to any endpoint; other requests
/// are still served.
#[test]
fn stopped_after_three_crashes() {
    let names = ["i-1", "i-2", "i-3", "i-4", "i-5"];
    let replicas: Vec<_> = names.iter().map(|name| crashing_replica(name)).collect();
    let listed: Vec<_> = replicas.iter().map(|replica| (replica, "desk")).collect();
    let site = Site::start("three_crashes", &listed);
    let poison_runs = || -> usize {
        let count_poison = |replica: &Replica| {
            let requests = replica.requests();
            requests
                .iter()
                .filter(|request| request.target == "/lookup/poison")
                .count()
        };
        replicas.iter().map(count_poison).sum()
    };
    for number in 0..6 {
        let response = site.call("/lookup/poison", &format!("r{number}"), "");
        assert_ne!(response.unwrap().status, 200);
    }
    assert_eq!(poison_runs(), 3);
    wait_until("another request is served", || {
        site.call("/lookup/well", "r9", "").unwrap().status == 200
    });
}
