//! One load, from the order to the engine's word that it is done.

use super::{
    LOOK, Weights,
    order::{AGAIN, LONGEST},
};
use crate::{gateway::http::encode, logs::WEIGHTS};
use hibiscusroad::{
    clock::millis,
    rollout::{Order, OrderAnswer, wave::Load},
    roster::Endpoint,
};
use hibiscusroad_platform::{
    engine::{self, Report},
    request::Request as Wire,
};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use std::{
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout, timeout_at};

/// An engine answers a report or an order in milliseconds, a slow one in some
/// hundred; the lease leaves room for several such waits.
const CALL: Duration = Duration::from_millis(700);
/// An engine that hasn't registered its new weights by then is asked: half as
/// much again as a load that others slow down.
const SILENT: Duration = Duration::from_millis(2_200);

impl Weights {
    /// Has one engine load one version, and waits until it is seen to run it. The
    /// order is sent before `until`, or not at all.
    pub(super) async fn load(self: Rc<Self>, load: Load, at_once: usize, until: Instant) {
        let start = Instant::now();
        let done = self.try_load(&load, until).await;
        let took = start.elapsed();
        log::info!(target: WEIGHTS, endpoint = load.endpoint.as_str(), model = load.model.as_str(),
            version = load.version, at_once = at_once, took_ms = millis(took), done = done;
            "A load of weights ended.");
        let outcome = if done { "done" } else { "failed" };
        self.meters.loads.with_label_values(&[outcome]).inc();
        if done {
            self.meters.load_seconds.observe(took.as_secs_f64());
            self.pace.borrow_mut().loaded(at_once, took);
            self.keep_pace().await;
            self.loading.borrow_mut().remove(&load.endpoint);
        } else {
            let until = self.duty.now() + AGAIN;
            self.loading.borrow_mut().insert(load.endpoint, until);
            sleep(AGAIN).await;
        }
        self.changed.notify_one();
    }

    async fn try_load(&self, load: &Load, until: Instant) -> bool {
        let Some(endpoint) = self.members.get(&load.endpoint) else {
            return false;
        };
        let known = self.orders.borrow_mut().remove(&load.endpoint);
        let orders = match known {
            Some(orders) => orders,
            None => match self.report(&endpoint).await {
                Some(report) if self.runs(load, &report) => return true,
                Some(report) if !report.busy => report.orders,
                _ => return false,
            },
        };
        // Looked at last: nothing is waited for between this and the order.
        let in_time = self.duty.now() < until;
        let Some(fence) = self.duty.fence().filter(|_| in_time) else {
            self.orders
                .borrow_mut()
                .insert(load.endpoint.clone(), orders);
            return false;
        };
        let order = Order {
            endpoint: load.endpoint.clone(),
            model: load.model.clone(),
            version: load.version,
            holder: self.duty.life().to_owned(),
            fence,
            expected: orders,
        };
        let mut weights = endpoint.weights.iter();
        let from = weights.find(|weights| weights.model == load.model);
        let from = from.map_or(0, |weights| weights.version);
        let answer = self.ask(&endpoint, engine::order_request(&order)).await;
        let answer = answer.map_or(OrderAnswer::Unknown, |(status, _)| {
            engine::order_outcome(status)
        });
        log::info!(target: WEIGHTS, endpoint = load.endpoint.as_str(), model = load.model.as_str(),
            version = load.version, from = from, holder = self.duty.life(), fence = fence,
            orders = orders, answer:? = answer; "An order was given.");
        match answer {
            OrderAnswer::Accepted => {
                let done = self.watch(&endpoint, load).await;
                if done {
                    let id = load.endpoint.clone();
                    self.orders.borrow_mut().insert(id, orders + 1);
                }
                done
            }
            OrderAnswer::Holds => {
                self.saw(&load.endpoint, &load.model, load.version);
                true
            }
            OrderAnswer::Fenced => {
                self.duty.beaten();
                false
            }
            OrderAnswer::Busy | OrderAnswer::Gone | OrderAnswer::Refused | OrderAnswer::Unknown => {
                false
            }
        }
    }

    /// Waits until an engine has loaded: it registers that at once. Its report
    /// lags behind, and is asked for only if it says nothing for long.
    async fn watch(&self, endpoint: &Endpoint, load: &Load) -> bool {
        let end = Instant::now() + LONGEST;
        let mut look = Instant::now() + SILENT;
        while Instant::now() < end {
            let news = self.news.notified();
            let Some(now) = self.members.get(&load.endpoint) else {
                return false;
            };
            if now.started_ms != endpoint.started_ms {
                return false;
            }
            let runs = now
                .weights
                .iter()
                .any(|weights| weights.model == load.model && weights.version >= load.version);
            if runs {
                return true;
            }
            if timeout_at(look.into(), news).await.is_ok() {
                continue;
            }
            look = Instant::now() + LOOK;
            let report = self.report(endpoint).await;
            if report.is_some_and(|report| self.runs(load, &report)) {
                return true;
            }
        }
        false
    }

    /// Notes what an engine reports; `true` if it runs the version.
    fn runs(&self, load: &Load, report: &Report) -> bool {
        for weights in &report.weights {
            self.saw(&load.endpoint, &weights.model, weights.version);
        }
        let runs = report
            .weights
            .iter()
            .any(|weights| weights.model == load.model && weights.version >= load.version);
        runs && !report.busy
    }

    fn saw(&self, endpoint: &str, model: &str, version: u64) {
        let key = (endpoint.to_owned(), model.to_owned());
        let mut seen = self.seen.borrow_mut();
        let known = seen.entry(key).or_default();
        *known = (*known).max(version);
        drop(seen);
        self.batches.record_version(endpoint, model, version);
    }

    async fn report(&self, endpoint: &Endpoint) -> Option<Report> {
        let (status, body) = self
            .ask(endpoint, engine::report_request(&endpoint.id))
            .await?;
        match engine::decode_report(status, &body) {
            Ok(report)
                if report.started_ms.is_some() && report.started_ms != endpoint.started_ms =>
            {
                log::info!(target: WEIGHTS, endpoint = endpoint.id.as_str(),
                    born:? = report.started_ms, known:? = endpoint.started_ms;
                    "A report is of another life of the engine.");
                None
            }
            Ok(report) => Some(report),
            Err(error) => {
                log::warn!(target: WEIGHTS, endpoint = endpoint.id.as_str(),
                    error = error.to_string().as_str(); "A report is not understood.");
                None
            }
        }
    }

    async fn ask(&self, endpoint: &Endpoint, wire: Wire) -> Option<(u16, Bytes)> {
        let answer = timeout(CALL, self.exchange(endpoint, wire)).await;
        let error = match answer {
            Ok(Ok(answer)) => return Some(answer),
            Ok(Err(error)) => error,
            Err(_elapsed) => "time is over".to_owned(),
        };
        log::info!(target: WEIGHTS, endpoint = endpoint.id.as_str(), error = error.as_str();
            "An engine did not answer.");
        None
    }

    async fn exchange(&self, endpoint: &Endpoint, wire: Wire) -> Result<(u16, Bytes), String> {
        let request = encode(&wire, endpoint.address).map_err(|error| error.to_string())?;
        let sent = self.channels.send(endpoint.address, request).await;
        let (response, channel) = sent.map_err(|fault| fault.to_string())?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| error.to_string())?;
        self.channels.give_back(channel, None);
        Ok((status, body.to_bytes()))
    }
}
