//! Waiting for events with a timeout.

use std::time::Duration;

/// How long a test waits for an event; far longer than any event takes, even on a busy machine.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Awaits `future`; panics with `description` if it does not complete within [`TIMEOUT`].
pub(crate) async fn within_timeout<T>(description: &str, future: impl Future<Output = T>) -> T {
    let Ok(value) = tokio::time::timeout(TIMEOUT, future).await else {
        panic!("timed out waiting for {description}")
    };
    value
}

/// Polls `condition` until it holds; panics with `description` if it does not within [`TIMEOUT`].
pub(crate) async fn wait_until(description: &str, condition: impl Fn() -> bool) {
    within_timeout(description, async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    })
    .await;
}

pub(crate) async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
