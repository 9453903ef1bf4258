//! The thread that keeps links to agents and routes requests to them.

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
use crate::pool::{News, Place, Pool};

/// Wait before a broken watch is begun again.
const WATCH_RETRY: Span = Span::from_ms(250);
/// Time between two turns of the routers' timers.
const TICK: Span = Span::from_ms(20);
/// Agents that each pool may have, however many pools share the bound.
const POOL_AGENTS_MIN: usize = 4;
/// Advice when to repeat, where no endpoint serves what is asked for.
const NO_ENDPOINT_RETRY: Span = Span::from_s(1);

/// What other threads tell the routing thread.
#[derive(Debug)]
pub(crate) enum Command {
    /// The live agents.
    Members(Vec<Member>),
    /// An agent's load.
    Load(v1::LoadReport),
    /// A request needs a place.
    Ask {
        target: Target,
        request: Request,
        places: BoundedSender<Place>,
    },
    /// An attempt came to something.
    News {
        target: Target,
        request: RequestId,
        endpoint: EndpointId,
        news: News,
    },
    /// The request's caller left.
    Cancel { target: Target, request: RequestId },
    /// A request needs one agent and no other.
    Find {
        endpoint: EndpointId,
        reply: oneshot::Sender<Option<Picked>>,
    },
}

/// The link to an endpoint's agent.
#[derive(Debug, Clone)]
pub(crate) struct Picked {
    pub(crate) client: AgentLink,
    /// What calls with a key name as the agent's boot; 0 when not yet told.
    pub(crate) epoch: u64,
}

/// What the routing thread needs to know of its entry.
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
    watch: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.watch.abort();
    }
}

struct Routing {
    options: Rc<RoutingOptions>,
    commands: BoundedSender<Command>,
    members: Vec<Member>,
    links: BTreeMap<EndpointId, Link>,
    pools: BTreeMap<Target, Pool>,
}

/// Runs the routing thread until its ring closes.
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
    let mut ticks = tokio::time::interval(TICK.into());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            command = inbox.recv() => match command {
                Some(command) => routing.on(command),
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

    fn on(&mut self, command: Command) {
        let now = self.now();
        match command {
            Command::Members(members) => self.members(now, members),
            Command::Load(report) => self.load(now, &report),
            Command::Ask {
                target,
                request,
                places,
            } => self.ask(now, &target, request, places),
            Command::News {
                target,
                request,
                endpoint,
                news,
            } => {
                if let Some(pool) = self.pools.get_mut(&target) {
                    pool.news(now, request, endpoint, news);
                }
            }
            Command::Cancel { target, request } => {
                if let Some(pool) = self.pools.get_mut(&target) {
                    pool.cancel(now, request);
                }
            }
            Command::Find { endpoint, reply } => {
                let _ = reply.send(self.find(&endpoint));
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        for pool in self.pools.values_mut() {
            pool.tick(now);
        }
    }

    fn ask(&mut self, now: Time, target: &Target, request: Request, places: BoundedSender<Place>) {
        if !self.pools.contains_key(target) {
            if !self.members.iter().any(|member| member.serves(target)) {
                let refusal = Refusal::not_run(NotRunProof::NeverSent, RefusalReason::Overloaded);
                let refusal = refusal.retry_after(NO_ENDPOINT_RETRY);
                let _ = places.try_send(Place::Nowhere(refusal));
                return;
            }
            self.open_pool(now, target);
        }
        if let Some(pool) = self.pools.get_mut(target) {
            pool.ask(now, request, places);
        }
    }

    fn open_pool(&mut self, now: Time, target: &Target) {
        let shape = RouterConfig {
            zone: self.options.zone.clone(),
            queue_max: self.options.queue_max,
            mode: SendMode::Optimistic,
            seed: rand::random(),
        };
        self.pools.insert(target.clone(), Pool::new(shape));
        self.choose(now);
    }

    /// How many links each pool may have, so that all stay inside the bound.
    fn pool_agents_max(&self) -> usize {
        let pools = self.pools.len().max(1);
        (self.options.agents_max / pools).max(POOL_AGENTS_MIN)
    }

    /// The members of a pool that this entry keeps links to.
    fn chosen(&self, target: &Target) -> Vec<Member> {
        let serving = || self.members.iter().filter(|member| member.serves(target));
        let pairs = serving().map(|member| (&member.endpoint, &member.zone));
        let options = &self.options;
        let picked = endpoint_subset(&options.entry, &options.zone, pairs, self.pool_agents_max());
        serving()
            .filter(|member| picked.contains(&member.endpoint))
            .cloned()
            .collect()
    }

    fn members(&mut self, now: Time, members: Vec<Member>) {
        self.members = members;
        self.choose(now);
    }

    /// Gives each pool its part of the live agents, and keeps links to those.
    fn choose(&mut self, now: Time) {
        let targets: Vec<Target> = self.pools.keys().cloned().collect();
        for target in targets {
            let chosen = self.chosen(&target);
            if let Some(pool) = self.pools.get_mut(&target) {
                pool.members(now, chosen);
            }
        }
        self.keep_links();
    }

    /// Connects to the pools' members, and to no other agent.
    fn keep_links(&mut self) {
        let wanted: BTreeMap<EndpointId, Member> = self
            .pools
            .values()
            .flat_map(Pool::endpoints)
            .map(|member| (member.endpoint.clone(), member.clone()))
            .collect();
        self.links.retain(|endpoint, link| {
            wanted
                .get(endpoint)
                .is_some_and(|member| member.peers == link.member.peers)
        });
        for (endpoint, member) in wanted {
            if !self.links.contains_key(&endpoint) {
                self.connect(member);
            }
        }
    }

    fn connect(&mut self, member: Member) {
        let Some(client) = self.client(&member) else {
            return;
        };
        let watch = tokio::task::spawn_local(watch(
            client.clone(),
            Rc::clone(&self.options),
            self.commands.clone(),
        ));
        let link = Link {
            client,
            epoch: 0,
            watch: watch.abort_handle(),
            member,
        };
        self.links.insert(link.member.endpoint.clone(), link);
    }

    fn client(&self, member: &Member) -> Option<AgentLink> {
        let linked = self
            .options
            .linker
            .channel(&member.peers.to_string())
            .map(AgentClient::new);
        if let Err(error) = &linked {
            log::error!(endpoint:% = member.endpoint; "no link to an agent: {error}");
        }
        linked.ok()
    }

    /// A link to any live agent, also to one outside of the subset.
    fn find(&self, endpoint: &EndpointId) -> Option<Picked> {
        if let Some(link) = self.links.get(endpoint) {
            return Some(Picked {
                client: link.client.clone(),
                epoch: link.epoch,
            });
        }
        let member = self.members.iter().find(|m| m.endpoint == *endpoint)?;
        self.client(member)
            .map(|client| Picked { client, epoch: 0 })
    }

    fn load(&mut self, now: Time, report: &v1::LoadReport) {
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

async fn watch(
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
        tokio::time::sleep(WATCH_RETRY.into()).await;
    }
}
