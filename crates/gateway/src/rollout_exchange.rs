//! Exchange of counters between gateways, through observers, and of the status through the
//! store.

use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lentil_core::{Offset, ServiceName, Span, Time};
use lentil_rollout::{Counts, Evidence, EvidenceKey, LATENCY_BUCKETS, RecordedStatus, Side};
use lentil_wire::v1;
use lentil_wire::v1::observer_client::ObserverClient;
use tonic::transport::{Channel, Endpoint};

use crate::gateway::Gateway;
use crate::rollout::StatusSync;
use crate::status_log::WriteOutcome;
use crate::store_feed::StoreError;

/// Interval of decisions while an order may be open.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);
/// Number of decisions between two reports to the observers.
const REPORT_EVERY: u32 = 2;
/// Timeout for a report to an observer. The next report repeats all counters.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of gateways whose counters an observer keeps.
const GATEWAYS_MAX: usize = 1_024;
/// Number of rows that an observer keeps for each gateway.
const ROWS_MAX: usize = 64;
/// How long an observer keeps the counters of an order after the last report about it.
const KEPT_FOR: Span = Span::from_s(10);

/// Time without a report after which a gateway's requests count as ended: the connections of
/// a process that was killed have closed by then, and a roll-out must not wait for them.
const SILENCE_MAX: Span = Span::from_s(5);

/// The counters of one order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OrderEvidence {
    pub(crate) service: ServiceName,
    pub(crate) order: Offset,
    pub(crate) evidence: Evidence,
}

impl OrderEvidence {
    /// Parses counters from their wire form. Malformed ones are logged and left out.
    pub(crate) fn from_wire(messages: &[v1::RolloutEvidence]) -> Vec<Self> {
        let parse = |message: &v1::RolloutEvidence| {
            let rows = message.rows.iter().filter_map(parse_row);
            Some(Self {
                service: message
                    .service
                    .parse()
                    .inspect_err(|error| log::warn!("malformed counters of a roll-out: {error}"))
                    .ok()?,
                order: Offset::new(message.order),
                evidence: Evidence::from_rows(rows),
            })
        };
        messages.iter().filter_map(parse).collect()
    }
}

impl From<&OrderEvidence> for v1::RolloutEvidence {
    fn from(counters: &OrderEvidence) -> Self {
        let rows = counters.evidence.rows();
        Self {
            service: counters.service.to_string(),
            order: counters.order.get(),
            rows: rows.map(|(key, counts)| to_wire(key, counts)).collect(),
        }
    }
}

fn to_wire(key: &EvidenceKey, counts: &Counts) -> v1::RolloutRow {
    let used = counts.latency.iter().rposition(|count| *count > 0);
    let latency = counts.latency.iter().copied();
    v1::RolloutRow {
        route: key.route.clone(),
        zone: key.zone.to_string(),
        target: key.side == Side::Target,
        sent: counts.sent,
        answered: counts.answered,
        failed: counts.failed,
        stalled: counts.stalled,
        ended: counts.ended,
        latency: latency.take(used.map_or(0, |last| last + 1)).collect(),
    }
}

fn parse_row(row: &v1::RolloutRow) -> Option<(EvidenceKey, Counts)> {
    let key = EvidenceKey {
        route: row.route.clone(),
        zone: row
            .zone
            .parse()
            .inspect_err(|error| log::warn!("malformed row of a roll-out: {error}"))
            .ok()?,
        side: if row.target { Side::Target } else { Side::Old },
    };
    let mut latency = [0; LATENCY_BUCKETS];
    for (count, reported) in latency.iter_mut().zip(&row.latency) {
        *count = *reported;
    }
    let counts = Counts {
        sent: row.sent,
        answered: row.answered,
        failed: row.failed,
        stalled: row.stalled,
        ended: row.ended,
        latency,
    };
    Some((key, counts))
}

/// Connections to observers, kept while an order is open.
type Connections = Rc<RefCell<BTreeMap<SocketAddr, ObserverClient<Channel>>>>;

