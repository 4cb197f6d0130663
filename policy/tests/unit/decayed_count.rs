//! What a fading count tells of a tenant. Part of `src/demand.rs`, whose functions are private.

use super::*;

const REFILL_PERIOD: Millis = 4000.0;

/// What a count tells of a tenant that asks `rate` units a second for `turns`, in steps of 10 ms.
fn told(rate: f64, turns: f64) -> f64 {
    let end = turns * REFILL_PERIOD;
    let steps = (end / 10.0) as u32;
    let total: f64 =
        (1..=steps).map(|n| rate * 0.01 * increment_weight(f64::from(n) * 10.0, REFILL_PERIOD)).sum();
    decayed(total, end, REFILL_PERIOD)
}

#[test]
fn a_steady_rate_reads_as_rate_times_turn_late_in_a_window() {
    for rate in [1.0, 5.0, 25.0] {
        let read = told(rate, WINDOW_PERIODS) / (rate * REFILL_PERIOD / 1000.0);
        assert!((0.98..1.02).contains(&read), "{rate} units a second read as {read} of rate times turn");
    }
    assert!(told(5.0, 0.5) < 10.0, "half a turn at the full rate is well under a burst of 20");
}

#[test]
fn demand_fades_by_age_alone_and_not_by_when_it_is_told() {
    let early = decayed(3.0 * increment_weight(100.0, REFILL_PERIOD), 2100.0, REFILL_PERIOD);
    let late = decayed(
        decayed(3.0, 1500.0, REFILL_PERIOD) * increment_weight(1600.0, REFILL_PERIOD),
        2100.0,
        REFILL_PERIOD,
    );
    assert!((early - late).abs() < 1e-9 && early < 3.0, "{early} {late}");
}

#[test]
fn a_window_is_no_longer_than_a_count_is_kept() {
    assert_eq!(window_length(REFILL_PERIOD, 60_000.0), 8.0 * REFILL_PERIOD);
    assert_eq!(window_length(REFILL_PERIOD, 10_000.0), 10_000.0);
}

#[test]
fn all_is_let_in_up_to_a_burst_and_the_even_share_beyond() {
    assert_eq!(admit_ratio(20.0, 20.0, 1.0), 1.0);
    assert_eq!(admit_ratio(80.0, 20.0, 1.0), 0.25);
    assert!(admit_ratio(80.0, 20.0, 1.5) < 0.25);
}
