//! Answers operators' queries.
//!
//! Runs on an operators' thread, so it may block on the tables of this entry, the
//! platform's table and other entries.

use crate::{
    entry::{
        config,
        operators::{OperatorContext, QueryResponse, Row},
        peers::PeerAnswers,
        survey::Survey,
    },
    platform::leases,
};
use serde_json::{Value, json};
use std::mem;

/// The subjects of queries.
const SUBJECTS: &[&str] = &[
    "audit",
    "callers",
    "config",
    "endpoints",
    "entries",
    "hosts",
    "leases",
    "places",
    "runs",
    "services",
    "trainers",
    "versions",
];

/// A query and its origin.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Access to the entry.
    pub context: &'a OperatorContext,
    /// The value of the operator's `Authorization` header.
    pub token: Option<&'a str>,
    /// Whether another entry forwarded it, so that it is answered locally.
    pub local_only: bool,
}

/// Why a query has no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The subject is unknown.
    NotFound(String),
    /// The answer is unavailable now.
    Unavailable(String),
}

/// Answers the query at `path`, below `/v1/`.
///
/// # Errors
///
/// Returns a [`Refusal`] if there is no answer.
pub fn answer(query: &Query<'_>, path: &str) -> Result<QueryResponse, Refusal> {
    if let Some(what) = path.strip_prefix("explain/") {
        return query.explain(what);
    }
    let subject = path.strip_prefix("show/").unwrap_or(path);
    match subject {
        "audit" => query.audit(),
        "leases" => query.leases(),
        "endpoints" | "hosts" | "places" | "versions" | "services" => query.survey(subject),
        "entries" | "callers" => query.query_all(subject),
        _ if SUBJECTS.contains(&subject) => query.query_local(subject),
        _ => Err(Refusal::NotFound(format!(
            "nothing to show; known are {}",
            SUBJECTS.join(", ")
        ))),
    }
}

impl Query<'_> {
    /// Queries the tables of this entry.
    fn query_local(&self, subject: &str) -> Result<QueryResponse, Refusal> {
        let shown = (self.context.query)(subject);
        shown.ok_or_else(|| Refusal::Unavailable("the entry is too busy to say".to_owned()))
    }

    /// Queries the other entries, unless one of them forwarded this query.
    fn query_peers(
        &self,
        local: &QueryResponse,
        path: &str,
        enough: impl FnMut(&[QueryResponse]) -> bool,
    ) -> PeerAnswers {
        if self.local_only {
            return PeerAnswers::default();
        }
        self.context
            .peers
            .query(&local.peers, path, self.token, enough)
    }

    /// Concatenates the rows of all entries.
    fn query_all(&self, subject: &str) -> Result<QueryResponse, Refusal> {
        let mut local = self.query_local(subject)?;
        let answers = self.query_peers(&local, &format!("show/{subject}"), |_| false);
        local.missing.extend(answers.missing);
        for shown in answers.shown {
            local.rows.extend(shown.rows);
        }
        Ok(local)
    }

    /// Queries other entries for the endpoints that this one isn't connected to.
    fn survey(&self, subject: &str) -> Result<QueryResponse, Refusal> {
        let mut local = self.query_local("endpoints")?;
        if self.local_only {
            return Ok(local);
        }
        let mut survey = Survey::new(mem::take(&mut local.rows));
        if !survey.is_complete() {
            let answers = self.query_peers(&local, "show/endpoints", |shown| {
                for shown in shown {
                    survey.add(shown.rows.clone());
                }
                survey.is_complete()
            });
            if !survey.is_complete() {
                local.missing.extend(answers.missing);
            }
        }
        local.missing.extend(survey.stale_endpoints());
        let name = &self.context.name;
        local.rows = match subject {
            "hosts" => survey.groups("host", &["place"], name),
            "places" => survey.groups("place", &[], name),
            "versions" => survey.groups("weights", &[], name),
            "services" => survey.count(self.query_local(subject)?.rows),
            _ => survey.into_rows(),
        };
        Ok(local)
    }

    fn audit(&self) -> Result<QueryResponse, Refusal> {
        let entries = config::read_audit(&self.context.table)
            .map_err(|e| Refusal::Unavailable(e.to_string()))?;
        let rows = entries
            .iter()
            .map(|entry| match serde_json::to_value(entry) {
                Ok(Value::Object(row)) => from_table(row),
                _ => Row::new(),
            });
        Ok(QueryResponse {
            rows: rows.collect(),
            version: entries.last().map_or(0, |entry| entry.version),
            ..QueryResponse::default()
        })
    }

    fn leases(&self) -> Result<QueryResponse, Refusal> {
        let leases = leases::read_all(&self.context.table)
            .map_err(|e| Refusal::Unavailable(e.to_string()))?;
        let rows = leases.into_iter().map(|(duty, lease)| {
            let mut row = Row::new();
            row.insert("duty".to_owned(), json!(duty));
            row.insert("holder".to_owned(), json!(lease.holder));
            row.insert("fence".to_owned(), json!(lease.fencing_token));
            row.insert("renewals".to_owned(), json!(lease.renewals));
            from_table(row)
        });
        Ok(QueryResponse {
            rows: rows.collect(),
            version: self.query_local("config")?.version,
            ..QueryResponse::default()
        })
    }

    /// Explains the decisions on a request, or the state of an endpoint.
    fn explain(&self, what: &str) -> Result<QueryResponse, Refusal> {
        let path = format!("explain/{what}");
        let mut local = self.query_local(&path)?;
        // A request belongs to one entry; each entry has its own view of an endpoint.
        let is_request = what.starts_with("request/");
        if !is_request || local.rows.is_empty() {
            let found =
                |shown: &[QueryResponse]| is_request && shown.iter().any(|s| !s.rows.is_empty());
            let answers = self.query_peers(&local, &path, found);
            let rows = answers.shown.into_iter().flat_map(|shown| shown.rows);
            local.rows.extend(rows);
            local.missing = answers.missing;
        }
        if local.rows.is_empty() && !self.local_only {
            return Err(Refusal::NotFound(not_found_detail(what, &local.missing)));
        }
        Ok(local)
    }
}

fn not_found_detail(what: &str, missing: &[String]) -> String {
    let what = what.replacen('/', " ", 1);
    if missing.is_empty() {
        return format!("no entry knows {what}; of requests each keeps its last ones");
    }
    let missing = missing.join(", ");
    format!("no entry that answered knows {what}; {missing} gave no answer")
}

fn from_table(mut row: Row) -> Row {
    row.insert("source".to_owned(), json!("table"));
    row.insert("age_ms".to_owned(), json!(0));
    row
}
