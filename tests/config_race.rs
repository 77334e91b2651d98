//! Operators who race, over a table whose answers get lost.
//!
//! The table is a few rows; writes to it are applied at once, later, or never,
//! and their answers arrive or don't. What operators are told is held against
//! the trail that is left at the end.

use hibiscusroad::config::{
    Attempt, Audit, Change, Command, Document, Next, Plan, Register, Rows, Target, Verdict,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

#[derive(Default)]
struct Table {
    document: Document,
    commands: BTreeMap<String, u64>,
    trail: Vec<Audit>,
    history: Vec<Document>,
}

impl Table {
    fn read(&self, id: &str) -> Rows {
        Rows {
            document: self.document.clone(),
            made: self.commands.get(id).copied(),
        }
    }

    /// Applies a plan on the conditions that the daemon's transaction has.
    fn write(&mut self, plan: &Plan) -> bool {
        let command = &plan.audit.command;
        if self.document.version != plan.base || self.commands.contains_key(command) {
            return false;
        }
        self.document = plan.next.clone();
        self.commands.insert(command.clone(), plan.next.version);
        self.trail.push(plan.audit.clone());
        self.history.push(plan.next.clone());
        true
    }
}

/// What becomes of one write.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    LostAfter,
    LostBefore,
    Delayed,
}

/// One entry that works on one command.
struct Worker {
    id: String,
    attempt: Attempt,
    rows: Option<Rows>,
    told: Option<Verdict>,
}

impl Worker {
    fn new(n: u64, base: u64) -> Self {
        // Each command goes through two entries; the commands
        // drain and undrain two hosts, so that some are refused.
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
            who: format!("operator-{n}"),
            change,
            dry: false,
            force: false,
        };
        Self {
            id,
            attempt: Attempt::new(command, String::new()),
            rows: None,
            told: None,
        }
    }

    fn step(&mut self, table: &mut Table, late: &mut Vec<Plan>, fate: Fate) {
        if self.told.is_some() {
            return;
        }
        let Some(rows) = self.rows.take() else {
            self.rows = Some(table.read(&self.id));
            return;
        };
        let plan = match self.attempt.look(&rows, 0) {
            Next::Tell(verdict) => {
                self.told = Some(verdict);
                return;
            }
            Next::Write(plan) => *plan,
            Next::Wait => return,
        };
        match fate {
            Fate::Answered => {
                if table.write(&plan) {
                    self.told = Some(Verdict::Done(plan.next.version));
                }
            }
            Fate::LostAfter => {
                table.write(&plan);
                self.attempt.lost(plan);
            }
            Fate::LostBefore => self.attempt.lost(plan),
            Fate::Delayed => {
                late.push(plan.clone());
                self.attempt.lost(plan);
            }
        }
    }
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        3 => Just(Fate::Answered),
        1 => Just(Fate::LostAfter),
        1 => Just(Fate::LostBefore),
        1 => Just(Fate::Delayed),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    // Twenty entries carry ten commands, written for versions 0 to 3. Whoever is
    // told "done" finds the command in the trail; whoever is told anything else
    // never does, not even after writes that come late; no command stands there
    // twice, and versions have no gap.
    #[test]
    fn verdicts_agree_with_the_trail(
        steps in prop::collection::vec((0_usize..20, fate(), 0_u8..4), 0..200),
        bases in prop::collection::vec(0_u64..4, 10),
    ) {
        let mut table = Table::default();
        let mut late = Vec::new();
        let mut workers: Vec<Worker> = (0_u64..20)
            .map(|n| Worker::new(n, bases[usize::try_from(n / 2).unwrap()]))
            .collect();
        for (n, fate, delay) in steps {
            workers[n].step(&mut table, &mut late, fate);
            if delay == 0 && !late.is_empty() {
                let plan = late.remove(0);
                table.write(&plan);
            }
        }
        for plan in late {
            table.write(&plan);
        }
        for (n, line) in table.trail.iter().enumerate() {
            prop_assert_eq!(line.version, n as u64 + 1);
        }
        for worker in &workers {
            let lines: Vec<&Audit> = table.trail.iter().filter(|l| l.command == worker.id).collect();
            prop_assert!(lines.len() <= 1, "command {} stands twice", worker.id);
            match &worker.told {
                Some(Verdict::Done(version)) => {
                    prop_assert_eq!(lines.first().map(|l| l.version), Some(*version));
                }
                Some(verdict) => prop_assert!(lines.is_empty(), "{:?} is in the trail", verdict),
                None => {}
            }
        }
    }

    // News arrives in any order and repeated; the version in force only rises.
    #[test]
    fn an_older_version_is_never_applied(order in prop::collection::vec(0_u64..30, 1..100)) {
        let mut register = Register::new();
        for version in order {
            let before = register.version();
            let taken = register.offer(Document { version, ..Document::default() });
            prop_assert_eq!(taken, version > before);
            prop_assert_eq!(register.version(), before.max(version));
        }
    }
}