/// Decides about roll-outs and exchanges what is known about them, until dropped.
pub(crate) async fn run(gateway: Rc<Gateway>) {
    if !gateway.rollouts.is_enabled() {
        return;
    }
    let connections = Connections::default();
    let mut decisions = 0_u32;
    loop {
        tokio::time::sleep(DECISION_INTERVAL).await;
        gateway.refresh_rollouts();
        for sync in gateway.rollouts.due_syncs(gateway.now()) {
            tokio::task::spawn_local(sync_status(Rc::clone(&gateway), sync));
        }
        decisions = decisions.wrapping_add(1);
        if decisions.is_multiple_of(REPORT_EVERY) {
            report_evidence(&gateway, &connections);
        }
    }
}

/// Sends this gateway's counters to the observers that all gateways follow.
fn report_evidence(gateway: &Gateway, connections: &Connections) {
    let own = gateway.rollouts.own_evidence();
    if own.is_empty() {
        connections.borrow_mut().clear();
        return;
    }
    let rollouts = own.iter().map(v1::RolloutEvidence::from);
    let request = v1::ReportRolloutRequest {
        entry: gateway.name().to_owned(),
        rollouts: rollouts.collect(),
    };
    let observers = gateway.common_observers();
    let mut open = connections.borrow_mut();
    open.retain(|observer, _| observers.contains(observer));
    for observer in observers {
        let client = match open.get(&observer) {
            Some(client) => client.clone(),
            None => match connect(observer) {
                Ok(client) => open.entry(observer).or_insert(client).clone(),
                Err(error) => {
                    log::warn!(observer:% = observer; "counters of a roll-out not reported: {error}");
                    continue;
                }
            },
        };
        tokio::task::spawn_local(report(
            Rc::clone(connections),
            observer,
            client,
            request.clone(),
        ));
    }
}

fn connect(observer: SocketAddr) -> Result<ObserverClient<Channel>, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{observer}"))?;
    let endpoint = endpoint.connect_timeout(REPORT_TIMEOUT).tcp_nodelay(true);
    Ok(ObserverClient::new(endpoint.connect_lazy()))
}

async fn report(
    connections: Connections,
    observer: SocketAddr,
    mut client: ObserverClient<Channel>,
    request: v1::ReportRolloutRequest,
) {
    let reported = tokio::time::timeout(REPORT_TIMEOUT, client.report_rollout(request)).await;
    let error = match reported {
        Ok(Ok(_)) => return,
        Ok(Err(status)) => status.to_string(),
        Err(_) => "no response in time".to_owned(),
    };
    connections.borrow_mut().remove(&observer);
    log::info!(observer:% = observer; "counters of a roll-out not accepted: {error}");
}

/// Reads the status of an order and, if it is still needed, writes the new one.
async fn sync_status(gateway: Rc<Gateway>, sync: StatusSync) {
    let asked_at = gateway.now();
    let status = read_and_write(&gateway, &sync).await;
    let now = gateway.now();
    let status = status.map_err(|error| {
        log::info!(service:% = sync.order.service, order:% = sync.order.id; "the status of a roll-out was not read or written: {error}");
    });
    gateway.rollouts.finish_sync(now, &sync, asked_at, status);
    gateway.refresh_rollouts();
}

/// Returns the newest status after it was written, if it was to be.
async fn read_and_write(
    gateway: &Gateway,
    sync: &StatusSync,
) -> Result<Option<RecordedStatus>, StoreError> {
    let service = &sync.order.service;
    let status_log = &gateway.status_log;
    let read = status_log.read(service).await?;
    let Some(write) = &sync.write else {
        return Ok(read.status);
    };
    if read
        .status
        .as_ref()
        .is_some_and(|known| replaces(known, write))
    {
        return Ok(read.status);
    }
    let outcome = status_log.write_if(service, write, read.end).await;
    gateway.metrics.count_rollout_write(match outcome {
        Ok(WriteOutcome::Written) => "written",
        Ok(WriteOutcome::Conflict) => "conflict",
        Err(_) => "unknown",
    });
    match outcome? {
        WriteOutcome::Written => {
            log::info!(service:% = service, order:% = write.order, target:% = write.target, state:% = write.state, stage:% = write.stage; "the status of a roll-out was written");
            Ok(Some(write.clone()))
        }
        WriteOutcome::Conflict => {
            log::info!(service:% = service, order:% = write.order, state:% = write.state; "the status of a roll-out was not written, as the log has grown");
            Ok(read.status)
        }
    }
}

