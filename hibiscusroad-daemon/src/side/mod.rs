//! The role side: the gate to one endpoint.
