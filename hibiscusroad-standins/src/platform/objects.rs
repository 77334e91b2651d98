//! The object store, with path-style addresses.

use crate::http::Exchange;
use std::{collections::BTreeMap, fmt::Write, ops::Bound};

/// The stored objects.
#[derive(Debug, Default)]
pub struct Objects {
    /// Contents by bucket and key.
    objects: BTreeMap<(String, String), Vec<u8>>,
}

/// An answer of the object store.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: Vec<u8>,
}

impl Answer {
    fn new(status: u16, content_type: &'static str, body: Vec<u8>) -> Self {
        Self {
            status,
            content_type,
            body,
        }
    }

    fn empty(status: u16) -> Self {
        Self::new(status, "application/octet-stream", Vec::new())
    }
}

impl Objects {
    /// Reads, writes or deletes an object, or lists the objects with a prefix.
    ///
    /// A `PUT` with `If-None-Match: *` fails if the object exists.
    pub fn handle(&mut self, exchange: &Exchange, body: Vec<u8>) -> Answer {
        let path = exchange.path().trim_start_matches('/').to_owned();
        let (bucket, key) = path.split_once('/').unwrap_or((&path, ""));
        let id = (bucket.to_owned(), key.to_owned());
        let only_create = exchange.header("If-None-Match") == Some("*");
        match (exchange.method().as_str(), key) {
            ("GET", "") => self.list(bucket, exchange.query("prefix").unwrap_or("")),
            ("GET", _) => match self.objects.get(&id) {
                Some(object) => Answer::new(200, "application/octet-stream", object.clone()),
                None => Answer::empty(404),
            },
            ("PUT", _) if only_create && self.objects.contains_key(&id) => Answer::empty(412),
            ("PUT", _) => {
                self.objects.insert(id, body);
                Answer::empty(200)
            }
            ("DELETE", _) => {
                self.objects.remove(&id);
                Answer::empty(204)
            }
            _ => Answer::empty(405),
        }
    }

    fn list(&self, bucket: &str, prefix: &str) -> Answer {
        let first = Bound::Included((bucket.to_owned(), prefix.to_owned()));
        let matching = self.objects.range((first, Bound::Unbounded));
        let matching = matching.take_while(|((b, key), _)| b == bucket && key.starts_with(prefix));
        let mut text = String::from("<ListBucketResult>");
        for ((_, key), object) in matching {
            let size = object.len();
            // Writing to a string can't fail.
            let _ = write!(
                text,
                "<Contents><Key>{key}</Key><Size>{size}</Size></Contents>"
            );
        }
        text.push_str("</ListBucketResult>");
        Answer::new(200, "application/xml", text.into_bytes())
    }
}
