//! An order stream, an engine and the agents that follow each other beside it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use lentil_core::{BootId, FenceNumber, ModelId, Offset, Span, Time};
use lentil_order::{
    Action, Answer, Assignment, Bounds, ChangeRequest, ClaimHolder, ClaimHolderSettings,
    EndpointStatus, EngineFencing, Event, Order, Record,
};
use lentil_scenario::Subject;
use serde::Deserialize;

pub(crate) const LEASE: Span = Span::from_s(10);
pub(crate) const MARGIN: Span = Span::from_s(1);

#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Step {
    /// An agent starts.
    Start(u64),
    /// The plan asks for a model.
    Want {
        boot: u64,
        model: String,
    },
    /// The oldest append reaches the log; its agent hears nothing.
    Append(u64),
    /// The oldest append is lost.
    Lose(u64),
    /// The agent reads all records.
    Read(u64),
    /// The agent checks its order, sends it and hears the answer.
    Send(u64),
    /// The same, but the answer is lost.
    SendUnanswered(u64),
    /// The agent asks the engine what it loaded.
    Ask(u64),
    Tick(u64),
    /// The engine finishes what it loads.
    Load,
    /// Somebody else orders a model.
    Foreign(String),
}

struct Agent {
    holder: ClaimHolder,
    appends: VecDeque<Record>,
    order: Option<Order>,
    read: usize,
}

pub(crate) struct World {
    fencing: EngineFencing,
    agents: BTreeMap<u64, Agent>,
    log: Vec<Record>,
    loaded: Option<Assignment>,
    loading: Option<Assignment>,
    newest: FenceNumber,
    pub(crate) executed: Vec<FenceNumber>,
}

pub(crate) fn assignment(model: &str) -> Assignment {
    Assignment {
        model: model.parse().unwrap(),
        version: "v1".parse().unwrap(),
        adapters: BTreeSet::new(),
        role: lentil_order::Role::Mixed,
    }
}

impl World {
    pub(crate) fn new(fencing: EngineFencing) -> Self {
        Self {
            fencing,
            agents: BTreeMap::new(),
            log: Vec::new(),
            loaded: None,
            loading: None,
            newest: FenceNumber::default(),
            executed: Vec::new(),
        }
    }

    fn start(&mut self, boot: u64) {
        let settings = ClaimHolderSettings {
            fencing: self.fencing,
            lease: LEASE,
            send_margin: MARGIN,
            retry_interval: Span::from_s(1),
        };
        let holder = ClaimHolder::new("e".parse().unwrap(), BootId::new(boot), settings);
        let agent = Agent {
            holder,
            appends: VecDeque::new(),
            order: None,
            read: 0,
        };
        self.agents.entry(boot).or_insert(agent);
    }

    fn on(&mut self, now: Time, boot: u64, event: Event) -> Vec<String> {
        let Some(agent) = self.agents.get_mut(&boot) else {
            return Vec::new();
        };
        let mut facts = Vec::new();
        for action in agent.holder.on(now, event) {
            facts.push(match action {
                Action::Append(record) => {
                    let text = match &record {
                        Record::Claim(claim) => format!("claim {}", claim.to),
                        Record::Renewed { number, .. } => format!("renew {number}"),
                        Record::Finished { number, .. } => format!("finish {number}"),
                        Record::Dropped { number, .. } => format!("drop {number}"),
                    };
                    agent.appends.push_back(record);
                    format!("{boot} appends {text}")
                }
                Action::QueryStatus => format!("{boot} asks"),
                Action::SendOrder(order) => {
                    let text = format!("{boot} orders {}", order.number());
                    agent.order = Some(order);
                    text
                }
                Action::ClaimRefused(refusal) => format!("{boot} gives up: {refusal}"),
                Action::Loaded(held) => format!("{boot} holds {held}"),
                Action::Superseded => format!("{boot} is superseded"),
            });
        }
        facts
    }

    fn execute(&mut self, number: FenceNumber, to: Assignment) -> Answer {
        if self.fencing == EngineFencing::Enforced && number < self.newest {
            return Answer::OldNumber;
        }
        self.newest = self.newest.max(number);
        if self.loading.is_some() {
            return Answer::Busy;
        }
        self.executed.push(number);
        self.loading = Some(to);
        Answer::Started
    }

    fn send(&mut self, now: Time, boot: u64, answered: bool) -> Vec<String> {
        let order = self.agents.get_mut(&boot).and_then(|a| a.order.take());
        let Some(order) = order else {
            return Vec::new();
        };
        let checked = match order.check(now) {
            Ok(checked) => checked,
            Err(lapsed) => {
                let number = lapsed.number;
                let mut facts = vec![format!("{boot} does not send {number}: lapsed")];
                facts.extend(self.on(now, boot, Event::NotSent { number }));
                return facts;
            }
        };
        let number = checked.number;
        let answer = self.execute(number, checked.to);
        let mut facts = vec![format!("engine answers {number}: {answer:?}")];
        let event = match answered {
            true => Event::OrderAnswered { number, answer },
            false => Event::AnswerLost { number },
        };
        facts.extend(self.on(now, boot, event));
        facts
    }

    fn read(&mut self, now: Time, boot: u64) -> Vec<String> {
        let read = self
            .agents
            .get(&boot)
            .map_or(usize::MAX, |agent| agent.read);
        let records: Vec<_> = self.log.iter().cloned().enumerate().skip(read).collect();
        if let Some(agent) = self.agents.get_mut(&boot) {
            agent.read = self.log.len();
        }
        let mut facts = Vec::new();
        for (index, record) in records {
            let offset = Offset::new(u64::try_from(index).unwrap() + 1);
            facts.extend(self.on(now, boot, Event::RecordRead { offset, record }));
        }
        facts
    }

    fn want(&mut self, now: Time, boot: u64, model: &str) -> Vec<String> {
        let from = self.loaded.as_ref().map(|held| held.model.clone());
        let wanted = ChangeRequest {
            from: from.filter(|held: &ModelId| held.as_str() != model),
            to: assignment(model),
            from_live: 3,
            to_live: 0,
            bounds: Bounds {
                changing_max: 1,
                replicas_min: 1,
                fetching_max: 1,
            },
        };
        self.on(now, boot, Event::ChangeRequested(wanted))
    }

    fn append(&mut self, boot: u64, arrives: bool) -> Vec<String> {
        let agent = self.agents.get_mut(&boot);
        let record = agent.and_then(|agent| agent.appends.pop_front());
        if arrives {
            self.log.extend(record);
        }
        Vec::new()
    }
}

impl Subject for World {
    type Step = Step;

    fn apply(&mut self, now: Time, step: Step) -> Vec<String> {
        match step {
            Step::Start(boot) => self.start(boot),
            Step::Want { boot, model } => return self.want(now, boot, &model),
            Step::Append(boot) => return self.append(boot, true),
            Step::Lose(boot) => return self.append(boot, false),
            Step::Read(boot) => return self.read(now, boot),
            Step::Send(boot) => return self.send(now, boot, true),
            Step::SendUnanswered(boot) => return self.send(now, boot, false),
            Step::Ask(boot) => {
                let status = EndpointStatus {
                    loaded: self.loaded.clone(),
                    changing: self.loading.is_some(),
                };
                return self.on(now, boot, Event::Status(status));
            }
            Step::Tick(boot) => return self.on(now, boot, Event::Tick),
            Step::Load => self.loaded = self.loading.take().or(self.loaded.take()),
            Step::Foreign(model) => self.loaded = Some(assignment(&model)),
        }
        Vec::new()
    }
}
