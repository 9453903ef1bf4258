//! The orders thread, which sends load orders to the engine beside this agent.

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
use fetch::WeightFetch;

/// Interval between reads of the order stream.
const POLL_INTERVAL: Span = Span::from_ms(500);
/// Interval between checks of the engine's loaded model while no change is in
/// progress.
const STATUS_INTERVAL: Span = Span::from_s(5);
/// Timeout of a request to the engine.
const ENGINE_TIMEOUT: Span = Span::from_s(2);
/// Lease time that must remain when an order is sent; longer than the engine's
/// timeout.
const SEND_MARGIN: Span = Span::from_s(4);
/// Interval between retries of an append or a status query.
const RETRY_INTERVAL: Span = Span::from_s(1);
/// Maximum number of records in one read.
const PAGE_MAX: u32 = 500;

/// Validated configuration of the orders thread.
#[derive(Debug)]
pub(crate) struct OrderConfig {
    endpoint: EndpointId,
    engine_url: String,
    log: ClientOptions,
    weights: ClientOptions,
    stream: StreamName,
    to: Assignment,
    bounds: Bounds,
    holder: ClaimHolderSettings,
}

/// Reads the order configuration from the settings; `None` if they have none.
pub(crate) fn order_config(
    settings: &Settings,
    section: &AgentSettings,
) -> Result<Option<OrderConfig>, AgentError> {
    let Some(orders) = &section.orders else {
        return Ok(None);
    };
    let platform = settings.platform();
    let timeout = Span::from_ms(platform.timeout_ms.get());
    let lease = Span::from_ms(orders.lease_ms);
    Ok(Some(OrderConfig {
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
            send_margin: SEND_MARGIN,
            retry_interval: RETRY_INTERVAL,
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

/// Follows the zone's order stream until `stopping` becomes true.
pub(crate) async fn run(
    identity: Identity,
    config: OrderConfig,
    counters: Counters,
    mut stopping: watch::Receiver<bool>,
) {
    let mut runner = match OrderRunner::new(&identity, config).await {
        Ok(runner) => runner,
        Err(error) => {
            log::error!("failed to start the orders thread: {error}");
            return;
        }
    };
    while !*stopping.borrow() {
        let before = runner.holder.counters();
        runner.poll().await;
        counters.record_order_outcomes(&before, &runner.holder.counters());
        tokio::select! {
            () = runner.pause() => {}
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

struct OrderRunner {
    clock: Clock,
    config: OrderConfig,
    holder: ClaimHolder,
    log: HttpLog,
    engine: HttpClient,
    fetch: WeightFetch,
    /// An order whose weights are being fetched.
    waiting: Option<Order>,
    next: Offset,
    /// Whether the stream has been read to its end at least once.
    caught_up: bool,
    next_check: Time,
}

impl OrderRunner {
    async fn new(identity: &Identity, config: OrderConfig) -> Result<Self, RequestError> {
        let engine = ClientOptions {
            base_url: config.engine_url.clone(),
            timeout: ENGINE_TIMEOUT,
        };
        Ok(Self {
            clock: identity.clock,
            holder: ClaimHolder::new(config.endpoint.clone(), identity.boot, config.holder),
            log: HttpLog::new(&config.log).await?,
            engine: HttpClient::new(&engine).await?,
            fetch: WeightFetch::new(&config.weights).await?,
            waiting: None,
            next: Offset::default(),
            caught_up: false,
            next_check: Time::ZERO,
            config,
        })
    }

    /// Waits for the poll interval, or until weights have been fetched.
    async fn pause(&mut self) {
        let _ = tokio::time::timeout(POLL_INTERVAL.into(), self.fetch.wait_fetched()).await;
    }

    async fn poll(&mut self) {
        self.read().await;
        self.dispatch(Event::Tick).await;
        if self.holder.is_idle() && self.caught_up && self.next_check.has_passed(self.clock.now()) {
            self.check_engine().await;
        }
        let ready = self
            .waiting
            .take_if(|order| self.fetch.is_fetched(order.to()));
        if let Some(order) = ready {
            let event = self.send(order).await;
            self.dispatch(event).await;
        }
    }

    async fn read(&mut self) {
        let Ok(page) = self
            .log
            .read(&self.config.stream, self.next, PAGE_MAX)
            .await
        else {
            return;
        };
        self.caught_up |= page.records.is_empty();
        self.next = page.next;
        for (offset, record) in page.records {
            match record::decode(&record.body) {
                Ok(record) => self.dispatch(Event::RecordRead { offset, record }).await,
                Err(error) => log::warn!("order stream: skipped offset {offset}: {error}"),
            }
        }
    }

    /// Requests the configured assignment if the engine has loaded another one.
    async fn check_engine(&mut self) {
        self.next_check = self.clock.now() + STATUS_INTERVAL;
        let Some(status) = self.status().await else {
            return;
        };
        let is_loaded = status.loaded.as_ref() == Some(&self.config.to);
        let request = ChangeRequest {
            from: status.loaded.as_ref().map(|loaded| loaded.model.clone()),
            to: self.config.to.clone(),
            from_live: 0,
            to_live: u32::from(is_loaded),
            bounds: self.config.bounds,
        };
        self.dispatch(Event::Status(status)).await;
        if !is_loaded {
            self.dispatch(Event::ChangeRequested(request)).await;
        }
    }

    /// Passes an event to the claim holder and performs the resulting actions,
    /// feeding their events back until no action is left.
    async fn dispatch(&mut self, event: Event) {
        let mut actions = VecDeque::from(self.holder.on(self.clock.now(), event));
        while let Some(action) = actions.pop_front() {
            if let Some(event) = self.perform(action).await {
                actions.extend(self.holder.on(self.clock.now(), event));
            }
        }
    }

    async fn perform(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Append(record) => {
                self.append(&record).await;
                None
            }
            Action::QueryStatus => self.status().await.map(Event::Status),
            Action::SendOrder(order) => {
                self.fetch.request(order.to());
                self.waiting = Some(order);
                None
            }
            Action::ClaimRefused(refusal) => {
                log::info!(
                    "claim on {} was not granted: {refusal}",
                    self.config.endpoint
                );
                None
            }
            Action::Loaded(loaded) => {
                log::info!("{} has loaded {loaded}", self.config.endpoint);
                None
            }
            Action::Superseded => {
                log::warn!("superseded by a newer agent of {}", self.config.endpoint);
                self.waiting = None;
                None
            }
        }
    }

    /// Appends a record without retry; reading the stream shows whether it was
    /// stored.
    async fn append(&mut self, record: &Record) {
        let body = match record::encode(record) {
            Ok(body) => body,
            Err(error) => {
                log::error!("encoding a record of the order stream: {error}");
                return;
            }
        };
        let id = RecordId::new(rand::random());
        let records = [LogRecord { id, body }];
        let _ = self.log.append(&self.config.stream, &records).await;
    }

    async fn status(&self) -> Option<EndpointStatus> {
        let status: EngineStatus = self.engine.get("/load").await.ok()?;
        let to = &self.config.to;
        let holds = |model: &str| status.models.iter().any(|loaded| loaded == model);
        let loaded = match (holds(to.model.as_str()), status.models.first()) {
            (true, _) => Some(to.clone()),
            (false, Some(other)) => Some(Assignment {
                model: other.parse().ok()?,
                ..to.clone()
            }),
            (false, None) => None,
        };
        Some(EndpointStatus {
            loaded,
            changing: status.loading,
        })
    }

    /// Checks the lease and sends the order, with no await in between.
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

/// HTTP status with which an engine refuses an outdated fence number.
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
