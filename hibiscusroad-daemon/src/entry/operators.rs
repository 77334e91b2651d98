//! The HTTP server for operators: queries and commands.
//!
//! It has its own address and threads, so that operators are served while callers
//! saturate the entry. The thread that owns the tables answers queries about the
//! entry; stored data is read from the platform's table.

use crate::{
    entry::{
        config::{self, Reply},
        peers::{LOCAL_ONLY_QUERY, PeerClient},
        query::{self, Query, Refusal},
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

/// Threads that serve operators. A query may block for seconds on the table or on
/// other entries, which may query this entry meanwhile.
const OPERATOR_THREADS: usize = 8;

/// Size limit of a command.
const MAX_COMMAND_BYTES: u64 = 64 * 1024;

/// One row of an answer.
pub type Row = Map<String, Value>;

/// The answer to a query.
#[derive(Clone, Debug, Default)]
pub struct QueryResponse {
    /// The rows.
    pub rows: Vec<Row>,
    /// Endpoints or entries without information in the answer.
    pub missing: Vec<String>,
    /// The configuration version of the entry.
    pub version: u64,
    /// The other entries on the host list.
    pub peers: Vec<Peer>,
}

/// Another entry.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Its address for operators.
    pub address: SocketAddr,
}

/// Queries the thread that owns the tables; returns `None` if it is overloaded.
pub type QueryFn = dyn Fn(&str) -> Option<QueryResponse> + Send + Sync;

/// Passes a document that was just accepted to the entry.
pub type AcceptedFn = dyn Fn(Document) + Send + Sync;

/// What the operators' threads use of the entry.
pub struct OperatorContext {
    /// The platform's table.
    pub table: Table,
    /// The tokens for queries and commands; none is required if none is set.
    pub tokens: Tokens,
    /// Queries the thread that owns the tables.
    pub query: Box<QueryFn>,
    /// Passes a document that was just accepted to the entry.
    pub on_accepted: Box<AcceptedFn>,
    /// The name of the entry.
    pub name: String,
    /// Client of the other entries.
    pub peers: PeerClient,
}

impl std::fmt::Debug for OperatorContext {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OperatorContext").finish_non_exhaustive()
    }
}

const UNKNOWN_PATH: &str = "no such path; known are /v1/show/SUBJECT, \
    /v1/explain/request/ID, /v1/explain/endpoint/NAME and /v1/change";

struct JsonResponse {
    status: u16,
    body: Value,
}

