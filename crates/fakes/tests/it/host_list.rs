use lentil_core::Span;
use lentil_fakes::{FakeHostList, HostListOptions};
use lentil_platform::{
    ClientOptions, HostKind, HostList, HostRecord, HostRole, HostState, HttpHostList,
};

fn record() -> HostRecord {
    HostRecord {
        process: "lentil-writers-1".parse().unwrap(),
        role: HostRole::Agent,
        host: "host-1".parse().unwrap(),
        zone: "kurume-a".parse().unwrap(),
        region: "kyushu-north".parse().unwrap(),
        peers: "127.0.0.1:7000".parse().unwrap(),
        operations: "127.0.0.1:7001".parse().unwrap(),
        state: HostState::Live,
        kind: Some(HostKind::Engine),
        models: vec!["lentil-small".parse().unwrap()],
        service: None,
    }
}

async fn client(hosts: &FakeHostList) -> HttpHostList {
    let options = ClientOptions {
        base_url: format!("http://{}", hosts.address()),
        timeout: Span::from_s(5),
    };
    HttpHostList::new(&options).await.unwrap()
}

#[ntex::test]
async fn announced_host_is_not_listed_before_delay() {
    let hosts = FakeHostList::start(HostListOptions {
        propagation_delay: Span::from_s(3_600),
        ..HostListOptions::default()
    })
    .unwrap();
    let client = client(&hosts).await;
    client.announce(&record()).await.unwrap();
    assert_eq!(client.hosts().await.unwrap(), vec![]);
}

#[ntex::test]
async fn state_override_is_listed() {
    let hosts = FakeHostList::start(HostListOptions {
        propagation_delay: Span::ZERO,
        ..HostListOptions::default()
    })
    .unwrap();
    let client = client(&hosts).await;
    client.announce(&record()).await.unwrap();
    assert_eq!(client.hosts().await.unwrap(), vec![record()]);
    hosts.override_state("lentil-writers-1", HostState::Leaving);
    let leaving = HostRecord {
        state: HostState::Leaving,
        ..record()
    };
    assert_eq!(client.hosts().await.unwrap(), vec![leaving]);
}

#[ntex::test]
async fn unchanged_list_is_not_sent_again() {
    let hosts = FakeHostList::start(HostListOptions {
        propagation_delay: Span::ZERO,
        ..HostListOptions::default()
    })
    .unwrap();
    let client = client(&hosts).await;
    client.announce(&record()).await.unwrap();
    for _ in 0..5 {
        assert_eq!(client.hosts().await.unwrap(), vec![record()]);
        client.announce(&record()).await.unwrap();
    }
    assert_eq!(hosts.full_reads(), 1);
    hosts.override_state("lentil-writers-1", HostState::Leaving);
    let updated = client.hosts().await.unwrap();
    assert_eq!(updated[0].state, HostState::Leaving);
    assert_eq!(hosts.full_reads(), 2);
}
