//! Generates the committed Rust code from the `.proto` files.
//!
//! Usage: `cargo run -p hibiscusroad-wire --example generate [DIRECTORY]`

use std::{env, path::PathBuf};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let out = env::args_os()
        .nth(1)
        .map_or_else(|| root.join("src/generated"), PathBuf::from);
    let files = protox::compile(["link.proto", "peer.proto"], [root.join("proto")])?;
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(files)?;
    Ok(())
}
