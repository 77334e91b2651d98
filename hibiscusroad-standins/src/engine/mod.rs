//! A model engine: completions by continuous batching, a prefix cache,
//! priorities, weight versions.
//!
//! The text is worked out from the prompt alone, so that a checker can tell
//! whether an answer is whole and whose it is. Each event of a stream names
//! the version that produced its token in `system_fingerprint`.

mod batch;
mod cache;
mod orders;
pub mod text;

use crate::http::{Exchange, FREE, Server};
use batch::{Ask, Batch, Token};
use flume::{Receiver, RecvTimeoutError};
use orders::Orders;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

const MODEL: &str = "guide";
// Tokens of a request that doesn't say.
const MAX_TOKENS: u64 = 16;
// How often a request that waits for a token looks whether its caller left.
const POLL: Duration = Duration::from_millis(20);

/// How an engine starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Time of a step.
    pub step: Duration,
    /// Time that each sequence of the batch adds to a step.
    pub sequence: Duration,
    /// Sequences that are generated at once.
    pub batch: usize,
    /// Prompt tokens that a step reads.
    pub prompt: u64,
    /// Tokens that the prefix cache holds.
    pub cache: u64,
    /// How old a load report is at the least.
    pub lag: Duration,
    /// The weight version at the start.
    pub version: String,
    /// How long it takes to load another version.
    pub swap: Duration,
    /// Whether an order with an old number is refused.
    pub fences: bool,
    /// URL of the weight store that versions are fetched from, if any.
    pub weights: Option<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: FREE,
            step: Duration::from_millis(5),
            sequence: Duration::from_micros(50),
            batch: 32,
            prompt: 2048,
            cache: 16_384,
            lag: Duration::from_millis(200),
            version: "1".to_owned(),
            swap: Duration::from_millis(300),
            fences: false,
            weights: None,
        }
    }
}

/// What becomes of an order to load a version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum SwapFault {
    /// It is done.
    #[default]
    None,
    /// It fails, and the old version stays.
    Fail,
    /// It is said to be done, but this version is loaded.
    Other(String),
}

/// Faults of an engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// No sequence goes on; connections stay open.
    pub stuck: bool,
    /// How many times longer a step takes.
    pub slow_factor: f64,
    /// Loses all work and closes all connections, once.
    pub crash: bool,
    /// Connections are closed before anything is done.
    pub down: bool,
    /// What becomes of orders.
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

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Sequences in the batch.
    pub running: usize,
    /// Requests that wait for the batch.
    pub queued: usize,
    /// Sequences that the batch may have.
    pub limit: usize,
    /// Tokens still to be read and generated.
    pub tokens: u64,
    /// Free tokens of the prefix cache.
    pub cache_free: u64,
    /// The weight version.
    pub version: String,
    /// Tokens generated since the start.
    pub generated: u64,
    /// How old the report is.
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
    // Tokens that the caller has already.
    #[serde(default)]
    resume_from: u64,
}

fn default_tokens() -> u64 {
    MAX_TOKENS
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
    /// Returns the system's error if it can't listen or start a thread.
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

    /// Returns where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns its load report.
    #[must_use]
    pub fn load(&self) -> Load {
        self.state.batch.load()
    }

    /// Switches faults on and off.
    pub fn set_faults(&self, faults: Faults) {
        if faults.crash {
            self.state.batch.crash();
            self.server.relay().cut_all();
        }
        self.state.batch.set_faults(faults);
    }

    /// Stops it at once.
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
    let route = (exchange.method(), exchange.path().to_owned());
    let route = (route.0.as_str(), route.1.as_str());
    if route.1 != "/control" && state.batch.faults().down {
        return exchange.cut();
    }
    match route {
        ("POST", "/v1/completions") => match exchange.json() {
            Ok(ask) => complete(state, exchange, ask),
            Err(error) => exchange.refuse(400, &error.to_string()),
        },
        ("POST", "/v1/weights") => state.orders.load(exchange),
        ("GET", "/v1/models") => {
            let id = json!([{ "id": MODEL, "object": "model" }]);
            exchange.answer(200, &json!({ "object": "list", "data": id }));
        }
        ("GET", "/load") => exchange.answer(200, &state.batch.load()),
        ("POST", "/control") => control(state, exchange),
        ("GET", "/control") => exchange.answer(200, &state.batch.faults()),
        _ => exchange.refuse(404, "no such path"),
    }
}

