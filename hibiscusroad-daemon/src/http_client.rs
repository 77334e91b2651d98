//! The common configuration of HTTP clients that block.

use ureq::{Agent, config::ConfigBuilder, typestate::AgentScope};

/// Returns the configuration that all clients start from.
///
/// No redirect is followed. None of the servers redirects, the client follows one whose head was
/// cut, and a failure to connect to its target would be taken for a request that wasn't sent.
pub(crate) fn config() -> ConfigBuilder<AgentScope> {
    Agent::config_builder().max_redirects(0)
}
