//! What a caller's request is, and who answers it.

use super::{
    Gateway,
    answer::{Out, problem, whole},
    attempt::{Head, set, strip, text},
    calls::drawn_service,
    forward::{Content, Forward},
    http::Rest,
    respond::answered,
    subject::Subject,
};
use crate::logs::CALLS;
use hibiscusroad::{
    Class, ErrorKind,
    account::Account,
    catalog::{Catalog, Kind, Limits, Route},
};
use hibiscusroad_platform::{batch, header};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::{Body, Bytes, Incoming},
    header::{AUTHORIZATION, HOST, HeaderValue},
    http::request::Parts,
};
use std::{
    collections::VecDeque,
    rc::Rc,
    time::{Duration, Instant},
};

/// Bodies up to this size are read whole, so that they can be sent again. One
/// of 33 MB would be a fifth of a small host's memory.
const WHOLE: usize = 256 << 10;
/// Submissions are read whole in any case: a thousand items of 1 KiB each, three
/// times over for their encoding.
const SUBMISSION: usize = 8 << 20;
/// Bytes of a refused body that are read at most, and for how long: enough for
/// a body that is somewhat too large, and no burden.
const SKIPPED: usize = 4 << 20;
const SKIPPING: Duration = Duration::from_millis(500);
/// How long a caller waits who names no deadline.
const PATIENCE: Duration = Duration::from_secs(10);
/// When callers come back to a process that knows nothing yet: it asks the
/// store several times a second.
const UNKNOWING: Duration = Duration::from_millis(300);

/// What a request is for.
enum Target<'a> {
    /// A batch that was accepted before.
    Batch(batch::BatchRequest),
    Route(&'a Route),
}

/// A request that the configuration allows.
struct Permitted<'a> {
    target: Target<'a>,
    account: Option<&'a Account>,
}

impl Gateway {
    /// Answers a caller's request, and counts it.
    pub(super) async fn answer(self: &Rc<Self>, request: Request<Incoming>) -> Response<Out> {
        let now = Instant::now();
        let response = self.respond(now, request).await;
        let problem = response.extensions().get::<ErrorKind>();
        let problem = problem.map(|kind| kind.answer().problem);
        self.meters
            .answered(response.status(), problem, now.elapsed());
        response
    }

