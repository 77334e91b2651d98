//! One run of one item, from the engine's first event to the scorer's word.
//!
//! A text may come from several runs, each of which goes on after the last
//! event of the one before. The versions of a text are those that engines named
//! with their answers and events; which version was ordered says nothing about
//! which one ran.

use super::{Batches, Owned, dispatch::Seat};
use crate::{
    gateway::{
        attempt::{self, Head, set, text},
        calls::Peer,
        http::whole,
        request::own_head,
    },
    logs::BATCHES,
};
use hibiscusroad::{
    catalog::Route,
    rollout::{
        Item,
        batch::{Break, Partial},
        engines::EngineKey,
    },
    roster::Endpoint,
};
use hibiscusroad_platform::{
    event::{Event, Events},
    header,
};
use http_body_util::BodyExt;
use hyper::{Response, body::Incoming, header::HeaderName};
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::timeout;

/// An engine that says nothing for so long before its first event is taken to
/// be gone: queues inside engines turn over in a second.
const HEAD: Duration = Duration::from_millis(3_000);
/// The same between two events. Events are some tens of milliseconds apart; a
/// load of weights holds them up for a second, a slow one for two.
const GAP: Duration = Duration::from_millis(2_500);
/// How long an item may run if its batch has no end.
const LONGEST: Duration = Duration::from_secs(60);

/// A run under way.
struct Run<'a> {
    batches: &'a Batches,
    key: EngineKey,
    model: Option<&'a str>,
    partial: Partial,
    /// The weight version that makes the next event.
    version: Option<u64>,
}

impl Batches {
    /// Runs an item at an engine, and then its scorer.
    #[expect(clippy::too_many_arguments, reason = "one run, started in one place")]
    pub(super) async fn item(
        self: &Rc<Self>,
        owned: &Rc<Owned>,
        route: &Route,
        n: usize,
        seat: Seat,
        endpoint: Endpoint,
        partial: Partial,
        exact: Option<u64>,
    ) {
        let item = &owned.submission.items[n];
        let start = Instant::now();
        let before = partial.last;
        let mut run = Run {
            batches: self,
            key: seat.key,
            model: owned.submission.model.as_deref(),
            partial,
            version: None,
        };
        let deadline = owned.expires.unwrap_or(start + LONGEST);
        let ended = match item_head(item, owned, route, deadline, &run, exact) {
            Ok(head) => run.generate(&head, &endpoint, &item.body).await,
            Err(error) => {
                log::error!(target: BATCHES, batch = owned.id.as_str(), item = item.id.as_str(),
                    error = error.to_string().as_str(); "An item can't be sent.");
                Err(Break::Never)
            }
        };
        let partial = run.partial;
        if let Err(cause) = ended {
            log::debug!(target: BATCHES, batch = owned.id.as_str(), item = item.id.as_str(),
                endpoint = endpoint.id.as_str(), cause:? = cause, last:? = partial.last;
                "A run of an item broke off.");
            self.broke(owned, n, seat.key, partial, cause);
            return;
        }
        let events = partial
            .last
            .unwrap_or(0)
            .saturating_sub(before.unwrap_or(0));
        if events > 0 {
            let pace = start.elapsed().as_secs_f64() / events as f64;
            self.engines.borrow_mut().generated(seat.key, pace);
        }
        drop(seat);
        let whole = owned
            .batch
            .borrow_mut()
            .generated(Instant::now(), n, partial);
        if whole {
            self.score(owned, n).await;
        } else {
            self.work.notify_one();
        }
    }
}

fn item_head(
    item: &Item,
    owned: &Owned,
    route: &Route,
    deadline: Instant,
    run: &Run<'_>,
    exact: Option<u64>,
) -> Result<Head, hyper::http::Error> {
    let mut head = own_head(&owned.host, &item.path, &item.id, deadline)?;
    for (name, value) in &item.headers {
        let name = HeaderName::try_from(name.as_str())?;
        let value = hyper::header::HeaderValue::try_from(value.as_str())?;
        head.headers.insert(name, value);
    }
    if let Some(last) = run.partial.last {
        set(&mut head.headers, header::LAST_EVENT, &last.to_string());
    }
    if let Some(exact) = exact {
        set(
            &mut head.headers,
            header::EXPECT_VERSION,
            &exact.to_string(),
        );
    }
    set(
        &mut head.headers,
        header::PRIORITY,
        &route.priority.min(9).to_string(),
    );
    Ok(head)
}

