//! The thread's loop.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;

use lentil_core::{
    AttemptId, Fingerprint, NotRunProof, Offset, Outcome, Refusal, RefusalReason, Span, Time,
};
use lentil_once::{
    Action, Call, ClaimStateMachine, EndpointResult, Event, Evidence, Executor, KeyDigest,
    KeyShare, Limits, Reply,
};
use lentil_platform::{ClientOptions, HttpLog};
use lentil_settings::PlatformSettings;
use lentil_shell::{BoundedReceiver, BoundedSender};
use lentil_wire::v1;
use tokio::sync::oneshot;

use super::ClaimCommand;
use super::codec::{answer_from_wire, answer_to_wire};
use super::stream::ClaimStream;
use crate::admission::Command;
use crate::agent::Identity;
use crate::work::{ServiceCall, refused_call};

/// Longest time that a planned stop waits for the log to show what happened.
const DRAIN_MAX: Span = Span::from_s(10);
/// Longest sleep between two looks at the clock.
const SLEEP_MAX: Span = Span::from_s(1);

struct Pending {
    call: ServiceCall,
    reply: oneshot::Sender<v1::CallReply>,
}

struct Draining {
    done: SyncSender<()>,
    until: Time,
}

struct Duty {
    identity: Identity,
    claims: ClaimStateMachine,
    stream: Rc<ClaimStream>,
    admission: BoundedSender<Command>,
    own: BoundedSender<ClaimCommand>,
    pending: HashMap<AttemptId, Pending>,
    settling: HashMap<AttemptId, oneshot::Sender<Outcome>>,
    draining: Option<Draining>,
}

/// Runs the claims thread until the process stops.
pub(crate) async fn run(
    identity: Identity,
    service: String,
    platform: PlatformSettings,
    inbox: BoundedReceiver<ClaimCommand>,
    own: BoundedSender<ClaimCommand>,
    admission: BoundedSender<Command>,
) {
    let options = ClientOptions {
        base_url: platform.log_url,
        timeout: Span::from_ms(platform.timeout_ms.get()),
    };
    let log = match HttpLog::new(&options).await {
        Ok(log) => log,
        Err(error) => {
            log::error!("no client of the log, keyed calls are not served: {error}");
            return;
        }
    };
    let executor = Executor {
        endpoint: identity.endpoint.clone(),
        boot: identity.boot,
    };
    let now = identity.clock.now();
    let mut duty = Duty {
        claims: ClaimStateMachine::new(now, executor, Limits::default(), Offset::new(0)),
        stream: ClaimStream::new(Box::new(log), &service),
        identity,
        admission,
        own,
        pending: HashMap::new(),
        settling: HashMap::new(),
        draining: None,
    };
    duty.feed(Event::Tick);
    while !duty.is_drained() {
        let sleep = duty.sleep();
        match tokio::time::timeout(sleep.into(), inbox.recv()).await {
            Ok(Some(command)) => duty.on(command),
            Ok(None) => return,
            Err(_) => duty.feed(Event::Tick),
        }
    }
}

impl Duty {
    fn sleep(&self) -> Span {
        let now = self.identity.clock.now();
        self.claims.next_wake().since(now).min(SLEEP_MAX)
    }

    fn on(&mut self, command: ClaimCommand) {
        match command {
            ClaimCommand::Call {
                call,
                key,
                boot,
                reply,
            } => {
                let call_event = self.event_of(&call, KeyDigest::of(&key), boot);
                self.on_call(call_event, call, reply);
            }
            ClaimCommand::Settle {
                attempt,
                key,
                boot,
                reply,
            } => {
                self.settling.insert(attempt, reply);
                let key = KeyDigest::of(&key);
                self.feed(Event::Settle { attempt, key, boot });
            }
            ClaimCommand::Finished { claim, result } => {
                self.feed(Event::Finished { claim, result });
            }
            ClaimCommand::Appended { sequence, result } => {
                self.feed(Event::Appended { sequence, result });
            }
            ClaimCommand::Read {
                from,
                batches,
                next,
                first,
            } => self.feed(Event::Read {
                from,
                batches,
                next,
                first,
            }),
            ClaimCommand::ReadFailed => self.feed(Event::ReadFailed),
            ClaimCommand::Drain { done } => self.drain(done),
        }
    }

