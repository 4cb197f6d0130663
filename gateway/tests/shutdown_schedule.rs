//! The order of the steps of a graceful shutdown, for every longest deadline.

use ryefront_gateway::client::ShutdownSchedule;
use std::time::Duration;

/// Clients open connections for at most this long after SIGTERM.
const LAST_CONNECT: Duration = Duration::from_millis(400);
/// A process may be paused for this long at any time.
const MAX_PAUSE: Duration = Duration::from_millis(150);
const KILL_MARGIN: Duration = Duration::from_millis(700);
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);

// Guards against steps with fixed times: with short deadlines, final responses were due after the kill.
#[test]
fn steps_are_in_order_and_before_the_kill_for_each_longest_deadline() {
    for deadline_ms in (1..=5000).chain([600_000]) {
        let deadline = Duration::from_millis(deadline_ms);

        let schedule = ShutdownSchedule::new(Some(deadline));

        assert_eq!(schedule.kill, deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN, "{deadline_ms}");
        let steps = [
            schedule.close_idle,
            schedule.return_leases,
            schedule.close_listener,
            schedule.final_responses,
            schedule.exit,
            schedule.kill,
        ];
        assert!(steps.is_sorted(), "{deadline_ms}: {schedule:?}");
        assert!(schedule.close_listener > LAST_CONNECT, "{deadline_ms}: {schedule:?}");
        assert!(schedule.final_responses + MAX_PAUSE < schedule.kill, "{deadline_ms}: {schedule:?}");
    }
}

#[test]
fn unknown_longest_deadline_counts_as_the_longest_possible() {
    assert_eq!(ShutdownSchedule::new(None), ShutdownSchedule::new(Some(MAX_COUNTED_DEADLINE)));
}
