//! How the watch on the list of endpoints paces its calls.

mod helper;

use helper::{Do, Endpoint, World, list, ok, refusing, row};
use ryefront_gateway::discovery::backoff::{
    CONNECT_TIMEOUT, DiscoveryService, PollBackoff, PollFailure, PollTiming,
};
use ryefront_gateway::discovery::{EndpointList, WatchSettings, watch_endpoints};
use ryefront_gateway::endpoint::{EndpointRegistry, EndpointSettings};
use ryefront_gateway::engine::Engine;
use ryefront_policy::LoadReportSource;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::Instant;

const LONGEST_PAUSE: Duration = PollTiming::SHARED_SERVICE.backoff.max;
/// What discovery has counts as told this long after it could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// Of that, what a gateway short of processor time may need beside its time limits.
const SPARE: Duration = Duration::from_millis(500);

#[test]
fn being_turned_away_in_a_row_lengthens_the_pause_and_gateways_fall_out_of_step() {
    let pauses = |seed| {
        let mut chance = fastrand::Rng::with_seed(seed);
        (1..=12)
            .map(|times| PollTiming::SHARED_SERVICE.backoff.delay(times, chance.f64()))
            .collect::<Vec<_>>()
    };
    let (one, other) = (pauses(1), pauses(2));
    assert_eq!(one[0], PollTiming::SHARED_SERVICE.backoff.initial, "a watch outlives a single fault");
    assert!(one.iter().all(|p| *p <= LONGEST_PAUSE) && one[11] >= LONGEST_PAUSE / 2);
    assert!(one[..5].windows(2).filter(|w| w[0] < w[1]).count() >= 3, "{one:?}");
    assert!(one[1..].iter().zip(&other[1..]).all(|(a, b)| a != b), "{one:?} {other:?}");
    // A second of faults from a hundred gateways that have failed for a while is under a hundred calls.
    assert!(one[6..].iter().sum::<Duration>() > Duration::from_secs(6));
}

#[test]
fn what_an_agent_has_when_it_comes_back_is_heard_within_the_grace_of_drains() {
    for grace in [400, 600, 1000, 2000, 30_000].map(Duration::from_millis) {
        let pace = PollTiming::new(DiscoveryService::LocalAgent, grace);
        // The call that was out is lost the moment it is made. However often that went before: silence changes
        // nothing there.
        let mut retry = PollBackoff::new(pace);
        for _ in 0..3 {
            let lost = retry.poll_timeout(pace.max_wait) + retry.record_failure(PollFailure::NoResponse, 1.0);
            assert!(lost < grace, "{lost:?} of {grace:?}");
        }
        assert!(pace.backoff.max <= grace / 2 && pace.max_wait <= PollTiming::SHARED_SERVICE.max_wait);
    }
    assert_eq!(PollTiming::new(DiscoveryService::Shared, Duration::from_secs(1)), PollTiming::SHARED_SERVICE);
    assert_eq!(PollTiming::new(DiscoveryService::LocalAgent, Duration::ZERO), PollTiming::SHARED_SERVICE);
}

const FAILURES: [PollFailure; 4] =
    [PollFailure::ConnectionLost, PollFailure::NoResponse, PollFailure::Incomplete, PollFailure::Rejected];

/// The longest time to the end of a call that is answered: `failures` further calls fail before in any way, each
/// with a connection that comes up at the last moment, and as late as it can, with the longest pause behind.
fn longest(retry: &PollBackoff, failures: u32) -> Duration {
    let call = CONNECT_TIMEOUT + retry.poll_timeout(Duration::ZERO);
    let more = FAILURES.into_iter().filter(|_| failures > 0).map(|failure| {
        let mut retry = retry.clone();
        retry.record_failure(failure, 1.0) + longest(&retry, failures - 1)
    });
    call + more.max().unwrap_or_default()
}

/// The same for each place that up to `before` failures in any order lead to.
fn longest_from_anywhere(retry: &PollBackoff, before: u32, failures: u32) -> Duration {
    let here = longest(retry, failures);
    let more = FAILURES.into_iter().filter(|_| before > 0).map(|failure| {
        let mut retry = retry.clone();
        retry.record_failure(failure, 1.0);
        longest_from_anywhere(&retry, before - 1, failures)
    });
    here.max(more.max().unwrap_or_default())
}

#[test]
fn what_discovery_has_is_known_in_time_after_any_mix_of_failures() {
    // When discovery can be reached a call or a pause may be under way, and one more call may fail after that. A
    // pause alone is shorter than a call and the pause behind it.
    let fresh = PollBackoff::new(PollTiming::SHARED_SERVICE);
    let connecting = longest_from_anywhere(&fresh, 7, 2);
    // A call that waits is made only on a connection that has brought a list.
    let watching = FAILURES.into_iter().map(|failure| {
        let mut retry = fresh.clone();
        fresh.poll_timeout(PollTiming::SHARED_SERVICE.max_wait)
            + retry.record_failure(failure, 1.0)
            + longest(&retry, 1)
    });
    let worst = connecting.max(watching.max().unwrap_or_default());
    println!("known {worst:?} after discovery could be reached, at the latest");
    assert!(worst + SPARE <= TOLD, "{worst:?}");
}

