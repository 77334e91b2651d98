//! One pass over a settings file that gathers every fault.

use super::schema::{Field, Rule, TABLES, Table, address, clash};
use std::{fmt, net::SocketAddr};
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// Names farther off than this are no likely slip of the hand.
const NEAR: usize = 3;

/// Pairs of listeners that must not share an address.
const APART: &[(&str, &str, &str)] = &[
    ("entry", "callers", "operators"),
    ("side", "links", "address"),
    ("gateway", "callers", "ready"),
    ("gateway", "callers", "metrics"),
    ("gateway", "ready", "metrics"),
    ("gateway", "callers", "peers"),
    ("gateway", "ready", "peers"),
    ("gateway", "metrics", "peers"),
];

/// Tables of which a file has exactly one.
const ROLES: &[&str] = &["entry", "side", "gateway"];

/// One fault of a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// The line, counted from 1.
    pub line: usize,
    /// The key, dotted; empty for a fault of the whole file.
    pub key: String,
    /// What was found.
    pub found: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            line,
            key,
            found,
            allowed,
        } = self;
        let colon = if key.is_empty() { "" } else { ": " };
        write!(f, "{line}: {key}{colon}found {found}; allowed: {allowed}")
    }
}

/// Returns all faults of the file `text`, in the order of its lines.
#[must_use]
pub fn problems(text: &str) -> Vec<Problem> {
    let mut check = Check {
        text,
        problems: Vec::new(),
    };
    let (root, errors) = DeTable::parse_recoverable(text);
    if errors.is_empty() {
        check.table("", &root);
        check.roles(root.get_ref());
        check.apart(root.get_ref());
    }
    for error in errors {
        let at = error.span().map_or(0, |span| span.start);
        check.report(at, "", error.message().to_owned(), "TOML 1.0".to_owned());
    }
    check.problems.sort_by_key(|problem| problem.line);
    check.problems
}

struct Check<'a> {
    text: &'a str,
    problems: Vec<Problem>,
}

impl Check<'_> {
    fn report(&mut self, at: usize, key: &str, found: String, allowed: String) {
        let before = self.text.as_bytes().iter().take(at);
        self.problems.push(Problem {
            line: before.filter(|byte| **byte == b'\n').count() + 1,
            key: key.to_owned(),
            found,
            allowed,
        });
    }

    fn table(&mut self, path: &str, table: &Spanned<DeTable<'_>>) {
        for (key, value) in table.get_ref() {
            let name = join(path, key.get_ref());
            match (field(path, key.get_ref()), child(&name)) {
                (Some(field), _) => self.field(&name, field.rule, value),
                (None, Some(_)) => self.child(&name, value),
                (None, None) => self.unknown(path, &name, key.get_ref(), key.span().start),
            }
        }
        let fields = child(path).map_or(&[] as &[Field], |table| table.fields);
        let missing = |key: &str| !table.get_ref().contains_key(key);
        for field in fields
            .iter()
            .filter(|field| field.needed && missing(field.key))
        {
            let name = join(path, field.key);
            self.report(
                table.span().start,
                &name,
                "nothing".into(),
                field.rule.allowed(),
            );
        }
        if path.is_empty() {
            let needed = TABLES
                .iter()
                .filter(|table| table.needed && !table.path.is_empty());
            for table in needed.filter(|table| missing(table.path)) {
                self.report(
                    0,
                    table.path,
                    "nothing".into(),
                    format!("a table [{}]", table.path),
                );
            }
        }
    }

    fn field(&mut self, name: &str, rule: Rule, value: &Spanned<DeValue<'_>>) {
        if !rule.fits(value.get_ref()) {
            let found = rule.found(value.get_ref());
            self.report(value.span().start, name, found, rule.allowed());
        }
    }

    fn child(&mut self, name: &str, value: &Spanned<DeValue<'_>>) {
        match value.get_ref() {
            DeValue::Table(table) => {
                self.table(name, &Spanned::new(value.span(), table.clone()));
            }
            other => {
                let found = other.type_str().to_owned();
                self.report(value.span().start, name, found, format!("a table [{name}]"));
            }
        }
    }

    fn unknown(&mut self, path: &str, name: &str, key: &str, at: usize) {
        let known = known(path);
        let near = nearest(key, &known).map(|near| format!("; the nearest is {near}"));
        let allowed = format!("{}{}", known.join(", "), near.unwrap_or_default());
        self.report(at, name, "an unknown key".into(), allowed);
    }

    fn roles(&mut self, root: &DeTable<'_>) {
        // A gateway names its store itself and asks nothing else.
        if !root.contains_key("gateway") && !root.contains_key("platform") {
            let allowed = "a table [platform]".to_owned();
            self.report(0, "platform", "nothing".into(), allowed);
        }
        let roles = ROLES.iter().filter_map(|role| root.get(*role));
        let starts: Vec<usize> = roles.map(|table| table.span().start).collect();
        let allowed = "exactly one of the tables [entry], [side] and [gateway]";
        match starts.as_slice() {
            [] => self.report(0, "", "no role".into(), allowed.into()),
            [_] => {}
            [.., last] => self.report(*last, "", "several roles".into(), allowed.into()),
        }
    }

    fn apart(&mut self, root: &DeTable<'_>) {
        for (table, one, other) in APART {
            let at = |key: &str| -> Option<(SocketAddr, usize)> {
                let value = root.get(*table)?.get_ref().as_table()?.get(key)?;
                Some((address(value.get_ref().as_str()?)?, value.span().start))
            };
            if let (Some((first, _)), Some((second, start))) = (at(one), at(other))
                && clash(first, second)
            {
                let allowed = format!("an address other than that of {table}.{one}, {first}");
                self.report(start, &join(table, other), second.to_string(), allowed);
            }
        }
    }
}

fn child(path: &str) -> Option<&'static Table> {
    TABLES.iter().find(|table| table.path == path)
}

fn field(path: &str, key: &str) -> Option<&'static Field> {
    child(path)?.fields.iter().find(|field| field.key == key)
}

/// Returns the names that may stand in the table at `path`.
fn known(path: &str) -> Vec<&'static str> {
    let fields = child(path).map_or(&[] as &[Field], |table| table.fields);
    let tables = TABLES
        .iter()
        .filter_map(|table| match table.path.rsplit_once('.') {
            Some((parent, name)) => (parent == path).then_some(name),
            None => (path.is_empty() && !table.path.is_empty()).then_some(table.path),
        });
    fields.iter().map(|field| field.key).chain(tables).collect()
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

fn nearest<'a>(key: &str, known: &[&'a str]) -> Option<&'a str> {
    known
        .iter()
        .map(|name| (distance(key, name), *name))
        .filter(|(far, name)| *far < NEAR.min(name.len()))
        .min()
        .map(|(_, name)| name)
}

/// Returns the edit distance of two words (Levenshtein).
fn distance(one: &str, other: &str) -> usize {
    let mut row: Vec<usize> = (0..=other.chars().count()).collect();
    for (i, a) in one.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in other.chars().enumerate() {
            let change = diagonal + usize::from(a != b);
            diagonal = row[j + 1];
            row[j + 1] = change.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row.last().copied().unwrap_or(0)
}
