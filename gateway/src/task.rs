//! Spawning of tasks on the gateway's only thread.

/// Spawns a detached task on the current thread. It runs until it completes or the runtime shuts down.
///
/// # Panics
/// Outside of a [`LocalSet`](tokio::task::LocalSet).
pub fn spawn(task: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}
