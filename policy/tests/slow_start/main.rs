//! Slow start over whole fleets in virtual time: all gateways together must not overload an endpoint that
//! starts.
//!
//! An endpoint in slow start fails when it gets more requests within `overload_window` than its budget,
//! N + 2 * sqrt(N) + 2, where N is the overload factor times its capacity at the start of the window times
//! the length of the window. `--nocapture` prints the highest ratio of load to budget of each scenario.

#[path = "../common/mod.rs"]
mod common;

mod fleet;
mod scenario;

use fleet::Fleet;
use ryefront_policy::Outcome;
use scenario::{BASE_SCENARIO, Failures, Scenario, Traffic};

/// Checks scenarios with a few gateways and with hundreds, as [`assert_within_budgets_at`] does.
fn assert_within_budgets(scenarios: &[Scenario]) {
    assert_within_budgets_at(&[(2, 10), (5, 10), (20, 20), (30, 20), (300, 30)], scenarios);
}

/// Runs each scenario with each number of gateways and endpoints. Asserts that requests are forwarded to the
/// endpoints in slow start and that no window exceeds its budget.
fn assert_within_budgets_at(sizes: &[(u32, usize)], scenarios: &[Scenario]) {
    let mut violations = Vec::new();
    for scenario in scenarios {
        for &(gateways, endpoints) in sizes {
            let mut fleet = Fleet::new(Scenario { gateways, endpoints, ..*scenario });
            fleet.run();
            let ratio = fleet.max_budget_ratio();
            let to_starting: usize = fleet.forwarded_by_endpoint.values().map(Vec::len).sum();
            let line = format!(
                "{ratio:.2} of the budget, {to_starting} of {} attempts to slow-start endpoints: {:?}",
                fleet.total_forwarded, fleet.scenario
            );
            println!("{line}");
            if ratio >= 1.0 || to_starting == 0 {
                violations.push(line);
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn one_endpoint_in_slow_start_stays_within_its_budget_under_uneven_traffic() {
    let traffic = [Traffic::Even, Traffic::EightfoldAtTenth, Traffic::HalfAtOne];
    assert_within_budgets(&traffic.map(|traffic| Scenario { traffic, ..BASE_SCENARIO }));
}

#[test]
fn many_endpoints_in_slow_start_stay_within_their_budgets() {
    let half = Scenario { starting_fraction: 0.5, ..BASE_SCENARIO };
    assert_within_budgets(&[
        Scenario { starting_fraction: 0.1, ..BASE_SCENARIO },
        half,
        Scenario { traffic: Traffic::EightfoldAtTenth, ..half },
    ]);
}

#[test]
fn fleet_entirely_in_slow_start_stays_within_its_budgets() {
    let all_starting = Scenario { starting_fraction: 1.0, restarted: true, ..BASE_SCENARIO };
    assert_within_budgets(&[Scenario { load: 0.65, ..all_starting }, all_starting]);
}

#[test]
fn endpoints_in_slow_start_stay_within_their_budgets_when_all_others_fail() {
    let failures = [Outcome::ConnectFailed, Outcome::TimedOut];
    assert_within_budgets(&failures.map(|outcome| Scenario {
        starting_fraction: 0.3,
        failures: Failures::AllOtherEndpoints(outcome),
        ..BASE_SCENARIO
    }));
}

#[test]
fn retries_count_against_the_slow_start_budget() {
    let failures = [
        Failures::Fraction(0.3, Outcome::Error),
        Failures::Fraction(0.3, Outcome::ConnectionReset),
        Failures::Fraction(0.1, Outcome::Rejected),
        Failures::Fraction(0.3, Outcome::Rejected),
    ];
    assert_within_budgets(&failures.map(|failures| Scenario { failures, ..BASE_SCENARIO }));
}

#[test]
fn endpoints_stay_within_their_budgets_when_gateways_learn_of_the_start_at_different_times() {
    let delayed_discovery = Scenario { starting_fraction: 0.2, max_discovery_delay: 2000.0, ..BASE_SCENARIO };
    assert_within_budgets(&[delayed_discovery, Scenario { restarted: true, ..delayed_discovery }]);
}

#[test]
fn endpoints_in_slow_start_stay_within_their_budgets_without_the_counter() {
    assert_within_budgets(&[Scenario { counter_available: false, starting_fraction: 0.1, ..BASE_SCENARIO }]);
}

#[test]
fn repeated_sampling_of_a_subset_keeps_endpoints_in_slow_start_within_their_budgets() {
    let others_failing = Scenario {
        starting_fraction: 0.3,
        failures: Failures::AllOtherEndpoints(Outcome::ConnectFailed),
        ..BASE_SCENARIO
    };
    assert_within_budgets_at(
        &[(20, 60)],
        &[Scenario { starting_fraction: 1.0, restarted: true, ..BASE_SCENARIO }, others_failing],
    );
}

#[test]
fn many_endpoints_in_slow_start_stay_within_their_budgets_with_retries() {
    let errors = Scenario { failures: Failures::Fraction(0.3, Outcome::Error), ..BASE_SCENARIO };
    assert_within_budgets(&[
        Scenario { starting_fraction: 0.5, ..errors },
        Scenario { starting_fraction: 1.0, restarted: true, ..errors },
    ]);
}
