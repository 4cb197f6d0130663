//! The pool of idle connections: which of them are reused, evicted and dropped.

use ryefront_gateway::endpoint::pool::Pool;
use ryefront_policy::Name;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, advance};

const PUT_INTERVAL: Duration = Duration::from_millis(10);

fn names<const N: usize>() -> [Name; N] {
    std::array::from_fn(|n| format!("b{n}").into())
}

#[tokio::test(start_paused = true)]
async fn newest_connection_idle_long_enough_is_reused_and_the_oldest_of_the_fullest_endpoint_is_evicted() {
    let [a, b, c] = names();
    let min_idle = Duration::from_millis(25);
    let mut pool = Pool::default();
    for (name, connection) in [(&a, 1), (&b, 2), (&a, 3), (&a, 4)] {
        pool.put(name, connection, Instant::now());
        advance(PUT_INTERVAL).await;
    }

    assert_eq!((pool.len(), pool.take(&c, min_idle)), (4, None));
    // The newest connection has not been idle for long enough.
    assert_eq!(pool.take(&a, Duration::from_millis(15)).map(|idle| idle.connection), Some(3));
    pool.evict();
    assert_eq!((pool.len(), pool.take(&a, min_idle)), (2, None));
    advance(min_idle).await;
    assert_eq!(pool.take(&a, min_idle).map(|idle| idle.connection), Some(4));
    pool.evict();
    pool.evict();
    assert!(pool.is_empty() && pool.take(&b, min_idle).is_none());
}

#[tokio::test(start_paused = true)]
async fn dropped_connections_are_closed_and_no_longer_counted() {
    let [a, b] = names();
    let connection = Rc::new(());
    let mut pool = Pool::default();
    for name in [&a, &a, &b] {
        pool.put(name, connection.clone(), Instant::now());
        advance(PUT_INTERVAL).await;
    }
    let start = Instant::now();

    pool.retain(|idle| start - idle.idle_since < Duration::from_millis(25));
    assert_eq!((pool.len(), Rc::strong_count(&connection)), (2, 3));
    pool.remove_endpoint(&a);
    pool.remove_endpoint(&a);
    assert_eq!((pool.len(), Rc::strong_count(&connection)), (1, 2));
    pool.evict();
    assert_eq!((pool.len(), Rc::strong_count(&connection)), (0, 1));
}