/// Whether a recorded status makes it unnecessary or wrong to write another: it is of a
/// newer order, terminal, or as far advanced.
fn replaces(known: &RecordedStatus, write: &RecordedStatus) -> bool {
    known.order > write.order
        || (known.order == write.order && (known.state.is_terminal() || known.stage >= write.stage))
}

/// The newest counters of each gateway, as one observer knows them.
#[derive(Debug, Default)]
pub(crate) struct ReportedEvidence {
    gateways: BTreeMap<String, Vec<ReportedOrder>>,
}

/// The newest counters of one gateway and order.
#[derive(Debug)]
struct ReportedOrder {
    counters: OrderEvidence,
    reported_at: Time,
}

impl ReportedEvidence {
    /// Takes the counters of a gateway. Those of a restarted gateway of the same name begin
    /// again at zero; the larger ones stay, so that the sums never decrease.
    pub(crate) fn record(&mut self, now: Time, gateway: &str, reported: Vec<OrderEvidence>) {
        self.expire(now);
        if !self.gateways.contains_key(gateway) && self.gateways.len() >= GATEWAYS_MAX {
            log::warn!(gateway = gateway; "counters of a roll-out dropped, as too many gateways report");
            return;
        }
        let orders = self.gateways.entry(gateway.to_owned()).or_default();
        for counters in reported {
            let is_same = |known: &ReportedOrder| known.counters.service == counters.service;
            let known = orders
                .iter()
                .position(is_same)
                .map(|index| orders.remove(index));
            let rows: usize = orders.iter().map(ReportedOrder::rows).sum();
            let mut newest = ReportedOrder {
                counters,
                reported_at: now,
            };
            if let Some(known) = known {
                match known.counters.order.cmp(&newest.counters.order) {
                    Ordering::Greater => newest = known,
                    Ordering::Equal => newest.counters.evidence.merge(&known.counters.evidence),
                    Ordering::Less => {}
                }
            }
            if rows + newest.rows() > ROWS_MAX {
                log::warn!(gateway = gateway, service:% = newest.counters.service; "counters of a roll-out dropped, as the gateway has too many");
                continue;
            }
            orders.push(newest);
        }
    }

    /// Forgets orders that no gateway reports any more.
    fn expire(&mut self, now: Time) {
        let mut newest: BTreeMap<(ServiceName, Offset), Time> = BTreeMap::new();
        for order in self.gateways.values().flatten() {
            let reported_at = newest.entry(order.key()).or_default();
            *reported_at = order.reported_at.max(*reported_at);
        }
        self.gateways.retain(|_, orders| {
            orders.retain(|order| {
                let newest = newest.get(&order.key()).copied().unwrap_or_default();
                !(newest + KEPT_FOR).has_passed(now)
            });
            !orders.is_empty()
        });
    }

    /// The sums over all gateways for each order.
    pub(crate) fn sums(&mut self, now: Time) -> Vec<OrderEvidence> {
        self.expire(now);
        let mut sums: BTreeMap<(ServiceName, Offset), Evidence> = BTreeMap::new();
        for order in self.gateways.values().flatten() {
            let sum = sums.entry(order.key()).or_default();
            if (order.reported_at + SILENCE_MAX).has_passed(now) {
                sum.add(&ended(&order.counters.evidence));
            } else {
                sum.add(&order.counters.evidence);
            }
        }
        let sums = sums
            .into_iter()
            .map(|((service, order), evidence)| OrderEvidence {
                service,
                order,
                evidence,
            });
        sums.collect()
    }
}

/// The counters of a gateway that no longer runs.
fn ended(evidence: &Evidence) -> Evidence {
    let rows = evidence.rows().map(|(key, counts)| {
        let ended = counts.sent;
        (key.clone(), Counts { ended, ..*counts })
    });
    Evidence::from_rows(rows)
}

impl ReportedOrder {
    fn key(&self) -> (ServiceName, Offset) {
        (self.counters.service.clone(), self.counters.order)
    }

    fn rows(&self) -> usize {
        self.counters.evidence.rows().count()
    }
}
