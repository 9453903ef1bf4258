//! The control thread.

use std::collections::BTreeMap;

use lentil_config::{
    ConfigSync as ConfigStateMachine, ConfigSyncLimits, Exchange, Peer, SyncAction, SyncEvent,
};
use lentil_core::{ProcessId, Span};
use lentil_platform::{ClientOptions, HttpHostList, HttpLog};
use lentil_settings::Platform;
use lentil_shell::{
    BoundedReceiver, BoundedSender, Clock, PeerChannel, PeerConnector, WorkerThread,
    bounded_channel, spawn_http,
};
use lentil_wire::v1::peer_client::PeerClient;
use tokio::sync::oneshot;

use crate::config_stream::{append_checkpoint, read_page};
use crate::error::ControlError;
use crate::hosts;
use crate::peer::{MESSAGE_MAX_BYTES, PeerService, from_reply, to_request};
use crate::view::{ControlView, ViewSenders, channel};

/// Capacity of the input queue.
const INPUT_QUEUE_CAPACITY: usize = 256;
/// Maximum number of open links to peers.
const LINKS_MAX: usize = 16;
/// Timeout of a call to a peer.
const PEER_TIMEOUT: Span = Span::from_s(1);

/// An input from another thread or task.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event of the state machine.
    Event(SyncEvent),
    /// A message from a peer, with the channel for the reply.
    PeerMessage(Exchange, oneshot::Sender<Exchange>),
    /// The process is stopping.
    Stop,
}

/// Options of the control thread.
#[derive(Debug, Clone)]
pub struct ControlOptions {
    /// This process as its peers see it.
    pub local_peer: Peer,
    /// Settings of the platform's services.
    pub platform: Platform,
    /// Creates the links to peers.
    pub linker: PeerConnector,
}

/// Handle to the control thread.
#[derive(Debug)]
pub struct Control {
    thread: WorkerThread,
    inputs: BoundedSender<Input>,
    view: ControlView,
}

impl Control {
    /// Starts the control thread.
    ///
    /// # Errors
    /// The thread could not be started.
    pub fn start(options: ControlOptions) -> Result<Self, ControlError> {
        let (inputs, inbox) = bounded_channel(INPUT_QUEUE_CAPACITY);
        let (senders, view) = channel();
        let events = inputs.clone();
        let thread = spawn_http("control", move || async move {
            if let Err(error) = run(options, inbox, events, senders).await {
                log::error!(
                    "control thread failed; the configuration is no longer updated: {error}"
                );
            }
        })?;
        Ok(Self {
            thread,
            inputs,
            view,
        })
    }

    /// A view of the state of the control thread.
    #[must_use]
    pub fn view(&self) -> ControlView {
        self.view.clone()
    }

    /// The gRPC service that answers peers.
    #[must_use]
    pub fn peer_service(&self) -> PeerService {
        PeerService::new(self.inputs.clone())
    }

    /// Stops the control thread.
    ///
    /// # Errors
    /// The thread panicked.
    pub fn stop(self) -> Result<(), ControlError> {
        if self.inputs.try_send(Input::Stop).is_ok() {
            self.thread.join()?;
        }
        Ok(())
    }
}

struct ControlLoop {
    state_machine: ConfigStateMachine,
    clock: Clock,
    log: HttpLog,
    links: BTreeMap<ProcessId, PeerClient<PeerChannel>>,
    events: BoundedSender<Input>,
    linker: PeerConnector,
    senders: ViewSenders,
}

async fn run(
    options: ControlOptions,
    inbox: BoundedReceiver<Input>,
    events: BoundedSender<Input>,
    senders: ViewSenders,
) -> Result<(), ControlError> {
    let timeout = options.platform.timeout;
    let client = |url: &str| ClientOptions {
        base_url: url.to_owned(),
        timeout,
    };
    let log = HttpLog::new(&client(&options.platform.log_url)).await?;
    let list = HttpHostList::new(&client(&options.platform.host_list_url)).await?;
    let interval = options.platform.poll_interval;
    let host_list_task = hosts::poll(list, interval, senders.hosts.clone(), events.clone());
    let host_list_task = tokio::task::spawn_local(host_list_task);
    let clock = Clock::start();
    let limits = ConfigSyncLimits::default();
    let control_loop = ControlLoop {
        state_machine: ConfigStateMachine::new(
            clock.now(),
            options.local_peer,
            rand::random(),
            limits,
        ),
        clock,
        log,
        links: BTreeMap::new(),
        events,
        linker: options.linker,
        senders,
    };
    control_loop.run(inbox).await;
    host_list_task.abort();
    Ok(())
}

