//! A model engine with continuous batching, a prefix cache, priorities and weight
//! versions.
//!
//! The generated text depends on the prompt only, so that a checker can verify that an
//! answer is complete and belongs to its request. Each event of a stream names the weight
//! version that generated its token in `system_fingerprint`.

mod batch;
mod cache;
mod orders;
pub mod text;

use crate::http::{ANY_LOOPBACK_PORT, Exchange, Server};
use batch::{Batch, BatchRequest, Token};
use flume::{Receiver, RecvTimeoutError};
use orders::Orders;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

const MODEL_ID: &str = "guide";
/// The limit of requests without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// The interval at which a waiting request checks the caller's connection.
const CONNECTION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The fixed duration of a step.
    pub step_time: Duration,
    /// The time that each sequence of the batch adds to a step.
    pub sequence_time: Duration,
    /// The maximum number of sequences in the batch.
    pub max_batch: usize,
    /// The maximum number of prompt tokens processed in a step.
    pub prompt_tokens: u64,
    /// The capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// The minimum age of load reports.
    pub load_lag: Duration,
    /// The initial weight version.
    pub version: String,
    /// The duration of loading another version.
    pub swap_time: Duration,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_fence: bool,
    /// The URL of the weight store that versions are fetched from, if any.
    pub weights_url: Option<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: ANY_LOOPBACK_PORT,
            step_time: Duration::from_millis(5),
            sequence_time: Duration::from_micros(50),
            max_batch: 32,
            prompt_tokens: 2048,
            cache_tokens: 16_384,
            load_lag: Duration::from_millis(200),
            version: "1".to_owned(),
            swap_time: Duration::from_millis(300),
            checks_fence: false,
            weights_url: None,
        }
    }
}

/// The outcome of orders to load a version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum SwapFault {
    /// The version is loaded.
    #[default]
    None,
    /// Loading fails and the old version stays.
    Fail,
    /// This version is loaded instead, and success is reported.
    Other(String),
}

/// Faults of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// No sequence makes progress; connections stay open.
    pub stuck: bool,
    /// The factor by which a step takes longer.
    pub slow_factor: f64,
    /// Drops all sequences and closes all connections, once.
    pub crash: bool,
    /// Connections are closed before a request takes effect.
    pub down: bool,
    /// The outcome of orders.
    pub swap: SwapFault,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            stuck: false,
            slow_factor: 1.0,
            crash: false,
            down: false,
            swap: SwapFault::None,
        }
    }
}

/// The load report of an engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// The number of sequences in the batch.
    pub running: usize,
    /// The number of queued requests.
    pub queued: usize,
    /// The maximum number of sequences in the batch.
    pub limit: usize,
    /// Tokens of all requests still to be processed or generated.
    pub tokens: u64,
    /// The free capacity of the prefix cache in tokens.
    pub cache_free: u64,
    /// The weight version.
    pub version: String,
    /// Tokens generated since the start.
    pub generated: u64,
    /// The age of the report in milliseconds.
    pub age_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    prompt: String,
    #[serde(default = "default_tokens")]
    max_tokens: u64,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    request_id: Option<String>,
    /// The number of tokens that the caller has received already.
    #[serde(default)]
    resume_from: u64,
}

fn default_tokens() -> u64 {
    DEFAULT_MAX_TOKENS
}

