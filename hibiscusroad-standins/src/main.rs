//! `standin`: one stand-in as a process.
fn main() {}
