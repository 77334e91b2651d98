//! The committed code must match the code generated from the `.proto` files.

use std::{fs, path::Path};

#[test]
fn committed_code_is_up_to_date() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let files = protox::compile(["link.proto", "peer.proto"], [root.join("proto")]).unwrap();
    tonic_prost_build::configure()
        .out_dir(out)
        .compile_fds(files)
        .unwrap();
    for name in ["hibiscusroad.link.v1.rs", "hibiscusroad.peer.v1.rs"] {
        let generated = fs::read_to_string(out.join(name)).unwrap();
        let committed = fs::read_to_string(root.join("src/generated").join(name)).unwrap();
        assert_eq!(
            generated, committed,
            "run: cargo run -p hibiscusroad-wire --example generate"
        );
    }
}
