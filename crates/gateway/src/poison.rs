//! Detection of requests that crash the endpoints that run them.

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

use crate::attempt::Job;
use crate::gateway::Gateway;
use crate::request::RequestId;

/// Timeout for notifying an observer.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(800);
/// Connect timeout for an endpoint that may have crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// The requests that are suspected of crashing endpoints, as known to this gateway.
#[derive(Debug)]
pub(crate) struct PoisonTracker {
    suspects: RefCell<Suspects>,
}

impl Default for PoisonTracker {
    fn default() -> Self {
        Self {
            suspects: RefCell::new(Suspects::new(Limits::default())),
        }
    }
}

impl PoisonTracker {
    pub(crate) fn refuses(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.borrow().verdict(fingerprint) == Verdict::Refused
    }

    pub(crate) fn merge_reports(&self, now: Time, reports: &[SuspectRecord]) {
        let mut suspects = self.suspects.borrow_mut();
        for report in reports {
            suspects.merge_record(now, report);
        }
        suspects.expire(now);
    }

    /// Clears a request of suspicion after it completed successfully.
    pub(crate) fn clear(&self, fingerprint: Fingerprint) {
        let mut suspects = self.suspects.borrow_mut();
        if suspects.verdict(fingerprint) != Verdict::Clear {
            suspects.on_success(fingerprint);
        }
    }

    /// Returns the report of a request in its wire form.
    fn report_for(&self, fingerprint: Fingerprint) -> Option<String> {
        let reports = self.suspects.borrow().records();
        let report = reports
            .into_iter()
            .find(|report| report.fingerprint == fingerprint)?;
        Some(report.to_string())
    }
}

/// How much of an answer had arrived when its connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerProgress {
    /// Nothing.
    None,
    /// The head, and no event.
    Head,
    /// The head and one event or more.
    Events,
}

/// A request whose connection to its endpoint broke.
#[derive(Debug, Clone)]
pub(crate) struct LostAnswer {
    request: RequestId,
    place: PlacedRequest,
    fingerprint: Fingerprint,
    parts_text: String,
    progress: AnswerProgress,
}

impl LostAnswer {
    pub(crate) fn new(job: &Job, place: &PlacedRequest, progress: AnswerProgress) -> Self {
        Self {
            request: job.request.id.clone(),
            place: place.clone(),
            fingerprint: job.fingerprint,
            parts_text: job.shared_parts_text(),
            progress,
        }
    }
}

/// Checks the endpoint of a request whose connection broke. If the endpoint no
/// longer accepts connections, it crashed while running the request, and all
/// gateways are informed.
pub(crate) async fn report_if_crashed(gateway: &Gateway, lost: &LostAnswer) {
    let (place, fingerprint) = (&lost.place, lost.fingerprint);
    if gateway
        .fleet
        .borrow()
        .terminates_at(&place.endpoint)
        .is_some()
        || accepts_connections(place.address).await
    {
        return;
    }
    let now = gateway.now();
    let started_at_ms = gateway.fleet.borrow().started_at_ms(&place.endpoint);
    let crash = CrashId::of(&place.endpoint, BootId::new(started_at_ms));
    let report = SuspectRecord {
        fingerprint,
        crashes: BTreeMap::from([(crash, false)]),
        cleared: BTreeSet::new(),
    };
    gateway.poison.merge_reports(now, &[report]);
    log::info!(
        request:% = lost.request,
        endpoint:% = place.endpoint,
        fingerprint:% = fingerprint,
        parts = lost.parts_text.as_str(),
        progress:? = lost.progress,
        crash:% = crash;
        "endpoint crashed while running a request"
    );
    if let Some(report) = gateway.poison.report_for(fingerprint) {
        for observer in gateway.common_observers() {
            tokio::task::spawn_local(notify_observer(observer, report.clone()));
        }
    }
}

/// Like [`report_if_crashed`], but does not delay the response to the caller.
pub(crate) fn spawn_crash_check(gateway: &Rc<Gateway>, lost: LostAnswer) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        report_if_crashed(&gateway, &lost).await;
    });
}

async fn accepts_connections(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}

async fn notify_observer(observer: SocketAddr, report: String) {
    let notified = async {
        let endpoint = Endpoint::from_shared(format!("http://{observer}"))
            .map_err(|error| tonic::Status::unavailable(error.to_string()))?;
        let channel = endpoint
            .connect()
            .await
            .map_err(|error| tonic::Status::unavailable(error.to_string()))?;
        let request = v1::AccuseRequest {
            rumours: vec![report],
        };
        ObserverClient::new(channel).accuse(request).await
    };
    match tokio::time::timeout(NOTIFY_TIMEOUT, notified).await {
        Ok(Ok(_)) => {}
        Ok(Err(status)) => {
            log::info!(observer:% = observer; "crash report not accepted: {status}");
        }
        Err(_) => log::info!(observer:% = observer; "crash report not accepted in time"),
    }
}
