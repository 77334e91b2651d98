//! Changes of the document, and their validation.

use crate::config::{Document, Kind, Rule, Service};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The scope of a drain.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Target {
    /// One endpoint.
    Endpoint,
    /// All endpoints on a host.
    Host,
    /// All endpoints in a data centre.
    Place,
}

/// One change of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "op")]
pub enum Change {
    /// Adds a service.
    CreateService {
        /// The name of the service.
        name: String,
        /// The kind of the endpoints.
        kind: Kind,
        /// The rule for requests.
        #[serde(default)]
        rule: Rule,
    },
    /// Changes some keys of a service's rule.
    AlterService {
        /// The name of the service.
        name: String,
        /// The keys and their new values.
        set: BTreeMap<String, serde_json::Value>,
    },
    /// Removes a service.
    DropService {
        /// The name of the service.
        name: String,
    },
    /// Stops new requests to an endpoint, a host or a data centre.
    Drain {
        /// The kind of the named object.
        target: Target,
        /// The name of the object.
        name: String,
    },
    /// Reverts a drain.
    Undrain {
        /// The kind of the named object.
        target: Target,
        /// The name of the object.
        name: String,
    },
    /// Sets a deployment-wide key.
    Set {
        /// The key.
        key: String,
        /// The new value.
        value: String,
    },
}

/// The reason for refusing a change.
#[derive(Clone, Debug, Eq, thiserror::Error, PartialEq)]
pub enum Refusal {
    /// A service of this name exists.
    #[error("service {0} stands already; use alter service")]
    Exists(String),
    /// No service of this name exists.
    #[error("no service {0}; see show services")]
    Missing(String),
    /// A name is empty, too long or has characters that are not allowed.
    #[error("name {0:?}: 1 to 64 of a-z, 0-9, '-', '.' and '_' are allowed")]
    BadName(String),
    /// A key or its value isn't allowed.
    #[error("{0}")]
    BadValue(String),
    /// The change is dangerous and needs `force`.
    #[error("{0}; repeat with --force if this is meant")]
    Dangerous(String),
    /// The change would have no effect.
    #[error("nothing to change: {0}")]
    NoEffect(String),
}

/// The change of one value in the document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Edit {
    /// The path in the document, joined by dots.
    pub key: String,
    /// The old value, if there was one.
    pub old: Option<String>,
    /// The new value, unless it is removed.
    pub new: Option<String>,
}

const MAX_NAME_LEN: usize = 64;

/// Longer deadlines hold buffers for callers that have disconnected.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Longer queues can't be served in time by any service.
const MAX_DEPTH: usize = 100_000;

/// Higher limits exceed the threads of a sidecar.
const MAX_LIMIT: u32 = 4096;

impl Change {
    /// Applies the change to `base` and returns the new document.
    ///
    /// # Errors
    ///
    /// Returns the reason for a refusal, also if the change needs `force`.
    pub fn apply(&self, base: &Document, force: bool) -> Result<Document, Refusal> {
        let mut next = base.clone();
        next.version += 1;
        match self {
            Self::CreateService { name, kind, rule } => create(&mut next, name, *kind, rule)?,
            Self::AlterService { name, set } => alter(&mut next, name, set)?,
            Self::DropService { name } => remove(&mut next, name, force)?,
            Self::Drain { target, name } => drain(&mut next, *target, name)?,
            Self::Undrain { target, name } => undrain(&mut next, *target, name)?,
            Self::Set { key, value } => set_key(&mut next, key, value)?,
        }
        Ok(next)
    }
}

impl Edit {
    /// Returns the differences between two documents, except for their versions.
    ///
    /// # Panics
    ///
    /// Never: a document always has a JSON form.
    #[must_use]
    pub fn between(old: &Document, new: &Document) -> Vec<Self> {
        let (old, new) = (flatten(old), flatten(new));
        let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        keys.into_iter()
            .filter(|key| *key != "version" && old.get(*key) != new.get(*key))
            .map(|key| Self {
                key: key.clone(),
                old: old.get(key).cloned(),
                new: new.get(key).cloned(),
            })
            .collect()
    }
}

fn create(next: &mut Document, name: &str, kind: Kind, rule: &Rule) -> Result<(), Refusal> {
    check_name(name)?;
    check_rule(rule)?;
    if next.services.contains_key(name) {
        return Err(Refusal::Exists(name.to_owned()));
    }
    let service = Service {
        kind,
        rule: rule.clone(),
    };
    next.services.insert(name.to_owned(), service);
    Ok(())
}

