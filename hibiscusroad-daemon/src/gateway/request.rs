//! Checks callers' requests against the configuration and dispatches them.

use super::{
    Gateway,
    accounts::QueueAccount,
    answer::{ResponseBody, full_response, problem},
    attempt::{set, strip_hop_by_hop},
    calls::pick_service,
    forward::Forward,
    http::PartialBody,
    message::{Content, Head, text},
    respond::run_for_caller,
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

/// Bodies up to this size are buffered, so that attempts can be repeated; larger
/// ones are passed on as they arrive and sent once.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Maximum size of a submission, which is always buffered.
const MAX_SUBMISSION_BYTES: usize = 8 << 20;
/// Maximum number of bytes to discard of a body that is too large.
const MAX_DISCARDED_BYTES: usize = 4 << 20;
/// Maximum time to spend discarding a body that is too large.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a request without a deadline header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// The `Retry-After` value while the process lacks a configuration or is stopping.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(300);

/// What a request addresses.
enum Target<'a> {
    /// A batch that was accepted earlier.
    Batch(batch::BatchRequest),
    /// A route of the configuration.
    Route(&'a Route),
}

/// The target and account of a request that the configuration allows.
struct Permitted<'a> {
    target: Target<'a>,
    account: Option<&'a Account>,
}

impl Gateway {
    /// Answers a caller's request and records it in the metrics.
    pub(super) async fn answer(
        self: &Rc<Self>,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let now = Instant::now();
        let response = self.respond(now, request).await;
        let problem = response.extensions().get::<ErrorKind>();
        let problem = problem.map(|kind| kind.answer().problem);
        self.meters
            .record_response(response.status(), problem, now.elapsed());
        response
    }

    async fn respond(
        self: &Rc<Self>,
        now: Instant,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let (parts, body) = request.into_parts();
        let catalog = match self.authorizing_catalog(now, &parts).await {
            Ok(catalog) => catalog,
            Err(kind) => return problem(kind, UNAVAILABLE_RETRY_DELAY),
        };
        let Permitted { target, account } = match self.authorize(now, &catalog, &parts) {
            Ok(permitted) => permitted,
            Err(kind) => return problem(kind, UNAVAILABLE_RETRY_DELAY),
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
        let content = match read_content(body, catalog.limits, deadline).await {
            Ok(content) => content,
            Err(kind) => return problem(kind, Duration::ZERO),
        };
        let Some(service) = pick_service(route) else {
            return problem(ErrorKind::NoEndpoint, UNAVAILABLE_RETRY_DELAY);
        };
        let topology = self.context.calls.topology();
        let by_account = account.map_or(&[][..], |account| &account.allowed_regions);
        let regions = topology.allowed(&route.allowed_regions);
        let regions = regions.intersection(topology.allowed(by_account));
        let tokens = text(&parts.headers, header::TOKENS).and_then(header::parse_tokens);
        let head = head(parts, id, deadline, &catalog, account);
        let request = Forward {
            service: service.to_owned(),
            class: class(route),
            kind: route.kind,
            max_attempts: route.max_attempts,
            tokens: tokens.unwrap_or(0),
            account: QueueAccount::of_caller(&catalog, account, route),
            regions,
            subject: Some(Subject::new(&head, head.account.as_deref(), &content)),
            content,
            head: Rc::new(head),
        };
        run_for_caller(&self.context, request).await
    }

    /// Returns a configuration that allows the request: the known one, or else the
    /// one that is now in the store.
    ///
    /// # Errors
    ///
    /// Returns the kind of the refusal if neither allows the request, or
    /// [`ErrorKind::NoConfig`] if the store can't be read.
    async fn authorizing_catalog(
        &self,
        now: Instant,
        parts: &Parts,
    ) -> Result<Rc<Catalog>, ErrorKind> {
        let known = self.known.catalog().ok_or(ErrorKind::NoConfig)?;
        if self.authorize(now, &known, parts).is_ok() {
            return Ok(known);
        }
        let refreshed = self.refresher.refresh_since(now).await;
        let catalog = self.known.catalog().ok_or(ErrorKind::NoConfig)?;
        let Err(kind) = self.authorize(Instant::now(), &catalog, parts) else {
            return Ok(catalog);
        };
        let id = text(&parts.headers, header::REQUEST);
        log::info!(target: CALLS, id = id, path = parts.uri.path(), kind = kind.answer().problem,
            version = catalog.version, current = refreshed;
            "A request is not allowed by the configuration that is known.");
        Err(if refreshed { kind } else { ErrorKind::NoConfig })
    }

    /// Finds the target and the account of a request.
    ///
    /// # Errors
    ///
    /// Returns the kind of the refusal if the configuration doesn't allow it.
    fn authorize<'a>(
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
        let credential = header::parse_credential(values.map(HeaderValue::as_bytes));
        let account = catalog.admit(public, credential)?;
        // The key may have been revoked since the configuration was confirmed.
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
    ) -> Response<ResponseBody> {
        if parts.method != hyper::Method::POST {
            return problem(ErrorKind::BadMethod, Duration::ZERO);
        }
        let max_bytes = limits.body_bytes.min(MAX_SUBMISSION_BYTES);
        let body = match read(body, max_bytes).await {
            Ok((body, None)) => body,
            Ok((_, Some(rest))) => {
                discard(rest).await;
                return problem(ErrorKind::BodyTooLarge, Duration::ZERO);
            }
            Err(kind) => return problem(kind, Duration::ZERO),
        };
        if self.stop.is_stopping() {
            return problem(ErrorKind::Stopping, UNAVAILABLE_RETRY_DELAY);
        }
        let path = parts.uri.path();
        self.batches.submit(id, path, route, account, body).await
    }
}

