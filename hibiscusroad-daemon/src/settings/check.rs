//! Validation of a settings file, which reports all problems at once.

use super::schema::{Field, Rule, TABLES, Table, address, conflicts};
use std::{fmt, net::SocketAddr};
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

/// Edit distance from which a known name isn't suggested for an unknown key.
const SUGGESTION_DISTANCE: usize = 3;

/// Pairs of listeners that must not share an address: table and two keys.
const DISTINCT_ADDRESSES: &[(&str, &str, &str)] = &[
    ("entry", "callers", "operators"),
    ("side", "links", "address"),
    ("gateway", "callers", "ready"),
    ("gateway", "callers", "metrics"),
    ("gateway", "ready", "metrics"),
    ("gateway", "callers", "peers"),
    ("gateway", "ready", "peers"),
    ("gateway", "metrics", "peers"),
];

/// Tables of the roles; a file must have exactly one.
const ROLES: &[&str] = &["entry", "side", "gateway"];

/// One problem in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Line number, starting at 1.
    pub line: usize,
    /// Dotted key; empty if the problem concerns the whole file.
    pub key: String,
    /// Description of the value found.
    pub found: String,
    /// Description of the allowed values.
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

/// Returns all problems in the settings file `text`, ordered by line.
#[must_use]
pub fn problems(text: &str) -> Vec<Problem> {
    let mut checker = Checker {
        text,
        problems: Vec::new(),
    };
    let (root, errors) = DeTable::parse_recoverable(text);
    if errors.is_empty() {
        checker.check_table("", &root);
        checker.check_roles(root.get_ref());
        checker.check_addresses(root.get_ref());
        checker.check_regions(root.get_ref());
    }
    for error in errors {
        let offset = error.span().map_or(0, |span| span.start);
        checker.report(
            offset,
            "",
            error.message().to_owned(),
            "TOML 1.0".to_owned(),
        );
    }
    checker.problems.sort_by_key(|problem| problem.line);
    checker.problems
}

