//! TLS and peer keys on callers' connections and on the system's own.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use lentil_fakes::{EngineOptions, FakeEngine, FakeHostList, HostListOptions};
use ntex::client::{Client, Connector};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;

use crate::caller::{Caller, block_on, completion, read_events, texts};

struct Files {
    authority: PathBuf,
    certificate: PathBuf,
    key: PathBuf,
}

fn files(test: &str) -> Files {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    std::fs::create_dir_all(&folder).unwrap();
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap();
    let key = KeyPair::generate().unwrap();
    let names = vec!["lentiltray".to_owned(), "localhost".to_owned()];
    let params = CertificateParams::new(names).unwrap();
    let certificate = params.signed_by(&key, &issuer).unwrap();
    let write = |name: &str, text: String| {
        let path = folder.join(name);
        std::fs::write(&path, text).unwrap();
        path
    };
    Files {
        authority: write("authority.pem", issuer.pem()),
        certificate: write("certificate.pem", certificate.pem()),
        key: write("key.pem", key.serialize_pem()),
    }
}

fn security(files: &Files, peer_key: &str) -> String {
    format!(
        "security:\n  anonymous_callers: true\n  peer_key: {peer_key}\n  \
         certificate_file: {}\n  private_key_file: {}\n  authority_file: {}\n",
        files.certificate.display(),
        files.key.display(),
        files.authority.display(),
    )
}

struct EntryAndAgent {
    entry: lentil_entry::Entry,
    _agent: lentil_agent::Agent,
    engine: FakeEngine,
    _hosts: FakeHostList,
}

/// Starts an agent and an entry in this process, each with its own security settings.
fn start(agent_security: &str, entry_security: &str) -> EntryAndAgent {
    let engine = FakeEngine::start(EngineOptions::default()).unwrap();
    let hosts = FakeHostList::start(HostListOptions::default()).unwrap();
    let common = |name: &str, security: &str| {
        format!(
            "name: {name}\nhost: h\nzone: z\nregion: r\nlisten: {{callers: 127.0.0.1:0}}\n\
             platform: {{host_list_url: 'http://{}', poll_interval_ms: 50}}\n{security}",
            hosts.address()
        )
    };
    let agent = format!(
        "{}agent: {{kind: engine, endpoint_url: 'http://{}', models: [lentil-small]}}\n",
        common("engine", agent_security),
        engine.address(),
    );
    let entry = format!("{}entry: {{}}\n", common("entry", entry_security));
    let agent = lentil_agent::Agent::start(&lentil_settings::parse(&agent).unwrap()).unwrap();
    let entry = lentil_entry::Entry::start(&lentil_settings::parse(&entry).unwrap()).unwrap();
    EntryAndAgent {
        entry,
        _agent: agent,
        engine,
        _hosts: hosts,
    }
}

async fn tls_client(files: &Files) -> Client {
    let mut roots = rustls::RootCertStore::empty();
    let authority = CertificateDer::from_pem_file(&files.authority).unwrap();
    roots.add(authority).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    Client::builder()
        .connector::<()>(Connector::default().rustls(config))
        .disable_timeout()
        .build(ntex::SharedCfg::default())
        .await
        .unwrap()
}

#[test]
fn all_connections_encrypted() {
    let files = files("tls-whole");
    let text = security(&files, "a-peer-key-for-tests");
    let pair = start(&text, &text);
    let port = pair.entry.address().port();
    let expected = pair.engine.expected_tokens("a report", Some(7));
    block_on(async move {
        let client = tls_client(&files).await;
        let url = format!("https://localhost:{port}/v1/completions");
        let body = completion("a report", 7, true);
        for _ in 0..200 {
            let mut response = client.post(&url).send_json(&body).await.unwrap();
            if response.status().as_u16() == 200 {
                let events = read_events(&mut response, usize::MAX).await;
                assert_eq!(texts(&events), expected);
                return;
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
        panic!("the entry never became ready");
    });
    drop(pair);
}

#[test]
fn wrong_peer_key_runs_nothing() {
    let text = |key: &str| format!("security: {{anonymous_callers: true, peer_key: {key}}}\n");
    let pair = start(&text("the-agents-peer-key"), &text("another-peer-key-1"));
    let address = pair.entry.address();
    block_on(async move {
        let caller = Caller::new().await;
        let response = caller
            .complete(address, &completion("a report", 7, true))
            .await;
        assert_ne!(response.status().as_u16(), 200);
    });
    assert_eq!(pair.engine.stats().begun, 0);
}
