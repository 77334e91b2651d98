//! Requests that crash the endpoints that run them.
//!
//! [`Fingerprint`] tells whether two requests are the same: repeats come under new ids,
//! at any gateway.

mod fingerprint;

pub use self::fingerprint::{Fingerprint, Identity, NotFingerprint};
