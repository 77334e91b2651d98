//! Digests by which repeats of a request are recognised.

use sha2::{Digest, Sha256};
use std::{fmt, str::FromStr};

/// Bytes of the SHA-256 digest that are kept; collisions remain negligible.
const LENGTH: usize = 16;

/// The properties that all repeats of a request share.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// The method in upper case.
    pub method: &'a str,
    /// The host by which the route is found.
    pub host: &'a str,
    /// The path and query.
    pub path: &'a str,
    /// The client account that sent the request, if known.
    pub account: Option<&'a str>,
    /// The body, or its known beginning.
    pub body: &'a [u8],
    /// Bytes of the whole body, if known.
    pub length: Option<u64>,
}

/// A digest of a request's [`Identity`].
///
/// Headers are left out because ids and deadlines differ between repeats.
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
            // The length prefix keeps adjacent texts apart.
            digest.update((text.len() as u64).to_be_bytes());
            digest.update(text);
        }
        digest.update([u8::from(identity.account.is_some())]);
        digest.update(identity.length.unwrap_or(u64::MAX).to_be_bytes());
        digest.update(identity.body);
        let mut bytes = [0; LENGTH];
        bytes.copy_from_slice(&digest.finalize()[..LENGTH]);
        Self(bytes)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// An error for text that is not a fingerprint.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("a fingerprint has {} hexadecimal digits", 2 * LENGTH)]
pub struct ParseFingerprintError;

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, ParseFingerprintError> {
        if text.len() != 2 * LENGTH || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParseFingerprintError);
        }
        let mut bytes = [0; LENGTH];
        for (i, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * i..2 * i + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_error| ParseFingerprintError)?;
        }
        Ok(Self(bytes))
    }
}
