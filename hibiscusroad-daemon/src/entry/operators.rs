//! The operators' side of an entry: asking and acting over HTTP.
//!
//! It listens apart from callers and has threads of its own, so that operators
//! get through while callers saturate the entry. What an entry knows is asked
//! of the thread that owns the tables; what lasts is asked of the platform.

use crate::{
    entry::{
        ask::{self, Question, Refusal},
        config::{self, Reply},
        fan::{Fan, ONLY_SELF},
    },
    platform::Table,
    settings::Tokens,
};
use hibiscusroad::{
    ErrorKind,
    config::{Command, CommandOutcome, Document},
};
use serde_json::{Map, Value, json};
use std::{io::Read, net::SocketAddr, sync::Arc, thread};
use subtle::ConstantTimeEq;
use tiny_http::{Header, Method, Request, Response, Server};

/// Threads that answer operators; few people ask at once, but each of their
/// questions may wait seconds for the table or for other entries, which ask
/// here meanwhile.
const THREADS: usize = 8;

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
    /// The other entries on the host list.
    pub peers: Vec<Peer>,
}

/// Another entry.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Where it answers operators.
    pub address: SocketAddr,
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
    /// The name of the entry.
    pub name: String,
    /// Asks the other entries.
    pub fan: Fan,
}

impl std::fmt::Debug for Desk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Desk").finish_non_exhaustive()
    }
}

const UNKNOWN_PATH: &str = "no such path; known are /v1/show/SUBJECT, \
    /v1/explain/request/ID, /v1/explain/endpoint/NAME and /v1/change";

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
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    match (request.method(), path.strip_prefix("/v1/")) {
        (Method::Get, Some(path)) if path.starts_with("show/") || path.starts_with("explain/") => {
            if !allowed(request, &[&desk.tokens.ask, &desk.tokens.act]) {
                return denied();
            }
            let token = authorization(request);
            let token = token.as_deref();
            let alone = query == ONLY_SELF;
            told(&ask::answer(&Question { desk, token, alone }, path))
        }
        (Method::Post, Some("change")) => {
            if !allowed(request, &[&desk.tokens.act]) {
                return denied();
            }
            change(request, desk)
        }
        _ => Said::error(404, UNKNOWN_PATH),
    }
}

fn told(answer: &Result<Shown, Refusal>) -> Said {
    match answer {
        Ok(shown) => Said::new(
            200,
            json!({ "rows": shown.rows, "lacks": shown.lacks, "version": shown.version }),
        ),
        Err(Refusal::Unknown(detail)) => Said::error(404, detail),
        Err(Refusal::Unable(detail)) => Said::error(503, detail),
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
    let shown = authorization(request).unwrap_or_default();
    let shown = shown.strip_prefix("Bearer ").unwrap_or_default();
    tokens.fold(false, |found, token| {
        found | bool::from(token.as_bytes().ct_eq(shown.as_bytes()))
    })
}

fn authorization(request: &Request) -> Option<String> {
    let mut headers = request.headers().iter();
    let header = headers.find(|header| header.field.equiv("authorization"))?;
    Some(header.value.as_str().to_owned())
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
        "Command {} by {} from {origin}: {}.", command.id, command.operator, outcome(&reply),
    );
    tell(desk, reply)
}

const fn outcome(reply: &Reply) -> &'static str {
    match reply {
        Reply::Decided(CommandOutcome::Done(_), _) => "done",
        Reply::Decided(CommandOutcome::DryRun(_), _) => "dry",
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

fn decided(desk: &Desk, verdict: CommandOutcome) -> Said {
    match verdict {
        CommandOutcome::Done(version) => Said::new(200, json!({ "version": version })),
        CommandOutcome::DryRun(audit) => Said::new(
            200,
            json!({ "version": audit.version, "changes": audit.edits }),
        ),
        CommandOutcome::Refused(refusal) => {
            Said::new(409, json!({ "detail": refusal.to_string() }))
        }
        CommandOutcome::Conflict(version) => {
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
    let line = config::line(&desk.table, version).ok().flatten();
    line.map_or_else(|| "another operator".to_owned(), |line| line.operator)
}