#[test]
fn three_hundred_gateways_that_are_turned_away_together_do_not_stay_in_step() {
    let (from, to) = (Duration::from_secs(2), Duration::from_secs(30));
    let mut calls = Vec::new();
    for seed in 0..300 {
        let (mut retry, mut chance) =
            (PollBackoff::new(PollTiming::SHARED_SERVICE), fastrand::Rng::with_seed(seed));
        let mut now = Duration::ZERO;
        while now < to {
            now += retry.record_failure(PollFailure::Rejected, chance.f64());
            calls.push(now);
        }
    }
    calls.retain(|at| (from..to).contains(at));
    calls.sort();
    let window = |at: &Duration| calls.partition_point(|c| *c < *at + Duration::from_millis(100));
    let worst = calls.iter().enumerate().map(|(n, at)| window(at) - n).max().expect("calls");
    println!("{} calls in 28 s, {worst} in the worst 100 ms", calls.len());
    // In step it would be all of them; an even spread would be 27.
    assert!(worst <= 60, "{worst}");
    // Less than one a second from each on average.
    assert!(calls.len() < 300 * 28, "{}", calls.len());
}

// ---- On sockets, by a clock of the test's own ----

/// The clock moves by steps, and between two of them all that is ready on the sockets is done.
async fn step() {
    tokio::time::advance(Duration::from_millis(20)).await;
    for _ in 0..12 {
        tokio::task::yield_now().await;
    }
}

/// Plays a watch on a discovery whose port refuses for so long, and which then acts by a list of deeds. Tells how long
/// after the call number `reachable`, or after it began to listen, a call showed that the list of version 7 had been
/// taken in.
fn told_after(pace: PollTiming, seed: u64, refuses: Duration, deeds: &[Do], reachable: usize) -> Duration {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        // While such a task runs the clock does not move by itself.
        let (hold, held) = std::sync::mpsc::channel::<()>();
        tokio::task::spawn_blocking(move || held.recv());
        let (socket, at) = refusing();
        let settings = r#"{"fleet-size":1,"my-number":0,"discovery":"on_request",
            "classes":[{"name":"look","effect":"idempotent","goal-time-ms":800,"worth":1}]}"#;
        let settings =
            ryefront_settings::read(&serde_json::from_str(settings).expect("JSON")).expect("settings");
        let endpoints = EndpointRegistry::new(EndpointSettings {
            connect_timeout: Duration::from_secs(1),
            endpoint_idle_timeout: Duration::from_secs(1),
            load_report_source: LoadReportSource::None,
            max_connections: 10,
        });
        let engine = Engine::start(settings, seed, endpoints, None).expect("an engine");
        let (_moved, address) = watch::channel(at);
        let watch = WatchSettings { address, cached_version: 1, seed, timing: pace };
        tokio::task::spawn_local(watch_endpoints(watch, engine));
        let start = Instant::now();
        while start.elapsed() < refuses {
            step().await;
        }
        let service = Endpoint::serve(socket.listen(64).expect("a listener"), deeds);
        while service.attempts() < reachable {
            step().await;
        }
        let since = Instant::now();
        let told = || {
            let heard = service.heard.lock().expect("lock");
            heard.last().is_some_and(|call| call.line.contains("after=7&"))
        };
        while !told() && since.elapsed() < Duration::from_secs(60) {
            step().await;
        }
        drop(hold);
        since.elapsed()
    })
}

fn news() -> String {
    list(7, true, &[row("b", "127.0.0.1:9".parse().expect("an address"), "in_service")])
}

#[test]
fn a_list_is_taken_in_within_6_s_after_refusals_resets_cuts_silence_and_noise_in_any_order() {
    let half = "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":".to_owned();
    let failures = [
        Do::Say("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n".into()),
        Do::SayAndClose(String::new()),
        Do::SayAndClose(half.clone()),
        Do::Say(half),
        Do::Hang,
        Do::Say(ok("{")),
    ];
    // Its pauses after the failures that count are nearly the longest there are.
    let long = |seed: &u64| {
        let mut chance = fastrand::Rng::with_seed(*seed);
        let draws: Vec<_> = (0..8).map(|_| chance.f64()).collect();
        draws[6..].iter().all(|d| *d > 0.97)
    };
    let seed = (0..).find(long).expect("a seed");
    let mut worst = Duration::ZERO;
    let mut check = |refuses, failed: &[&Do]| {
        let mut deeds: Vec<_> = failed.iter().map(|deed| (*deed).clone()).collect();
        deeds.extend([Do::Say(ok(&news())), Do::Hang]);
        let took =
            told_after(PollTiming::SHARED_SERVICE, seed, refuses, &deeds, failed.len().saturating_sub(1));
        assert!(took < TOLD, "{took:?}: {refuses:?}, {failed:?}");
        worst = worst.max(took);
    };
    for out in &failures {
        // Reachable from when it listens, or from the call but one before that which is answered.
        check(Duration::from_secs(3), &[out]);
        for further in &failures {
            for before in [&failures[0], &failures[3], &failures[4]] {
                check(Duration::ZERO, &[before, before, before, before, before, before, out, further]);
            }
        }
    }
    println!("taken in after {worst:?} at the latest");
}

