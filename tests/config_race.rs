//! Concurrent commands, over a table whose answers may be lost.
//!
//! Writes to the table are applied at once, later or never, and their answers may be lost.
//! The outcomes of commands are compared with the final audit trail.

use hibiscusroad::config::{
    Attempt, Audit, Change, Command, CommandOutcome, Document, NextStep, Plan, Register, Rows,
    Target,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

#[derive(Default)]
struct Table {
    document: Document,
    commands: BTreeMap<String, u64>,
    audit_trail: Vec<Audit>,
    history: Vec<Document>,
}

impl Table {
    fn read(&self, id: &str) -> Rows {
        Rows {
            document: self.document.clone(),
            committed: self.commands.get(id).copied(),
        }
    }

    /// Applies a plan on the same conditions as the daemon's transaction.
    fn write(&mut self, plan: &Plan) -> bool {
        let command = &plan.audit.command;
        if self.document.version != plan.base || self.commands.contains_key(command) {
            return false;
        }
        self.document = plan.next.clone();
        self.commands.insert(command.clone(), plan.next.version);
        self.audit_trail.push(plan.audit.clone());
        self.history.push(plan.next.clone());
        true
    }
}

/// The effect of a write.
#[derive(Clone, Copy, Debug)]
enum WriteEffect {
    Answered,
    AnswerLost,
    WriteLost,
    Delayed,
}

/// An entry that processes one command.
struct Worker {
    id: String,
    attempt: Attempt,
    rows: Option<Rows>,
    outcome: Option<CommandOutcome>,
}

impl Worker {
    fn new(n: u64, base: u64) -> Self {
        // Two entries process each command. Commands drain and undrain two hosts, so some
        // are refused.
        let id = format!("command-{}", n / 2);
        let target = Target::Host;
        let name = format!("host-{}", n / 2 % 2);
        let change = if n / 2 % 4 < 2 {
            Change::Drain { target, name }
        } else {
            Change::Undrain { target, name }
        };
        let command = Command {
            id: id.clone(),
            base,
            operator: format!("operator-{n}"),
            change,
            dry_run: false,
            force: false,
        };
        Self {
            id,
            attempt: Attempt::new(command, String::new()),
            rows: None,
            outcome: None,
        }
    }

    fn step(&mut self, table: &mut Table, delayed: &mut Vec<Plan>, effect: WriteEffect) {
        if self.outcome.is_some() {
            return;
        }
        let Some(rows) = self.rows.take() else {
            self.rows = Some(table.read(&self.id));
            return;
        };
        let plan = match self.attempt.next_step(&rows, 0) {
            NextStep::Answer(outcome) => {
                self.outcome = Some(outcome);
                return;
            }
            NextStep::Write(plan) => *plan,
            NextStep::Wait => return,
        };
        match effect {
            WriteEffect::Answered => {
                if table.write(&plan) {
                    self.outcome = Some(CommandOutcome::Done(plan.next.version));
                }
            }
            WriteEffect::AnswerLost => {
                table.write(&plan);
                self.attempt.record_lost_answer(plan);
            }
            WriteEffect::WriteLost => self.attempt.record_lost_answer(plan),
            WriteEffect::Delayed => {
                delayed.push(plan.clone());
                self.attempt.record_lost_answer(plan);
            }
        }
    }
}

fn write_effect() -> impl Strategy<Value = WriteEffect> {
    prop_oneof![
        3 => Just(WriteEffect::Answered),
        1 => Just(WriteEffect::AnswerLost),
        1 => Just(WriteEffect::WriteLost),
        1 => Just(WriteEffect::Delayed),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    // Guards against an outcome that contradicts the audit trail, commands that are applied
    // twice and gaps between versions.
    #[test]
    fn outcomes_agree_with_the_audit_trail(
        steps in prop::collection::vec((0_usize..20, write_effect(), 0_u8..4), 0..200),
        bases in prop::collection::vec(0_u64..4, 10),
    ) {
        let mut table = Table::default();
        let mut delayed = Vec::new();
        let mut workers: Vec<Worker> = (0_u64..20)
            .map(|n| Worker::new(n, bases[usize::try_from(n / 2).unwrap()]))
            .collect();
        for (n, effect, delay) in steps {
            workers[n].step(&mut table, &mut delayed, effect);
            if delay == 0 && !delayed.is_empty() {
                let plan = delayed.remove(0);
                table.write(&plan);
            }
        }
        for plan in delayed {
            table.write(&plan);
        }
        for (n, entry) in table.audit_trail.iter().enumerate() {
            prop_assert_eq!(entry.version, n as u64 + 1);
        }
        for worker in &workers {
            let entries: Vec<&Audit> = table
                .audit_trail
                .iter()
                .filter(|entry| entry.command == worker.id)
                .collect();
            prop_assert!(entries.len() <= 1, "command {} is in the audit trail twice", worker.id);
            match &worker.outcome {
                Some(CommandOutcome::Done(version)) => {
                    prop_assert_eq!(entries.first().map(|entry| entry.version), Some(*version));
                }
                Some(outcome) => prop_assert!(
                    entries.is_empty(),
                    "{:?} is in the audit trail",
                    outcome
                ),
                None => {}
            }
        }
    }

    // Guards against a configuration that reverts when documents arrive out of order.
    #[test]
    fn older_version_is_never_applied(order in prop::collection::vec(0_u64..30, 1..100)) {
        let mut register = Register::new();
        for version in order {
            let before = register.version();
            let accepted = register.offer(Document { version, ..Document::default() });
            prop_assert_eq!(accepted, version > before);
            prop_assert_eq!(register.version(), before.max(version));
        }
    }
}