#[derive(Debug)]
struct State {
    batch: Arc<Batch>,
    orders: Orders,
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    state: Arc<State>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if it can't listen or start a thread.
    pub fn start(settings: Settings) -> io::Result<Self> {
        let listen = settings.listen;
        let batch = Batch::start(settings.clone())?;
        let state = Arc::new(State {
            orders: Orders::new(settings, Arc::clone(&batch)),
            batch,
        });
        let inner = Arc::clone(&state);
        let server = Server::start(listen, move |exchange| handle(&inner, exchange))?;
        Ok(Self { server, state })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the load report.
    #[must_use]
    pub fn load(&self) -> Load {
        self.state.batch.load()
    }

    /// Replaces the active faults, and crashes the engine if `crash` is set.
    pub fn set_faults(&self, faults: Faults) {
        if faults.crash {
            self.state.batch.crash();
            self.server.relay().cut_all();
        }
        self.state.batch.set_faults(faults);
    }

    /// Stops listening, closes all connections and drops all sequences.
    pub fn stop(&self) {
        self.server.stop();
        self.state.batch.stop();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.stop();
    }
}

fn handle(state: &State, mut exchange: Exchange) {
    let call = (exchange.method(), exchange.path().to_owned());
    let route = (call.0.as_str(), call.1.as_str());
    if route.1 != "/control" && state.batch.faults().down {
        return exchange.cut();
    }
    match route {
        ("POST", "/v1/completions") => match exchange.json() {
            Ok(request) => complete(state, exchange, request),
            Err(error) => exchange.refuse(400, &error.to_string()),
        },
        ("POST", "/v1/weights") => state.orders.execute(exchange),
        ("GET", "/v1/models") => {
            let models = json!([{ "id": MODEL_ID, "object": "model" }]);
            exchange.answer(200, &json!({ "object": "list", "data": models }));
        }
        ("GET", "/load") => exchange.answer(200, &state.batch.load()),
        ("POST", "/control") => handle_control(state, exchange),
        ("GET", "/control") => exchange.answer(200, &state.batch.faults()),
        _ => exchange.refuse(404, "no such path"),
    }
}

fn handle_control(state: &State, mut exchange: Exchange) {
    match exchange.json::<Faults>() {
        Ok(faults) => {
            if faults.crash {
                state.batch.crash();
                exchange.cut_others();
            }
            state.batch.set_faults(faults.clone());
            exchange.answer(200, &faults);
        }
        Err(error) => exchange.refuse(400, &error.to_string()),
    }
}

fn complete(state: &State, exchange: Exchange, request: Completion) {
    let tokens = state.batch.add(BatchRequest {
        prompt: request.prompt.clone(),
        from: request.resume_from,
        to: request.max_tokens,
        priority: request.priority,
    });
    let reply = Reply::new(state, request);
    if reply.request.stream {
        send_stream(exchange, &tokens, reply);
    } else {
        send_whole(exchange, &tokens, reply);
    }
}

/// Waits for a token; returns `None` after the last or if the caller has disconnected.
fn next_token(tokens: &Receiver<Token>, is_open: &impl Fn() -> bool) -> Option<Token> {
    loop {
        match tokens.recv_timeout(CONNECTION_POLL_INTERVAL) {
            Ok(token) => return Some(token),
            Err(RecvTimeoutError::Timeout) if is_open() => {}
            Err(_) => return None,
        }
    }
}

fn send_stream(exchange: Exchange, tokens: &Receiver<Token>, mut reply: Reply) {
    let is_open = exchange.watch();
    let Ok(mut events) = exchange.stream() else {
        return;
    };
    while let Some(token) = next_token(tokens, &is_open) {
        let event = reply.token_event(&token);
        if events.send(&event.to_string()).is_err() {
            return;
        }
    }
    if !reply.is_complete() {
        return events.abandon();
    }
    // A caller that disconnects now has received all tokens already.
    let _ = events.send(&reply.final_event().to_string());
    let _ = events.send("[DONE]");
}

fn send_whole(exchange: Exchange, tokens: &Receiver<Token>, mut reply: Reply) {
    let is_open = exchange.watch();
    let mut text = String::new();
    while let Some(token) = next_token(tokens, &is_open) {
        text.push_str(&text::token(&reply.request.prompt, token.index));
        reply.record(&token);
    }
    if !reply.is_complete() {
        return exchange.cut();
    }
    let mut answer = reply.final_event();
    answer["choices"][0]["text"] = Value::String(text);
    exchange.answer(200, &answer);
}

#[derive(Debug)]
struct Reply {
    request: Completion,
    id: String,
    version: Arc<str>,
    next_index: u64,
    cached_tokens: u64,
}

impl Reply {
    fn new(state: &State, request: Completion) -> Self {
        let id = request.request_id.clone();
        Self {
            id: id.unwrap_or_else(|| format!("cmpl-{}", state.orders.next_number())),
            version: state.batch.version(),
            next_index: request.resume_from,
            cached_tokens: 0,
            request,
        }
    }

    fn record(&mut self, token: &Token) {
        self.version = Arc::clone(&token.version);
        self.next_index = token.index + 1;
        self.cached_tokens = token.cached;
    }

    fn is_complete(&self) -> bool {
        self.next_index >= self.request.max_tokens
    }

    fn token_event(&mut self, token: &Token) -> Value {
        self.record(token);
        let text = text::token(&self.request.prompt, token.index);
        let mut event = self.event(&text, &Value::Null);
        event["offset"] = json!(token.index);
        event
    }

    fn final_event(&self) -> Value {
        let prompt = text::count(&self.request.prompt);
        let generated = self.next_index.saturating_sub(self.request.resume_from);
        let mut event = self.event("", &json!("length"));
        event["usage"] = json!({
            "prompt_tokens": prompt,
            "completion_tokens": generated,
            "total_tokens": prompt + generated,
            "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
        });
        event
    }

    fn event(&self, text: &str, finish_reason: &Value) -> Value {
        json!({
            "id": self.id,
            "object": "text_completion",
            "model": MODEL_ID,
            "system_fingerprint": &*self.version,
            "choices": [{ "index": 0, "text": text, "finish_reason": finish_reason }],
        })
    }
}
