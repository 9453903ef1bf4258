//! The routing thread: maintains connections to agents and routes requests to them.

use std::collections::BTreeMap;
use std::rc::Rc;

use futures_util::StreamExt;
use lentil_core::{
    EndpointId, EndpointLoad, EntryId, NotRunProof, Refusal, RefusalReason, Span, Time, ZoneId,
};
use lentil_route::{Request, RequestId, RouterConfig, SendMode, endpoint_subset};
use lentil_shell::{BoundedReceiver, BoundedSender, Clock, PeerConnector};
use lentil_wire::v1;
use lentil_wire::v1::agent_client::AgentClient;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::link::AgentLink;
use crate::member::{Member, Target};
use crate::pool::{AttemptEvent, Placement, Pool};

/// Delay before a broken load watch is reopened.
const WATCH_RETRY_DELAY: Span = Span::from_ms(250);
/// Interval between timer events sent to the routers.
const TICK_INTERVAL: Span = Span::from_ms(20);
/// Lower limit on the agents per pool, even if all pools together then exceed `agents_max`.
const POOL_AGENTS_MIN: usize = 4;
/// Retry-After value when no endpoint serves the requested target.
const NO_ENDPOINT_RETRY_AFTER: Span = Span::from_s(1);

/// Commands from other threads to the routing thread.
#[derive(Debug)]
pub(crate) enum Command {
    /// Replaces the list of live agents.
    Members(Vec<Member>),
    /// Updates an agent's load.
    Load(v1::LoadReport),
    /// Asks for endpoints for a request; they are sent to `placements`.
    RouteRequest {
        target: Target,
        request: Request,
        placements: BoundedSender<Placement>,
    },
    /// Reports progress of an attempt.
    AttemptEvent {
        target: Target,
        request: RequestId,
        endpoint: EndpointId,
        attempt_event: AttemptEvent,
    },
    /// Cancels a request, as when its caller disconnects.
    Cancel { target: Target, request: RequestId },
    /// Asks for the connection to one particular agent.
    FindAgent {
        endpoint: EndpointId,
        reply: oneshot::Sender<Option<AgentConnection>>,
    },
}

/// A connection to an endpoint's agent.
#[derive(Debug, Clone)]
pub(crate) struct AgentConnection {
    pub(crate) client: AgentLink,
    /// The value that calls with an idempotency key send as `boot`; 0 until the agent reports it.
    pub(crate) epoch: u64,
}

/// Settings of the routing thread.
#[derive(Debug, Clone)]
pub(crate) struct RoutingOptions {
    pub(crate) entry: EntryId,
    pub(crate) zone: ZoneId,
    pub(crate) agents_max: usize,
    pub(crate) queue_max: usize,
    pub(crate) clock: Clock,
    pub(crate) linker: PeerConnector,
}

struct Link {
    member: Member,
    client: AgentLink,
    epoch: u64,
    watch_task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.watch_task.abort();
    }
}

struct Routing {
    options: Rc<RoutingOptions>,
    commands: BoundedSender<Command>,
    members: Vec<Member>,
    links: BTreeMap<EndpointId, Link>,
    pools: BTreeMap<Target, Pool>,
}

/// Runs the routing loop until the command channel closes.
pub(crate) async fn run(
    options: RoutingOptions,
    inbox: BoundedReceiver<Command>,
    commands: BoundedSender<Command>,
) {
    let mut routing = Routing {
        options: Rc::new(options),
        commands,
        members: Vec::new(),
        links: BTreeMap::new(),
        pools: BTreeMap::new(),
    };
    let mut ticks = tokio::time::interval(TICK_INTERVAL.into());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            command = inbox.recv() => match command {
                Some(command) => routing.handle(command),
                None => return,
            },
            _ = ticks.tick() => routing.tick(),
        }
    }
}

impl Routing {
    fn now(&self) -> Time {
        self.options.clock.now()
    }

