//! One call, as a caller makes it, and how it ended for the caller.

use hibiscusroad::Class;
use hibiscusroad_standins::{engine::text, plain};
use serde_json::{Value, json};
use std::{
    io::{BufRead, BufReader},
    time::{Duration, Instant},
};
use ureq::{Agent, Body, http::Response};

/// How much later than its deadline an answer may come: the time that the
/// network and two schedulers may take, on a machine that runs everything.
pub const GRACE: Duration = Duration::from_millis(50);

/// Time beyond the deadline and [`GRACE`] for which a late answer is awaited.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which the caller closes idle connections: before the other end does, so
/// that no request meets a connection that is just being closed.
const IDLE_CONNECTION_TTL: Duration = Duration::from_secs(2);

/// What is asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Work {
    /// Reads something of a plain service.
    Get,
    /// Writes something in a plain service, at most once under its key.
    Post {
        /// The idempotency key.
        key: String,
    },
    /// Has a model engine go on from a prompt.
    Complete {
        /// The prompt.
        prompt: String,
        /// Tokens of the answer.
        tokens: u64,
        /// Whether the answer comes token by token.
        stream: bool,
    },
}

/// One call.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// When it is to be sent, counted from the start of the load.
    pub at: Duration,
    /// Where to, up to the path that the endpoint sees.
    pub base: String,
    /// The path that the endpoint sees.
    pub path: String,
    /// What is asked for.
    pub work: Work,
    /// Names the request; the answer has to name it too.
    pub request: String,
    /// The class of its caller.
    pub class: Class,
    /// How long the caller waits.
    pub deadline: Duration,
    /// Bytes that the answer of a plain service is filled up with.
    pub size: usize,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The whole answer to this very request.
    Answered,
    /// An error with this status and problem type.
    Refused(u16, String),
    /// A success that isn't whole, or answers another request.
    Short(String),
    /// No final answer within the caller's patience, or none at all.
    Lost(String),
}

/// What became of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// How it ended.
    pub ending: Ending,
    /// From the time that was set for it to its end.
    pub latency: Duration,
    /// From the time that it was sent to its end.
    pub wait: Duration,
    /// From the time that it was sent to its first token.
    pub first: Option<Duration>,
    /// Tokens that came.
    pub tokens: u64,
}

/// Makes calls over connections that it keeps.
#[derive(Clone, Debug)]
pub struct Caller {
    agent: Agent,
}

impl Default for Caller {
    fn default() -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_age(IDLE_CONNECTION_TTL)
            .proxy(None)
            .build();
        Self {
            agent: config.into(),
        }
    }
}

impl Caller {
    /// Makes a call that was meant to be sent at `due`.
    #[must_use]
    pub fn run(&self, call: &Call, due: Instant) -> Outcome {
        let start = Instant::now();
        let mut progress = Progress::default();
        let ending = match self.send(call) {
            Ok(response) if response.status().is_success() => {
                receive(call, response, start, &mut progress)
            }
            Ok(response) => refused(response),
            Err(error) => Ending::Lost(error.to_string()),
        };
        let end = Instant::now();
        Outcome {
            ending,
            latency: end.saturating_duration_since(due),
            wait: end - start,
            first: progress.first,
            tokens: progress.tokens,
        }
    }

    fn send(&self, call: &Call) -> Result<Response<Body>, ureq::Error> {
        let url = format!("{}{}", call.base, call.path);
        let limit = call.deadline + GRACE + LATE_ANSWER_TIMEOUT;
        let deadline = call.deadline.as_millis().to_string();
        let class = class_name(call.class);
        if call.work == Work::Get {
            let request = self.agent.get(&url).header("X-Request", &call.request);
            let request = request.header("X-Size", call.size.to_string());
            let request = request.header("Deadline-Ms", deadline);
            let request = request.header("Request-Class", class);
            return request.config().timeout_global(Some(limit)).build().call();
        }
        let mut request = self.agent.post(&url).header("X-Request", &call.request);
        request = request.header("X-Size", call.size.to_string());
        request = request.header("Deadline-Ms", deadline);
        request = request.header("Request-Class", class);
        request = request.header("Content-Type", "application/json");
        if let Work::Post { key } = &call.work {
            request = request.header("Idempotency-Key", key);
        }
        let request = request.config().timeout_global(Some(limit)).build();
        request.send(body(call))
    }
}

