//! Detection of requests, and of parts of prompts, that crash the endpoints that run them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lentil_core::{BootId, Fingerprint, PromptPartId, Time};
use lentil_fleet::PlacedRequest;
use lentil_poison::{
    CrashId, CrashingParts, Evidence, Limits, PartCrash, PartLimits, PartSuspects, SuspectRecord,
    Suspects, Verdict,
};
use lentil_wire::v1;
use lentil_wire::v1::observer_client::ObserverClient;
use tokio::net::TcpStream;
use tonic::transport::Endpoint;

use crate::attempt::Job;
use crate::gateway::Gateway;
use crate::request::RequestId;
use crate::rollout_evidence::ActiveRequest;

/// Timeout for notifying an observer.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(800);
/// Connect timeout for an endpoint that may have crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Reports of crashes, from this gateway or from others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct CrashReports {
    pub(crate) requests: Vec<SuspectRecord>,
    pub(crate) parts: Vec<PartCrash>,
}

impl CrashReports {
    /// Parses reports from their wire form. Malformed ones are logged and left out.
    pub(crate) fn from_wire(requests: &[String], parts: &[String]) -> Self {
        Self {
            requests: parse_all(requests),
            parts: parse_all(parts),
        }
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.requests.is_empty() && self.parts.is_empty()
    }
}

fn parse_all<T>(texts: &[String]) -> Vec<T>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    let parse = |text: &String| {
        text.parse()
            .inspect_err(
                |error| log::warn!(text = text.as_str(); "malformed crash report: {error}"),
            )
            .ok()
    };
    texts.iter().filter_map(parse).collect()
}

impl From<&CrashReports> for v1::AccuseRequest {
    fn from(reports: &CrashReports) -> Self {
        Self {
            rumours: reports.requests.iter().map(ToString::to_string).collect(),
            part_crashes: reports.parts.iter().map(ToString::to_string).collect(),
        }
    }
}

/// The requests and parts of prompts that are suspected of crashing endpoints, as known to
/// one process.
#[derive(Debug)]
pub(crate) struct CrashSuspects {
    requests: Suspects,
    parts: PartSuspects,
}

impl Default for CrashSuspects {
    fn default() -> Self {
        Self {
            requests: Suspects::new(Limits::default()),
            parts: PartSuspects::new(PartLimits::default()),
        }
    }
}

impl CrashSuspects {
    pub(crate) fn merge(&mut self, now: Time, reports: &CrashReports) {
        for report in &reports.requests {
            self.requests.merge_record(now, report);
        }
        for report in &reports.parts {
            self.parts.merge_record(now, report);
        }
        self.expire(now);
    }

    pub(crate) fn expire(&mut self, now: Time) {
        self.requests.expire(now);
        self.parts.expire(now);
    }

    /// All that is known, to be sent to other processes.
    pub(crate) fn reports(&self) -> CrashReports {
        CrashReports {
            requests: self.requests.records(),
            parts: self.parts.records(),
        }
    }
}

/// Why a request must not run, and until when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PoisonRefusal {
    pub(crate) until: Time,
    pub(crate) reason: &'static str,
}

/// The suspects known to this gateway.
#[derive(Debug, Default)]
pub(crate) struct PoisonTracker {
    suspects: RefCell<CrashSuspects>,
}

impl PoisonTracker {
    /// Why a request must not run; `None` if it may.
    pub(crate) fn refusal(&self, now: Time, job: &Job) -> Option<PoisonRefusal> {
        let suspects = self.suspects.borrow();
        if let Some(until) = suspects.requests.refused_until(job.fingerprint) {
            let reason = "the request crashes endpoints";
            return Some(PoisonRefusal { until, reason });
        }
        let until = suspects.parts.refused_until(now, job.shared_parts())?;
        let reason = "a part of the prompt crashes endpoints";
        Some(PoisonRefusal { until, reason })
    }

    /// Whether a request is suspected of crashing endpoints.
    pub(crate) fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.borrow().requests.verdict(fingerprint) != Verdict::Clear
    }

    pub(crate) fn merge_reports(&self, now: Time, reports: &CrashReports) {
        self.update(|suspects| suspects.merge(now, reports));
    }

    /// Clears a request of suspicion after it completed successfully.
    pub(crate) fn clear(&self, fingerprint: Fingerprint) {
        let mut suspects = self.suspects.borrow_mut();
        if suspects.requests.verdict(fingerprint) != Verdict::Clear {
            suspects.requests.on_success(fingerprint);
        }
    }

    /// Clears parts of suspicion on which an engine has answered. Returns the reports for
    /// other gateways.
    fn clear_parts(&self, parts: &[PromptPartId]) -> CrashReports {
        let parts = self.update(|suspects| suspects.parts.clear(parts));
        CrashReports {
            parts,
            ..CrashReports::default()
        }
    }

    /// Returns the report of a request.
    fn report_for(&self, fingerprint: Fingerprint) -> Option<SuspectRecord> {
        let reports = self.suspects.borrow().requests.records();
        reports
            .into_iter()
            .find(|report| report.fingerprint == fingerprint)
    }

    /// All reports, for observers that don't have them.
    pub(crate) fn reports(&self) -> CrashReports {
        self.suspects.borrow().reports()
    }

    fn update<T>(&self, action: impl FnOnce(&mut CrashSuspects) -> T) -> T {
        let mut suspects = self.suspects.borrow_mut();
        let combinations = |suspects: &CrashSuspects| -> Vec<_> {
            let crashing = suspects.parts.crashing().iter();
            crashing.map(|crashing| crashing.parts.clone()).collect()
        };
        let before = combinations(&suspects);
        let result = action(&mut suspects);
        if combinations(&suspects) != before {
            let crashing: Vec<_> = suspects.parts.crashing().iter().map(describe).collect();
            log::warn!(parts = crashing.join("; ").as_str(); "refused parts of prompts changed");
        }
        result
    }
}

