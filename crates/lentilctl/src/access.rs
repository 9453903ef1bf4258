//! Access to the platform's services and the system's processes.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use bpaf::Parser;
use eyre::Context;
use futures_util::{StreamExt, stream};
use lentil_config::{ConfigLedger, Digest, Exchange, Update};
use lentil_control::{exchange_with_peer, read_configuration};
use lentil_core::{ConfigVersion, EndpointId, ProcessId, Span};
use lentil_platform::{ClientOptions, HostList, HostRecord, HttpHostList, HttpLog};
use lentil_settings::{Identity, Secret, Security};
use lentil_shell::PeerConnector;

use crate::output::Output;

/// Number of processes that are queried concurrently.
const CONCURRENT_QUERIES_MAX: usize = 32;
/// Number of processes that an accepted change is sent to immediately.
const NOTIFIED_PROCESSES: usize = 3;

/// Options of all commands.
#[derive(Debug, Clone)]
pub(crate) struct AccessOptions {
    log_url: String,
    host_list_url: String,
    peer_key_file: Option<PathBuf>,
    identity: Option<(PathBuf, PathBuf)>,
    authority_file: Option<PathBuf>,
    timeout_s: u64,
    /// Output format.
    pub(crate) output: Output,
}

/// Returns the parser of these options.
pub(crate) fn options() -> impl Parser<AccessOptions> {
    let log_url = bpaf::long("log-url")
        .env("LENTILCTL_LOG_URL")
        .help("Base URL of the log service")
        .argument::<String>("URL")
        .fallback("http://127.0.0.1:7100".to_owned());
    let host_list_url = bpaf::long("host-list-url")
        .env("LENTILCTL_HOST_LIST_URL")
        .help("Base URL of the host list")
        .argument::<String>("URL")
        .fallback("http://127.0.0.1:7101".to_owned());
    let peer_key_file = bpaf::long("peer-key-file")
        .env("LENTILCTL_PEER_KEY_FILE")
        .help("File with the key that the system's processes use to authenticate to each other")
        .argument::<PathBuf>("FILE")
        .optional();
    let authority_file = bpaf::long("authority")
        .help("PEM file with the authorities that processes' certificates are checked against")
        .argument::<PathBuf>("FILE")
        .optional();
    let timeout_s = bpaf::long("timeout")
        .help("Timeout for the log, and with --wait for all processes, in seconds")
        .argument::<u64>("SECONDS")
        .fallback(30);
    let output = bpaf::long("output")
        .help("Output format: table or json")
        .argument::<Output>("FORM")
        .fallback(Output::Table);
    let identity = identity().optional();
    bpaf::construct!(AccessOptions {
        log_url,
        host_list_url,
        peer_key_file,
        identity,
        authority_file,
        timeout_s,
        output
    })
}

fn identity() -> impl Parser<(PathBuf, PathBuf)> {
    let certificate = bpaf::long("certificate")
        .help("PEM file with the client certificate for connections to processes")
        .argument::<PathBuf>("FILE");
    let private_key = bpaf::long("private-key")
        .help("PEM file with the private key of the certificate")
        .argument::<PathBuf>("FILE");
    bpaf::construct!(certificate, private_key)
}

fn read_key(path: &Path) -> eyre::Result<Secret> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("reading the peer key from {}", path.display()))?;
    Ok(Secret::new(text.trim().to_owned()))
}

/// Clients of the platform's services and connections to processes.
pub(crate) struct Access {
    pub(crate) log: HttpLog,
    pub(crate) timeout: Span,
    pub(crate) output: Output,
    hosts: HttpHostList,
    linker: PeerConnector,
    name: ProcessId,
}

impl Access {
    pub(crate) async fn new(options: &AccessOptions) -> eyre::Result<Self> {
        let client = |url: &str| ClientOptions {
            base_url: url.to_owned(),
            timeout: Span::from_s(2),
        };
        let identity = options.identity.clone();
        let security = Security {
            peer_key: options.peer_key_file.as_deref().map(read_key).transpose()?,
            operator_key: None,
            anonymous_callers: false,
            identity: identity.map(|(certificate_file, private_key_file)| Identity {
                certificate_file,
                private_key_file,
            }),
            authority_file: options.authority_file.clone(),
        };
        Ok(Self {
            log: HttpLog::new(&client(&options.log_url)).await?,
            hosts: HttpHostList::new(&client(&options.host_list_url)).await?,
            linker: PeerConnector::new(&security)?,
            timeout: Span::from_s(options.timeout_s),
            output: options.output,
            name: "lentilctl".parse()?,
        })
    }

    /// Reads the configuration from the log.
    pub(crate) async fn ledger(&self) -> eyre::Result<ConfigLedger> {
        Ok(read_configuration(&self.log, self.timeout).await?)
    }

    /// Reads the host list.
    pub(crate) async fn hosts(&self) -> eyre::Result<Vec<HostRecord>> {
        Ok(self.hosts.hosts().await?)
    }

    /// Queries the version that each process has in force; `None` for a process
    /// that did not respond.
    pub(crate) async fn versions(
        &self,
        hosts: &[HostRecord],
    ) -> BTreeMap<EndpointId, Option<ConfigVersion>> {
        let query_version = |host: HostRecord| async move {
            let response = self.query(&host, Digest::default(), None).await;
            (host.process, response.map(|digest| digest.version))
        };
        stream::iter(hosts.iter().cloned().map(query_version))
            .buffer_unordered(CONCURRENT_QUERIES_MAX)
            .collect()
            .await
    }

    /// Sends a change that the log has accepted to a few processes immediately,
    /// starting at a random one.
    pub(crate) async fn notify_processes(&self, hosts: &[HostRecord], ledger: &ConfigLedger) {
        let first: usize = rand::random_range(0..hosts.len().max(1));
        for host in hosts
            .iter()
            .cycle()
            .skip(first)
            .take(NOTIFIED_PROCESSES.min(hosts.len()))
        {
            let update = ledger.last_change();
            let _ = self.query(host, ledger.digest(), update).await;
        }
    }

    async fn query(
        &self,
        host: &HostRecord,
        digest: Digest,
        update: Option<Update>,
    ) -> Option<Digest> {
        let message = Exchange {
            sender: self.name.clone(),
            digest,
            update,
            follow_up: true,
        };
        let address = host.peers.to_string();
        let response = exchange_with_peer(&self.linker, &address, message).await;
        response.ok().map(|response| response.digest)
    }
}
