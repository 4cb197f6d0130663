//! How the watch on the list of backends paces its calls.

use fennelscale::discovery::{PAUSE, Pace, pause};
use std::time::Duration;

const LONGEST_PAUSE: Duration = Pace::ASKING.longest_pause;

#[test]
fn being_turned_away_in_a_row_lengthens_the_pause_and_gateways_fall_out_of_step() {
    let pauses = |seed| {
        let mut chance = fastrand::Rng::with_seed(seed);
        (1..=12).map(|times| pause(times, LONGEST_PAUSE, &mut chance)).collect::<Vec<_>>()
    };
    let (one, other) = (pauses(1), pauses(2));
    assert_eq!(one[0], PAUSE, "a watch outlives a single fault");
    assert!(one.iter().all(|p| *p <= LONGEST_PAUSE) && one[11] >= LONGEST_PAUSE / 2);
    assert!(one[..5].windows(2).filter(|w| w[0] < w[1]).count() >= 3, "{one:?}");
    assert!(one[1..].iter().zip(&other[1..]).all(|(a, b)| a != b), "{one:?} {other:?}");
    // A second of faults from a hundred gateways that have failed for a while is under a hundred calls.
    assert!(one[6..].iter().sum::<Duration>() > Duration::from_secs(6));
}

#[test]
fn what_an_agent_has_when_it_comes_back_is_heard_within_the_grace_of_drains() {
    for grace in [400, 600, 1000, 2000, 30_000].map(Duration::from_millis) {
        let pace = Pace::of(true, grace);
        // The call that was out is lost the moment it is made.
        let lost = pace.wait + pace.patience + pause(0, pace.longest_pause, &mut fastrand::Rng::with_seed(1));
        assert!(lost < grace, "{lost:?} of {grace:?}");
        assert!(pace.longest_pause <= grace / 2 && pace.wait <= Pace::ASKING.wait);
    }
    assert_eq!(Pace::of(false, Duration::from_secs(1)), Pace::ASKING);
    assert_eq!(Pace::of(true, Duration::ZERO), Pace::ASKING);
}