const fn class_name(class: Class) -> &'static str {
    match class {
        Class::Interactive => "interactive",
        Class::Partner => "partner",
        Class::Rollout => "rollout",
    }
}

fn body(call: &Call) -> String {
    match &call.work {
        Work::Get => String::new(),
        Work::Post { .. } => json!({ "reserve": call.request }).to_string(),
        Work::Complete {
            prompt,
            tokens,
            stream,
        } => {
            let ask = json!({
                "model": "guide",
                "prompt": prompt,
                "max_tokens": tokens,
                "stream": stream,
                "request_id": call.request,
            });
            ask.to_string()
        }
    }
}

#[derive(Debug, Default)]
struct Progress {
    first: Option<Duration>,
    tokens: u64,
}

fn refused(mut response: Response<Body>) -> Ending {
    let status = response.status().as_u16();
    let body = response.body_mut().read_to_string().unwrap_or_default();
    let problem = serde_json::from_str::<Value>(&body).unwrap_or_default();
    let kind = problem["type"].as_str().unwrap_or("");
    let name = kind.rsplit([':', '/', '#']).next().unwrap_or("");
    Ending::Refused(status, name.to_owned())
}

fn receive(
    call: &Call,
    response: Response<Body>,
    start: Instant,
    progress: &mut Progress,
) -> Ending {
    let checked = match &call.work {
        Work::Complete {
            prompt,
            tokens,
            stream: true,
        } => stream(response, prompt, *tokens, start, progress),
        Work::Complete { prompt, tokens, .. } => {
            completion(response, prompt, *tokens).inspect(|()| progress.tokens = *tokens)
        }
        Work::Get | Work::Post { .. } => echo(response, call),
    };
    checked.map_or_else(|text| text, |()| Ending::Answered)
}

fn echo(mut response: Response<Body>, call: &Call) -> Result<(), Ending> {
    let text = response
        .body_mut()
        .read_to_string()
        .map_err(|e| broken(&e))?;
    let answer: plain::Answer = serde_json::from_str(&text).map_err(|e| short(&e))?;
    if answer.request.as_deref() != Some(&call.request) || answer.path != call.path {
        return Err(short(&"the answer to another request"));
    }
    if answer.body != body(call) || answer.pad.len() != call.size {
        return Err(short(&"not the whole answer"));
    }
    Ok(())
}

fn completion(mut response: Response<Body>, prompt: &str, tokens: u64) -> Result<(), Ending> {
    let text = response
        .body_mut()
        .read_to_string()
        .map_err(|e| broken(&e))?;
    let answer: Value = serde_json::from_str(&text).map_err(|e| short(&e))?;
    if answer["choices"][0]["text"] != text::answer(prompt, 0, tokens) {
        return Err(short(&"not the text of this prompt"));
    }
    Ok(())
}

fn stream(
    response: Response<Body>,
    prompt: &str,
    tokens: u64,
    start: Instant,
    progress: &mut Progress,
) -> Result<(), Ending> {
    let mut text = String::new();
    let mut done = false;
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let line = line.map_err(|e| broken(&e))?;
        let Some(event) = line.strip_prefix("data: ") else {
            continue;
        };
        if event == "[DONE]" {
            done = true;
            continue;
        }
        let event: Value = serde_json::from_str(event).map_err(|e| short(&e))?;
        if let Some(problem) = event["error"].as_object() {
            return Err(Ending::Refused(200, format!("{problem:?}")));
        }
        let token = event["choices"][0]["text"].as_str().unwrap_or("");
        if !token.is_empty() {
            progress.first.get_or_insert_with(|| start.elapsed());
            progress.tokens += 1;
            text.push_str(token);
        }
    }
    if done && text == text::answer(prompt, 0, tokens) {
        return Ok(());
    }
    Err(short(&format!("{} of {tokens} tokens", progress.tokens)))
}

fn short(why: &impl ToString) -> Ending {
    Ending::Short(why.to_string())
}

// The caller sees that the answer broke off, so it isn't taken for a whole one.
fn broken(error: &impl ToString) -> Ending {
    Ending::Lost(error.to_string())
}