    async fn respond(self: &Rc<Self>, now: Instant, request: Request<Incoming>) -> Response<Out> {
        let (parts, body) = request.into_parts();
        let catalog = match self.judged(now, &parts).await {
            Ok(catalog) => catalog,
            Err(kind) => return problem(kind, UNKNOWING),
        };
        let Permitted { target, account } = match self.permitted(now, &catalog, &parts) {
            Ok(permitted) => permitted,
            Err(kind) => return problem(kind, UNKNOWING),
        };
        let route = match target {
            Target::Route(route) => route,
            Target::Batch(call) => {
                let wait = text(&parts.headers, header::WAIT).and_then(|ms| ms.trim().parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0));
                let account = account.map(|account| account.name.as_str());
                return self.batches.answer(call, account, wait).await;
            }
        };
        let Some(id) = text(&parts.headers, header::REQUEST).map(str::to_owned) else {
            return problem(ErrorKind::BadRequest, Duration::ZERO);
        };
        if route.kind == Kind::Rollout {
            let limits = catalog.limits;
            return self.submit(&parts, body, route, &id, account, limits).await;
        }
        let deadline = match deadline(now, &parts.headers, route) {
            Ok(deadline) => deadline,
            Err(kind) => return problem(kind, Duration::ZERO),
        };
        let content = match content(body, catalog.limits, deadline).await {
            Ok(content) => content,
            Err(kind) => return problem(kind, Duration::ZERO),
        };
        let Some(service) = drawn_service(route) else {
            return problem(ErrorKind::NoEndpoint, UNKNOWING);
        };
        let tokens = text(&parts.headers, header::TOKENS).and_then(header::parse_tokens);
        let head = head(parts, id, deadline, &catalog, account);
        let request = Forward {
            service: service.to_owned(),
            class: class(route),
            kind: route.kind,
            attempts: route.max_attempts,
            tokens: tokens.unwrap_or(0),
            subject: Subject::new(&head, head.account.as_deref(), &content),
            content,
            head: Rc::new(head),
        };
        answered(&self.line, request).await
    }

    /// Returns the configuration that a request is judged by: the one that is known, if
    /// that allows it, else the one that the store has now.
    ///
    /// # Errors
    ///
    /// Returns the kind of the refusal of a request that isn't allowed, or of which
    /// nobody can say now whether it is.
    async fn judged(&self, now: Instant, parts: &Parts) -> Result<Rc<Catalog>, ErrorKind> {
        let known = self.known.catalog().ok_or(ErrorKind::NoConfig)?;
        if self.permitted(now, &known, parts).is_ok() {
            return Ok(known);
        }
        let told = self.looks.bring_up(now).await;
        let catalog = self.known.catalog().ok_or(ErrorKind::NoConfig)?;
        let Err(kind) = self.permitted(Instant::now(), &catalog, parts) else {
            return Ok(catalog);
        };
        let id = text(&parts.headers, header::REQUEST);
        log::info!(target: CALLS, id = id, path = parts.uri.path(), kind = kind.answer().problem,
            version = catalog.version, current = told;
            "A request is not allowed by the configuration that is known.");
        Err(if told { kind } else { ErrorKind::NoConfig })
    }

    /// Finds what a request is for, and for which account.
    ///
    /// # Errors
    ///
    /// Returns the kind of the refusal if the configuration doesn't allow it.
    fn permitted<'a>(
        &self,
        now: Instant,
        catalog: &'a Catalog,
        parts: &Parts,
    ) -> Result<Permitted<'a>, ErrorKind> {
        let (method, uri) = (parts.method.as_str(), &parts.uri);
        let target = match batch::parse_request(method, uri.path(), uri.query()) {
            Some(call) => Target::Batch(call),
            None => host(parts)
                .and_then(|host| catalog.find(host, uri.path()))
                .map(Target::Route)
                .ok_or(ErrorKind::UnknownPath)?,
        };
        let public = match &target {
            Target::Batch(call) => self.batches.is_public(call.batch()),
            Target::Route(route) => route.public,
        };
        let values = parts.headers.get_all(header::AUTHORIZATION).iter();
        let shown = header::parse_credential(values.map(HeaderValue::as_bytes));
        let account = catalog.admit(public, shown)?;
        // A key may have been taken away since the configuration was confirmed.
        if account.is_some() && self.known.is_expired(now) {
            return Err(ErrorKind::NoConfig);
        }
        Ok(Permitted { target, account })
    }

    async fn submit(
        self: &Rc<Self>,
        parts: &Parts,
        body: Incoming,
        route: &Route,
        id: &str,
        account: Option<&Account>,
        limits: Limits,
    ) -> Response<Out> {
        if parts.method != hyper::Method::POST {
            return problem(ErrorKind::BadMethod, Duration::ZERO);
        }
        let most = limits.body_bytes.min(SUBMISSION);
        let body = match read(body, most).await {
            Ok((body, None)) => body,
            Ok((_, Some(rest))) => {
                skip(rest).await;
                return problem(ErrorKind::BodyTooLarge, Duration::ZERO);
            }
            Err(kind) => return problem(kind, Duration::ZERO),
        };
        if self.stop.is_stopping() {
            return problem(ErrorKind::Stopping, UNKNOWING);
        }
        let path = parts.uri.path();
        self.batches.submit(id, path, route, account, body).await
    }
}

fn host(parts: &Parts) -> Option<&str> {
    let host = text(&parts.headers, "host").or_else(|| parts.uri.host())?;
    Some(host.split_once(':').map_or(host, |(name, _)| name))
}

/// The earliest of what the caller, the operator and common sense allow.
fn deadline(now: Instant, headers: &HeaderMap, route: &Route) -> Result<Instant, ErrorKind> {
    let told = match text(headers, header::DEADLINE) {
        Some(ms) => {
            let ms: f64 = ms.trim().parse().map_err(|_odd| ErrorKind::BadDeadline)?;
            Duration::try_from_secs_f64(ms / 1000.0).map_err(|_odd| ErrorKind::BadDeadline)?
        }
        None => PATIENCE,
    };
    Ok(now + told.min(route.timeout.unwrap_or(told)))
}