impl Run<'_> {
    async fn generate(
        &mut self,
        head: &Head,
        endpoint: &Endpoint,
        body: &[u8],
    ) -> Result<(), Break> {
        let peer = Peer {
            id: endpoint.id.as_str().into(),
            address: endpoint.address,
        };
        let request = attempt::request(head, &peer, whole(body.to_vec().into()));
        let channels = &self.batches.line.channels;
        let sent = timeout(HEAD, channels.send(peer.address, request)).await;
        let (response, channel) = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(fault)) => {
                log::debug!(target: BATCHES, item = head.id.as_str(),
                    endpoint = endpoint.id.as_str(), error = fault.to_string().as_str();
                    "An engine did not answer.");
                return Err(Break::Lost);
            }
            Err(_elapsed) => return Err(Break::Lost),
        };
        self.accept(head, &response)?;
        let keep = attempt::kept(response.headers());
        self.read(response.into_body()).await?;
        channels.give_back(channel, keep);
        Ok(())
    }

    /// Understands the head of an engine's answer.
    fn accept(&mut self, head: &Head, response: &Response<Incoming>) -> Result<(), Break> {
        let headers = response.headers();
        let told = text(headers, header::LOAD).and_then(header::load);
        let mut engines = self.batches.engines.borrow_mut();
        if let Some((running, queued, _)) = told {
            engines.told(Instant::now(), self.key, running + queued);
        }
        let echo = text(headers, header::REQUEST);
        if echo.is_some_and(|echo| echo != head.id) {
            return Err(Break::Lost);
        }
        let status = response.status().as_u16();
        match status {
            200..=299 if echo.is_some() && headers.contains_key(header::SIGNATURE) => {}
            _ if headers.contains_key(header::NOT_RUN) => return Err(Break::NotRun),
            421 => return Err(Break::NotRun),
            422 => return Err(Break::Never),
            500 => return Err(Break::Failed),
            _ => return Err(Break::Lost),
        }
        self.version = text(headers, header::WEIGHTS).and_then(|v| v.trim().parse().ok());
        if let Some((model, version)) = self.model.zip(self.version) {
            engines.weights(self.key, model, version);
        }
        Ok(())
    }

    async fn read(&mut self, mut body: Incoming) -> Result<(), Break> {
        let mut events = Events::new();
        loop {
            let frame = timeout(GAP, body.frame()).await;
            let frame = match frame {
                Ok(None) => break,
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(_))) | Err(_) => return Err(Break::Lost),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            events.push(&data);
            loop {
                match events.next_event() {
                    Ok(Some(event)) => self.take(event)?,
                    Ok(None) => break,
                    Err(_garbled) => return Err(Break::Lost),
                }
            }
        }
        if events.is_between() && self.partial.last.is_some() {
            Ok(())
        } else {
            Err(Break::Lost)
        }
    }

    /// Adds an event to the text; one that doesn't follow the last ends the run.
    fn take(&mut self, event: Event) -> Result<(), Break> {
        if self
            .partial
            .last
            .is_some_and(|last| event.number != last + 1)
        {
            return Err(Break::Lost);
        }
        if let Some(version) = event.version {
            self.version = Some(version);
            if let Some(model) = self.model {
                let mut engines = self.batches.engines.borrow_mut();
                engines.weights(self.key, model, version);
            }
        }
        if self.partial.last.is_some() {
            self.partial.text.push('\n');
        }
        self.partial.text.push_str(&event.data);
        self.partial.last = Some(event.number);
        if let Some(version) = self.version
            && !self.partial.versions.contains(&version)
        {
            self.partial.versions.push(version);
        }
        Ok(())
    }
}
