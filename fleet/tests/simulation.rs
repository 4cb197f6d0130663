//! Complete simulations: reproducible results, invariants, scaling to fewer gateways, and the exit status.

use ryefront_fleet::experiment::Interval;
use ryefront_fleet::{Experiment, Report, run};
use std::path::{Path, PathBuf};
use std::process::Command;

/// The path of a shipped experiment file.
fn shipped(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments").join(name)
}

/// The shipped rollout experiment, scaled to 20 gateways and shortened to 14 seconds.
fn small_rollout() -> Experiment {
    let mut experiment = Experiment::read(&shipped("release-300.toml")).expect("the shipped file is valid");
    experiment.scale.gateways = Some(20);
    experiment.duration_s = 14.0;
    experiment.warm_up_s = 2.0;
    let rollout = experiment.rollout.as_mut().expect("the experiment has a rollout");
    rollout.start_s = 3.0;
    rollout.duration_s = 2.0;
    // The counter replies to all calls, so no gateway uses its fallback allowance, and heavy tenants come
    // close to their quota.
    experiment.counter.calls_per_s = 1e6;
    experiment.load.heavy_usage_factor = Interval { low: 5.0, high: 10.0 };
    experiment
}

fn simulate(seed: u64) -> Report {
    run(&small_rollout(), seed).expect("the simulation runs")
}

#[test]
fn same_seed_gives_same_bytes_and_another_seed_another_result() {
    let (first, repeated, other) = (simulate(5), simulate(5), simulate(6));
    assert_eq!(first.json(), repeated.json());
    assert_eq!(first.markdown(), repeated.markdown());
    assert_ne!((first.offered, first.served), (other.offered, other.served));
}

#[test]
fn invariants_hold_while_endpoints_are_replaced() {
    let report = simulate(7);
    assert_eq!(report.violations().map(|violation| violation.name).collect::<Vec<_>>(), Vec::<&str>::new());
    assert_eq!((report.counter.timed_out, report.counter.rejected), (0, 0));
    assert!(report.rejected.total > 100, "{}", report.markdown());
    let rejected = &report.rejected;
    let failed = &report.failed;
    let ended = report.served + rejected.total + failed.timed_out + failed.other + report.client_disconnected;
    assert_eq!(report.offered, ended);
    let by_reason = [
        rejected.beyond_quota,
        rejected.after_attempt,
        rejected.on_arrival,
        rejected.on_counter_reply,
        rejected.wait_expired,
    ];
    assert_eq!(rejected.total, by_reason.iter().sum::<u64>());
    assert!(report.served > 500 && report.first_attempts < report.offered, "{}", report.markdown());
    // The rollout ran: 4 endpoints, which are 0.3 of 13, were replaced, and the gateways received deltas.
    assert_eq!(report.slow_start.starts, 4);
    assert!(
        report.slow_start.attempts > 0 && report.endpoint_lists.delta_bytes_per_gateway > 0.0,
        "{}",
        report.markdown()
    );
    assert_eq!(report.scale.endpoints, 13);
}

#[test]
fn scaled_fleet_keeps_its_proportions() {
    for name in ["calm-300.toml", "release-300.toml", "calm-3100.toml", "release-3100.toml"] {
        let mut experiment = Experiment::read(&shipped(name)).expect("the shipped file is valid");
        experiment.scale.gateways = Some(experiment.fleet.gateways / 100);
        experiment.duration_s = 0.5;
        experiment.warm_up_s = 0.0;
        experiment.rollout = None;
        experiment.load.tenants = 100_000;

        let scale = run(&experiment, 1).expect("the simulation runs").scale;

        let fraction = f64::from(scale.gateways) / f64::from(scale.gateways_in_file);
        assert!((scale.fraction - fraction).abs() < 1e-9);
        assert_eq!(scale.endpoints, u64::from(experiment.fleet.endpoints / 100), "{name}");
        assert_eq!(scale.tenants, 1000, "{name}");
    }
}

#[test]
fn violated_invariant_is_named_and_gives_status_1() {
    // With this overload factor, the budget of an endpoint in slow start is a few attempts, which any load
    // exceeds.
    let text = std::fs::read_to_string(shipped("release-300.toml")).expect("the shipped file is readable");
    let text = [("seconds = 40", "seconds = 14"), ("at_s = 12", "at_s = 3"), ("fall_s = 1 ", "fall_s = 10 ")]
        .iter()
        .fold(text, |text, (old, new)| text.replace(old, new))
        .replace("over_s = 10", "over_s = 2")
        .replace("fall_multiple = 2.5", "fall_multiple = 0.001");
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("violated.toml");
    std::fs::write(&file, text).expect("the modified file is written");
    let output = Command::new(env!("CARGO_BIN_EXE_ryefront-fleet"))
        .args(["run", "--gateways", "20", "--seed", "5"])
        .arg(&file)
        .output()
        .expect("the program starts");
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{errors}");
    assert!(errors.contains("violated: no endpoint in slow start is sent more than its budget"), "{errors}");
}
