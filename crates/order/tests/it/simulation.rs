//! Simulates an order stream, one engine and the successive agents of the engine.

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
    /// The plan requests a model.
    Want { boot: u64, model: String },
    /// The oldest append reaches the log; its agent gets no response.
    Append(u64),
    /// The oldest append is lost.
    Lose(u64),
    /// The agent reads all new records.
    Read(u64),
    /// The agent checks the lease of its order, sends it and gets the answer.
    Send(u64),
    /// The same, but the answer is lost.
    SendUnanswered(u64),
    /// The agent queries the status of the engine.
    Ask(u64),
    /// Time passes for the agent.
    Tick(u64),
    /// The engine finishes loading.
    Load,
    /// Another party orders a model.
    Foreign(String),
}

struct Agent {
    holder: ClaimHolder,
    appends: VecDeque<Record>,
    order: Option<Order>,
    read: usize,
}

pub(crate) struct Simulation {
    fencing: EngineFencing,
    agents: BTreeMap<u64, Agent>,
    log: Vec<Record>,
    loaded: Option<Assignment>,
    loading: Option<Assignment>,
    highest_number: FenceNumber,
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

impl Simulation {
    pub(crate) fn new(fencing: EngineFencing) -> Self {
        Self {
            fencing,
            agents: BTreeMap::new(),
            log: Vec::new(),
            loaded: None,
            loading: None,
            highest_number: FenceNumber::default(),
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
        let mut output = Vec::new();
        for action in agent.holder.on(now, event) {
            output.push(match action {
                Action::Append(record) => {
                    let description = match &record {
                        Record::Claim(claim) => format!("claim {}", claim.to),
                        Record::Renewed { number, .. } => format!("renew {number}"),
                        Record::Finished { number, .. } => format!("finish {number}"),
                        Record::Dropped { number, .. } => format!("drop {number}"),
                    };
                    agent.appends.push_back(record);
                    format!("{boot} appends {description}")
                }
                Action::QueryStatus => format!("{boot} asks"),
                Action::SendOrder(order) => {
                    let description = format!("{boot} orders {}", order.number());
                    agent.order = Some(order);
                    description
                }
                Action::ClaimRefused(refusal) => format!("{boot} gives up: {refusal}"),
                Action::Loaded(held) => format!("{boot} holds {held}"),
                Action::Superseded => format!("{boot} is superseded"),
            });
        }
        output
    }

    fn execute(&mut self, number: FenceNumber, to: Assignment) -> Answer {
        if self.fencing == EngineFencing::Enforced && number < self.highest_number {
            return Answer::OldNumber;
        }
        self.highest_number = self.highest_number.max(number);
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
                let mut output = vec![format!("{boot} does not send {number}: lapsed")];
                output.extend(self.on(now, boot, Event::NotSent { number }));
                return output;
            }
        };
        let number = checked.number;
        let answer = self.execute(number, checked.to);
        let mut output = vec![format!("engine answers {number}: {answer:?}")];
        let event = match answered {
            true => Event::OrderAnswered { number, answer },
            false => Event::AnswerLost { number },
        };
        output.extend(self.on(now, boot, event));
        output
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
        let mut output = Vec::new();
        for (index, record) in records {
            let offset = Offset::new(u64::try_from(index).unwrap() + 1);
            output.extend(self.on(now, boot, Event::RecordRead { offset, record }));
        }
        output
    }

    fn want(&mut self, now: Time, boot: u64, model: &str) -> Vec<String> {
        let from = self.loaded.as_ref().map(|held| held.model.clone());
        let change = ChangeRequest {
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
        self.on(now, boot, Event::ChangeRequested(change))
    }

    fn append(&mut self, boot: u64, is_delivered: bool) -> Vec<String> {
        let agent = self.agents.get_mut(&boot);
        let record = agent.and_then(|agent| agent.appends.pop_front());
        if is_delivered {
            self.log.extend(record);
        }
        Vec::new()
    }
}

impl Subject for Simulation {
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
