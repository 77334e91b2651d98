//! Making faults happen, and undoing them.

use super::plan::{Fault, Planned};
use crate::{
    deployment::{Deployment, Error, Member, put},
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
const STOP: Duration = Duration::from_secs(40);

/// Operators who race.
const OPERATORS: usize = 10;

/// A fault that happened.
#[derive(Clone, Debug, PartialEq)]
pub struct Done {
    /// The fault.
    pub fault: Fault,
    /// When it began, counted from the start of the load.
    pub from: Duration,
    /// When it was undone.
    pub to: Duration,
    /// What operators were told, in the order of their statements.
    pub told: Vec<Told>,
    /// What kept the fault from beginning or ending.
    pub failed: Option<String>,
}

/// What an operator was told.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// When, counted from the start of the load.
    pub at: Duration,
    /// What was asked.
    pub statement: String,
    /// What was printed.
    pub answer: String,
}

/// Starts a relay before each side.
pub(super) fn relays(deployment: &Deployment) -> Result<Vec<Relay>, Error> {
    let sides = deployment.sides.iter();
    let relays = sides.map(|side| Relay::start(ANY_LOOPBACK_PORT, side.daemon.address));
    Ok(relays.collect::<io::Result<_>>()?)
}

/// Puts the daemons on the host list, the sides behind their relays.
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
    put(&format!("http://{}/hosts", deployment.platform), &body)
}

/// Makes planned faults happen.
pub(super) struct Injector<'a> {
    deployment: &'a mut Deployment,
    relays: Vec<Relay>,
    start: Instant,
    /// Faults at work, with the time when each is to be undone.
    active: Vec<(Duration, usize)>,
    done: Vec<Done>,
    /// Operators who wait for an answer, by the fault that they belong to. They
    /// may wait long while the platform is down; faults go on meanwhile.
    operators: Vec<(usize, JoinHandle<Told>)>,
}

impl<'a> Injector<'a> {
    pub(super) fn new(deployment: &'a mut Deployment, relays: Vec<Relay>, start: Instant) -> Self {
        Self {
            deployment,
            relays,
            start,
            active: Vec::new(),
            done: Vec::new(),
            operators: Vec::new(),
        }
    }

    /// Runs through the plan; returns when all is undone.
    pub(super) fn run(&mut self, plan: &[Planned], interrupt: &Interrupt) {
        for planned in plan {
            self.undo_until(planned.at, interrupt);
            if interrupt.is_asked() {
                break;
            }
            interrupt.sleep_until(self.start + planned.at);
            self.begin(planned);
        }
        self.undo_until(Duration::MAX, interrupt);
    }

    /// Waits for the operators and returns what happened.
    pub(super) fn finish(mut self) -> Vec<Done> {
        for (index, operator) in self.operators {
            if let Ok(told) = operator.join() {
                self.done[index].told.push(told);
            }
        }
        self.done
    }

    fn undo_until(&mut self, until: Duration, interrupt: &Interrupt) {
        while let Some(at) = self.active.iter().map(|(at, _)| *at).min() {
            if at > until {
                return;
            }
            interrupt.sleep_until(self.start + at);
            let due = self.active.iter().position(|(end, _)| *end == at);
            let (_, index) = self.active.remove(due.unwrap_or(0));
            if let Err(error) = self.undo(index) {
                self.done[index].failed = Some(format!("not undone: {error}"));
            }
            self.done[index].to = self.start.elapsed();
        }
    }

