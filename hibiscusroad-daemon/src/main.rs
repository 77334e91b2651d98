//! `hibiscusroadd`: the daemon.

fn main() {}
