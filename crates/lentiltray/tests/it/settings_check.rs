//! `lentiltray check`, and how the daemon reports invalid settings.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn lentiltray(subcommand: &str, settings: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lentiltray"))
        .args([subcommand, "--settings"])
        .arg(settings)
        .output()
        .unwrap()
}

fn invalid_settings_file() -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("wrong-settings.yaml");
    std::fs::write(
        &path,
        "name: e\nhost: h\nzone: z\nregion: r\nentry:\n  worker: 2\n",
    )
    .unwrap();
    path
}

#[test]
fn valid_file_passes() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/tanaka/entry.yaml");
    let output = lentiltray("check", &file);
    assert!(output.status.success());
    assert!(output.stderr.is_empty());
}

#[test]
fn invalid_file_exits_2() {
    let file = invalid_settings_file();
    for subcommand in ["check", "entry", "agent"] {
        let output = lentiltray(subcommand, &file);
        let message = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{subcommand}: {message}");
        assert!(
            message.contains("line 6, column 3: entry.worker"),
            "{message}"
        );
        assert_eq!(message.lines().count(), 1);
    }
}

#[test]
fn missing_file_exits_2() {
    let output = lentiltray("check", Path::new("/nowhere.yaml"));
    assert_eq!(output.status.code(), Some(2));
}
