//! Scanner for the server-sent events of a model's answer.
//!
//! The bytes are forwarded unchanged. The scanner finds which weight version
//! produced which token, and whether the stream is complete: an engine that
//! crashes closes its connection just as one that has finished does.

use hibiscusroad::gate::VersionRun;
use serde::Deserialize;

/// Maximum length of a line that is parsed, in bytes. It bounds the memory that an
/// endless line can take.
const MAX_LINE_LEN: usize = 1 << 20;

/// Data of the event that ends a stream.
const DONE: &[u8] = b"[DONE]";

#[derive(Deserialize)]
struct Completion {
    #[serde(default)]
    system_fingerprint: Option<String>,
    #[serde(default)]
    offset: Option<u64>,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
}

/// Scans the events of one answer.
#[derive(Debug, Default)]
pub struct Scanner {
    line: Vec<u8>,
    runs: Vec<VersionRun>,
    tokens: u64,
    done: bool,
}

impl Scanner {
    /// Scans the next bytes of the answer.
    pub fn scan(&mut self, data: &[u8]) {
        let mut rest = data;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.buffer(&rest[..end]);
            let line = std::mem::take(&mut self.line);
            self.parse_line(&line);
            rest = &rest[end + 1..];
        }
        self.buffer(rest);
    }

    /// Returns whether the event that ends the stream has arrived.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the weight versions, each with the index of its first token.
    #[must_use]
    pub fn into_runs(self) -> Vec<VersionRun> {
        self.runs
    }

    fn buffer(&mut self, part: &[u8]) {
        let room = MAX_LINE_LEN.saturating_sub(self.line.len());
        self.line.extend_from_slice(&part[..part.len().min(room)]);
    }

    fn parse_line(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(b"data:") else {
            return;
        };
        let data = data.trim_ascii();
        if data == DONE {
            self.done = true;
        } else if let Ok(event) = serde_json::from_slice::<Completion>(data) {
            self.record(event);
        }
    }

    /// Records the weight version of one event. An event without text, such as the
    /// one that reports the usage, carries no token.
    fn record(&mut self, event: Completion) {
        if event.choices.iter().all(|choice| choice.text.is_empty()) {
            return;
        }
        let first_token = event.offset.unwrap_or(self.tokens);
        self.tokens = first_token + 1;
        let Some(version) = event.system_fingerprint else {
            return;
        };
        if self.runs.last().is_none_or(|run| run.version != version) {
            self.runs.push(VersionRun {
                version,
                first_token,
            });
        }
    }
}

/// Returns the weight version of an answer that is a single JSON document.
#[must_use]
pub fn document_runs(body: &[u8]) -> Vec<VersionRun> {
    let answer = serde_json::from_slice::<Completion>(body).ok();
    let version = answer.and_then(|answer| answer.system_fingerprint);
    version
        .map(|version| VersionRun {
            version,
            first_token: 0,
        })
        .into_iter()
        .collect()
}