fn host(parts: &Parts) -> Option<&str> {
    let host = text(&parts.headers, "host").or_else(|| parts.uri.host())?;
    Some(host.split_once(':').map_or(host, |(name, _)| name))
}

/// Returns the earlier of the caller's deadline and the route's timeout.
fn deadline(now: Instant, headers: &HeaderMap, route: &Route) -> Result<Instant, ErrorKind> {
    let requested = match text(headers, header::DEADLINE) {
        Some(ms) => {
            let ms: f64 = ms
                .trim()
                .parse()
                .map_err(|_invalid| ErrorKind::BadDeadline)?;
            Duration::try_from_secs_f64(ms / 1000.0).map_err(|_invalid| ErrorKind::BadDeadline)?
        }
        None => DEFAULT_TIMEOUT,
    };
    Ok(now + requested.min(route.timeout.unwrap_or(requested)))
}

/// Returns the class of a route: a person waits on all routes but those of rollouts.
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
    strip_hop_by_hop(&mut parts.headers);
    if catalog.has_accounts() {
        let name = account.map(|account| account.name.as_str());
        set_account(&mut parts.headers, name);
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

/// Sets the account header, replacing any value from the caller, and removes the
/// credential: an endpoint that had it could act for the account.
pub(super) fn set_account(headers: &mut HeaderMap, account: Option<&str>) {
    headers.remove(AUTHORIZATION);
    headers.remove(header::ACCOUNT);
    if let Some(account) = account {
        set(headers, header::ACCOUNT, account);
    }
}

/// Builds the head of a request that this process originates.
pub(super) fn internal_head(
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

async fn read_content(
    body: Incoming,
    limits: Limits,
    deadline: Instant,
) -> Result<Content, ErrorKind> {
    if body.size_hint().lower() > limits.body_bytes as u64 {
        discard(body).await;
        return Err(ErrorKind::BodyTooLarge);
    }
    let max_bytes = MAX_BUFFERED_BYTES.min(limits.body_bytes);
    let read = tokio::time::timeout_at(deadline.into(), read(body, max_bytes));
    let (first, rest) = read.await.map_err(|_elapsed| ErrorKind::Expired)??;
    Ok(match rest {
        None => Content::Whole(first),
        Some(rest) => Content::Once(Some(Box::new(PartialBody {
            first: Some(first),
            rest,
        }))),
    })
}

/// Reads and discards part of a refused body: closing a connection with unread
/// bytes resets it, and the caller would not see the answer.
async fn discard(mut body: Incoming) {
    let mut length = 0;
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            length += frame.data_ref().map_or(0, Bytes::len);
            if length > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    if tokio::time::timeout(DISCARD_TIMEOUT, reading)
        .await
        .is_err()
    {
        log::debug!(target: CALLS, "Discarding a body that is too large timed out.");
    }
}

/// Reads a body; one longer than `max_bytes` is read in part, and the rest is returned.
async fn read(
    mut body: Incoming,
    max_bytes: usize,
) -> Result<(Bytes, Option<Incoming>), ErrorKind> {
    let mut parts = VecDeque::new();
    let mut length = 0;
    while length <= max_bytes {
        let Some(frame) = body.frame().await else {
            let body = match parts.len() {
                1 => parts.pop_front().unwrap_or_default(),
                _ => parts.into_iter().flatten().collect(),
            };
            return Ok((body, None));
        };
        let frame = frame.map_err(|error| {
            log::info!(target: CALLS, error = error.to_string().as_str();
                "Reading the body of a request failed.");
            ErrorKind::BadBody
        })?;
        if let Ok(data) = frame.into_data() {
            length += data.len();
            parts.push_back(data);
        }
    }
    Ok((parts.into_iter().flatten().collect(), Some(body)))
}

/// Answers the load balancer's readiness check.
pub(super) fn readiness(gateway: &Gateway) -> Response<ResponseBody> {
    let ready = gateway.known.catalog().is_some() && !gateway.stop.is_stopping();
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    full_response(status, "text/plain", status.as_str().to_owned())
}
