//! Operators' changes reach all processes, and a zone that is out gets no new work.

use std::collections::BTreeMap;
use std::time::Duration;

use lentil_config::{
    Change, ChangeRecord, ConfigurationFile, Exchange, KeyHash, Organisation, Preset, PresetLimits,
    PriorityWeights, PublishOutcome,
};
use lentil_control::{exchange_with_peer, publish_change};
use lentil_core::{ConfigVersion, Span, TokenCount, Weight};
use lentil_platform::{ClientOptions, HostList, HttpHostList, HttpLog};
use lentil_settings::Security;
use lentil_shell::PeerConnector;
use lentil_site::{MODEL, Site, SiteOptions};
use serde_json::json;

use crate::caller::{Caller, block_on, completion, read_events, texts};

const MAX_ATTEMPTS: u32 = 200;
const RETRY_DELAY: Duration = Duration::from_millis(50);
const PROCESS_COUNT: usize = 7;

fn client_options(address: std::net::SocketAddr) -> ClientOptions {
    ClientOptions {
        base_url: format!("http://{address}"),
        timeout: Span::from_s(2),
    }
}

fn initial_configuration() -> Change {
    let organisation = Organisation {
        keys: vec![KeyHash::of("secret")],
        ..Organisation::default()
    };
    Change::Replace(ConfigurationFile {
        in_force: "ordinary".parse().unwrap(),
        presets: BTreeMap::from([
            ("ordinary".parse().unwrap(), Preset::default()),
            ("maintenance".parse().unwrap(), maintenance_preset()),
        ]),
        organisations: BTreeMap::from([("parks-office".parse().unwrap(), organisation)]),
        zones_out: Vec::new(),
        endpoints_out: Vec::new(),
        old_system: None,
    })
}

fn linker() -> PeerConnector {
    PeerConnector::new(&Security {
        peer_key: None,
        operator_key: None,
        anonymous_callers: false,
        identity: None,
        authority_file: None,
    })
    .unwrap()
}

/// A preset that accepts no reports and limits generations to three tokens.
fn maintenance_preset() -> Preset {
    Preset {
        priorities: Some(PriorityWeights {
            report: Weight::ZERO,
            ..PriorityWeights::default()
        }),
        limits: Some(PresetLimits {
            tokens_max: TokenCount::new(3),
            ..PresetLimits::default()
        }),
        ..Preset::default()
    }
}

struct Operator {
    log: HttpLog,
    hosts: HttpHostList,
    linker: PeerConnector,
}

impl Operator {
    async fn apply(&self, id: &str, change: Change) -> ConfigVersion {
        let record = ChangeRecord {
            id: id.to_owned(),
            base: ConfigVersion::default(),
            by: "tanaka".to_owned(),
            why: "test".to_owned(),
            at_unix_ms: 0,
            change,
        };
        let (settled, _) = publish_change(&self.log, record, None, Span::from_s(20)).await;
        let PublishOutcome::Accepted(version) = settled else {
            panic!("{settled:?}");
        };
        version
    }

