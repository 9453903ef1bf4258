//! Requests that crash the endpoints which run them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lentil_core::{BootId, Fingerprint, Time};
use lentil_fleet::PlacedRequest;
use lentil_poison::{CrashId, Limits, SuspectRecord, Suspects, Verdict};
use lentil_wire::v1;
use lentil_wire::v1::observer_client::ObserverClient;
use tokio::net::TcpStream;
use tonic::transport::Endpoint;

use crate::gateway::Gateway;

/// Observers that are told of a crash; each gateway follows all of them.
const TOLD: usize = 3;
/// Longest wait for an observer to take word.
const TELL_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest wait for an endpoint that may have crashed to accept a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// What this gateway knows of such requests.
#[derive(Debug)]
pub(crate) struct Poison {
    suspects: RefCell<Suspects>,
}

impl Default for Poison {
    fn default() -> Self {
        Self {
            suspects: RefCell::new(Suspects::new(Limits::default())),
        }
    }
}

impl Poison {
    pub(crate) fn refuses(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.borrow().verdict(fingerprint) == Verdict::Refused
    }

    pub(crate) fn hear(&self, now: Time, rumours: &[SuspectRecord]) {
        let mut suspects = self.suspects.borrow_mut();
        for rumour in rumours {
            suspects.merge_record(now, rumour);
        }
        suspects.expire(now);
    }

    /// A request ran to a good end, so it crashes nothing.
    pub(crate) fn clear(&self, fingerprint: Fingerprint) {
        let mut suspects = self.suspects.borrow_mut();
        if suspects.verdict(fingerprint) != Verdict::Clear {
            suspects.on_success(fingerprint);
        }
    }

    /// Word of this request, for others.
    fn rumour(&self, fingerprint: Fingerprint) -> Option<String> {
        let rumours = self.suspects.borrow().records();
        let rumour = rumours
            .into_iter()
            .find(|rumour| rumour.fingerprint == fingerprint)?;
        Some(rumour.to_string())
    }
}

/// A request's connection broke: if its endpoint no longer accepts any, the
/// request was on board of a crash, and all gateways hear of it.
pub(crate) async fn suspect(gateway: &Gateway, place: &PlacedRequest, fingerprint: Fingerprint) {
    if gateway
        .fleet
        .borrow()
        .terminates_at(&place.endpoint)
        .is_some()
        || accepts(place.address).await
    {
        return;
    }
    let now = gateway.now();
    let born = gateway.fleet.borrow().started_at_ms(&place.endpoint);
    let crash = CrashId::of(&place.endpoint, BootId::new(born));
    let rumour = SuspectRecord {
        fingerprint,
        crashes: BTreeMap::from([(crash, false)]),
        cleared: BTreeSet::new(),
    };
    gateway.poison.hear(now, &[rumour]);
    log::info!(
        endpoint:% = place.endpoint,
        fingerprint:% = fingerprint,
        crash:% = crash;
        "a request was on board of a crash"
    );
    if let Some(rumour) = gateway.poison.rumour(fingerprint) {
        for observer in gateway.some_observers(TOLD) {
            tokio::task::spawn_local(tell(observer, rumour.clone()));
        }
    }
}

/// The same, while its caller is answered.
pub(crate) fn suspect_later(
    gateway: &Rc<Gateway>,
    place: &PlacedRequest,
    fingerprint: Fingerprint,
) {
    let gateway = Rc::clone(gateway);
    let place = place.clone();
    tokio::task::spawn_local(async move {
        suspect(&gateway, &place, fingerprint).await;
    });
}

async fn accepts(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}

async fn tell(observer: SocketAddr, rumour: String) {
    let told = async {
        let endpoint = Endpoint::from_shared(format!("http://{observer}"))
            .map_err(|error| tonic::Status::unavailable(error.to_string()))?;
        let channel = endpoint
            .connect()
            .await
            .map_err(|error| tonic::Status::unavailable(error.to_string()))?;
        let request = v1::AccuseRequest {
            rumours: vec![rumour],
        };
        ObserverClient::new(channel).accuse(request).await
    };
    match tokio::time::timeout(TELL_TIMEOUT, told).await {
        Ok(Ok(_)) => {}
        Ok(Err(status)) => {
            log::info!(observer:% = observer; "word of a crash was not taken: {status}");
        }
        Err(_) => log::info!(observer:% = observer; "word of a crash was not taken in time"),
    }
}
