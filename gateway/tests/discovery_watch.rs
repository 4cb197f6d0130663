//! How the watch on the endpoint list paces its requests, and how long after failures a list is known.

mod common;

use common::{RefusingPort, ScriptedResponse, TestEndpoint, in_service, ok_response, snapshot};
use ryefront_gateway::discovery::backoff::{
    CONNECT_TIMEOUT, DiscoveryService, PollBackoff, PollFailure, PollTiming,
};
use ryefront_gateway::discovery::{WatchSettings, watch_endpoints};
use ryefront_gateway::endpoint::{EndpointRegistry, EndpointSettings};
use ryefront_gateway::engine::Engine;
use ryefront_policy::LoadReportSource;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::Instant;

const MAX_BACKOFF: Duration = PollTiming::SHARED_SERVICE.backoff.max;
/// Discovery counts its list as known this long after it could be reached.
const MAX_PROPAGATION: Duration = Duration::from_secs(6);
/// Of that, what a gateway short of processor time may need beside its timeouts.
const PROCESSING_ALLOWANCE: Duration = Duration::from_millis(500);
const FAILURES: [PollFailure; 4] =
    [PollFailure::ConnectionLost, PollFailure::NoResponse, PollFailure::Incomplete, PollFailure::Rejected];

#[test]
fn backoff_grows_after_rejections_in_a_row_and_has_jitter() {
    let pauses = |seed| {
        let mut random = fastrand::Rng::with_seed(seed);
        (1..=12)
            .map(|times| PollTiming::SHARED_SERVICE.backoff.delay(times, random.f64()))
            .collect::<Vec<_>>()
    };

    let (one, other) = (pauses(1), pauses(2));

    assert_eq!(one[0], PollTiming::SHARED_SERVICE.backoff.initial, "a watch survives a single failure");
    assert!(one.iter().all(|p| *p <= MAX_BACKOFF) && one[11] >= MAX_BACKOFF / 2);
    assert!(one[..5].windows(2).filter(|w| w[0] < w[1]).count() >= 3, "{one:?}");
    assert!(one[1..].iter().zip(&other[1..]).all(|(a, b)| a != b), "{one:?} {other:?}");
    // A second of failures at a hundred gateways that have failed for a while is under a hundred requests.
    assert!(one[6..].iter().sum::<Duration>() > Duration::from_secs(6));
}

#[test]
fn list_of_a_recovered_discovery_service_is_known_within_the_drain_grace_period() {
    for grace in [400, 600, 1000, 2000, 30_000].map(Duration::from_millis) {
        let timing = PollTiming::new(DiscoveryService::LocalAgent, grace);

        // The open request is lost the moment it is made, however often that has happened before.
        let mut backoff = PollBackoff::new(timing);
        for _ in 0..3 {
            let lost =
                backoff.poll_timeout(timing.max_wait) + backoff.record_failure(PollFailure::NoResponse, 1.0);
            assert!(lost < grace, "{lost:?} of {grace:?}");
        }

        assert!(timing.backoff.max <= grace / 2 && timing.max_wait <= PollTiming::SHARED_SERVICE.max_wait);
    }
    assert_eq!(PollTiming::new(DiscoveryService::Shared, Duration::from_secs(1)), PollTiming::SHARED_SERVICE);
    assert_eq!(PollTiming::new(DiscoveryService::LocalAgent, Duration::ZERO), PollTiming::SHARED_SERVICE);
}

/// The longest time to the end of a request that is answered: `failures` more requests fail before in any
/// way, each with a connection that is established as late as it can be, and with the longest backoff behind.
fn longest(backoff: &PollBackoff, failures: u32) -> Duration {
    let request = CONNECT_TIMEOUT + backoff.poll_timeout(Duration::ZERO);
    let more = FAILURES.into_iter().filter(|_| failures > 0).map(|failure| {
        let mut backoff = backoff.clone();
        backoff.record_failure(failure, 1.0) + longest(&backoff, failures - 1)
    });
    request + more.max().unwrap_or_default()
}

/// The same from each state that up to `before` failures in any order lead to.
fn longest_from_any_state(backoff: &PollBackoff, before: u32, failures: u32) -> Duration {
    let here = longest(backoff, failures);
    let more = FAILURES.into_iter().filter(|_| before > 0).map(|failure| {
        let mut backoff = backoff.clone();
        backoff.record_failure(failure, 1.0);
        longest_from_any_state(&backoff, before - 1, failures)
    });
    here.max(more.max().unwrap_or_default())
}

