//! Answering an operator's question.
//!
//! Runs on an operators' thread, so that it may wait: for the tables of this
//! entry, for the platform's table, and for other entries.

use crate::{
    entry::{
        config,
        fan::Answers,
        operators::{Desk, Row, Shown},
        survey::Survey,
    },
    platform::leases,
};
use serde_json::{Value, json};
use std::mem;

/// What a question may be about.
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

/// A question, and who asks.
#[derive(Clone, Copy, Debug)]
pub struct Question<'a> {
    /// What answering needs of the entry.
    pub desk: &'a Desk,
    /// What the operator showed in the header `Authorization`.
    pub token: Option<&'a str>,
    /// Whether another entry passed it on.
    pub alone: bool,
}

/// Why there is no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Nothing of this name is known.
    Unknown(String),
    /// The answer can't be had now.
    Unable(String),
}

/// Answers the question at `path`, below `/v1/`.
///
/// # Errors
///
/// Returns a [`Refusal`] if there is no answer.
pub fn answer(question: &Question<'_>, path: &str) -> Result<Shown, Refusal> {
    if let Some(what) = path.strip_prefix("explain/") {
        return question.explain(what);
    }
    let subject = path.strip_prefix("show/").unwrap_or(path);
    match subject {
        "audit" => question.trail(),
        "leases" => question.leases(),
        "endpoints" | "hosts" | "places" | "versions" | "services" => question.survey(subject),
        "entries" | "callers" => question.everywhere(subject),
        _ if SUBJECTS.contains(&subject) => question.own(subject),
        _ => Err(Refusal::Unknown(format!(
            "nothing to show; known are {}",
            SUBJECTS.join(", ")
        ))),
    }
}

impl Question<'_> {
    /// Asks the tables of this entry.
    fn own(&self, subject: &str) -> Result<Shown, Refusal> {
        let shown = (self.desk.ask)(subject);
        shown.ok_or_else(|| Refusal::Unable("the entry is too busy to say".to_owned()))
    }

    /// Asks other entries, unless one of them asks.
    fn others(&self, own: &Shown, path: &str, enough: impl FnMut(&[Shown]) -> bool) -> Answers {
        if self.alone {
            return Answers::default();
        }
        self.desk.fan.ask(&own.peers, path, self.token, enough)
    }

    /// Puts the rows of all entries together.
    fn everywhere(&self, subject: &str) -> Result<Shown, Refusal> {
        let mut own = self.own(subject)?;
        let answers = self.others(&own, &format!("show/{subject}"), |_| false);
        own.lacks.extend(answers.lacks);
        for shown in answers.shown {
            own.rows.extend(shown.rows);
        }
        Ok(own)
    }

    /// Asks other entries for the endpoints that this one has no link to.
    fn survey(&self, subject: &str) -> Result<Shown, Refusal> {
        let mut own = self.own("endpoints")?;
        if self.alone {
            return Ok(own);
        }
        let mut survey = Survey::new(mem::take(&mut own.rows));
        if !survey.is_whole() {
            let answers = self.others(&own, "show/endpoints", |shown| {
                for shown in shown {
                    survey.add(shown.rows.clone());
                }
                survey.is_whole()
            });
            if !survey.is_whole() {
                own.lacks.extend(answers.lacks);
            }
        }
        own.lacks.extend(survey.lacks());
        let name = &self.desk.name;
        own.rows = match subject {
            "hosts" => survey.groups("host", &["place"], name),
            "places" => survey.groups("place", &[], name),
            "versions" => survey.groups("weights", &[], name),
            "services" => survey.count(self.own(subject)?.rows),
            _ => survey.into_rows(),
        };
        Ok(own)
    }

    fn trail(&self) -> Result<Shown, Refusal> {
        let lines = config::trail(&self.desk.table).map_err(|e| Refusal::Unable(e.to_string()))?;
        let rows = lines.iter().map(|line| match serde_json::to_value(line) {
            Ok(Value::Object(row)) => from_table(row),
            _ => Row::new(),
        });
        Ok(Shown {
            rows: rows.collect(),
            version: lines.last().map_or(0, |line| line.version),
            ..Shown::default()
        })
    }

    fn leases(&self) -> Result<Shown, Refusal> {
        let leases =
            leases::read_all(&self.desk.table).map_err(|e| Refusal::Unable(e.to_string()))?;
        let rows = leases.into_iter().map(|(duty, lease)| {
            let mut row = Row::new();
            row.insert("duty".to_owned(), json!(duty));
            row.insert("holder".to_owned(), json!(lease.holder));
            row.insert("fence".to_owned(), json!(lease.fencing_token));
            row.insert("renewals".to_owned(), json!(lease.renewals));
            from_table(row)
        });
        Ok(Shown {
            rows: rows.collect(),
            version: self.own("config")?.version,
            ..Shown::default()
        })
    }

    /// Explains what became of a request, or of an endpoint, and why.
    fn explain(&self, what: &str) -> Result<Shown, Refusal> {
        let path = format!("explain/{what}");
        let mut own = self.own(&path)?;
        // One entry decides on a request; on an endpoint each decides alone.
        let one = what.starts_with("request/");
        if !one || own.rows.is_empty() {
            let found = |shown: &[Shown]| one && shown.iter().any(|s| !s.rows.is_empty());
            let answers = self.others(&own, &path, found);
            let rows = answers.shown.into_iter().flat_map(|shown| shown.rows);
            own.rows.extend(rows);
            own.lacks = answers.lacks;
        }
        if own.rows.is_empty() && !self.alone {
            return Err(Refusal::Unknown(unknown(what, &own.lacks)));
        }
        Ok(own)
    }
}

fn unknown(what: &str, lacks: &[String]) -> String {
    let what = what.replacen('/', " ", 1);
    if lacks.is_empty() {
        return format!("no entry knows {what}; of requests each keeps its last ones");
    }
    let lacks = lacks.join(", ");
    format!("no entry that answered knows {what}; {lacks} gave no answer")
}

fn from_table(mut row: Row) -> Row {
    row.insert("source".to_owned(), json!("table"));
    row.insert("age_ms".to_owned(), json!(0));
    row
}
