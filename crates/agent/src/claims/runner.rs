//! Event loop of the claims thread.

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
use crate::request::{ServiceCall, refusal_reply};

/// Time limit for a graceful stop to get the last results into the log.
const DRAIN_TIMEOUT: Span = Span::from_s(10);
/// Upper bound on the sleep between two ticks of the state machine.
const SLEEP_MAX: Span = Span::from_s(1);

struct Pending {
    call: ServiceCall,
    reply: oneshot::Sender<v1::CallReply>,
}

struct Draining {
    done: SyncSender<()>,
    until: Time,
}

struct ClaimRunner {
    identity: Identity,
    claims: ClaimStateMachine,
    stream: Rc<ClaimStream>,
    admission: BoundedSender<Command>,
    self_sender: BoundedSender<ClaimCommand>,
    pending: HashMap<AttemptId, Pending>,
    settling: HashMap<AttemptId, oneshot::Sender<Outcome>>,
    draining: Option<Draining>,
}

/// Runs the claims thread until it has drained or its command channel closes.
pub(crate) async fn run(
    identity: Identity,
    service: String,
    platform: PlatformSettings,
    commands: BoundedReceiver<ClaimCommand>,
    self_sender: BoundedSender<ClaimCommand>,
    admission: BoundedSender<Command>,
) {
    let options = ClientOptions {
        base_url: platform.log_url,
        timeout: Span::from_ms(platform.timeout_ms.get()),
    };
    let log = match HttpLog::new(&options).await {
        Ok(log) => log,
        Err(error) => {
            log::error!("creating the log client failed, keyed calls are not served: {error}");
            return;
        }
    };
    let executor = Executor {
        endpoint: identity.endpoint.clone(),
        boot: identity.boot,
    };
    let now = identity.clock.now();
    let mut runner = ClaimRunner {
        claims: ClaimStateMachine::new(now, executor, Limits::default(), Offset::new(0)),
        stream: ClaimStream::new(Box::new(log), &service),
        identity,
        admission,
        self_sender,
        pending: HashMap::new(),
        settling: HashMap::new(),
        draining: None,
    };
    runner.handle_event(Event::Tick);
    while !runner.is_drained() {
        let sleep = runner.sleep_time();
        match tokio::time::timeout(sleep.into(), commands.recv()).await {
            Ok(Some(command)) => runner.on_command(command),
            Ok(None) => return,
            Err(_) => runner.handle_event(Event::Tick),
        }
    }
}

impl ClaimRunner {
    fn sleep_time(&self) -> Span {
        let now = self.identity.clock.now();
        self.claims.next_wake().since(now).min(SLEEP_MAX)
    }

    fn on_command(&mut self, command: ClaimCommand) {
        match command {
            ClaimCommand::Call {
                call,
                key,
                boot,
                reply,
            } => {
                let event = self.call_event(&call, KeyDigest::of(&key), boot);
                self.on_call(event, call, reply);
            }
            ClaimCommand::Settle {
                attempt,
                key,
                boot,
                reply,
            } => {
                self.settling.insert(attempt, reply);
                let key = KeyDigest::of(&key);
                self.handle_event(Event::Settle { attempt, key, boot });
            }
            ClaimCommand::Finished { claim, result } => {
                self.handle_event(Event::Finished { claim, result });
            }
            ClaimCommand::Appended { sequence, result } => {
                self.handle_event(Event::Appended { sequence, result });
            }
            ClaimCommand::Read {
                from,
                batches,
                next,
                first,
            } => self.handle_event(Event::Read {
                from,
                batches,
                next,
                first,
            }),
            ClaimCommand::ReadFailed => self.handle_event(Event::ReadFailed),
            ClaimCommand::Drain { done } => self.start_drain(done),
        }
    }

    fn call_event(&self, call: &ServiceCall, key: KeyDigest, boot: lentil_core::BootId) -> Call {
        Call {
            attempt: call.attempt,
            key,
            fingerprint: Fingerprint::of(&call.method, &call.path, &call.body),
            boot,
            expires: call.deadline,
            share: KeyShare::ALL,
            evidence: Evidence::None,
        }
    }

    fn on_call(&mut self, event: Call, call: ServiceCall, reply: oneshot::Sender<v1::CallReply>) {
        if self.draining.is_some() {
            let proof = NotRunProof::AgentTombstone(call.attempt);
            let refusal = Refusal::not_run(proof, RefusalReason::Stopping);
            let _ = reply.send(refusal_reply(call.attempt, refusal));
            return;
        }
        self.pending.insert(call.attempt, Pending { call, reply });
        self.handle_event(Event::Call(event));
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.identity.clock.now();
        for action in self.claims.handle(now, event) {
            self.perform(action);
        }
        self.identity.set_epoch(self.claims.attempts().epoch());
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Append(batch) => {
                let stream = Rc::clone(&self.stream);
                self.spawn(async move { stream.append(&batch).await });
            }
            Action::Read { from } => {
                let stream = Rc::clone(&self.stream);
                self.spawn(async move { stream.read(from).await });
            }
            Action::Run { claim, attempt } => self.run_call(claim, attempt),
            Action::Reply { attempt, reply } => {
                if let Some(pending) = self.pending.remove(&attempt) {
                    let _ = pending.reply.send(reply_to_wire(attempt, reply));
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
                log::warn!(endpoint:% = self.identity.endpoint; "fenced by a later boot of this endpoint's agent");
            }
        }
    }

    /// Runs a task in the background and queues its result as a command.
    fn spawn(&self, task: impl Future<Output = ClaimCommand> + 'static) {
        let self_sender = self.self_sender.clone();
        ntex::rt::spawn(async move {
            let _ = self_sender.send(task.await).await;
        });
    }

    fn run_call(&self, claim: AttemptId, attempt: AttemptId) {
        let (reply, answer) = oneshot::channel();
        let sent = match self.pending.get(&attempt) {
            Some(pending) => {
                let call = pending.call.clone();
                self.admission
                    .try_send(Command::Call { call, reply })
                    .is_ok()
            }
            None => false,
        };
        self.spawn(async move {
            let result = if sent {
                answer
                    .await
                    .map_or(EndpointResult::ConnectionBroken, endpoint_result)
            } else {
                EndpointResult::NotSent
            };
            ClaimCommand::Finished { claim, result }
        });
    }

    fn start_drain(&mut self, done: SyncSender<()>) {
        let until = self.identity.clock.now() + DRAIN_TIMEOUT;
        self.draining = Some(Draining { done, until });
    }

    /// Whether a graceful stop has completed; signals it to the waiting thread.
    fn is_drained(&self) -> bool {
        let Some(draining) = &self.draining else {
            return false;
        };
        let idle = self.pending.is_empty() && self.claims.is_idle();
        let timed_out =
            self.pending.is_empty() && draining.until.has_passed(self.identity.clock.now());
        if idle || timed_out {
            let _ = draining.done.send(());
        }
        idle || timed_out
    }
}

/// Derives the execution result from the reply to a call.
fn endpoint_result(reply: v1::CallReply) -> EndpointResult {
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

fn reply_to_wire(attempt: AttemptId, reply: Reply) -> v1::CallReply {
    let result = match reply {
        Reply::Answered { answer, replayed } => {
            let mut answer = answer_to_wire(&answer);
            answer.replayed = replayed;
            v1::call_reply::Result::Answer(answer)
        }
        Reply::Refused(refusal) => return refusal_reply(attempt, refusal),
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