fn alter(
    next: &mut Document,
    name: &str,
    set: &BTreeMap<String, serde_json::Value>,
) -> Result<(), Refusal> {
    let service = find(next, name)?;
    let mut rule = serde_json::to_value(&service.rule).map_err(bad_value)?;
    for (key, value) in set {
        rule[key] = value.clone();
    }
    let rule: Rule = serde_json::from_value(rule).map_err(bad_value)?;
    check_rule(&rule)?;
    if rule == service.rule {
        return Err(Refusal::NoEffect(format!("service {name} is so already")));
    }
    service.rule = rule;
    Ok(())
}

fn remove(next: &mut Document, name: &str, force: bool) -> Result<(), Refusal> {
    find(next, name)?;
    if !force {
        let text = format!("dropping service {name} refuses all its callers");
        return Err(Refusal::Dangerous(text));
    }
    next.services.remove(name);
    Ok(())
}

fn drain(next: &mut Document, target: Target, name: &str) -> Result<(), Refusal> {
    check_name(name)?;
    if !drained_names(next, target).insert(name.to_owned()) {
        return Err(Refusal::NoEffect(format!("{name} is drained already")));
    }
    Ok(())
}

fn undrain(next: &mut Document, target: Target, name: &str) -> Result<(), Refusal> {
    if !drained_names(next, target).remove(name) {
        return Err(Refusal::NoEffect(format!("{name} is not drained")));
    }
    Ok(())
}

fn set_key(next: &mut Document, key: &str, value: &str) -> Result<(), Refusal> {
    check_name(key)?;
    let old = next.settings.insert(key.to_owned(), value.to_owned());
    if old.as_deref() == Some(value) {
        return Err(Refusal::NoEffect(format!("{key} is {value} already")));
    }
    Ok(())
}

fn find<'a>(next: &'a mut Document, name: &str) -> Result<&'a mut Service, Refusal> {
    next.services
        .get_mut(name)
        .ok_or_else(|| Refusal::Missing(name.to_owned()))
}

fn drained_names(next: &mut Document, target: Target) -> &mut BTreeSet<String> {
    match target {
        Target::Endpoint => &mut next.drains.endpoints,
        Target::Host => &mut next.drains.hosts,
        Target::Place => &mut next.drains.data_centres,
    }
}

fn check_name(name: &str) -> Result<(), Refusal> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-._".contains(c);
    if (1..=MAX_NAME_LEN).contains(&name.len()) && name.chars().all(is_allowed) {
        return Ok(());
    }
    Err(Refusal::BadName(name.to_owned()))
}

fn check_rule(rule: &Rule) -> Result<(), Refusal> {
    let floors = rule.floors();
    let sum: f64 = floors.iter().sum();
    if floors.iter().any(|floor| !(0.0..=1.0).contains(floor)) || sum > 1.0 + f64::EPSILON {
        return Err(bad_value("floors: each in 0 to 1, and at most 1 in all"));
    }
    if !(1..=MAX_DEADLINE_MS).contains(&rule.deadline_ms) {
        return Err(bad_value("deadline_ms: 1 to 600000 is allowed"));
    }
    if !(1..=MAX_DEPTH).contains(&rule.depth) {
        return Err(bad_value("depth: 1 to 100000 is allowed"));
    }
    if !(1..=MAX_LIMIT).contains(&rule.limit) {
        return Err(bad_value("limit: 1 to 4096 is allowed"));
    }
    Ok(())
}

fn bad_value(text: impl std::fmt::Display) -> Refusal {
    Refusal::BadValue(text.to_string())
}

fn flatten(document: &Document) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    let value = serde_json::to_value(document).expect("a document has a JSON form");
    flatten_value(&mut values, String::new(), &value);
    values
}

fn flatten_value(values: &mut BTreeMap<String, String>, path: String, value: &serde_json::Value) {
    let join = |part: &str| match path.as_str() {
        "" => part.to_owned(),
        path => format!("{path}.{part}"),
    };
    match value {
        serde_json::Value::Object(map) => {
            for (key, value) in map {
                flatten_value(values, join(key), value);
            }
        }
        serde_json::Value::Array(items) => {
            for item in items {
                let name = item.as_str().unwrap_or_default();
                values.insert(join(name), "yes".to_owned());
            }
        }
        serde_json::Value::String(text) => {
            values.insert(path, text.clone());
        }
        other => {
            values.insert(path, other.to_string());
        }
    }
}
