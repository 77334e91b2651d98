//! The operators' side of an entry: asking and acting over HTTP.
//!
//! It listens apart from callers and has threads of its own, so that operators
//! get through while callers saturate the entry. What an entry knows is asked
//! of the thread that owns the tables; what lasts is asked of the platform.

use crate::{
    entry::config::{self, Reply},
    platform::Table,
    settings::Tokens,
};
use hibiscusroad::{
    ErrorKind,
    config::{Command, Document, Verdict},
};
use serde_json::{Map, Value, json};
use std::{io::Read, net::SocketAddr, sync::Arc, thread};
use subtle::ConstantTimeEq;
use tiny_http::{Header, Method, Request, Response, Server};

/// Threads that answer operators; few people ask at once, and each of their
/// questions may wait seconds for the table.
const THREADS: usize = 4;

/// Bytes that a command may have.
const LARGEST_COMMAND: u64 = 64 * 1024;

/// One row of an answer.
pub type Row = Map<String, Value>;

/// What an entry answers to a question.
#[derive(Clone, Debug, Default)]
pub struct Shown {
    /// The rows.
    pub rows: Vec<Row>,
    /// Whom the answer lacks.
    pub lacks: Vec<String>,
    /// The configuration version in force at the entry.
    pub version: u64,
}

/// Asks the thread that owns the tables; none if it is too busy to say.
pub type Ask = dyn Fn(&str) -> Option<Shown> + Send + Sync;

/// Hands a document that was just accepted to the entry.
pub type News = dyn Fn(Document) + Send + Sync;

/// What the operators' threads need of the entry.
pub struct Desk {
    /// The platform's table.
    pub table: Table,
    /// Who may ask and act; nobody is asked for a token if none is set.
    pub tokens: Tokens,
    /// Asks the thread that owns the tables; none if it is too busy to say.
    pub ask: Box<Ask>,
    /// Hands a document that was just accepted to the entry.
    pub news: Box<News>,
}

impl std::fmt::Debug for Desk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Desk").finish_non_exhaustive()
    }
}

/// What a question is about.
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

struct Said {
    status: u16,
    body: Value,
}

impl Said {
    fn new(status: u16, body: Value) -> Self {
        Self { status, body }
    }

    fn error(status: u16, detail: &str) -> Self {
        Self::new(status, json!({ "outcome": "refused", "detail": detail }))
    }
}

/// Starts the threads; they run until the process ends.
///
/// # Errors
///
/// Returns the system's error if the address can't be listened on.
pub fn listen(address: SocketAddr, desk: Desk) -> std::io::Result<SocketAddr> {
    let server = Server::http(address).map_err(std::io::Error::other)?;
    let bound = server.server_addr().to_ip().unwrap_or(address);
    let (server, desk) = (Arc::new(server), Arc::new(desk));
    for n in 0..THREADS {
        let (server, desk) = (Arc::clone(&server), Arc::clone(&desk));
        thread::Builder::new()
            .name(format!("operators-{n}"))
            .spawn(move || serve(&server, &desk))?;
    }
    Ok(bound)
}

fn serve(server: &Server, desk: &Desk) {
    while let Ok(mut request) = server.recv() {
        let said = answer(&mut request, desk);
        let kind = Header::from_bytes("content-type", "application/json").expect("a valid header");
        let response = Response::from_string(said.body.to_string())
            .with_status_code(said.status)
            .with_header(kind);
        if let Err(error) = request.respond(response) {
            log::debug!(target: "operators", "An operator left: {error}.");
        }
    }
}

fn answer(request: &mut Request, desk: &Desk) -> Said {
    let path = request
        .url()
        .split('?')
        .next()
        .unwrap_or_default()
        .to_owned();
    match (request.method(), path.strip_prefix("/v1/show/")) {
        (Method::Get, Some(subject)) => {
            if !allowed(request, &[&desk.tokens.ask, &desk.tokens.act]) {
                return denied();
            }
            show(desk, subject)
        }
        (Method::Post, None) if path == "/v1/change" => {
            if !allowed(request, &[&desk.tokens.act]) {
                return denied();
            }
            change(request, desk)
        }
        _ => Said::error(
            404,
            "no such path; /v1/show/SUBJECT and /v1/change are known",
        ),
    }
}

fn denied() -> Said {
    Said::error(
        401,
        "the token is missing or wrong; pass one with --token-file",
    )
}