    fn begin(&mut self, planned: &Planned) {
        // One process can't be killed and frozen at once.
        let busy = |done: &Done| target(done.fault) == target(planned.fault);
        let mut active = self.active.iter().map(|(_, index)| &self.done[*index]);
        if target(planned.fault).is_some() && active.any(busy) {
            return;
        }
        let from = self.start.elapsed();
        let index = self.done.len();
        let failed = self.inject(planned.fault, index);
        self.done.push(Done {
            fault: planned.fault,
            from,
            to: Duration::MAX,
            told: Vec::new(),
            failed: failed.err().map(|error| format!("not done: {error}")),
        });
        self.active.push((from + planned.last, index));
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
            Fault::StoreDown => self.platform(&json!({ "down": true }))?,
            Fault::StoreSlow(ms) => self.platform(&json!({ "slow_ms": ms }))?,
            Fault::LoseAnswers => self.platform(&json!({ "lose_answers": "every 2" }))?,
            Fault::SilenceLink(n, forth) => self.relays[n].silence(if forth {
                Direction::Forth
            } else {
                Direction::Back
            }),
            Fault::CutLink(n) => self.relays[n].cut_all(),
            Fault::DelayLink(n, ms) => self.relays[n].set_delay(Duration::from_millis(ms)),
            Fault::Drain(n) => self.operate(index, self.drain_statement("drain", n)),
            Fault::Race => self.race(index),
        }
        Ok(())
    }

    fn undo(&mut self, index: usize) -> Result<(), Error> {
        match self.done[index].fault {
            Fault::KillEntry(n) => restarted(&mut self.deployment.entries[n]),
            Fault::KillSide(n) => restarted(&mut self.deployment.sides[n]),
            Fault::KillEndpoint(n) => self.deployment.endpoints[n].process.restart(),
            Fault::FreezeEntry(n) => self.deployment.entries[n].process.thaw(),
            Fault::FreezeSide(n) => self.deployment.sides[n].process.thaw(),
            Fault::FreezeEndpoint(n) => self.deployment.endpoints[n].process.thaw(),
            Fault::StopEntry(n) => stopped(&mut self.deployment.entries[n]),
            Fault::StopSide(n) => stopped(&mut self.deployment.sides[n]),
            Fault::StoreDown | Fault::StoreSlow(_) | Fault::LoseAnswers => {
                self.platform(&json!({ "down": false, "slow_ms": 0, "lose_answers": "none" }))
            }
            Fault::DelayLink(n, _) => {
                self.relays[n].set_delay(Duration::ZERO);
                Ok(())
            }
            Fault::Drain(n) => {
                self.operate(index, self.drain_statement("undrain", n));
                Ok(())
            }
            Fault::SilenceLink(..) | Fault::CutLink(_) | Fault::Race => Ok(()),
        }
    }

    fn platform(&self, faults: &serde_json::Value) -> Result<(), Error> {
        let url = format!("http://{}/control", self.deployment.platform);
        ureq::post(url).send(faults.to_string())?;
        Ok(())
    }

    fn drain_statement(&self, verb: &str, plain: usize) -> String {
        let service = self.deployment.spec.services[1].name;
        format!("{verb} endpoint {service}-{}", plain + 1)
    }

    fn operate(&mut self, index: usize, statement: String) {
        let (operator, start) = (self.deployment.operator(), self.start);
        let waits = thread::spawn(move || {
            let answer = operator.say(&statement);
            Told {
                at: start.elapsed(),
                statement,
                answer,
            }
        });
        self.operators.push((index, waits));
    }

    /// Ten operators alter one rule at once, through whatever entry answers.
    fn race(&mut self, index: usize) {
        let service = self.deployment.spec.services[1].name;
        for n in 0..OPERATORS {
            let depth = 100 + index * OPERATORS + n;
            self.operate(
                index,
                format!("alter service {service} set depth = {depth}"),
            );
        }
    }
}

/// Starts a process again and waits until it listens: a signal before that
/// would end it before it can know of signals.
fn restarted(member: &mut Member) -> Result<(), Error> {
    member.process.restart()?;
    member.process.wait_for(member.daemon.address)
}

/// Waits for a planned stop to end, and starts the process again.
fn stopped(member: &mut Member) -> Result<(), Error> {
    let status = member.process.wait(Instant::now() + STOP)?;
    restarted(member)?;
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

/// The process that a fault is about.
const fn target(fault: Fault) -> Option<(u8, usize)> {
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
