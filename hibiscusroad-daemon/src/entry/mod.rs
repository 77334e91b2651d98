//! The role entry: callers, placement and operators.

pub mod config;
pub mod operators;