/// Compares in constant time, and with every token, so that the time taken says
/// nothing about how much of a guess was right.
fn allowed(request: &Request, lists: &[&Vec<String>]) -> bool {
    let mut tokens = lists.iter().flat_map(|list| list.iter()).peekable();
    if tokens.peek().is_none() {
        return true;
    }
    let shown = request
        .headers()
        .iter()
        .find(|header| header.field.equiv("authorization"))
        .and_then(|header| header.value.as_str().strip_prefix("Bearer "))
        .unwrap_or_default();
    tokens.fold(false, |found, token| {
        found | bool::from(token.as_bytes().ct_eq(shown.as_bytes()))
    })
}

fn show(desk: &Desk, subject: &str) -> Said {
    if !SUBJECTS.contains(&subject) {
        return Said::error(
            404,
            &format!("nothing to show; known are {}", SUBJECTS.join(", ")),
        );
    }
    let shown = match subject {
        "audit" => trail(desk),
        _ => (desk.ask)(subject).ok_or_else(|| "the entry is too busy to say".to_owned()),
    };
    match shown {
        Ok(shown) => Said::new(
            200,
            json!({ "rows": shown.rows, "lacks": shown.lacks, "version": shown.version }),
        ),
        Err(detail) => Said::error(503, &detail),
    }
}

fn trail(desk: &Desk) -> Result<Shown, String> {
    let lines = config::trail(&desk.table).map_err(|fault| fault.to_string())?;
    let rows = lines.iter().map(|line| match serde_json::to_value(line) {
        Ok(Value::Object(mut row)) => {
            row.insert("source".to_owned(), json!("table"));
            row.insert("age_ms".to_owned(), json!(0));
            row
        }
        _ => Row::new(),
    });
    Ok(Shown {
        rows: rows.collect(),
        lacks: Vec::new(),
        version: lines.last().map_or(0, |line| line.version),
    })
}

fn change(request: &mut Request, desk: &Desk) -> Said {
    let origin = request
        .remote_addr()
        .map_or_else(String::new, |address| address.ip().to_string());
    let mut body = Vec::new();
    let read = request
        .as_reader()
        .take(LARGEST_COMMAND)
        .read_to_end(&mut body);
    if read.is_err() {
        return Said::error(400, "the command could not be read whole");
    }
    let command: Command = match serde_json::from_slice(&body) {
        Ok(command) => command,
        Err(error) => {
            return Said::error(400, &format!("the command can't be understood: {error}"));
        }
    };
    let reply = config::commit(&desk.table, &command, &origin);
    log::info!(
        target: "operators",
        "Command {} by {} from {origin}: {}.", command.id, command.who, outcome(&reply),
    );
    tell(desk, reply)
}

const fn outcome(reply: &Reply) -> &'static str {
    match reply {
        Reply::Decided(Verdict::Done(_), _) => "done",
        Reply::Decided(Verdict::Dry(_), _) => "dry",
        Reply::Decided(..) | Reply::Down(_) => "refused",
        Reply::Unknown(_) => "unknown",
    }
}

fn tell(desk: &Desk, reply: Reply) -> Said {
    let outcome = outcome(&reply);
    let mut said = match reply {
        Reply::Decided(verdict, document) => {
            if let Some(document) = document {
                (desk.news)(*document);
            }
            decided(desk, verdict)
        }
        Reply::Down(fault) => {
            let detail = format!("nothing was changed: {fault}; ask again later");
            Said::new(
                503,
                json!({ "problem": ErrorKind::StoreDown.answer().problem, "detail": detail }),
            )
        }
        Reply::Unknown(fault) => {
            let detail = format!("{fault}; ask again with the same command id");
            Said::new(
                503,
                json!({ "problem": ErrorKind::OutcomeUnknown.answer().problem, "detail": detail }),
            )
        }
    };
    said.body["outcome"] = json!(outcome);
    said
}

fn decided(desk: &Desk, verdict: Verdict) -> Said {
    match verdict {
        Verdict::Done(version) => Said::new(200, json!({ "version": version })),
        Verdict::Dry(audit) => Said::new(
            200,
            json!({ "version": audit.version, "changes": audit.edits }),
        ),
        Verdict::Refused(refusal) => Said::new(409, json!({ "detail": refusal.to_string() })),
        Verdict::Conflict(version) => {
            let who = winner(desk, version);
            let detail = format!("{who} came first with version {version}; look and ask again");
            let problem = ErrorKind::ConfigConflict.answer().problem;
            Said::new(
                409,
                json!({ "version": version, "problem": problem, "detail": detail }),
            )
        }
    }
}

fn winner(desk: &Desk, version: u64) -> String {
    let lines = config::trail(&desk.table).unwrap_or_default();
    let line = lines.into_iter().find(|line| line.version == version);
    line.map_or_else(|| "another operator".to_owned(), |line| line.who)
}
