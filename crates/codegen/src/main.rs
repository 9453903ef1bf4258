//! Generates the workspace's code from the files in `schema/`.
//!
//! With `--check`, writes nothing and exits with code 1 if a generated file is
//! out of date.

mod rust;

use std::path::Path;
use std::process::ExitCode;

use eyre::Context;

fn main() -> eyre::Result<ExitCode> {
    let check = std::env::args().any(|arg| arg == "--check");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut has_differences = false;
    for output in rust::generate(&root)? {
        let path = root.join(&output.path);
        let existing = std::fs::read_to_string(&path).unwrap_or_default();
        if existing == output.text {
            continue;
        }
        has_differences = true;
        println!("{} is out of date with its schema", output.path.display());
        if !check {
            std::fs::write(&path, output.text)
                .with_context(|| format!("writing {}", path.display()))?;
        }
    }
    Ok(if check && has_differences {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}
