//! Unit tests of the decayed count, included as a module of `policy/src/quota/decayed_count.rs` because its
//! functions are private.

use super::*;

const REFILL_PERIOD: Millis = 4000.0;

/// Returns the decayed demand of a tenant that requests `rate` units per second for `periods` refill periods,
/// in steps of 10 ms.
fn demand_at_steady_rate(rate: f64, periods: f64) -> f64 {
    let end = periods * REFILL_PERIOD;
    let steps = (end / 10.0) as u32;
    let total: f64 =
        (1..=steps).map(|n| rate * 0.01 * increment_weight(f64::from(n) * 10.0, REFILL_PERIOD)).sum();
    decayed(total, end, REFILL_PERIOD)
}

#[test]
fn steady_rate_reads_as_rate_times_refill_period_late_in_a_window() {
    for rate in [1.0, 5.0, 25.0] {
        let read = demand_at_steady_rate(rate, WINDOW_PERIODS) / (rate * REFILL_PERIOD / 1000.0);
        assert!(
            (0.98..1.02).contains(&read),
            "{rate} units per second give {read} of rate times refill period"
        );
    }

    assert!(
        demand_at_steady_rate(5.0, 0.5) < 10.0,
        "half a refill period at the full rate counts as less than half a burst of 20"
    );
}

#[test]
fn demand_decays_by_age_and_not_by_when_it_is_reported() {
    let early = decayed(3.0 * increment_weight(100.0, REFILL_PERIOD), 2100.0, REFILL_PERIOD);
    let late = decayed(
        decayed(3.0, 1500.0, REFILL_PERIOD) * increment_weight(1600.0, REFILL_PERIOD),
        2100.0,
        REFILL_PERIOD,
    );

    assert!((early - late).abs() < 1e-9 && early < 3.0, "{early} {late}");
}

#[test]
fn window_is_no_longer_than_a_count_is_kept() {
    assert_eq!(window_length(REFILL_PERIOD, 60_000.0), 8.0 * REFILL_PERIOD);
    assert_eq!(window_length(REFILL_PERIOD, 10_000.0), 10_000.0);
}

#[test]
fn all_requests_are_admitted_up_to_a_burst_and_a_fraction_beyond() {
    assert_eq!(admit_ratio(20.0, 20.0, 1.0), 1.0);
    assert_eq!(admit_ratio(80.0, 20.0, 1.0), 0.25);
    assert!(admit_ratio(80.0, 20.0, 1.5) < 0.25);
}
