//! The role entry: callers, placement and operators.
