//! The duty's thread.

use std::collections::BTreeMap;

use lentil_config::{
    ConfigSync as Decisions, ConfigSyncLimits, Exchange, Peer, SyncAction, SyncEvent,
};
use lentil_core::{ProcessId, Span};
use lentil_platform::{ClientOptions, HttpHostList, HttpLog};
use lentil_settings::Platform;
use lentil_shell::{Clock, Duty, Inbox, Link, Linker, Outbox, ring, spawn_http};
use lentil_wire::v1::peer_client::PeerClient;
use tokio::sync::oneshot;

use crate::config_stream::{append, page};
use crate::error::ControlError;
use crate::hosts;
use crate::peer::{MESSAGE_MAX_BYTES, PeerService, from_reply, to_request};
use crate::view::{ControlView, Published, view};

/// Places in the ring before the duty.
const RING_PLACES: usize = 256;
/// Most links to peers kept open.
const LINKS_MAX: usize = 16;
/// How long a peer may take to answer.
const PEER_TIMEOUT: Span = Span::from_s(1);

/// What reaches the duty from other threads and tasks.
#[derive(Debug)]
pub(crate) enum Input {
    /// Something happened.
    Event(SyncEvent),
    /// A peer sent a message.
    Asked(Exchange, oneshot::Sender<Exchange>),
    /// The process stops.
    Stop,
}

/// What the duty needs to know.
#[derive(Debug, Clone)]
pub struct ControlOptions {
    /// This process as its peers see it.
    pub local_peer: Peer,
    /// Where the platform's services answer.
    pub platform: Platform,
    /// Makes links to peers.
    pub linker: Linker,
}

/// The running duty.
#[derive(Debug)]
pub struct Control {
    duty: Duty,
    inputs: Outbox<Input>,
    view: ControlView,
}

impl Control {
    /// Starts the duty's thread.
    ///
    /// # Errors
    /// A thread is not to be had.
    pub fn start(options: ControlOptions) -> Result<Self, ControlError> {
        let (inputs, inbox) = ring(RING_PLACES);
        let (published, view) = view();
        let events = inputs.clone();
        let duty = spawn_http("control", move || async move {
            if let Err(error) = run(options, inbox, events, published).await {
                log::error!("the configuration is not kept up to date: {error}");
            }
        })?;
        Ok(Self { duty, inputs, view })
    }

    /// What is in force.
    #[must_use]
    pub fn view(&self) -> ControlView {
        self.view.clone()
    }

    /// The service that answers peers.
    #[must_use]
    pub fn peer_service(&self) -> PeerService {
        PeerService::new(self.inputs.clone())
    }

    /// Ends the duty.
    ///
    /// # Errors
    /// Its thread panicked.
    pub fn stop(self) -> Result<(), ControlError> {
        if self.inputs.offer(Input::Stop).is_ok() {
            self.duty.join()?;
        }
        Ok(())
    }
}

struct Runner {
    decisions: Decisions,
    clock: Clock,
    log: HttpLog,
    links: BTreeMap<ProcessId, PeerClient<Link>>,
    events: Outbox<Input>,
    linker: Linker,
    published: Published,
}

async fn run(
    options: ControlOptions,
    inbox: Inbox<Input>,
    events: Outbox<Input>,
    published: Published,
) -> Result<(), ControlError> {
    let timeout = options.platform.timeout;
    let client = |url: &str| ClientOptions {
        base_url: url.to_owned(),
        timeout,
    };
    let log = HttpLog::new(&client(&options.platform.log_url)).await?;
    let list = HttpHostList::new(&client(&options.platform.host_list_url)).await?;
    let interval = options.platform.poll_interval;
    let reading = hosts::run(list, interval, published.hosts.clone(), events.clone());
    let reading = tokio::task::spawn_local(reading);
    let clock = Clock::start();
    let limits = ConfigSyncLimits::default();
    let runner = Runner {
        decisions: Decisions::new(clock.now(), options.local_peer, rand::random(), limits),
        clock,
        log,
        links: BTreeMap::new(),
        events,
        linker: options.linker,
        published,
    };
    runner.serve(inbox).await;
    reading.abort();
    Ok(())
}

impl Runner {
    async fn serve(mut self, inbox: Inbox<Input>) {
        loop {
            let wakes_at = self.clock.instant(self.decisions.next_tick_at());
            let input = tokio::select! {
                input = inbox.take() => input,
                () = tokio::time::sleep_until(wakes_at.into()) => Some(Input::Event(SyncEvent::Tick)),
            };
            let now = self.clock.now();
            match input {
                Some(Input::Event(event)) => {
                    let actions = self.decisions.on(now, event);
                    self.perform(actions);
                }
                Some(Input::Asked(exchange, reply)) => {
                    let (answer, actions) = self.decisions.answer(now, exchange);
                    let _ = reply.send(answer);
                    self.perform(actions);
                }
                Some(Input::Stop) | None => return,
            }
            self.published
                .counters
                .send_replace(self.decisions.counters());
        }
    }

    fn perform(&mut self, actions: Vec<SyncAction>) {
        for action in actions {
            match action {
                SyncAction::PutInForce(in_force) => {
                    log::info!("configuration version {} is in force", in_force.version);
                    self.published.in_force.send_replace(Some(in_force));
                }
                SyncAction::ReadLog(from) => self.read(from),
                SyncAction::Append(bytes) => {
                    let log = self.log.clone();
                    tokio::task::spawn_local(async move { append(&log, bytes).await });
                }
                SyncAction::Exchange(peer, exchange) => self.exchange(&peer, exchange),
            }
        }
    }

    fn read(&self, from: lentil_core::Offset) {
        let log = self.log.clone();
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let event = match page(&log, from).await {
                Ok(page) => SyncEvent::Page(page),
                Err(_) => SyncEvent::LogFailed,
            };
            let _ = events.put(Input::Event(event)).await;
        });
    }

    fn exchange(&mut self, peer: &Peer, exchange: Exchange) {
        let Some(client) = self.link(peer) else {
            return;
        };
        let events = self.events.clone();
        let name = peer.name.clone();
        tokio::task::spawn_local(async move {
            let sent = tokio::time::timeout(PEER_TIMEOUT.into(), send(client, exchange)).await;
            let event = match sent {
                Ok(Some(reply)) => SyncEvent::Reply(reply),
                Ok(None) | Err(_) => SyncEvent::PeerFailed(name),
            };
            let _ = events.put(Input::Event(event)).await;
        });
    }

    /// A link to a peer; the table of links is bounded.
    fn link(&mut self, peer: &Peer) -> Option<PeerClient<Link>> {
        if let Some(client) = self.links.get(&peer.name) {
            return Some(client.clone());
        }
        if self.links.len() >= LINKS_MAX {
            self.links.pop_first();
        }
        let link = self.linker.link(&peer.address).ok()?;
        let client = PeerClient::new(link)
            .max_decoding_message_size(MESSAGE_MAX_BYTES)
            .max_encoding_message_size(MESSAGE_MAX_BYTES);
        self.links.insert(peer.name.clone(), client.clone());
        Some(client)
    }
}

async fn send(mut client: PeerClient<Link>, exchange: Exchange) -> Option<Exchange> {
    let request = to_request(exchange).ok()?;
    let reply = client.exchange(request).await.ok()?;
    from_reply(reply.into_inner()).ok()
}
