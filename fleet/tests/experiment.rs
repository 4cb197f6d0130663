//! Errors of the `run` command for unusable experiment files: one line that names the file, the line, the key
//! and the expected value, and exit status 2.

use std::path::Path;
use std::process::Command;

/// The result of running the program with a modified copy of a shipped experiment file.
struct ModifiedRun {
    /// The modified text.
    text: String,
    /// Standard error, with the path of the file replaced by `FILE`.
    errors: String,
    status: Option<i32>,
}

/// Runs the program with a copy of a shipped file in which the first occurrence of `old` is replaced.
fn run_modified(name: &str, old: &str, new: &str) -> ModifiedRun {
    let shipped = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/release-300.toml");
    let text = std::fs::read_to_string(shipped).expect("the shipped file is readable");
    assert!(text.contains(old), "{old} is not in the file");
    let text = text.replacen(old, new, 1);
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    std::fs::write(&file, &text).expect("the modified file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_ryefront-fleet"))
        .arg("run")
        .arg(&file)
        .output()
        .expect("the program starts");
    assert!(output.stdout.is_empty());
    let errors = String::from_utf8(output.stderr).expect("standard error is UTF-8");
    let errors = errors.replace(&*file.to_string_lossy(), "FILE");
    ModifiedRun { text, errors, status: output.status.code() }
}

/// A replacement that makes the shipped file invalid, and the error that it must lead to.
struct InvalidChange {
    old: &'static str,
    new: &'static str,
    /// The beginning of the line whose number the error must contain.
    line_start: &'static str,
    key: &'static str,
    /// Text that the message must contain.
    message: &'static str,
}

const fn invalid(
    old: &'static str, new: &'static str, line_start: &'static str, key: &'static str, message: &'static str,
) -> InvalidChange {
    InvalidChange { old, new, line_start, key, message }
}

const INVALID_CHANGES: [InvalidChange; 16] = [
    invalid(
        "requests_per_s = 2000",
        "requests_per_s = -3",
        "requests_per_s",
        "load.requests_per_s",
        "above 0",
    ),
    invalid("retry_share = 0.75", "retry_share = 1.5", "retry_share", "load.retry_share", "at most 1"),
    invalid("zones = 3", "zones = 0", "zones = 0", "fleet.zones", "from 1"),
    invalid("tenants = 600", "tenants = \"many\"", "tenants = ", "load.tenants", "expected u32"),
    invalid("settle_s = 10", "settle_s = 41", "settle_s", "settle_s", "at most 40"),
    invalid(
        "heavy_times = [1.5, 3]",
        "heavy_times = [3, 1.5]",
        "heavy_times",
        "load.heavy_times",
        "the lesser first",
    ),
    invalid("units = [1, 3]", "units = [1]", "units = ", "load.units", "array of length 2"),
    invalid("work_ms = 70", "work_ms = 0", "work_ms = 0", "class.1.work_ms", "above 0"),
    invalid("aim_ms = 750", "aim_ms = 2750", "aim_ms = 2750", "class.2.aim_ms", "at most 2000"),
    invalid(
        "effect = \"keyed\"",
        "effect = \"maybe\"",
        "effect = \"maybe\"",
        "class.2.effect",
        "expected one of `safe`",
    ),
    invalid("rate = 18", "rat = 18", "rat = 18", "plan.1.rat", "expected one of `name`"),
    invalid("grace_s = 1 ", "grace_s = 1\nhaste = 2 ", "haste", "release.haste", "expected one of `at_s`"),
    invalid("parts = 3 ", "# ", "[counter]", "counter.parts", "missing field"),
    invalid("[network]", "[netwerk]", "[netwerk]", "netwerk", "unknown field"),
    invalid("jitter = 0.2", "jitter = = 0.2", "jitter", "jitter", "expected"),
    invalid("share = 0.3 ", "share = nan ", "share = nan", "release.share", "at most 1"),
];

#[test]
fn error_names_line_key_and_expectation_of_an_invalid_value() {
    for (index, change) in INVALID_CHANGES.iter().enumerate() {
        let InvalidChange { old, new, line_start, key, message } = change;

        let ModifiedRun { text, errors, status } = run_modified(&format!("invalid-{index}"), old, new);

        let line_index = text.lines().position(|line| line.starts_with(line_start));
        let line_number = line_index.expect("the modified file contains the line") + 1;
        assert_eq!(status, Some(2), "{old} -> {new}: {errors}");
        assert!(errors.starts_with(&format!("FILE:{line_number}: {key}: ")), "{old} -> {new}: {errors}");
        assert!(errors.contains(message) && errors.lines().count() == 1, "{old} -> {new}: {errors}");
    }
}

#[test]
fn error_names_a_missing_file() {
    let output = Command::new(env!("CARGO_BIN_EXE_ryefront-fleet"))
        .args(["run", "no/such/file.toml"])
        .output()
        .expect("the program starts");
    let errors = String::from_utf8(output.stderr).expect("standard error is UTF-8");
    assert_eq!(output.status.code(), Some(2));
    assert!(
        errors.starts_with("no/such/file.toml: cannot be read: ") && errors.lines().count() == 1,
        "{errors}"
    );
}
