//! What all gateways together forward to endpoints in slow start, over many gateways in virtual time.
//!
//! An endpoint in slow start fails when it gets more requests within `overload_window` than its budget:
//! N + 2 * sqrt(N) + 2, where N is the overload factor times its capacity at the window's start times the
//! window. `--nocapture` prints the worst ratio of each case.

#[path = "../common/mod.rs"]
mod common;

mod case;
mod fleet;

use case::{CASE, Case, Failures, Traffic};
use fleet::Fleet;
use ryefront_policy::Outcome;

/// Plays cases with few gateways and with hundreds.
fn assert_held(cases: &[Case]) {
    assert_held_at(&[(2, 10), (5, 10), (20, 20), (30, 20), (300, 30)], cases);
}

/// Plays cases with so many gateways and endpoints, prints the worst ratio of each and asserts that it is
/// below 1.
fn assert_held_at(sizes: &[(u32, usize)], cases: &[Case]) {
    let mut violations = Vec::new();
    for case in cases {
        for &(gateways, endpoints) in sizes {
            let mut fleet = Fleet::new(Case { gateways, endpoints, ..*case });
            fleet.play();
            let worst = fleet.worst();
            let to_starting: usize = fleet.forwarded.values().map(Vec::len).sum();
            let line = format!(
                "{worst:.2} of the budget, {to_starting} of {} forwarded to slow start: {:?}",
                fleet.all_forwarded, fleet.case
            );
            println!("{line}");
            if worst >= 1.0 || to_starting == 0 {
                violations.push(line);
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn one_endpoint_in_slow_start_stays_within_its_budget_under_uneven_traffic() {
    let traffic = [Traffic::Even, Traffic::Eightfold, Traffic::Half];
    assert_held(&traffic.map(|traffic| Case { traffic, ..CASE }));
}

#[test]
fn many_endpoints_in_slow_start_stay_within_their_budgets() {
    let half = Case { starting: 0.5, ..CASE };
    assert_held(&[Case { starting: 0.1, ..CASE }, half, Case { traffic: Traffic::Eightfold, ..half }]);
}

#[test]
fn fleet_entirely_in_slow_start_stays_within_its_budgets() {
    let all_starting = Case { starting: 1.0, restarted: true, ..CASE };
    assert_held(&[Case { load: 0.65, ..all_starting }, all_starting]);
}

#[test]
fn endpoints_in_slow_start_get_no_more_when_all_others_are_lost() {
    let failures = [Outcome::ConnectFailed, Outcome::TimedOut];
    assert_held(&failures.map(|outcome| Case {
        starting: 0.3,
        failures: Failures::AllOtherEndpoints(outcome),
        ..CASE
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
    assert_held(&failures.map(|failures| Case { failures, ..CASE }));
}

#[test]
fn start_learned_at_different_times_stays_within_its_budget() {
    let delayed = Case { starting: 0.2, max_delay: 2000.0, ..CASE };
    assert_held(&[delayed, Case { restarted: true, ..delayed }]);
}

#[test]
fn endpoints_in_slow_start_stay_within_their_budgets_without_the_counter() {
    assert_held(&[Case { counter: false, starting: 0.1, ..CASE }]);
}

#[test]
fn repeated_sampling_of_a_subset_sends_no_more_to_endpoints_in_slow_start() {
    let lost = Case { starting: 0.3, failures: Failures::AllOtherEndpoints(Outcome::ConnectFailed), ..CASE };
    assert_held_at(&[(20, 60)], &[Case { starting: 1.0, restarted: true, ..CASE }, lost]);
}

#[test]
fn retries_add_nothing_where_many_endpoints_are_in_slow_start() {
    let errors = Case { failures: Failures::Fraction(0.3, Outcome::Error), ..CASE };
    assert_held(&[Case { starting: 0.5, ..errors }, Case { starting: 1.0, restarted: true, ..errors }]);
}
