//! A scorer of text samples.

use crate::http::{Exchange, Server};
use serde::Deserialize;
use serde_json::json;
use std::{io, net::SocketAddr};
use xxhash_rust::xxh3::xxh3_64;

#[derive(Debug, Deserialize)]
struct Sample {
    text: String,
}

/// A running scorer.
#[derive(Debug)]
pub struct Scorer {
    server: Server,
}

impl Scorer {
    /// Starts a scorer, which answers `POST /score` with a `score` in [0, 1) for `text`.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if it can't listen.
    pub fn start(listen: SocketAddr) -> io::Result<Self> {
        let server = Server::start(listen, handle)?;
        Ok(Self { server })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }
}

/// Returns the deterministic score of a text.
#[must_use]
pub fn score(text: &str) -> f64 {
    let hash = u32::try_from(xxh3_64(text.as_bytes()) >> 32).unwrap_or(0);
    f64::from(hash) / (f64::from(u32::MAX) + 1.0)
}

fn handle(mut exchange: Exchange) {
    if (exchange.method().as_str(), exchange.path()) != ("POST", "/score") {
        return exchange.refuse(404, "no such path");
    }
    match exchange.json::<Sample>() {
        Ok(sample) => exchange.answer(200, &json!({ "score": score(&sample.text) })),
        Err(error) => exchange.refuse(400, &error.to_string()),
    }
}