impl JsonResponse {
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
pub fn listen(address: SocketAddr, context: OperatorContext) -> std::io::Result<SocketAddr> {
    let server = Server::http(address).map_err(std::io::Error::other)?;
    let bound = server.server_addr().to_ip().unwrap_or(address);
    let (server, context) = (Arc::new(server), Arc::new(context));
    for n in 0..OPERATOR_THREADS {
        let (server, context) = (Arc::clone(&server), Arc::clone(&context));
        thread::Builder::new()
            .name(format!("operators-{n}"))
            .spawn(move || serve(&server, &context))?;
    }
    Ok(bound)
}

fn serve(server: &Server, context: &OperatorContext) {
    while let Ok(mut request) = server.recv() {
        let response = answer(&mut request, context);
        let content_type =
            Header::from_bytes("content-type", "application/json").expect("a valid header");
        let response = Response::from_string(response.body.to_string())
            .with_status_code(response.status)
            .with_header(content_type);
        if let Err(error) = request.respond(response) {
            log::debug!(target: "operators", "An operator's answer could not be sent: {error}.");
        }
    }
}

fn answer(request: &mut Request, context: &OperatorContext) -> JsonResponse {
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    match (request.method(), path.strip_prefix("/v1/")) {
        (Method::Get, Some(path)) if path.starts_with("show/") || path.starts_with("explain/") => {
            if !is_authorized(request, &[&context.tokens.ask, &context.tokens.act]) {
                return unauthorized();
            }
            let token = authorization(request);
            let token = token.as_deref();
            let local_only = query == LOCAL_ONLY_QUERY;
            show_response(&query::answer(
                &Query {
                    context,
                    token,
                    local_only,
                },
                path,
            ))
        }
        (Method::Post, Some("change")) => {
            if !is_authorized(request, &[&context.tokens.act]) {
                return unauthorized();
            }
            change(request, context)
        }
        _ => JsonResponse::error(404, UNKNOWN_PATH),
    }
}

fn show_response(answer: &Result<QueryResponse, Refusal>) -> JsonResponse {
    match answer {
        Ok(shown) => JsonResponse::new(
            200,
            json!({ "rows": shown.rows, "lacks": shown.missing, "version": shown.version }),
        ),
        Err(Refusal::NotFound(detail)) => JsonResponse::error(404, detail),
        Err(Refusal::Unavailable(detail)) => JsonResponse::error(503, detail),
    }
}

fn unauthorized() -> JsonResponse {
    JsonResponse::error(
        401,
        "the token is missing or wrong; pass one with --token-file",
    )
}

/// Returns whether a request carries one of the tokens, or none is set. Compares
/// with every token in constant time against timing attacks.
fn is_authorized(request: &Request, lists: &[&Vec<String>]) -> bool {
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

fn change(request: &mut Request, context: &OperatorContext) -> JsonResponse {
    let origin = request
        .remote_addr()
        .map_or_else(String::new, |address| address.ip().to_string());
    let mut body = Vec::new();
    let read = request
        .as_reader()
        .take(MAX_COMMAND_BYTES)
        .read_to_end(&mut body);
    if read.is_err() {
        return JsonResponse::error(400, "the command could not be read whole");
    }
    let command: Command = match serde_json::from_slice(&body) {
        Ok(command) => command,
        Err(error) => {
            return JsonResponse::error(400, &format!("the command can't be understood: {error}"));
        }
    };
    let reply = config::commit(&context.table, &command, &origin);
    log::info!(
        target: "operators",
        "Command {} by {} from {origin}: {}.", command.id, command.operator, outcome(&reply),
    );
    change_response(context, reply)
}

const fn outcome(reply: &Reply) -> &'static str {
    match reply {
        Reply::Decided(CommandOutcome::Done(_), _) => "done",
        Reply::Decided(CommandOutcome::DryRun(_), _) => "dry",
        Reply::Decided(..) | Reply::Down(_) => "refused",
        Reply::Unknown(_) => "unknown",
    }
}

fn change_response(context: &OperatorContext, reply: Reply) -> JsonResponse {
    let outcome = outcome(&reply);
    let mut response = match reply {
        Reply::Decided(outcome_of_command, document) => {
            if let Some(document) = document {
                (context.on_accepted)(*document);
            }
            outcome_response(context, outcome_of_command)
        }
        Reply::Down(error) => {
            let detail = format!("nothing was changed: {error}; ask again later");
            JsonResponse::new(
                503,
                json!({ "problem": ErrorKind::StoreDown.answer().problem, "detail": detail }),
            )
        }
        Reply::Unknown(error) => {
            let detail = format!("{error}; ask again with the same command id");
            JsonResponse::new(
                503,
                json!({ "problem": ErrorKind::OutcomeUnknown.answer().problem, "detail": detail }),
            )
        }
    };
    response.body["outcome"] = json!(outcome);
    response
}

fn outcome_response(context: &OperatorContext, outcome_of_command: CommandOutcome) -> JsonResponse {
    match outcome_of_command {
        CommandOutcome::Done(version) => JsonResponse::new(200, json!({ "version": version })),
        CommandOutcome::DryRun(audit) => JsonResponse::new(
            200,
            json!({ "version": audit.version, "changes": audit.edits }),
        ),
        CommandOutcome::Refused(refusal) => {
            JsonResponse::new(409, json!({ "detail": refusal.to_string() }))
        }
        CommandOutcome::Conflict(version) => {
            let operator = winning_operator(context, version);
            let detail =
                format!("{operator} came first with version {version}; look and ask again");
            let problem = ErrorKind::ConfigConflict.answer().problem;
            JsonResponse::new(
                409,
                json!({ "version": version, "problem": problem, "detail": detail }),
            )
        }
    }
}

fn winning_operator(context: &OperatorContext, version: u64) -> String {
    let entry = config::read_audit_entry(&context.table, version)
        .ok()
        .flatten();
    entry.map_or_else(|| "another operator".to_owned(), |entry| entry.operator)
}