/// Callers of routes that rank high wait in person; the others are systems.
const fn class(route: &Route) -> Class {
    match route.kind {
        Kind::Rollout => Class::Rollout,
        Kind::Idempotent | Kind::Once | Kind::Stream { .. } => Class::Interactive,
    }
}

fn head(
    mut parts: Parts,
    id: String,
    deadline: Instant,
    catalog: &Catalog,
    account: Option<&Account>,
) -> Head {
    strip(&mut parts.headers);
    if catalog.has_accounts() {
        let name = account.map(|account| account.name.as_str());
        name_account(&mut parts.headers, name);
    }
    Head {
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        id,
        deadline,
        account: account.map(|account| account.name.as_str().into()),
    }
}

/// Names the account that a request is for, whatever its caller said of that, and takes
/// out the key: an endpoint that had it could act for the account.
pub(super) fn name_account(headers: &mut HeaderMap, account: Option<&str>) {
    headers.remove(AUTHORIZATION);
    headers.remove(header::ACCOUNT);
    if let Some(account) = account {
        set(headers, header::ACCOUNT, account);
    }
}

/// Builds the head of a request that this process makes itself.
pub(super) fn own_head(
    host: &str,
    path: &str,
    id: &str,
    deadline: Instant,
) -> Result<Head, hyper::http::Error> {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_str(host)?);
    set(&mut headers, header::REQUEST, id);
    Ok(Head {
        method: hyper::Method::POST,
        target: path.parse::<hyper::Uri>()?,
        headers,
        id: id.to_owned(),
        deadline,
        account: None,
    })
}

async fn content(body: Incoming, limits: Limits, deadline: Instant) -> Result<Content, ErrorKind> {
    if body.size_hint().lower() > limits.body_bytes as u64 {
        skip(body).await;
        return Err(ErrorKind::BodyTooLarge);
    }
    let whole = WHOLE.min(limits.body_bytes);
    let read = tokio::time::timeout_at(deadline.into(), read(body, whole));
    let (first, rest) = read.await.map_err(|_elapsed| ErrorKind::Expired)??;
    Ok(match rest {
        None => Content::Whole(first),
        Some(rest) => Content::Once(Some(Box::new(Rest {
            first: Some(first),
            rest,
        }))),
    })
}

/// Reads some of a body that nobody wants: a connection that is closed with
/// bytes unread is reset, and its caller never sees the answer.
async fn skip(mut body: Incoming) {
    let mut length = 0;
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            length += frame.data_ref().map_or(0, Bytes::len);
            if length > SKIPPED {
                return;
            }
        }
    };
    if tokio::time::timeout(SKIPPING, reading).await.is_err() {
        log::debug!(target: CALLS, "A body that is too large came slowly; the rest is cut off.");
    }
}

/// Reads a body up to `most` bytes; returns the rest if it is longer.
async fn read(mut body: Incoming, most: usize) -> Result<(Bytes, Option<Incoming>), ErrorKind> {
    let mut parts = VecDeque::new();
    let mut length = 0;
    while length <= most {
        let Some(frame) = body.frame().await else {
            let whole = match parts.len() {
                1 => parts.pop_front().unwrap_or_default(),
                _ => parts.into_iter().flatten().collect(),
            };
            return Ok((whole, None));
        };
        let frame = frame.map_err(|error| {
            log::info!(target: CALLS, error = error.to_string().as_str();
                "A request's body is not whole.");
            ErrorKind::BadBody
        })?;
        if let Ok(data) = frame.into_data() {
            length += data.len();
            parts.push_back(data);
        }
    }
    Ok((parts.into_iter().flatten().collect(), Some(body)))
}

/// Answers the balancer: whether this process takes callers.
pub(super) fn readiness(gateway: &Gateway) -> Response<Out> {
    let ready = gateway.known.catalog().is_some() && !gateway.stop.is_stopping();
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    whole(status, "text/plain", status.as_str().to_owned())
}