struct Checker<'a> {
    text: &'a str,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    /// Adds a problem at a byte offset of the file.
    fn report(&mut self, offset: usize, key: &str, found: String, allowed: String) {
        let before = self.text.as_bytes().iter().take(offset);
        self.problems.push(Problem {
            line: before.filter(|byte| **byte == b'\n').count() + 1,
            key: key.to_owned(),
            found,
            allowed,
        });
    }

    fn check_table(&mut self, path: &str, table: &Spanned<DeTable<'_>>) {
        for (key, value) in table.get_ref() {
            let name = join(path, key.get_ref());
            match (find_field(path, key.get_ref()), find_table(&name)) {
                (Some(field), _) => self.check_field(&name, field.rule, value),
                (None, Some(_)) => self.check_child(&name, value),
                (None, None) => self.report_unknown(path, &name, key.get_ref(), key.span().start),
            }
        }
        let fields = find_table(path).map_or(&[] as &[Field], |table| table.fields);
        let is_missing = |key: &str| !table.get_ref().contains_key(key);
        for field in fields
            .iter()
            .filter(|field| field.required && is_missing(field.key))
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
            let required = TABLES
                .iter()
                .filter(|table| table.required && !table.path.is_empty());
            for table in required.filter(|table| is_missing(table.path)) {
                self.report(
                    0,
                    table.path,
                    "nothing".into(),
                    format!("a table [{}]", table.path),
                );
            }
        }
    }

    fn check_field(&mut self, name: &str, rule: Rule, value: &Spanned<DeValue<'_>>) {
        if !rule.accepts(value.get_ref()) {
            let found = rule.describe(value.get_ref());
            self.report(value.span().start, name, found, rule.allowed());
        }
    }

    fn check_child(&mut self, name: &str, value: &Spanned<DeValue<'_>>) {
        match value.get_ref() {
            DeValue::Table(table) => {
                self.check_table(name, &Spanned::new(value.span(), table.clone()));
            }
            other => {
                let found = other.type_str().to_owned();
                self.report(value.span().start, name, found, format!("a table [{name}]"));
            }
        }
    }

    fn report_unknown(&mut self, path: &str, name: &str, key: &str, offset: usize) {
        let known = known_names(path);
        let suggestion = closest(key, &known).map(|closest| format!("; the nearest is {closest}"));
        let allowed = format!("{}{}", known.join(", "), suggestion.unwrap_or_default());
        self.report(offset, name, "an unknown key".into(), allowed);
    }

    fn check_roles(&mut self, root: &DeTable<'_>) {
        // A gateway needs no platform: its own table has the address of the store.
        if !root.contains_key("gateway") && !root.contains_key("platform") {
            let allowed = "a table [platform]".to_owned();
            self.report(0, "platform", "nothing".into(), allowed);
        }
        let roles = ROLES.iter().filter_map(|role| root.get(*role));
        let offsets: Vec<usize> = roles.map(|table| table.span().start).collect();
        let allowed = "exactly one of the tables [entry], [side] and [gateway]";
        match offsets.as_slice() {
            [] => self.report(0, "", "no role".into(), allowed.into()),
            [_] => {}
            [.., last] => self.report(*last, "", "several roles".into(), allowed.into()),
        }
    }

    /// Checks that the regions, if there are any, agree with the own location.
    fn check_regions(&mut self, root: &DeTable<'_>) {
        let text_of = |key: &str| root.get(key)?.get_ref().as_str();
        let regions = root.get("regions").and_then(|value| {
            let table = value.get_ref().as_table()?;
            Some((value.span().start, table))
        });
        let own = text_of("place").zip(text_of("region"));
        let Some(((offset, regions), (place, region))) = regions.zip(own) else {
            return;
        };
        if regions.is_empty() {
            return;
        }
        let found = regions.get(place);
        let name = found.and_then(|value| value.get_ref().as_str());
        if name == Some(region) {
            return;
        }
        let offset = found.map_or(offset, |value| value.span().start);
        let found = name.map_or_else(|| "nothing".to_owned(), |name| format!("{name:?}"));
        let allowed = format!("{region:?}, the region of this process");
        self.report(offset, &join("regions", place), found, allowed);
    }

    fn check_addresses(&mut self, root: &DeTable<'_>) {
        for (table, first_key, second_key) in DISTINCT_ADDRESSES {
            let address_of = |key: &str| -> Option<(SocketAddr, usize)> {
                let value = root.get(*table)?.get_ref().as_table()?.get(key)?;
                Some((address(value.get_ref().as_str()?)?, value.span().start))
            };
            if let (Some((first, _)), Some((second, offset))) =
                (address_of(first_key), address_of(second_key))
                && conflicts(first, second)
            {
                let allowed = format!("an address other than that of {table}.{first_key}, {first}");
                self.report(
                    offset,
                    &join(table, second_key),
                    second.to_string(),
                    allowed,
                );
            }
        }
    }
}

fn find_table(path: &str) -> Option<&'static Table> {
    TABLES.iter().find(|table| table.path == path)
}

fn find_field(path: &str, key: &str) -> Option<&'static Field> {
    find_table(path)?
        .fields
        .iter()
        .find(|field| field.key == key)
}

/// Returns the names of all keys and tables allowed in the table at `path`.
fn known_names(path: &str) -> Vec<&'static str> {
    let fields = find_table(path).map_or(&[] as &[Field], |table| table.fields);
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

/// Returns the known name with the smallest edit distance to `key`, if it is similar.
fn closest<'a>(key: &str, known: &[&'a str]) -> Option<&'a str> {
    known
        .iter()
        .map(|name| (distance(key, name), *name))
        .filter(|(distance, name)| *distance < SUGGESTION_DISTANCE.min(name.len()))
        .min()
        .map(|(_, name)| name)
}

/// Returns the Levenshtein distance of two words.
fn distance(first: &str, second: &str) -> usize {
    let mut row: Vec<usize> = (0..=second.chars().count()).collect();
    for (i, a) in first.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in second.chars().enumerate() {
            let substitution = diagonal + usize::from(a != b);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row.last().copied().unwrap_or(0)
}