    fn handle(&mut self, command: Command) {
        let now = self.now();
        match command {
            Command::Members(members) => self.update_members(now, members),
            Command::Load(report) => self.update_load(now, &report),
            Command::RouteRequest {
                target,
                request,
                placements,
            } => self.route_request(now, &target, request, placements),
            Command::AttemptEvent {
                target,
                request,
                endpoint,
                attempt_event,
            } => {
                if let Some(pool) = self.pools.get_mut(&target) {
                    pool.on_attempt_event(now, request, endpoint, attempt_event);
                }
            }
            Command::Cancel { target, request } => {
                if let Some(pool) = self.pools.get_mut(&target) {
                    pool.cancel(now, request);
                }
            }
            Command::FindAgent { endpoint, reply } => {
                let _ = reply.send(self.find_agent(&endpoint));
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        for pool in self.pools.values_mut() {
            pool.tick(now);
        }
    }

    fn route_request(
        &mut self,
        now: Time,
        target: &Target,
        request: Request,
        placements: BoundedSender<Placement>,
    ) {
        if !self.pools.contains_key(target) {
            if !self.members.iter().any(|member| member.serves(target)) {
                let refusal = Refusal::not_run(NotRunProof::NeverSent, RefusalReason::Overloaded);
                let refusal = refusal.retry_after(NO_ENDPOINT_RETRY_AFTER);
                let _ = placements.try_send(Placement::Rejected(refusal));
                return;
            }
            self.open_pool(now, target);
        }
        if let Some(pool) = self.pools.get_mut(target) {
            pool.submit(now, request, placements);
        }
    }

    fn open_pool(&mut self, now: Time, target: &Target) {
        let config = RouterConfig {
            zone: self.options.zone.clone(),
            queue_max: self.options.queue_max,
            mode: SendMode::Optimistic,
            seed: rand::random(),
        };
        self.pools.insert(target.clone(), Pool::new(config));
        self.update_pools(now);
    }

    /// The per-pool share of `agents_max`, but at least [`POOL_AGENTS_MIN`].
    fn pool_agents_max(&self) -> usize {
        let pools = self.pools.len().max(1);
        (self.options.agents_max / pools).max(POOL_AGENTS_MIN)
    }

    /// Selects the subset of a pool's agents that this entry connects to.
    fn pool_members(&self, target: &Target) -> Vec<Member> {
        let serving = || self.members.iter().filter(|member| member.serves(target));
        let pairs = serving().map(|member| (&member.endpoint, &member.zone));
        let options = &self.options;
        let subset = endpoint_subset(&options.entry, &options.zone, pairs, self.pool_agents_max());
        serving()
            .filter(|member| subset.contains(&member.endpoint))
            .cloned()
            .collect()
    }

    fn update_members(&mut self, now: Time, members: Vec<Member>) {
        self.members = members;
        self.update_pools(now);
    }

    /// Reassigns the live agents to the pools and updates the connections to match.
    fn update_pools(&mut self, now: Time) {
        let targets: Vec<Target> = self.pools.keys().cloned().collect();
        for target in targets {
            let pool_members = self.pool_members(&target);
            if let Some(pool) = self.pools.get_mut(&target) {
                pool.set_members(now, pool_members);
            }
        }
        self.update_links();
    }

    /// Opens connections to all pool members and drops all others.
    fn update_links(&mut self) {
        let required: BTreeMap<EndpointId, Member> = self
            .pools
            .values()
            .flat_map(Pool::members)
            .map(|member| (member.endpoint.clone(), member.clone()))
            .collect();
        self.links.retain(|endpoint, link| {
            required
                .get(endpoint)
                .is_some_and(|member| member.peers == link.member.peers)
        });
        for (endpoint, member) in required {
            if !self.links.contains_key(&endpoint) {
                self.connect(member);
            }
        }
    }

    fn connect(&mut self, member: Member) {
        let Some(client) = self.open_client(&member) else {
            return;
        };
        let watch_task = tokio::task::spawn_local(watch_load(
            client.clone(),
            Rc::clone(&self.options),
            self.commands.clone(),
        ));
        let link = Link {
            client,
            epoch: 0,
            watch_task: watch_task.abort_handle(),
            member,
        };
        self.links.insert(link.member.endpoint.clone(), link);
    }

    fn open_client(&self, member: &Member) -> Option<AgentLink> {
        let result = self
            .options
            .linker
            .channel(&member.peers.to_string())
            .map(AgentClient::new);
        if let Err(error) = &result {
            log::error!(endpoint:% = member.endpoint; "failed to create a client for the agent: {error}");
        }
        result.ok()
    }

    /// Returns a connection to any live agent, including those outside the pool subsets.
    fn find_agent(&self, endpoint: &EndpointId) -> Option<AgentConnection> {
        if let Some(link) = self.links.get(endpoint) {
            return Some(AgentConnection {
                client: link.client.clone(),
                epoch: link.epoch,
            });
        }
        let member = self.members.iter().find(|m| m.endpoint == *endpoint)?;
        self.open_client(member)
            .map(|client| AgentConnection { client, epoch: 0 })
    }

    fn update_load(&mut self, now: Time, report: &v1::LoadReport) {
        let Ok(endpoint) = report.endpoint.parse::<EndpointId>() else {
            return;
        };
        if let Some(link) = self.links.get_mut(&endpoint) {
            link.epoch = link.epoch.max(report.epoch);
        }
        let Ok(load) = EndpointLoad::try_from(report) else {
            return;
        };
        for pool in self.pools.values_mut() {
            pool.load(now, &endpoint, load);
        }
    }
}

async fn watch_load(
    mut client: AgentLink,
    options: Rc<RoutingOptions>,
    commands: BoundedSender<Command>,
) {
    loop {
        let request = v1::WatchRequest {
            entry: options.entry.to_string(),
        };
        if let Ok(reports) = client.watch(request).await {
            let mut reports = reports.into_inner();
            while let Some(Ok(report)) = reports.next().await {
                if commands.send(Command::Load(report)).await.is_err() {
                    return;
                }
            }
        }
        tokio::time::sleep(WATCH_RETRY_DELAY.into()).await;
    }
}
