//! Injecting faults and undoing them.

use super::plan::{Fault, PlannedFault};
use crate::{
    deployment::{Deployment, Error, Member, put_with_retries},
    interrupt::Interrupt,
};
use hibiscusroad_standins::{
    http::ANY_LOOPBACK_PORT,
    platform::hosts::TargetGroup,
    relay::{Direction, Relay},
};
use serde_json::json;
use std::{
    io,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// How long a planned stop may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// Number of operators who alter one rule at once.
const RACING_OPERATORS: usize = 10;

/// A fault that was injected.
#[derive(Clone, Debug, PartialEq)]
pub struct InjectedFault {
    /// The fault.
    pub fault: Fault,
    /// When it began, counted from the start of the load.
    pub from: Duration,
    /// When it was undone, counted from the start of the load.
    pub to: Duration,
    /// The replies to operators, in the order of their statements.
    pub replies: Vec<OperatorReply>,
    /// The error that kept the fault from beginning or ending.
    pub error: Option<String>,
}

/// A reply to an operator's statement.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorReply {
    /// When the reply was received, counted from the start of the load.
    pub at: Duration,
    /// The statement.
    pub statement: String,
    /// The text of the reply.
    pub answer: String,
}

/// Starts a relay in front of each sidecar.
pub(super) fn start_relays(deployment: &Deployment) -> Result<Vec<Relay>, Error> {
    let sides = deployment.sides.iter();
    let relays = sides.map(|side| Relay::start(ANY_LOOPBACK_PORT, side.daemon.address));
    Ok(relays.collect::<io::Result<_>>()?)
}

/// Puts the daemons on the host list, the sidecars with the addresses of their
/// relays.
pub(super) fn put_hosts(
    deployment: &Deployment,
    relays: &[Relay],
    state: &str,
) -> Result<(), Error> {
    let entries = deployment.entries.iter().map(|e| e.daemon.target(state));
    let sides = deployment
        .sides
        .iter()
        .zip(relays)
        .map(|(side, relay)| TargetGroup {
            targets: vec![relay.addr().to_string()],
            ..side.daemon.target(state)
        });
    let list: Vec<TargetGroup> = entries.chain(sides).collect();
    let body = serde_json::to_string(&list).map_err(io::Error::other)?;
    put_with_retries(&format!("http://{}/hosts", deployment.platform), &body)
}

/// Injects planned faults.
pub(super) struct Injector<'a> {
    deployment: &'a mut Deployment,
    relays: Vec<Relay>,
    start: Instant,
    /// When each active fault is to be undone, and its index in `injected`.
    active: Vec<(Duration, usize)>,
    injected: Vec<InjectedFault>,
    /// Threads of operators, with the index of their fault in `injected`. They
    /// may wait long while the platform is down, so the plan goes on meanwhile.
    operators: Vec<(usize, JoinHandle<OperatorReply>)>,
}

impl<'a> Injector<'a> {
    pub(super) fn new(deployment: &'a mut Deployment, relays: Vec<Relay>, start: Instant) -> Self {
        Self {
            deployment,
            relays,
            start,
            active: Vec::new(),
            injected: Vec::new(),
            operators: Vec::new(),
        }
    }

    /// Injects the planned faults and returns when all are undone.
    pub(super) fn run(&mut self, plan: &[PlannedFault], interrupt: &Interrupt) {
        for planned in plan {
            self.undo_until(planned.at, interrupt);
            if interrupt.is_requested() {
                break;
            }
            interrupt.sleep_until(self.start + planned.at);
            self.begin(planned);
        }
        self.undo_until(Duration::MAX, interrupt);
    }

    /// Waits for the operators' replies and returns the injected faults.
    pub(super) fn finish(mut self) -> Vec<InjectedFault> {
        for (index, operator) in self.operators {
            if let Ok(reply) = operator.join() {
                self.injected[index].replies.push(reply);
            }
        }
        self.injected
    }

    fn undo_until(&mut self, until: Duration, interrupt: &Interrupt) {
        while let Some(at) = self.active.iter().map(|(at, _)| *at).min() {
            if at > until {
                return;
            }
            interrupt.sleep_until(self.start + at);
            let position = self.active.iter().position(|(end, _)| *end == at);
            let (_, index) = self.active.remove(position.unwrap_or(0));
            if let Err(error) = self.undo(index) {
                self.injected[index].error = Some(format!("not undone: {error}"));
            }
            self.injected[index].to = self.start.elapsed();
        }
    }

    fn begin(&mut self, planned: &PlannedFault) {
        // A process can't be killed and frozen at once.
        let same_target =
            |injected: &InjectedFault| fault_target(injected.fault) == fault_target(planned.fault);
        let mut active = self.active.iter().map(|(_, index)| &self.injected[*index]);
        if fault_target(planned.fault).is_some() && active.any(same_target) {
            return;
        }
        let from = self.start.elapsed();
        let index = self.injected.len();
        let result = self.inject(planned.fault, index);
        self.injected.push(InjectedFault {
            fault: planned.fault,
            from,
            to: Duration::MAX,
            replies: Vec::new(),
            error: result.err().map(|error| format!("not done: {error}")),
        });
        self.active.push((from + planned.duration, index));
    }

