//! Headers that all roles treat alike.

/// Headers that concern one connection only (RFC 9110, 7.6.1), and `Host` and
/// `Expect`, which a client library sets for its own connection.
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

/// Says whether a header concerns one connection only, by its name.
#[must_use]
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}
