//! Tasks on the gateway's one thread.

/// Runs a task on the current thread, for as long as the program runs.
///
/// # Panics
/// Outside of a [`LocalSet`](tokio::task::LocalSet).
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}
