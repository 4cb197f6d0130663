//! Experiment files that cannot be used: one line with file, key, line and what was expected, and status 2.

use std::path::Path;
use std::process::Command;

/// What the program says of the shipped file with some text replaced, and its status.
fn said_of(name: &str, old: &str, new: &str) -> (String, String, Option<i32>) {
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
    (text, errors.replace(&*file.to_string_lossy(), "FILE"), output.status.code())
}

#[test]
fn bad_files_are_named_with_key_and_line() {
    // What is replaced by what; the text on the line that is named; the key; what was expected.
    let cases = [
        ("requests_per_s = 2000", "requests_per_s = -3", "requests_per_s", "load.requests_per_s", "above 0"),
        ("retry_share = 0.75", "retry_share = 1.5", "retry_share", "load.retry_share", "at most 1"),
        ("zones = 3", "zones = 0", "zones = 0", "fleet.zones", "from 1"),
        ("tenants = 600", "tenants = \"many\"", "tenants = ", "load.tenants", "expected u32"),
        ("settle_s = 10", "settle_s = 41", "settle_s", "settle_s", "at most 40"),
        (
            "heavy_times = [1.5, 3]",
            "heavy_times = [3, 1.5]",
            "heavy_times",
            "load.heavy_times",
            "the lesser first",
        ),
        ("units = [1, 3]", "units = [1]", "units = ", "load.units", "array of length 2"),
        ("work_ms = 70", "work_ms = 0", "work_ms = 0", "class.1.work_ms", "above 0"),
        ("aim_ms = 750", "aim_ms = 2750", "aim_ms = 2750", "class.2.aim_ms", "at most 2000"),
        (
            "effect = \"keyed\"",
            "effect = \"maybe\"",
            "effect = \"maybe\"",
            "class.2.effect",
            "expected one of `safe`",
        ),
        ("rate = 18", "rat = 18", "rat = 18", "plan.1.rat", "expected one of `name`"),
        ("grace_s = 1 ", "grace_s = 1\nhaste = 2 ", "haste", "release.haste", "expected one of `at_s`"),
        ("parts = 3\n", "", "[counter]", "counter.parts", "missing field"),
        ("[network]", "[netwerk]", "[netwerk]", "netwerk", "unknown field"),
        ("jitter = 0.2", "jitter = = 0.2", "jitter", "jitter", "expected"),
        ("share = 0.3 ", "share = nan ", "share = nan", "release.share", "at most 1"),
    ];
    for (n, (old, new, marker, key, expected)) in cases.iter().enumerate() {
        let (text, errors, status) = said_of(&format!("bad-{n}"), old, new);
        let line = text.lines().position(|l| l.starts_with(marker)).expect("the marker") + 1;
        assert_eq!(status, Some(2), "{old} -> {new}: {errors}");
        assert!(errors.starts_with(&format!("FILE:{line}: {key}: ")), "{old} -> {new}: {errors}");
        assert!(errors.contains(expected) && errors.lines().count() == 1, "{old} -> {new}: {errors}");
    }
}

#[test]
fn a_file_that_is_not_there_is_named() {
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