fn describe(crashing: &CrashingParts) -> String {
    let parts = crashing.parts.iter().map(ToString::to_string);
    parts.collect::<Vec<_>>().join(",")
}

/// How much of an answer had arrived when its connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerProgress {
    /// Nothing.
    None,
    /// The head, and no event.
    Head,
    /// The first events.
    FirstEvents,
    /// Events for long enough that the answer had not just begun.
    Established,
}

impl AnswerProgress {
    /// How strongly a request is suspected of a crash in which its answer was lost.
    const fn evidence(self) -> Option<Evidence> {
        match self {
            Self::None | Self::FirstEvents => Some(Evidence::Present),
            Self::Head => Some(Evidence::AnswerBegun),
            Self::Established => None,
        }
    }
}

/// A request whose connection to its endpoint broke.
#[derive(Debug, Clone)]
pub(crate) struct LostAnswer {
    request: RequestId,
    place: PlacedRequest,
    fingerprint: Fingerprint,
    parts: Vec<PromptPartId>,
    progress: AnswerProgress,
}

impl LostAnswer {
    pub(crate) fn new(job: &Job, place: &PlacedRequest, progress: AnswerProgress) -> Self {
        Self {
            request: job.request.id.clone(),
            place: place.clone(),
            fingerprint: job.fingerprint,
            parts: job.shared_parts().to_vec(),
            progress,
        }
    }

    fn reports(&self, crash: CrashId) -> CrashReports {
        let request = SuspectRecord {
            fingerprint: self.fingerprint,
            crashes: BTreeMap::from([(crash, false)]),
            cleared: BTreeSet::new(),
        };
        let evidence = self.progress.evidence();
        let parts = evidence.filter(|_| !self.parts.is_empty());
        let parts = parts.map(|evidence| PartCrash {
            crash,
            evidence,
            parts: self.parts.iter().copied().collect(),
            cleared: BTreeSet::new(),
        });
        CrashReports {
            requests: vec![request],
            parts: parts.into_iter().collect(),
        }
    }
}

/// Checks the endpoint of a request whose connection broke. If the endpoint no
/// longer accepts connections, it crashed while running the request, and all
/// gateways are informed.
pub(crate) async fn report_if_crashed(gateway: &Gateway, lost: &LostAnswer) {
    let place = &lost.place;
    if gateway
        .fleet
        .borrow()
        .terminates_at(&place.endpoint)
        .is_some()
        || accepts_connections(place.address).await
    {
        return;
    }
    let started_at_ms = gateway.fleet.borrow().started_at_ms(&place.endpoint);
    let crash = CrashId::of(&place.endpoint, BootId::new(started_at_ms));
    log::info!(
        request:% = lost.request,
        endpoint:% = place.endpoint,
        fingerprint:% = lost.fingerprint,
        parts = parts_text(&lost.parts).as_str(),
        progress:? = lost.progress,
        crash:% = crash;
        "endpoint crashed while running a request"
    );
    let mut reports = lost.reports(crash);
    gateway.poison.merge_reports(gateway.now(), &reports);
    // Peers may lack earlier crashes of the request.
    reports.requests = gateway
        .poison
        .report_for(lost.fingerprint)
        .into_iter()
        .collect();
    notify_observers(&reports, gateway.common_observers());
}

/// Like [`report_if_crashed`], but does not delay the response to the caller. Counts the
/// lost answer against the endpoint's version unless the request is then suspected.
pub(crate) fn spawn_crash_check(
    gateway: &Rc<Gateway>,
    lost: LostAnswer,
    unsettled: Option<ActiveRequest>,
) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        report_if_crashed(&gateway, &lost).await;
        gateway.record_version_failure(lost.fingerprint, unsettled);
    });
}

/// Clears the parts of a prompt on which an engine has answered, at all gateways.
pub(crate) fn clear_parts(gateway: &Gateway, parts: &[PromptPartId]) {
    let reports = gateway.poison.clear_parts(parts);
    notify_observers(&reports, gateway.common_observers());
}

/// The parts of a prompt, for the log.
pub(crate) fn parts_text(parts: &[PromptPartId]) -> String {
    let parts = parts.iter().map(ToString::to_string);
    parts.collect::<Vec<_>>().join(",")
}

async fn accepts_connections(address: SocketAddr) -> bool {
    let connected = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Ok(_)))
}

/// Sends reports to observers, which pass them on to the gateways that follow them.
pub(crate) fn notify_observers(
    reports: &CrashReports,
    observers: impl IntoIterator<Item = SocketAddr>,
) {
    if reports.is_empty() {
        return;
    }
    for observer in observers {
        tokio::task::spawn_local(notify_observer(observer, reports.into()));
    }
}

async fn notify_observer(observer: SocketAddr, request: v1::AccuseRequest) {
    let notified = async {
        let endpoint = Endpoint::from_shared(format!("http://{observer}"))
            .map_err(|error| tonic::Status::unavailable(error.to_string()))?;
        let channel = endpoint
            .connect()
            .await
            .map_err(|error| tonic::Status::unavailable(error.to_string()))?;
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
