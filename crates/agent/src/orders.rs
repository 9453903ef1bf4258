//! The thread that orders the engine beside this agent.

mod fetch;
mod record;

use std::collections::{BTreeSet, VecDeque};

use lentil_core::{AdapterId, EndpointId, FenceNumber, Offset, RecordId, Span, Time};
use lentil_order::{
    Action, Answer, Assignment, Bounds, ChangeRequest, ClaimHolder, ClaimHolderSettings,
    EndpointStatus, EngineFencing, Event, Order, Record, Role,
};
use lentil_platform::{
    ClientOptions, HttpClient, HttpLog, LogRecord, LogService, RequestError, StreamName,
};
use lentil_settings::{AgentSettings, OrderSettings, Settings};
use lentil_shell::Clock;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::agent::Identity;
use crate::announce::id;
use crate::counters::Counters;
use crate::error::AgentError;
use fetch::Fetch;

/// Time between two readings of the order stream.
const INTERVAL: Span = Span::from_ms(500);
/// Time between two looks at what the engine holds, while it holds what it should.
const LOOK_INTERVAL: Span = Span::from_s(5);
/// Longest wait for an answer of the engine.
const ENGINE_TIMEOUT: Span = Span::from_s(2);
/// Time kept free for an order's way; above the engine's time-out.
const MARGIN: Span = Span::from_s(4);
/// Time between two tries of an append or a question.
const RETRY: Span = Span::from_s(1);
/// Records read at once.
const PAGE_MAX: u32 = 500;

/// What this thread is to do, checked.
#[derive(Debug)]
pub(crate) struct Target {
    endpoint: EndpointId,
    engine_url: String,
    log: ClientOptions,
    weights: ClientOptions,
    stream: StreamName,
    to: Assignment,
    bounds: Bounds,
    holder: ClaimHolderSettings,
}

/// What the settings ask to be ordered, if anything.
pub(crate) fn target(
    settings: &Settings,
    section: &AgentSettings,
) -> Result<Option<Target>, AgentError> {
    let Some(orders) = &section.orders else {
        return Ok(None);
    };
    let platform = settings.platform();
    let timeout = Span::from_ms(platform.timeout_ms.get());
    let lease = Span::from_ms(orders.lease_ms);
    Ok(Some(Target {
        endpoint: id("name", &settings.name)?,
        engine_url: section.endpoint_url.clone(),
        log: ClientOptions {
            base_url: platform.log_url,
            timeout,
        },
        weights: ClientOptions {
            base_url: platform.weight_store_url,
            timeout: lease,
        },
        stream: StreamName::new(&format!("orders-{}", settings.zone)),
        to: assignment(orders)?,
        bounds: Bounds {
            changing_max: 1,
            replicas_min: 0,
            fetching_max: orders.fetching_max.get(),
        },
        holder: ClaimHolderSettings {
            fencing: match orders.refuses_old_numbers {
                true => EngineFencing::Enforced,
                false => EngineFencing::Ignored,
            },
            lease,
            send_margin: MARGIN,
            retry_interval: RETRY,
        },
    }))
}

fn assignment(orders: &OrderSettings) -> Result<Assignment, AgentError> {
    Ok(Assignment {
        model: id("agent.orders.model", &orders.model)?,
        version: id("agent.orders.version", &orders.version)?,
        adapters: BTreeSet::new(),
        role: Role::Mixed,
    })
}

/// Follows the zone's order stream until `stopping` turns true.
pub(crate) async fn run(
    identity: Identity,
    target: Target,
    counters: Counters,
    mut stopping: watch::Receiver<bool>,
) {
    let mut duty = match Orders::new(&identity, target).await {
        Ok(duty) => duty,
        Err(error) => {
            log::error!("orders to the engine: {error}");
            return;
        }
    };
    while !*stopping.borrow() {
        let before = duty.holder.counters();
        duty.turn().await;
        counters.orders_met(&before, &duty.holder.counters());
        tokio::select! {
            () = duty.pause() => {}
            _ = stopping.changed() => {}
        }
    }
}

#[derive(Serialize)]
struct EngineOrder<'a> {
    fence: u64,
    load: Load<'a>,
}

#[derive(Serialize)]
struct Load<'a> {
    model: &'a str,
    version: &'a str,
    adapters: Vec<&'a str>,
    role: &'static str,
}

#[derive(Deserialize)]
struct EngineStatus {
    #[serde(default)]
    models: Vec<String>,
    #[serde(default)]
    loading: bool,
}

struct Orders {
    clock: Clock,
    target: Target,
    holder: ClaimHolder,
    log: HttpLog,
    engine: HttpClient,
    fetch: Fetch,
    /// An order that waits for its weights.
    waiting: Option<Order>,
    next: Offset,
    /// Whether the stream was read to its end once.
    caught_up: bool,
    look_at: Time,
}

impl Orders {
    async fn new(identity: &Identity, target: Target) -> Result<Self, RequestError> {
        let engine = ClientOptions {
            base_url: target.engine_url.clone(),
            timeout: ENGINE_TIMEOUT,
        };
        Ok(Self {
            clock: identity.clock,
            holder: ClaimHolder::new(target.endpoint.clone(), identity.boot, target.holder),
            log: HttpLog::new(&target.log).await?,
            engine: HttpClient::new(&engine).await?,
            fetch: Fetch::new(&target.weights).await?,
            waiting: None,
            next: Offset::default(),
            caught_up: false,
            look_at: Time::ZERO,
            target,
        })
    }

