//! Reads the events of a streamed model answer as they pass.
//!
//! The bytes go on unchanged. What is read out of them is which weight version
//! produced which token, and whether the stream came to its end: an engine that
//! crashes closes its connection just as one that has finished.

use hibiscusroad::gate::VersionRun;
use serde::Deserialize;

/// The longest event that is looked into. Longer ones pass unread, so that an
/// endless line can't fill the memory.
const LONGEST_EVENT: usize = 1 << 20;

/// What the last event says in place of JSON.
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

/// Reads the events of one answer.
#[derive(Debug, Default)]
pub struct Scanner {
    line: Vec<u8>,
    runs: Vec<VersionRun>,
    tokens: u64,
    done: bool,
}

impl Scanner {
    /// Takes the next bytes of the answer.
    pub fn scan(&mut self, data: &[u8]) {
        let mut rest = data;
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            self.keep(&rest[..end]);
            let line = std::mem::take(&mut self.line);
            self.read(&line);
            rest = &rest[end + 1..];
        }
        self.keep(rest);
    }

    /// Says whether the event that ends the stream has come.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Returns the weight versions and the first token of each.
    #[must_use]
    pub fn into_runs(self) -> Vec<VersionRun> {
        self.runs
    }

    fn keep(&mut self, part: &[u8]) {
        let room = LONGEST_EVENT.saturating_sub(self.line.len());
        self.line.extend_from_slice(&part[..part.len().min(room)]);
    }

    fn read(&mut self, line: &[u8]) {
        let Some(data) = line.strip_prefix(b"data:") else {
            return;
        };
        let data = data.trim_ascii();
        if data == DONE {
            self.done = true;
        } else if let Ok(event) = serde_json::from_slice::<Completion>(data) {
            self.note(event);
        }
    }

    /// Notes one event; one without text, such as the last with the usage,
    /// stands for no token.
    fn note(&mut self, event: Completion) {
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

/// Returns the weight version of an answer that came in one piece.
#[must_use]
pub fn whole_runs(body: &[u8]) -> Vec<VersionRun> {
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
