//! Load, experiments and the demonstration of hibiscusroad.

pub mod policy;