#[test]
fn a_list_that_begins_late_or_comes_in_pieces_is_taken_in_all_the_same() {
    let whole = ok(&news());
    let (start, end) = whole.split_at(whole.len() / 2);
    let pieces = Do::SayAndThen(start.into(), 800, end.into());
    // An agent has what it tells, so it never begins late.
    let pushed = PollTiming::new(DiscoveryService::LocalAgent, Duration::from_secs(1));
    let asking = PollTiming::SHARED_SERVICE;
    for (pace, slow) in
        [(asking, Do::SayLater(800, whole.clone())), (asking, pieces.clone()), (pushed, pieces)]
    {
        let took = told_after(pace, 1, Duration::ZERO, std::slice::from_ref(&slow), 1);
        assert!(took < TOLD, "{took:?}: {slow:?}");
    }
}

#[test]
fn a_list_of_the_whole_fleet_to_come_is_taken_in_also_indented() {
    let at = "127.0.0.1:9".parse().expect("an address");
    let rows: Vec<_> = (0..26_000).map(|n| row(&format!("s-{n:08x}"), at, "in_service")).collect();
    for rows in [&rows[..], &rows[..100]] {
        let text = list(7, true, rows).replace(',', ",\r\n        ").replace('{', "{\r\n        ");
        let took =
            told_after(PollTiming::SHARED_SERVICE, 1, Duration::ZERO, &[Do::SayLater(20, ok(&text))], 1);
        assert!(took < TOLD, "{took:?} for {} bytes", text.len());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_of_a_lower_version_lead_to_a_call_for_the_whole_list() {
    let world = World::with(&[]).await;
    world.discovery.tell(list(41, false, &[]));
    world.discovery.taken_in().await;
    assert!(world.discovery.asked.lock().expect("lock").contains("after=41&"));
    // Told twice, it is the same; told as a lower one, there is another agent.
    world.discovery.tell(list(41, false, &[]));
    world.discovery.taken_in().await;
    assert!(world.discovery.asked.lock().expect("lock").contains("after=41&"));
    world.discovery.tell(list(3, false, &[]));
    world.discovery.taken_in().await;
    assert_eq!(*world.discovery.asked.lock().expect("lock"), "GET /discovery/hosts HTTP/1.1");
}

#[test]
fn a_list_is_read_whole_or_not_at_all() {
    let at = "127.0.0.1:9".parse().expect("an address");
    let good = list(7, true, &[row("a", at, "in_service"), row("b", at, "terminating")]);
    let read = EndpointList::parse(good.as_bytes()).expect("a list");
    assert_eq!((read.version, read.is_snapshot, read.endpoints.len()), (7, true, 2));
    for (part, spoilt) in [
        (r#""seq":7"#, r#""seq":-7"#),
        (r#""seq":7"#, r#""seq":7.5"#),
        (r#""seq":7"#, r#""seq":99999999999999999999"#),
        (r#""seq":7,"#, ""),
        (r#""whole":true"#, r#""whole":"true""#),
        (r#""whole":true,"#, ""),
        ("terminating", "resting"),
        (r#""host":"b""#, r#""host":"""#),
        (r#""host":"b","#, ""),
        (r#""host":"b""#, "\"host\":\"\u{1}\""),
        ("127.0.0.1:9", "127.0.0.1"),
        ("127.0.0.1:9", "127.0.0.1:99999"),
        ("127.0.0.1:9", "b.internal:9"),
        (r#""born_ms":0"#, r#""born_ms":1e999"#),
        (r#""born_ms":0"#, r#""born_ms":"0""#),
        (r#""block":0"#, r#""block":-1"#),
        ("]}", "]"),
        ("]}", "]}]"),
        ("]}", ",]}"),
        (good.as_str(), ""),
        (good.as_str(), "null"),
    ] {
        let text = good.replace(part, spoilt);
        assert_ne!(text, good);
        assert!(EndpointList::parse(text.as_bytes()).is_err(), "{text}");
    }
    let mut bytes = good.into_bytes();
    let name = bytes.iter().position(|b| *b == b'b').expect("a letter");
    bytes[name] = 0xff;
    assert!(EndpointList::parse(&bytes).is_err());
}
