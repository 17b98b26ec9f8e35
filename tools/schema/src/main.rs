//! Generates the RPC code of the schema in `proto/`.
//!
//! `cargo run -p willowpoint-schema` writes the code into the source tree. The test of this package
//! checks that the committed code is current.

use std::path::{Path, PathBuf};

use eyre::WrapErr;

const PROTOS: [&str; 5] = [
    "willowpoint/v1/platform.proto",
    "willowpoint/v1/worker.proto",
    "willowpoint/v1/peer.proto",
    "willowpoint/v1/operator.proto",
    "willowpoint/v1/cluster.proto",
];
/// Name of the generated file.
const FILE: &str = "willowpoint.v1.rs";

fn main() -> eyre::Result<()> {
    let code = generate()?;
    let path = committed_path();
    std::fs::write(&path, code).wrap_err_with(|| format!("cannot write {}", path.display()))
}

/// Returns the root of the repository.
fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the path of the committed code.
fn committed_path() -> PathBuf {
    root().join("src/generated").join(FILE)
}

/// Returns the code generated from the current schema.
fn generate() -> eyre::Result<String> {
    let files = protox::compile(PROTOS, [root().join("proto")])?;
    let out = std::env::temp_dir().join(format!("willowpoint-schema-{}", std::process::id()));
    std::fs::create_dir_all(&out)?;
    tonic_prost_build::configure()
        .build_transport(false)
        .bytes(".")
        .out_dir(&out)
        .compile_fds(files)?;
    let code = std::fs::read_to_string(out.join(FILE))?;
    std::fs::remove_dir_all(&out)?;
    Ok(code)
}

#[cfg(test)]
mod tests;
