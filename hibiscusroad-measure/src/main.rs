//! `measure`: load, experiments and the demonstration.
fn main() {}