    fn event_of(&self, call: &ServiceCall, key: KeyDigest, boot: lentil_core::BootId) -> Call {
        Call {
            attempt: call.attempt,
            key,
            fingerprint: Fingerprint::of(&call.method, &call.path, &call.body),
            boot,
            expires: call.deadline_us,
            share: KeyShare::ALL,
            evidence: Evidence::None,
        }
    }

    fn on_call(&mut self, event: Call, call: ServiceCall, reply: oneshot::Sender<v1::CallReply>) {
        if self.draining.is_some() {
            let proof = NotRunProof::AgentTombstone(call.attempt);
            let refusal = Refusal::not_run(proof, RefusalReason::Stopping);
            let _ = reply.send(refused_call(call.attempt, refusal));
            return;
        }
        self.pending.insert(call.attempt, Pending { call, reply });
        self.feed(Event::Call(event));
    }

    fn feed(&mut self, event: Event) {
        let now = self.identity.clock.now();
        for action in self.claims.handle(now, event) {
            self.act(action);
        }
        self.identity.set_epoch(self.claims.attempts().epoch());
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Append(batch) => {
                let stream = Rc::clone(&self.stream);
                self.spawn(async move { stream.append(&batch).await });
            }
            Action::Read { from } => {
                let stream = Rc::clone(&self.stream);
                self.spawn(async move { stream.read(from).await });
            }
            Action::Run { claim, attempt } => self.run(claim, attempt),
            Action::Reply { attempt, reply } => {
                if let Some(pending) = self.pending.remove(&attempt) {
                    let _ = pending.reply.send(message(attempt, reply));
                }
            }
            Action::Settled { attempt, outcome } => {
                if outcome == Outcome::NotRun {
                    self.pending.remove(&attempt);
                }
                if let Some(reply) = self.settling.remove(&attempt) {
                    let _ = reply.send(outcome);
                }
            }
            Action::Fenced => {
                log::warn!(endpoint:% = self.identity.endpoint; "replaced by a later boot");
            }
        }
    }

    /// Puts what a task says into the thread's own ring.
    fn spawn(&self, task: impl Future<Output = ClaimCommand> + 'static) {
        let own = self.own.clone();
        ntex::rt::spawn(async move {
            let _ = own.send(task.await).await;
        });
    }

    fn run(&self, claim: AttemptId, attempt: AttemptId) {
        let (reply, answer) = oneshot::channel();
        let offered = match self.pending.get(&attempt) {
            Some(pending) => {
                let call = pending.call.clone();
                self.admission
                    .try_send(Command::Call { call, reply })
                    .is_ok()
            }
            None => false,
        };
        self.spawn(async move {
            let result = if offered {
                answer
                    .await
                    .map_or(EndpointResult::ConnectionBroken, result_of)
            } else {
                EndpointResult::NotSent
            };
            ClaimCommand::Finished { claim, result }
        });
    }

    fn drain(&mut self, done: SyncSender<()>) {
        let until = self.identity.clock.now() + DRAIN_MAX;
        self.draining = Some(Draining { done, until });
    }

    /// Whether a planned stop is through.
    fn is_drained(&self) -> bool {
        let Some(draining) = &self.draining else {
            return false;
        };
        let idle = self.pending.is_empty() && self.claims.is_idle();
        let late = self.pending.is_empty() && draining.until.has_passed(self.identity.clock.now());
        if idle || late {
            let _ = draining.done.send(());
        }
        idle || late
    }
}

/// What an answered call says about its execution.
fn result_of(reply: v1::CallReply) -> EndpointResult {
    match reply.result {
        Some(v1::call_reply::Result::Answer(answer)) => {
            EndpointResult::Answered(answer_from_wire(answer))
        }
        Some(v1::call_reply::Result::Refused(refused))
            if refused.outcome() == v1::Outcome::NotRun =>
        {
            EndpointResult::NotSent
        }
        _ => EndpointResult::ConnectionBroken,
    }
}

fn message(attempt: AttemptId, reply: Reply) -> v1::CallReply {
    let result = match reply {
        Reply::Answered { answer, replayed } => {
            let mut answer = answer_to_wire(&answer);
            answer.replayed = replayed;
            v1::call_reply::Result::Answer(answer)
        }
        Reply::Refused(refusal) => return refused_call(attempt, refusal),
        Reply::Follow(executor) => v1::call_reply::Result::Elsewhere(v1::Elsewhere {
            endpoint: executor.endpoint.to_string(),
            boot: executor.boot.get(),
        }),
    };
    v1::CallReply {
        attempt: attempt.to_string(),
        result: Some(result),
    }
}
