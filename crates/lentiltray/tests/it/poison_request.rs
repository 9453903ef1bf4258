//! A request that crashes each endpoint which runs it, and comes again.

use crate::platform_site::{Replica, Site, good, until};
use crate::standin_http::After;

fn mortal(name: &str) -> Replica {
    Replica::start(name, |request, stream| {
        if request.target == "/lookup/poison" {
            return After::Crash;
        }
        good(request, stream)
    })
}

/// After the third crash it runs nowhere, and others are served as before.
#[test]
fn three_crashes() {
    let names = ["i-1", "i-2", "i-3", "i-4", "i-5"];
    let desks: Vec<_> = names.iter().map(|name| mortal(name)).collect();
    let listed: Vec<_> = desks.iter().map(|desk| (desk, "desk")).collect();
    let site = Site::start("three_crashes", &listed);
    let runs = || -> usize {
        let poisonous = |desk: &Replica| {
            let requests = desk.requests();
            requests
                .iter()
                .filter(|request| request.target == "/lookup/poison")
                .count()
        };
        desks.iter().map(poisonous).sum()
    };
    for number in 0..6 {
        let got = site.call("/lookup/poison", &format!("r{number}"), "");
        assert_ne!(got.unwrap().status, 200);
    }
    assert_eq!(runs(), 3);
    until("another request is served", || {
        site.call("/lookup/well", "r9", "").unwrap().status == 200
    });
}
