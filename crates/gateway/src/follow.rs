//! Following one engine through its observer.

use std::cell::Cell;
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

/// Longest wait for a connection to an observer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Silence after which an observer is given up; it speaks every second.
const SILENCE_MAX: Duration = Duration::from_millis(2_200);
/// Pause between two tries, in which the engine itself is asked once.
const PAUSE: Duration = Duration::from_millis(900);

/// An engine and its observer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Target {
    pub(crate) engine: SocketAddr,
    pub(crate) observer: SocketAddr,
}

/// Follows an engine until it is dropped.
pub(crate) async fn follow(
    target: Target,
    options: ControlOptions,
    engines: Rc<dyn EndpointClient>,
    entries: Rc<Cell<u32>>,
    outbox: BoundedSender<Update>,
) {
    let mut lost = false;
    loop {
        match listen(target, &options, &entries, &outbox, &mut lost).await {
            Ok(()) => return,
            Err(status) => {
                if !lost {
                    log::info!(engine:% = target.engine; "its observer is lost: {status}");
                }
                lost = true;
            }
        }
        let now = options.clock.now();
        if let Ok(report) = engines.inspect(target.engine, now).await {
            put(&outbox, target.engine, report).await;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn put(outbox: &BoundedSender<Update>, address: SocketAddr, report: EngineReport) -> bool {
    outbox
        .send(Update::Report { address, report })
        .await
        .is_ok()
}

/// Listens until the observer is lost, or nobody takes updates any more.
async fn listen(
    target: Target,
    options: &ControlOptions,
    entries: &Cell<u32>,
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
        .map_err(|_| unavailable("no connection in time".into()))?
        .map_err(|error| unavailable(error.to_string()))?;
    let request = v1::FollowRequest {
        entry: options.name.clone(),
    };
    let mut client = ObserverClient::new(channel);
    let opened = tokio::time::timeout(SILENCE_MAX, client.follow(request)).await;
    let mut reports = opened
        .map_err(|_| unavailable("no answer in time".into()))??
        .into_inner();
    if std::mem::take(lost) {
        log::info!(engine:% = target.engine; "its observer is back");
    }
    loop {
        let message = tokio::time::timeout(SILENCE_MAX, reports.message())
            .await
            .map_err(|_| unavailable("it is silent".into()))??
            .ok_or_else(|| unavailable("it ended".into()))?;
        entries.set(message.followers);
        if !message.rumours.is_empty() {
            let rumours = message.rumours.iter();
            let rumours = rumours.filter_map(|text| text.parse().ok()).collect();
            if outbox.send(Update::Rumours(rumours)).await.is_err() {
                return Ok(());
            }
        }
        if let Some(report) = read(options.clock, &message)
            && !put(outbox, target.engine, report).await
        {
            return Ok(());
        }
    }
}

/// A report in the words of the table; `None` where the engine was silent.
fn read(clock: BootClock, message: &v1::EngineReport) -> Option<EngineReport> {
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
    })
}