impl ControlLoop {
    async fn run(mut self, inbox: BoundedReceiver<Input>) {
        loop {
            let wakes_at = self.clock.instant(self.state_machine.next_tick_at());
            let input = tokio::select! {
                input = inbox.recv() => input,
                () = tokio::time::sleep_until(wakes_at.into()) => Some(Input::Event(SyncEvent::Tick)),
            };
            let now = self.clock.now();
            match input {
                Some(Input::Event(event)) => {
                    let actions = self.state_machine.on(now, event);
                    self.perform(actions);
                }
                Some(Input::PeerMessage(exchange, reply)) => {
                    let (answer, actions) = self.state_machine.answer(now, exchange);
                    let _ = reply.send(answer);
                    self.perform(actions);
                }
                Some(Input::Stop) | None => return,
            }
            self.senders
                .counters
                .send_replace(self.state_machine.counters());
        }
    }

    fn perform(&mut self, actions: Vec<SyncAction>) {
        for action in actions {
            match action {
                SyncAction::PutInForce(in_force) => {
                    log::info!("configuration version {} is in force", in_force.version);
                    self.senders.in_force.send_replace(Some(in_force));
                }
                SyncAction::ReadLog(from) => self.read_log(from),
                SyncAction::Append(bytes) => {
                    let log = self.log.clone();
                    tokio::task::spawn_local(async move { append_checkpoint(&log, bytes).await });
                }
                SyncAction::Exchange(peer, exchange) => self.exchange_with(&peer, exchange),
            }
        }
    }

    fn read_log(&self, from: lentil_core::Offset) {
        let log = self.log.clone();
        let events = self.events.clone();
        tokio::task::spawn_local(async move {
            let event = match read_page(&log, from).await {
                Ok(page) => SyncEvent::Page(page),
                Err(_) => SyncEvent::LogFailed,
            };
            let _ = events.send(Input::Event(event)).await;
        });
    }

    fn exchange_with(&mut self, peer: &Peer, exchange: Exchange) {
        let Some(client) = self.client(peer) else {
            return;
        };
        let events = self.events.clone();
        let name = peer.name.clone();
        tokio::task::spawn_local(async move {
            let result =
                tokio::time::timeout(PEER_TIMEOUT.into(), send_exchange(client, exchange)).await;
            let event = match result {
                Ok(Some(reply)) => SyncEvent::Reply(reply),
                Ok(None) | Err(_) => SyncEvent::PeerFailed(name),
            };
            let _ = events.send(Input::Event(event)).await;
        });
    }

    /// Returns a client for the peer. When the limit is reached, it first drops the
    /// link whose process identifier sorts lowest.
    fn client(&mut self, peer: &Peer) -> Option<PeerClient<PeerChannel>> {
        if let Some(client) = self.links.get(&peer.name) {
            return Some(client.clone());
        }
        if self.links.len() >= LINKS_MAX {
            self.links.pop_first();
        }
        let link = self.linker.channel(&peer.address).ok()?;
        let client = PeerClient::new(link)
            .max_decoding_message_size(MESSAGE_MAX_BYTES)
            .max_encoding_message_size(MESSAGE_MAX_BYTES);
        self.links.insert(peer.name.clone(), client.clone());
        Some(client)
    }
}

async fn send_exchange(
    mut client: PeerClient<PeerChannel>,
    exchange: Exchange,
) -> Option<Exchange> {
    let request = to_request(exchange).ok()?;
    let reply = client.exchange(request).await.ok()?;
    from_reply(reply.into_inner()).ok()
}
