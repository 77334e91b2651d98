//! What makes two requests the same.

use sha2::{Digest, Sha256};
use std::{fmt, str::FromStr};

/// Bytes of the digest that are kept: enough that no two requests share them by chance.
const LENGTH: usize = 16;

/// What identifies a request across its repeats.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// The method in upper case.
    pub method: &'a str,
    /// The host that its route is found by.
    pub host: &'a str,
    /// The path with the query.
    pub path: &'a str,
    /// The account that it counts for.
    pub account: Option<&'a str>,
    /// Its content, or as much of the beginning as is known.
    pub body: &'a [u8],
    /// Bytes of its whole content, if that is known.
    pub length: Option<u64>,
}

/// A digest of a request's [`Identity`].
///
/// Headers are left out: each repeat has an id and a deadline of its own.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint([u8; LENGTH]);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    #[must_use]
    pub fn of(identity: &Identity<'_>) -> Self {
        let mut digest = Sha256::new();
        let account = identity.account.unwrap_or_default();
        let texts = [identity.method, identity.host, identity.path, account];
        for text in texts {
            // With its length, no text runs into the next.
            digest.update((text.len() as u64).to_be_bytes());
            digest.update(text);
        }
        digest.update([u8::from(identity.account.is_some())]);
        digest.update(identity.length.unwrap_or(u64::MAX).to_be_bytes());
        digest.update(identity.body);
        let mut kept = [0; LENGTH];
        kept.copy_from_slice(&digest.finalize()[..LENGTH]);
        Self(kept)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The text is no fingerprint.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("a fingerprint is {} hexadecimal digits", 2 * LENGTH)]
pub struct NotFingerprint;

impl FromStr for Fingerprint {
    type Err = NotFingerprint;

    fn from_str(text: &str) -> Result<Self, NotFingerprint> {
        if text.len() != 2 * LENGTH || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(NotFingerprint);
        }
        let mut kept = [0; LENGTH];
        for (n, byte) in kept.iter_mut().enumerate() {
            let digits = &text[2 * n..2 * n + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_odd| NotFingerprint)?;
        }
        Ok(Self(kept))
    }
}
