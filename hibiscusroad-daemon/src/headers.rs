//! HTTP header handling shared by all roles.

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and `Host` and `Expect`, which the HTTP
/// client sets for each connection.
const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header must not be forwarded to the next connection.
#[must_use]
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}