    /// Waits a little, or until weights have arrived.
    async fn pause(&mut self) {
        let _ = tokio::time::timeout(INTERVAL.into(), self.fetch.arrival()).await;
    }

    async fn turn(&mut self) {
        self.read().await;
        self.give(Event::Tick).await;
        if self.holder.is_idle() && self.caught_up && self.look_at.has_passed(self.clock.now()) {
            self.look().await;
        }
        let ready = self.waiting.take_if(|order| self.fetch.is_here(order.to()));
        if let Some(order) = ready {
            let event = self.send(order).await;
            self.give(event).await;
        }
    }

    async fn read(&mut self) {
        let Ok(page) = self
            .log
            .read(&self.target.stream, self.next, PAGE_MAX)
            .await
        else {
            return;
        };
        self.caught_up |= page.records.is_empty();
        self.next = page.next;
        for (offset, record) in page.records {
            match record::decode(&record.body) {
                Ok(record) => self.give(Event::RecordRead { offset, record }).await,
                Err(error) => log::warn!("order stream, offset {offset}: {error}"),
            }
        }
    }

    /// Asks for the target when the engine holds something else.
    async fn look(&mut self) {
        self.look_at = self.clock.now() + LOOK_INTERVAL;
        let Some(status) = self.status().await else {
            return;
        };
        let is_right = status.loaded.as_ref() == Some(&self.target.to);
        let wanted = ChangeRequest {
            from: status.loaded.as_ref().map(|held| held.model.clone()),
            to: self.target.to.clone(),
            from_live: 0,
            to_live: u32::from(is_right),
            bounds: self.target.bounds,
        };
        self.give(Event::Status(status)).await;
        if !is_right {
            self.give(Event::ChangeRequested(wanted)).await;
        }
    }

    /// Hands an event to the holder, and does what it asks until it asks no more.
    async fn give(&mut self, event: Event) {
        let mut actions = VecDeque::from(self.holder.on(self.clock.now(), event));
        while let Some(action) = actions.pop_front() {
            if let Some(event) = self.act(action).await {
                actions.extend(self.holder.on(self.clock.now(), event));
            }
        }
    }

    async fn act(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Append(record) => {
                self.append(&record).await;
                None
            }
            Action::QueryStatus => self.status().await.map(Event::Status),
            Action::SendOrder(order) => {
                self.fetch.begin(order.to());
                self.waiting = Some(order);
                None
            }
            Action::ClaimRefused(refusal) => {
                log::info!("claim on {} not granted: {refusal}", self.target.endpoint);
                None
            }
            Action::Loaded(held) => {
                log::info!("{} holds {held}", self.target.endpoint);
                None
            }
            Action::Superseded => {
                log::warn!("a newer agent orders {}", self.target.endpoint);
                self.waiting = None;
                None
            }
        }
    }

    /// Appends once; whether it arrived shows when the stream is read.
    async fn append(&mut self, record: &Record) {
        let body = match record::encode(record) {
            Ok(body) => body,
            Err(error) => {
                log::error!("record of the order stream: {error}");
                return;
            }
        };
        let id = RecordId::new(rand::random());
        let records = [LogRecord { id, body }];
        let _ = self.log.append(&self.target.stream, &records).await;
    }

    async fn status(&self) -> Option<EndpointStatus> {
        let status: EngineStatus = self.engine.get("/load").await.ok()?;
        let to = &self.target.to;
        let has = |model: &str| status.models.iter().any(|held| held == model);
        let holds = match (has(to.model.as_str()), status.models.first()) {
            (true, _) => Some(to.clone()),
            (false, Some(other)) => Some(Assignment {
                model: other.parse().ok()?,
                ..to.clone()
            }),
            (false, None) => None,
        };
        Some(EndpointStatus {
            loaded: holds,
            changing: status.loading,
        })
    }

    /// Checks the lease and sends, with nothing in between.
    async fn send(&self, order: Order) -> Event {
        let number = order.number();
        let order = match order.check(self.clock.now()) {
            Ok(order) => order,
            Err(lapsed) => {
                return Event::NotSent {
                    number: lapsed.number,
                };
            }
        };
        let body = EngineOrder {
            fence: order.number.get(),
            load: Load {
                model: order.to.model.as_str(),
                version: order.to.version.as_str(),
                adapters: order.to.adapters.iter().map(AdapterId::as_str).collect(),
                role: order.to.role.as_str(),
            },
        };
        let sent = self.engine.post::<_, serde_json::Value>("/orders", &body);
        outcome(number, sent.await.map(|_| ()))
    }
}

/// HTTP status by which an engine refuses an old number.
const CONFLICT: u16 = 409;

fn outcome(number: FenceNumber, sent: Result<(), RequestError>) -> Event {
    let answer = match sent {
        Ok(()) => Answer::Started,
        Err(RequestError::Status { status: CONFLICT }) => Answer::OldNumber,
        Err(error) if error.is_known_not_applied() => Answer::Failed,
        Err(_) => return Event::AnswerLost { number },
    };
    Event::OrderAnswered { number, answer }
}