fn control(state: &State, mut exchange: Exchange) {
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

fn complete(state: &State, exchange: Exchange, ask: Completion) {
    let tokens = state.batch.add(Ask {
        prompt: ask.prompt.clone(),
        from: ask.resume_from,
        to: ask.max_tokens,
        priority: ask.priority,
    });
    let reply = Reply::new(state, ask);
    if reply.ask.stream {
        stream(exchange, &tokens, reply);
    } else {
        whole(exchange, &tokens, reply);
    }
}

// Waits for a token; none after the last, or if the caller has left.
fn next(tokens: &Receiver<Token>, open: &impl Fn() -> bool) -> Option<Token> {
    loop {
        match tokens.recv_timeout(POLL) {
            Ok(token) => return Some(token),
            Err(RecvTimeoutError::Timeout) if open() => {}
            Err(_) => return None,
        }
    }
}

fn stream(exchange: Exchange, tokens: &Receiver<Token>, mut reply: Reply) {
    let open = exchange.watch();
    let Ok(mut events) = exchange.stream() else {
        return;
    };
    while let Some(token) = next(tokens, &open) {
        let event = reply.event(&token);
        if events.send(&event.to_string()).is_err() {
            return;
        }
    }
    if !reply.is_whole() {
        return events.abandon();
    }
    // A caller that leaves now has all tokens already.
    let _ = events.send(&reply.last().to_string());
    let _ = events.send("[DONE]");
}

fn whole(exchange: Exchange, tokens: &Receiver<Token>, mut reply: Reply) {
    let open = exchange.watch();
    let mut text = String::new();
    while let Some(token) = next(tokens, &open) {
        text.push_str(&text::token(&reply.ask.prompt, token.index));
        reply.note(&token);
    }
    if !reply.is_whole() {
        return exchange.cut();
    }
    let mut answer = reply.last();
    answer["choices"][0]["text"] = Value::String(text);
    exchange.answer(200, &answer);
}

#[derive(Debug)]
struct Reply {
    ask: Completion,
    id: String,
    version: Arc<str>,
    next: u64,
    cached: u64,
}

impl Reply {
    fn new(state: &State, ask: Completion) -> Self {
        let id = ask.request_id.clone();
        Self {
            id: id.unwrap_or_else(|| format!("cmpl-{}", state.orders.number())),
            version: state.batch.version(),
            next: ask.resume_from,
            cached: 0,
            ask,
        }
    }

    fn note(&mut self, token: &Token) {
        self.version = Arc::clone(&token.version);
        self.next = token.index + 1;
        self.cached = token.cached;
    }

    fn is_whole(&self) -> bool {
        self.next >= self.ask.max_tokens
    }

    fn event(&mut self, token: &Token) -> Value {
        self.note(token);
        let text = text::token(&self.ask.prompt, token.index);
        let mut event = self.frame(&text, &Value::Null);
        event["offset"] = json!(token.index);
        event
    }

    fn last(&self) -> Value {
        let prompt = text::count(&self.ask.prompt);
        let generated = self.next.saturating_sub(self.ask.resume_from);
        let mut event = self.frame("", &json!("length"));
        event["usage"] = json!({
            "prompt_tokens": prompt,
            "completion_tokens": generated,
            "total_tokens": prompt + generated,
            "prompt_tokens_details": { "cached_tokens": self.cached },
        });
        event
    }

    fn frame(&self, text: &str, finish: &Value) -> Value {
        json!({
            "id": self.id,
            "object": "text_completion",
            "model": MODEL,
            "system_fingerprint": &*self.version,
            "choices": [{ "index": 0, "text": text, "finish_reason": finish }],
        })
    }
}
