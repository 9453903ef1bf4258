//! Calls with an idempotency key run at most once, also across failures.

use std::net::SocketAddr;
use std::time::Duration;

use lentil_fakes::{FakeService, Outage};
use lentil_site::{SERVICE, Site, SiteOptions};
use serde_json::Value;

use crate::caller::{Caller, block_on};

/// Maximum attempts while a new entry discovers the agents.
pub(crate) const READY_ATTEMPTS: u32 = 200;
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A response as the caller receives it.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) replayed: bool,
    pub(crate) body: Value,
}

/// Sends a confirmation once.
pub(crate) async fn confirm_once(
    caller: &Caller,
    entry: SocketAddr,
    key: &str,
    body: &str,
) -> Answer {
    let response = caller
        .client
        .post(format!("http://{entry}/services/{SERVICE}/confirm"))
        .header("idempotency-key", key)
        .send_body(body.to_owned())
        .await
        .unwrap();
    let bytes = response.body().await.unwrap();
    Answer {
        status: response.status().as_u16(),
        replayed: response.headers().contains_key("idempotent-replayed"),
        body: serde_json::from_slice(&bytes).unwrap(),
    }
}

/// Sends a confirmation and retries while a new entry answers that it is overloaded.
pub(crate) async fn confirm(caller: &Caller, entry: SocketAddr, key: &str, body: &str) -> Answer {
    for _ in 0..READY_ATTEMPTS {
        let answer = confirm_once(caller, entry, key, body).await;
        if answer.body["title"] != "overloaded" {
            return answer;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    panic!("the entry never became ready");
}

fn executions(services: &[FakeService], key: &str) -> u64 {
    services.iter().map(|service| service.executions(key)).sum()
}

#[test]
fn repeated_key_is_replayed() {
    let site = Site::start(SiteOptions::default()).unwrap();
    let entries = [site.entries[0].address(), site.entries[1].address()];
    block_on(async move {
        let caller = Caller::new().await;
        let first = confirm(&caller, entries[0], "pickup-7", "bin 7").await;
        assert_eq!((first.status, first.replayed), (200, false), "{first:?}");
        for entry in entries {
            let repeated = confirm(&caller, entry, "pickup-7", "bin 7").await;
            assert_eq!(
                (repeated.status, repeated.replayed),
                (200, true),
                "{repeated:?}"
            );
            assert_eq!(repeated.body, first.body);
        }
    });
    assert_eq!(executions(&site.services, "pickup-7"), 1);
    site.stop().unwrap();
}

#[test]
fn concurrent_calls_run_once() {
    let site = Site::start(SiteOptions::default()).unwrap();
    let entries = [site.entries[0].address(), site.entries[1].address()];
    for service in &site.services {
        service.set_delay(lentil_core::Span::from_ms(100));
    }
    block_on(async move {
        let caller = Caller::new().await;
        confirm(&caller, entries[0], "warm-0", "x").await;
        confirm(&caller, entries[1], "warm-1", "x").await;
        let (first, second) = futures_util::future::join(
            confirm(&caller, entries[0], "pickup-8", "bin 8"),
            confirm(&caller, entries[1], "pickup-8", "bin 8"),
        )
        .await;
        assert_eq!(
            (first.status, second.status),
            (200, 200),
            "{first:?} {second:?}"
        );
        assert_eq!(first.body, second.body);
    });
    assert_eq!(executions(&site.services, "pickup-8"), 1);
    site.stop().unwrap();
}

#[test]
fn same_key_with_other_body_conflicts() {
    let site = Site::start(SiteOptions::default()).unwrap();
    let entries = [site.entries[0].address(), site.entries[1].address()];
    block_on(async move {
        let caller = Caller::new().await;
        confirm(&caller, entries[0], "pickup-9", "bin 9").await;
        let other = confirm(&caller, entries[1], "pickup-9", "bin 10").await;
        assert_eq!(other.status, 409, "{other:?}");
        assert_eq!(other.body["outcome"], "not_run");
    });
    assert_eq!(executions(&site.services, "pickup-9"), 1);
    site.stop().unwrap();
}

#[test]
fn lost_append_responses() {
    let site = Site::start(SiteOptions::default()).unwrap();
    let entry = site.entries[0].address();
    block_on(async move {
        let caller = Caller::new().await;
        confirm(&caller, entry, "warm", "x").await;
        site.log.drop_responses(3);
        let answer = confirm(&caller, entry, "pickup-11", "bin 11").await;
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(executions(&site.services, "pickup-11"), 1);
        site.stop().unwrap();
    });
}

#[test]
fn log_unavailable() {
    let site = Site::start(SiteOptions {
        entry_settings: vec!["deadline_ms: 4000".to_owned()],
        ..SiteOptions::default()
    })
    .unwrap();
    let entry = site.entries[0].address();
    block_on(async move {
        let caller = Caller::new().await;
        confirm(&caller, entry, "warm", "x").await;
        site.log.set_outage(Outage::Refusing);
        let refused = confirm(&caller, entry, "pickup-12", "bin 12").await;
        assert!(refused.status >= 500, "{refused:?}");
        assert_eq!(executions(&site.services, "pickup-12"), 0);
        site.log.set_outage(Outage::None);
        let mut answer = confirm(&caller, entry, "pickup-12", "bin 12").await;
        for _ in 0..READY_ATTEMPTS {
            if answer.status == 200 {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
            answer = confirm(&caller, entry, "pickup-12", "bin 12").await;
        }
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(executions(&site.services, "pickup-12"), 1);
        site.stop().unwrap();
    });
}

#[test]
fn lost_service_response() {
    let site = Site::start(SiteOptions {
        services: 1,
        ..SiteOptions::default()
    })
    .unwrap();
    let entry = site.entries[0].address();
    block_on(async move {
        let caller = Caller::new().await;
        confirm(&caller, entry, "warm", "x").await;
        site.services[0].drop_responses(1);
        for _ in 0..3 {
            let answer = confirm(&caller, entry, "pickup-13", "bin 13").await;
            assert_eq!(answer.status, 502, "{answer:?}");
            assert_eq!(answer.body["outcome"], "unknown");
        }
        assert_eq!(executions(&site.services, "pickup-13"), 1);
        site.stop().unwrap();
    });
}

#[test]
fn outcome_survives_agent_replacement() {
    let mut site = Site::start(SiteOptions {
        engines: 0,
        services: 1,
        ..SiteOptions::default()
    })
    .unwrap();
    let entry = site.entries[0].address();
    block_on(async move {
        let caller = Caller::new().await;
        let first = confirm(&caller, entry, "pickup-14", "bin 14").await;
        assert_eq!(first.status, 200, "{first:?}");
        site.agents.remove(0).stop().unwrap();
        let agent = site
            .start_service_agent(0, site.services[0].address())
            .unwrap();
        site.agents.push(agent);
        let mut repeated = confirm(&caller, entry, "pickup-14", "bin 14").await;
        for _ in 0..READY_ATTEMPTS {
            if repeated.status == 200 {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
            repeated = confirm(&caller, entry, "pickup-14", "bin 14").await;
        }
        assert_eq!(
            (repeated.status, repeated.replayed),
            (200, true),
            "{repeated:?}"
        );
        assert_eq!(repeated.body, first.body);
        assert_eq!(executions(&site.services, "pickup-14"), 1);
        site.stop().unwrap();
    });
}