#[test]
fn endpoint_list_is_known_in_time_after_any_mix_of_failures() {
    // When discovery becomes reachable a request or a backoff may be under way, and one more request may fail
    // after that. A backoff alone is shorter than a request and the backoff behind it.
    let fresh = PollBackoff::new(PollTiming::SHARED_SERVICE);
    let connecting = longest_from_any_state(&fresh, 7, 2);
    // A request that waits for changes is made only on a connection that has brought a list.
    let watching = FAILURES.into_iter().map(|failure| {
        let mut backoff = fresh.clone();
        fresh.poll_timeout(PollTiming::SHARED_SERVICE.max_wait)
            + backoff.record_failure(failure, 1.0)
            + longest(&backoff, 1)
    });

    let worst = connecting.max(watching.max().unwrap_or_default());

    println!("known at most {worst:?} after discovery could be reached");
    assert!(worst + PROCESSING_ALLOWANCE <= MAX_PROPAGATION, "{worst:?}");
}

#[test]
fn three_hundred_gateways_rejected_together_do_not_retry_in_step() {
    let from = Duration::from_secs(2);
    let to = Duration::from_secs(30);
    let mut requests = Vec::new();
    for seed in 0..300 {
        let mut backoff = PollBackoff::new(PollTiming::SHARED_SERVICE);
        let mut random = fastrand::Rng::with_seed(seed);
        let mut now = Duration::ZERO;
        while now < to {
            now += backoff.record_failure(PollFailure::Rejected, random.f64());
            requests.push(now);
        }
    }
    requests.retain(|at| (from..to).contains(at));
    requests.sort();

    let window_end = |at: &Duration| requests.partition_point(|r| *r < *at + Duration::from_millis(100));
    let worst = requests.iter().enumerate().map(|(n, at)| window_end(at) - n).max().expect("requests");

    println!("{} requests in 28 s, {worst} in the worst 100 ms", requests.len());
    // In step it would be all of them; an even spread would be 27.
    assert!(worst <= 60, "{worst}");
    // Less than one a second from each on average.
    assert!(requests.len() < 300 * 28, "{}", requests.len());
}

// ---- On sockets, with a paused clock ----

/// A discovery service that refuses connections at first and then sends scripted responses.
struct Scenario<'a> {
    timing: PollTiming,
    seed: u64,
    refuses_for: Duration,
    script: &'a [ScriptedResponse],
    /// The request from which on discovery counts as reachable; 0 for when it listens.
    reachable_at_request: usize,
}

impl<'a> Scenario<'a> {
    /// A service that listens at once and is reachable from the first request on.
    fn reachable(timing: PollTiming, script: &'a [ScriptedResponse]) -> Self {
        Self { timing, seed: 1, refuses_for: Duration::ZERO, script, reachable_at_request: 1 }
    }

    /// Runs a watch; returns how long after discovery could be reached a request showed that version 7 is
    /// known.
    fn propagation_time(&self) -> Duration {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        LocalSet::new().block_on(&runtime.expect("a runtime"), self.run_watch())
    }

    async fn run_watch(&self) -> Duration {
        // While a blocking task runs the paused clock does not advance by itself.
        let (release_clock, held) = std::sync::mpsc::channel::<()>();
        tokio::task::spawn_blocking(move || held.recv());
        let port = RefusingPort::bind();
        let engine = engine(self.seed, registry());
        let (_address_sender, address) = watch::channel(port.address);
        let watch = WatchSettings { address, cached_version: 1, seed: self.seed, timing: self.timing };
        tokio::task::spawn_local(watch_endpoints(watch, engine));
        let start = Instant::now();
        while start.elapsed() < self.refuses_for {
            step().await;
        }
        let service = TestEndpoint::serve(port.listen(64), self.script);
        while service.request_count() < self.reachable_at_request {
            step().await;
        }
        let reachable_since = Instant::now();
        let is_known = || service.last_request_contains("after=7&");
        while !is_known() && reachable_since.elapsed() < Duration::from_secs(60) {
            step().await;
        }
        drop(release_clock);
        reachable_since.elapsed()
    }
}

/// Advances the clock; all that is ready on the sockets is processed before the next step.
async fn step() {
    tokio::time::advance(Duration::from_millis(20)).await;
    for _ in 0..12 {
        tokio::task::yield_now().await;
    }
}

fn registry() -> Rc<EndpointRegistry> {
    EndpointRegistry::new(EndpointSettings {
        connect_timeout: Duration::from_secs(1),
        endpoint_idle_timeout: Duration::from_secs(1),
        load_report_source: LoadReportSource::None,
        max_connections: 10,
    })
}

