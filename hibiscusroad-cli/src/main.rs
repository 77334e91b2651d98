//! `hibiscusroad`: the operators' command line.
fn main() {}
