//! Whole runs: the same seed gives the same bytes, what must hold holds, and a run in which it does not says so.

use ryefront_fleet::{Experiment, Report, run};
use std::path::{Path, PathBuf};
use std::process::Command;

fn shipped(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments").join(name)
}

/// The shipped release with 20 gateways and a few seconds.
fn small() -> Experiment {
    let mut experiment = Experiment::read(&shipped("release-300.toml")).expect("a shipped file");
    experiment.scale.gateways = Some(20);
    (experiment.seconds, experiment.settle_s) = (14.0, 2.0);
    let release = experiment.release.as_mut().expect("a release");
    (release.at_s, release.over_s) = (3.0, 2.0);
    // With a counter that answers all, no gateway spends slices, and the bound of each tenant is close.
    (experiment.counter.per_s, experiment.load.heavy_times) = (1e6, [5.0, 10.0]);
    experiment
}

fn played(seed: u64) -> Report {
    run(&small(), seed).expect("a run")
}

#[test]
fn the_same_seed_gives_the_same_bytes_and_another_seed_another_result() {
    let (one, same, other) = (played(5), played(5), played(6));
    assert_eq!(one.json(), same.json());
    assert_eq!(one.markdown(), same.markdown());
    assert_ne!((one.offered, one.served), (other.offered, other.served));
}

#[test]
fn what_must_hold_holds_while_servers_are_replaced() {
    let report = played(7);
    assert_eq!(report.broken().map(|b| b.name).collect::<Vec<_>>(), Vec::<&str>::new());
    assert_eq!((report.counter.unanswered, report.counter.turned_away), (0, 0));
    assert!(report.refused.total > 100, "{}", report.markdown());
    let (refused, failed) = (&report.refused, &report.failed);
    let ended = report.served + refused.total + failed.timed_out + failed.other + report.left;
    assert_eq!(report.offered, ended);
    let by_reason =
        [refused.beyond_quota, refused.after_attempt, refused.at_once, refused.on_total, refused.hold_over];
    assert_eq!(refused.total, by_reason.iter().sum::<u64>());
    assert!(report.served > 500 && report.first_tries < report.offered, "{}", report.markdown());
    // The release took place: 0.3 of 13 servers were replaced, and all gateways heard of it.
    assert_eq!(report.cold.starts, 4);
    assert!(report.cold.sends > 0 && report.lists.change_bytes_per_gateway > 0.0, "{}", report.markdown());
    assert_eq!(report.scaled.servers_played, 13);
}

#[test]
fn all_that_is_scaled_keeps_its_proportions() {
    for name in ["calm-300.toml", "release-300.toml", "calm-3100.toml", "release-3100.toml"] {
        let mut experiment = Experiment::read(&shipped(name)).expect("a shipped file");
        experiment.scale.gateways = Some(experiment.fleet.gateways / 100);
        (experiment.seconds, experiment.settle_s) = (0.5, 0.0);
        (experiment.release, experiment.load.tenants) = (None, 100_000);
        let scaled = run(&experiment, 1).expect("a run").scaled;
        let (of_file, fleet) = (f64::from(scaled.gateways_of_file), &experiment.fleet);
        assert!((scaled.share - f64::from(scaled.gateways_played) / of_file).abs() < 1e-9);
        assert_eq!(scaled.servers_played, u64::from(fleet.servers / 100), "{name}");
        assert_eq!(scaled.tenants_played, 1000, "{name}");
    }
}

#[test]
fn a_run_in_which_something_does_not_hold_ends_with_status_1_and_says_what() {
    // No server bears so little: whatever is sent to a cold one is too much.
    let text = std::fs::read_to_string(shipped("release-300.toml")).expect("a shipped file");
    let text = [("seconds = 40", "seconds = 14"), ("at_s = 12", "at_s = 3"), ("fall_s = 1 ", "fall_s = 10 ")]
        .iter()
        .fold(text, |text, (old, new)| text.replace(old, new))
        .replace("over_s = 10", "over_s = 2")
        .replace("fall_multiple = 2.5", "fall_multiple = 0.001");
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("broken.toml");
    std::fs::write(&file, text).expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_ryefront-fleet"))
        .args(["run", "--gateways", "20", "--seed", "5"])
        .arg(&file)
        .output()
        .expect("the program runs");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{errors}");
    assert!(errors.contains("broken: cold servers are sent no more than is allowed"), "{errors}");
}
