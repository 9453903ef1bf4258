//! Following an engine through its observer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lentil_core::{Span, Time, TokenCount};
use lentil_fleet::{EngineReport, EngineStage};
use lentil_shell::{BootClock, BoundedSender};
use lentil_wire::v1;
use lentil_wire::v1::observer_client::ObserverClient;
use tonic::transport::Endpoint;

use crate::control::{ControlOptions, Update};
use crate::endpoints::EndpointClient;
use crate::poison::CrashReports;
use crate::relayed_log::RelayDirectory;
use crate::rollout_exchange::OrderEvidence;

/// Longest wait for a connection to an observer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a message after which an observer is considered lost. It sends
/// one at least every second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Delay between connection attempts. The engine itself is queried once before
/// each delay.
const RETRY_INTERVAL: Duration = Duration::from_millis(900);

/// The addresses of an engine and its observer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FollowTarget {
    pub(crate) engine: SocketAddr,
    pub(crate) observer: SocketAddr,
}

/// Follows an engine until the update queue closes.
pub(crate) async fn follow(
    target: FollowTarget,
    options: ControlOptions,
    engine_client: Rc<dyn EndpointClient>,
    relays: Rc<RelayDirectory>,
    outbox: BoundedSender<Update>,
) {
    let mut lost = false;
    loop {
        match follow_observer(target, &options, &relays, &outbox, &mut lost).await {
            Ok(()) => return,
            Err(status) => {
                if !lost {
                    log::info!(engine:% = target.engine; "connection to the observer lost: {status}");
                }
                lost = true;
            }
        }
        let now = options.clock.now();
        if let Ok(report) = engine_client.inspect(target.engine, now).await {
            publish(&outbox, target.engine, report).await;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn publish(
    outbox: &BoundedSender<Update>,
    address: SocketAddr,
    report: EngineReport,
) -> bool {
    outbox
        .send(Update::Report { address, report })
        .await
        .is_ok()
}

/// Forwards reports until the observer is lost, which is an error, or the update
/// queue is closed.
async fn follow_observer(
    target: FollowTarget,
    options: &ControlOptions,
    relays: &RelayDirectory,
    outbox: &BoundedSender<Update>,
    lost: &mut bool,
) -> Result<(), tonic::Status> {
    let unavailable = |text: String| tonic::Status::unavailable(text);
    let endpoint = Endpoint::from_shared(format!("http://{}", target.observer))
        .map_err(|error| unavailable(error.to_string()))?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true);
    let channel = tokio::time::timeout(CONNECT_TIMEOUT, endpoint.connect())
        .await
        .map_err(|_| unavailable("connecting timed out".into()))?
        .map_err(|error| unavailable(error.to_string()))?;
    let request = v1::FollowRequest {
        entry: options.name.clone(),
    };
    let mut client = ObserverClient::new(channel);
    let opened = tokio::time::timeout(SILENCE_TIMEOUT, client.follow(request)).await;
    let mut messages = opened
        .map_err(|_| unavailable("no response in time".into()))??
        .into_inner();
    if std::mem::take(lost) {
        log::info!(engine:% = target.engine; "reconnected to the observer");
    }
    loop {
        let message = tokio::time::timeout(SILENCE_TIMEOUT, messages.message())
            .await
            .map_err(|_| unavailable("no message in time".into()))??
            .ok_or_else(|| unavailable("the stream ended".into()))?;
        relays.record_gateways(options.clock.now(), message.followers);
        let reports = CrashReports::from_wire(&message.rumours, &message.part_crashes);
        if !reports.is_empty() && outbox.send(Update::CrashReports(reports)).await.is_err() {
            return Ok(());
        }
        let rollouts = OrderEvidence::from_wire(&message.rollouts);
        if !rollouts.is_empty()
            && outbox
                .send(Update::RolloutEvidence(rollouts))
                .await
                .is_err()
        {
            return Ok(());
        }
        if let Some(report) = from_wire(options.clock, &message)
            && !publish(outbox, target.engine, report).await
        {
            return Ok(());
        }
    }
}

/// Converts a report from its wire form. Returns `None` if the engine was
/// unreachable.
fn from_wire(clock: BootClock, message: &v1::EngineReport) -> Option<EngineReport> {
    if !message.reachable {
        return None;
    }
    let now: Time = clock.now();
    let stage = if message.leaving {
        EngineStage::Leaving {
            at: message.gone_in_ms.map(|ms| now + Span::from_ms(ms)),
        }
    } else {
        EngineStage::Serving
    };
    Some(EngineReport {
        stage,
        started_at_ms: message.born_ms,
        running: message.running,
        waiting: message.waiting,
        memory_used: TokenCount::new(message.memory_used_tokens),
        memory_total: TokenCount::new(message.memory_total_tokens),
        followers: message.followers,
        token_interval: message.token_interval_us.map(|us| Span::from_us(us.into())),
        prefilling: message.prefilling,
        next_prompt: message.next_prompt_tokens.map(TokenCount::new),
        runs: Vec::new(),
        announced_runs: message.announced_runs,
        announced_prompt: TokenCount::new(message.announced_prompt_tokens),
    })
}
