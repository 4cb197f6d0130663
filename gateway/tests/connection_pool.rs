//! Idle connections: which are kept, used and given up.

use ryefront_gateway::endpoint::pool::Pool;
use ryefront_policy::Name;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, advance};

fn names<const N: usize>() -> [Name; N] {
    std::array::from_fn(|n| format!("b{n}").into())
}

#[tokio::test(start_paused = true)]
async fn the_newest_connection_that_has_rested_is_taken_and_the_fullest_endpoint_gives_up_its_oldest() {
    let ([a, b, c], rest) = (names(), Duration::from_millis(25));
    let mut pool = Pool::default();
    for (name, connection) in [(&a, 1), (&b, 2), (&a, 3), (&a, 4)] {
        pool.put(name, connection, Instant::now());
        advance(Duration::from_millis(10)).await;
    }
    assert_eq!((pool.len(), pool.take(&c, rest)), (4, None));
    // The last to come still rests.
    assert_eq!(pool.take(&a, Duration::from_millis(15)).map(|(n, _)| n), Some(3));
    pool.evict();
    assert_eq!((pool.len(), pool.take(&a, rest)), (2, None));
    advance(rest).await;
    assert_eq!(pool.take(&a, rest).map(|(n, _)| n), Some(4));
    pool.evict();
    pool.evict();
    assert!(pool.is_empty() && pool.take(&b, rest).is_none());
}

#[tokio::test(start_paused = true)]
async fn what_is_dropped_is_closed_and_no_longer_counted() {
    let ([a, b], connection) = (names(), Rc::new(()));
    let mut pool = Pool::default();
    for name in [&a, &a, &b] {
        pool.put(name, connection.clone(), Instant::now());
        advance(Duration::from_millis(10)).await;
    }
    let start = Instant::now();
    pool.retain(|_, since| start - since < Duration::from_millis(25));
    assert_eq!((pool.len(), Rc::strong_count(&connection)), (2, 3));
    pool.clear(&a);
    pool.clear(&a);
    assert_eq!((pool.len(), Rc::strong_count(&connection)), (1, 2));
    pool.evict();
    assert_eq!((pool.len(), Rc::strong_count(&connection)), (0, 1));
}