    fn inject(&mut self, fault: Fault, index: usize) -> Result<(), Error> {
        let Deployment {
            entries,
            sides,
            endpoints,
            ..
        } = &mut *self.deployment;
        match fault {
            Fault::KillEntry(n) => entries[n].process.kill()?,
            Fault::KillSide(n) => sides[n].process.kill()?,
            Fault::KillEndpoint(n) => endpoints[n].process.kill()?,
            Fault::FreezeEntry(n) => entries[n].process.freeze()?,
            Fault::FreezeSide(n) => sides[n].process.freeze()?,
            Fault::FreezeEndpoint(n) => endpoints[n].process.freeze()?,
            Fault::StopEntry(n) => entries[n].process.terminate()?,
            Fault::StopSide(n) => sides[n].process.terminate()?,
            Fault::StoreDown => self.control_platform(&json!({ "down": true }))?,
            Fault::StoreSlow(ms) => self.control_platform(&json!({ "slow_ms": ms }))?,
            Fault::LoseAnswers => self.control_platform(&json!({ "lose_answers": "every 2" }))?,
            Fault::SilenceLink(n, forth) => self.relays[n].silence(if forth {
                Direction::Forth
            } else {
                Direction::Back
            }),
            Fault::CutLink(n) => self.relays[n].cut_all(),
            Fault::DelayLink(n, ms) => self.relays[n].set_delay(Duration::from_millis(ms)),
            Fault::Drain(n) => self.run_statement(index, self.drain_statement("drain", n)),
            Fault::Race => self.race(index),
        }
        Ok(())
    }

    fn undo(&mut self, index: usize) -> Result<(), Error> {
        match self.injected[index].fault {
            Fault::KillEntry(n) => restart(&mut self.deployment.entries[n]),
            Fault::KillSide(n) => restart(&mut self.deployment.sides[n]),
            Fault::KillEndpoint(n) => self.deployment.endpoints[n].process.restart(),
            Fault::FreezeEntry(n) => self.deployment.entries[n].process.thaw(),
            Fault::FreezeSide(n) => self.deployment.sides[n].process.thaw(),
            Fault::FreezeEndpoint(n) => self.deployment.endpoints[n].process.thaw(),
            Fault::StopEntry(n) => restart_after_stop(&mut self.deployment.entries[n]),
            Fault::StopSide(n) => restart_after_stop(&mut self.deployment.sides[n]),
            Fault::StoreDown | Fault::StoreSlow(_) | Fault::LoseAnswers => self
                .control_platform(&json!({ "down": false, "slow_ms": 0, "lose_answers": "none" })),
            Fault::DelayLink(n, _) => {
                self.relays[n].set_delay(Duration::ZERO);
                Ok(())
            }
            Fault::Drain(n) => {
                self.run_statement(index, self.drain_statement("undrain", n));
                Ok(())
            }
            Fault::SilenceLink(..) | Fault::CutLink(_) | Fault::Race => Ok(()),
        }
    }

    fn control_platform(&self, faults: &serde_json::Value) -> Result<(), Error> {
        let url = format!("http://{}/control", self.deployment.platform);
        ureq::post(url).send(faults.to_string())?;
        Ok(())
    }

    fn drain_statement(&self, verb: &str, plain: usize) -> String {
        let service = self.deployment.spec.services[1].name;
        format!("{verb} endpoint {service}-{}", plain + 1)
    }

    fn run_statement(&mut self, index: usize, statement: String) {
        let (operator, start) = (self.deployment.operator(), self.start);
        let handle = thread::spawn(move || {
            let answer = operator.run_statement(&statement);
            OperatorReply {
                at: start.elapsed(),
                statement,
                answer,
            }
        });
        self.operators.push((index, handle));
    }

    /// Lets several operators alter one rule at once.
    fn race(&mut self, index: usize) {
        let service = self.deployment.spec.services[1].name;
        for n in 0..RACING_OPERATORS {
            let depth = 100 + index * RACING_OPERATORS + n;
            self.run_statement(
                index,
                format!("alter service {service} set depth = {depth}"),
            );
        }
    }
}

/// Starts a process again and waits until it listens. A signal before that
/// could kill it because its signal handlers may not be installed yet.
fn restart(member: &mut Member) -> Result<(), Error> {
    member.process.restart()?;
    member.process.wait_for(member.daemon.address)
}

/// Waits until a process has stopped as planned, and starts it again.
/// Returns an error if it exited with a failure, too.
fn restart_after_stop(member: &mut Member) -> Result<(), Error> {
    let status = member.process.wait(Instant::now() + STOP_TIMEOUT)?;
    restart(member)?;
    if status.success() {
        return Ok(());
    }
    let name = member.daemon.name.clone();
    Err(Error::Process(
        name,
        format!("ended with {status}"),
        String::new(),
    ))
}

/// Returns what a fault affects, as a number for the kind and an index. Two
/// faults with one target must not be active together.
const fn fault_target(fault: Fault) -> Option<(u8, usize)> {
    match fault {
        Fault::KillEntry(n) | Fault::FreezeEntry(n) | Fault::StopEntry(n) => Some((0, n)),
        Fault::KillSide(n) | Fault::FreezeSide(n) | Fault::StopSide(n) => Some((1, n)),
        Fault::KillEndpoint(n) | Fault::FreezeEndpoint(n) => Some((2, n)),
        Fault::DelayLink(n, _) => Some((3, n)),
        Fault::Drain(n) => Some((4, n)),
        Fault::StoreDown | Fault::StoreSlow(_) | Fault::LoseAnswers => Some((5, 0)),
        Fault::SilenceLink(..) | Fault::CutLink(_) | Fault::Race => None,
    }
}