    /// Waits until `version` or a later one is in force in all processes.
    async fn wait_until_in_force(&self, version: ConfigVersion) {
        for _ in 0..MAX_ATTEMPTS {
            if self.count_in_force(version).await == PROCESS_COUNT {
                return;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        panic!("version {version} is not in force everywhere");
    }

    async fn count_in_force(&self, version: ConfigVersion) -> usize {
        let mut count = 0;
        for host in self.hosts.hosts().await.unwrap_or_default() {
            let request = Exchange {
                sender: "test".parse().unwrap(),
                digest: lentil_config::Digest::default(),
                update: None,
                follow_up: true,
            };
            let answer = exchange_with_peer(&self.linker, &host.peers.to_string(), request).await;
            count += usize::from(answer.is_ok_and(|answer| answer.digest.version >= version));
        }
        count
    }
}

#[test]
fn zone_is_taken_out_and_back_in() {
    let site = Site::start(SiteOptions::default()).unwrap();
    let address = site.entries[0].address();
    let (log, hosts) = (
        client_options(site.log.address()),
        client_options(site.hosts.address()),
    );
    let site = std::rc::Rc::new(site);
    let engines = std::rc::Rc::clone(&site);
    block_on(async move {
        let operator = Operator {
            log: HttpLog::new(&log).await.unwrap(),
            hosts: HttpHostList::new(&hosts).await.unwrap(),
            linker: linker(),
        };
        let generations_begun = |at: usize| engines.engines[at].stats().begun;
        let caller = Caller::new().await;
        caller
            .complete(address, &completion("warm", 1, false))
            .await;
        let version = operator.apply("first", initial_configuration()).await;
        operator.wait_until_in_force(version).await;
        // Engine 0 is in zone-a.
        let zone_out = Change::ZoneOut("zone-a".parse().unwrap());
        let version = operator.apply("out", zone_out).await;
        operator.wait_until_in_force(version).await;
        let (before, others_before) = (
            generations_begun(0),
            generations_begun(1) + generations_begun(2),
        );
        for _ in 0..12 {
            let body = completion("a verdict", 3, false);
            assert!(caller.complete(address, &body).await.status().is_success());
        }
        assert_eq!(
            generations_begun(0),
            before,
            "a zone that is out gets no new work"
        );
        assert!(generations_begun(1) + generations_begun(2) >= others_before + 12);
        let version = operator
            .apply("in", Change::ZoneIn("zone-a".parse().unwrap()))
            .await;
        operator.wait_until_in_force(version).await;
        for _ in 0..MAX_ATTEMPTS {
            caller
                .complete(address, &completion("a verdict", 3, false))
                .await;
            if generations_begun(0) > before {
                break;
            }
        }
        assert!(
            generations_begun(0) > before,
            "a zone that is in again gets work"
        );
    });
    std::rc::Rc::into_inner(site).unwrap().stop().unwrap();
}

#[test]
fn keys_identify_organisations() {
    let site = Site::start(SiteOptions::default()).unwrap();
    let address = site.entries[0].address();
    let (log, hosts) = (
        client_options(site.log.address()),
        client_options(site.hosts.address()),
    );
    block_on(async move {
        let operator = Operator {
            log: HttpLog::new(&log).await.unwrap(),
            hosts: HttpHostList::new(&hosts).await.unwrap(),
            linker: linker(),
        };
        let caller = Caller::new().await;
        caller
            .complete(address, &completion("warm", 1, false))
            .await;
        let version = operator.apply("first", initial_configuration()).await;
        operator.wait_until_in_force(version).await;
        for (key, status) in [("secret", 200), ("guess", 401)] {
            let body = json!({"model": MODEL, "prompt": "bins", "max_tokens": 2});
            let response = caller
                .client
                .post(format!("http://{address}/v1/completions"))
                .header("authorization", format!("Bearer {key}"))
                .send_json(&body)
                .await
                .unwrap();
            assert_eq!(response.status().as_u16(), status);
        }
    });
    site.stop().unwrap();
}

#[test]
fn preset_is_applied() {
    let site = Site::start(SiteOptions::default()).unwrap();
    let address = site.entries[0].address();
    let expected = site.engines[0].expected_tokens("bins", Some(3));
    let (log, hosts) = (
        client_options(site.log.address()),
        client_options(site.hosts.address()),
    );
    block_on(async move {
        let operator = Operator {
            log: HttpLog::new(&log).await.unwrap(),
            hosts: HttpHostList::new(&hosts).await.unwrap(),
            linker: linker(),
        };
        let caller = Caller::new().await;
        caller
            .complete(address, &completion("warm", 1, false))
            .await;
        let version = operator.apply("first", initial_configuration()).await;
        operator.wait_until_in_force(version).await;
        let change = Change::UsePreset("maintenance".parse().unwrap());
        let version = operator.apply("use", change).await;
        operator.wait_until_in_force(version).await;
        let report = caller
            .client
            .post(format!("http://{address}/v1/completions"))
            .header("x-priority", "report")
            .send_json(&completion("bins", 8, false))
            .await
            .unwrap();
        assert_eq!(report.status().as_u16(), 429);
        let mut answer = caller.complete(address, &completion("bins", 8, true)).await;
        let mut events = read_events(&mut answer, usize::MAX).await;
        events.retain(|event| event.id.is_some());
        assert_eq!(texts(&events), expected);
    });
    site.stop().unwrap();
}