fn engine(seed: u64, endpoints: Rc<EndpointRegistry>) -> Rc<Engine> {
    let settings = r#"{"fleet-size":1,"my-number":0,"discovery":"on_request",
        "classes":[{"name":"read","effect":"idempotent","goal-time-ms":800,"worth":1}]}"#;
    let settings = ryefront_settings::read(&serde_json::from_str(settings).expect("JSON")).expect("settings");
    Engine::start(settings, seed, endpoints, None).expect("an engine")
}

fn any_address() -> SocketAddr {
    "127.0.0.1:9".parse().expect("an address")
}

fn version_7() -> String {
    snapshot(7, &[in_service("b", any_address())])
}

/// A seed whose backoffs after the failures that count are nearly the longest there are.
fn seed_of_long_backoffs() -> u64 {
    let has_long_backoffs = |seed: &u64| {
        let mut random = fastrand::Rng::with_seed(*seed);
        let draws: Vec<_> = (0..8).map(|_| random.f64()).collect();
        draws[6..].iter().all(|draw| *draw > 0.97)
    };
    (0..).find(has_long_backoffs).expect("a seed")
}

#[test]
fn endpoint_list_is_known_within_6_s_after_connect_and_response_failures_in_any_order() {
    let half = "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":".to_owned();
    let failures = [
        ScriptedResponse::Write("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".into()),
        ScriptedResponse::close(),
        ScriptedResponse::WriteAndClose(half.clone()),
        ScriptedResponse::Write(half),
        ScriptedResponse::NoResponse,
        ScriptedResponse::ok("{"),
    ];
    let seed = seed_of_long_backoffs();
    let mut worst = Duration::ZERO;
    let mut check = |refuses_for, failed: &[&ScriptedResponse]| {
        let mut script: Vec<_> = failed.iter().map(|response| (*response).clone()).collect();
        script.extend([ScriptedResponse::ok(&version_7()), ScriptedResponse::NoResponse]);
        // Reachable from when it listens, or from the last request but one before that which is answered.
        let reachable_at_request = failed.len().saturating_sub(1);
        let scenario = Scenario {
            timing: PollTiming::SHARED_SERVICE,
            seed,
            refuses_for,
            script: &script,
            reachable_at_request,
        };

        let took = scenario.propagation_time();

        assert!(took < MAX_PROPAGATION, "{took:?}: {refuses_for:?}, {failed:?}");
        worst = worst.max(took);
    };

    for last_but_one in &failures {
        check(Duration::from_secs(3), &[last_but_one]);
        for last in &failures {
            for before in [&failures[0], &failures[3], &failures[4]] {
                let failed = [before, before, before, before, before, before, last_but_one, last];
                check(Duration::ZERO, &failed);
            }
        }
    }
    println!("known at most {worst:?} after discovery could be reached");
}

#[test]
fn endpoint_list_that_begins_late_or_comes_in_parts_is_read() {
    let response = ok_response(&version_7());
    let (first, second) = response.split_at(response.len() / 2);
    let in_parts =
        ScriptedResponse::WriteInTwoParts { first: first.into(), delay_ms: 800, second: second.into() };
    let late = ScriptedResponse::WriteAfter { delay_ms: 800, text: response.clone() };
    // A discovery service that pushes has the list it sends, so it never begins late.
    let pushed = PollTiming::new(DiscoveryService::LocalAgent, Duration::from_secs(1));
    let polled = PollTiming::SHARED_SERVICE;

    for (timing, response) in [(polled, late), (polled, in_parts.clone()), (pushed, in_parts)] {
        let took = Scenario::reachable(timing, std::slice::from_ref(&response)).propagation_time();

        assert!(took < MAX_PROPAGATION, "{took:?}: {response:?}");
    }
}

#[test]
fn indented_endpoint_list_of_the_largest_planned_fleet_is_read() {
    let entries: Vec<_> = (0..26_000).map(|n| in_service(&format!("s-{n:08x}"), any_address())).collect();
    for entries in [&entries[..], &entries[..100]] {
        let text = snapshot(7, entries).replace(',', ",\r\n        ").replace('{', "{\r\n        ");

        let script = [ScriptedResponse::ok_after(20, &text)];
        let took = Scenario::reachable(PollTiming::SHARED_SERVICE, &script).propagation_time();

        assert!(took < MAX_PROPAGATION, "{took:?} for {} bytes", text.len());
    }
}
