//! Experiment files that cannot be used: an error of one line with file, line, key and what was expected, and
//! status 2.

use std::path::Path;
use std::process::Command;

/// A run of the program with a changed copy of a shipped file.
struct Run {
    /// The changed text.
    text: String,
    /// Standard error, with `FILE` for the path of the file.
    errors: String,
    status: Option<i32>,
}

/// Runs the program with the shipped file in which some text is replaced.
fn run_changed(name: &str, old: &str, new: &str) -> Run {
    let shipped = Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments/release-300.toml");
    let text = std::fs::read_to_string(shipped).expect("a shipped file");
    assert!(text.contains(old), "{old} is not in the file");
    let text = text.replacen(old, new, 1);
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    std::fs::write(&file, &text).expect("a file");
    let output =
        Command::new(env!("CARGO_BIN_EXE_ryefront-fleet")).arg("run").arg(&file).output().expect("it runs");
    assert!(output.stdout.is_empty());
    let errors = String::from_utf8(output.stderr).expect("text");
    let errors = errors.replace(&*file.to_string_lossy(), "FILE");
    Run { text, errors, status: output.status.code() }
}

/// A change that makes the shipped file invalid, and what its error has to name.
struct InvalidChange {
    old: &'static str,
    new: &'static str,
    /// The start of the line that the error names.
    line: &'static str,
    key: &'static str,
    expected: &'static str,
}

const fn invalid(
    old: &'static str, new: &'static str, line: &'static str, key: &'static str, expected: &'static str,
) -> InvalidChange {
    InvalidChange { old, new, line, key, expected }
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
    for (n, change) in INVALID_CHANGES.iter().enumerate() {
        let InvalidChange { old, new, line, key, expected } = change;

        let Run { text, errors, status } = run_changed(&format!("invalid-{n}"), old, new);

        let line = text.lines().position(|l| l.starts_with(line)).expect("the line") + 1;
        assert_eq!(status, Some(2), "{old} -> {new}: {errors}");
        assert!(errors.starts_with(&format!("FILE:{line}: {key}: ")), "{old} -> {new}: {errors}");
        assert!(errors.contains(expected) && errors.lines().count() == 1, "{old} -> {new}: {errors}");
    }
}

#[test]
fn error_names_a_missing_file() {
    let output = Command::new(env!("CARGO_BIN_EXE_ryefront-fleet"))
        .args(["run", "no/such/file.toml"])
        .output()
        .expect("it runs");
    let errors = String::from_utf8(output.stderr).expect("text");
    assert_eq!(output.status.code(), Some(2));
    assert!(
        errors.starts_with("no/such/file.toml: cannot be read: ") && errors.lines().count() == 1,
        "{errors}"
    );
}
