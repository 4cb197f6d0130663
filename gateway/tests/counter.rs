//! Quotas that gateways share through the counter, and the fallback allowance while it is unavailable.

mod common;

use common::{
    CounterBehavior, GatewayOptions, GatewayProcess, TestCounter, TestDiscovery, TestEndpoint,
    TestEnvironment, idempotent_request, sleep_ms, wait_until, within_timeout,
};
use ryefront_gateway::counter::{CONNECTION_COUNT, CompletedCall, CounterClient};
use ryefront_policy::CounterResult;
use std::rc::Rc;
use std::time::Duration;

const DEADLINE_MS: u64 = 900;

/// Sends requests one after another; returns their statuses.
async fn send_requests(gateway: &GatewayProcess, count: usize) -> Vec<u16> {
    let mut client = gateway.client().await;
    let mut statuses = Vec::new();
    for _ in 0..count {
        let response = client.request(&idempotent_request(DEADLINE_MS)).await;
        if response.status() == 429 {
            let retry_after: f64 = response.headers["retry-after"].parse().expect("seconds");
            assert!((0.0..=1.0).contains(&retry_after));
        }
        statuses.push(response.status());
    }
    statuses
}

/// Returns the number of served requests; panics if any was neither served nor rejected.
fn count_served(statuses: &[u16]) -> usize {
    assert!(statuses.iter().all(|s| [200, 429].contains(s)), "{statuses:?}");
    statuses.iter().filter(|s| **s == 200).count()
}

/// Options with a plan whose burst of 10 units takes a quarter of an hour to refill.
fn small_quota(endpoint: &TestEndpoint) -> GatewayOptions {
    GatewayOptions { refill_rate: 0.01, burst: 10.0, ..GatewayOptions::with_endpoint(endpoint.address) }
}

#[tokio::test(flavor = "multi_thread")]
async fn two_gateways_share_one_quota_through_the_counter() {
    let endpoint = TestEndpoint::ok("x").await;
    let discovery = TestDiscovery::start().await;
    let counter = TestCounter::start(CounterBehavior::Add).await;

    let mut served = 0;
    for gateway_index in 0..2 {
        let options = GatewayOptions { gateway_count: 2, gateway_index, ..small_quota(&endpoint) };
        let gateway = GatewayProcess::start(discovery.address, counter.address, &options).await;
        served += count_served(&send_requests(&gateway, 15).await);
    }

    assert_eq!(served, 10);
    assert_eq!(endpoint.request_count(), 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn fallback_allowance_is_served_however_the_counter_fails() {
    for behavior in [
        CounterBehavior::NoReply,
        CounterBehavior::ReplyBusy,
        CounterBehavior::ReplyMalformed,
        CounterBehavior::AddAndReplyAfter { delay_ms: 400 },
    ] {
        let endpoint = TestEndpoint::ok("x").await;
        let env = TestEnvironment::start(&small_quota(&endpoint), behavior).await;

        let statuses = send_requests(&env.gateway, 15).await;

        assert_eq!(count_served(&statuses), 10, "{behavior:?}");
        assert_eq!(endpoint.request_count(), 10, "{behavior:?}");
        assert!(env.counter.call_count() > 0, "{behavior:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn late_counter_reply_is_discarded_and_not_matched_to_the_next_call() {
    let endpoint = TestEndpoint::ok("x").await;
    let late = CounterBehavior::AddAndReplyAfter { delay_ms: 150 };
    let env = TestEnvironment::start(&small_quota(&endpoint), late).await;
    assert_eq!(count_served(&send_requests(&env.gateway, 1).await), 1);
    env.counter.set_behavior(CounterBehavior::Add);
    sleep_ms(400).await;

    // Another tenant on the same connection has its own total: its full quota is served, and no more.
    let mut client = env.gateway.client().await;
    let mut served = 0;
    for _ in 0..15 {
        let text = idempotent_request(DEADLINE_MS).replace("b4d65521", "b4d65522");
        served += usize::from(client.request(&text).await.status() == 200);
    }

    assert_eq!(served, 10);
}

#[tokio::test(flavor = "multi_thread")]
async fn counter_is_called_again_after_it_recovers() {
    let endpoint = TestEndpoint::ok("x").await;
    let options = GatewayOptions { refill_rate: 50.0, burst: 50.0, ..small_quota(&endpoint) };
    let env = TestEnvironment::start(&options, CounterBehavior::ReplyMalformed).await;
    count_served(&send_requests(&env.gateway, 5).await);

    env.counter.set_behavior(CounterBehavior::Add);

    within_timeout("a total at the counter", async {
        while env.counter.totals().is_empty() {
            send_requests(&env.gateway, 1).await;
            sleep_ms(50).await;
        }
    })
    .await;
}

/// Calls the counter with the gateway's client, without a gateway, once for each behavior of the counter.
/// Returns the results of the calls.
async fn call_results(description: &'static str, behaviors: &[CounterBehavior]) -> Vec<CounterResult> {
    let service = TestCounter::start(CounterBehavior::Add).await;
    let (address, behaviors) = (service.address, behaviors.to_vec());
    tokio::task::LocalSet::new()
        .run_until(async move {
            let (report, mut reports) = tokio::sync::mpsc::unbounded_channel();
            let report = Rc::new(move |call: CompletedCall| report.send(call.result).expect("a listener"));
            let counter = CounterClient::start(address, Duration::from_secs(1), report);
            let mut results = Vec::new();
            for behavior in behaviors {
                service.set_behavior(behavior);
                counter.increment(2, 1.0, 10_000.0);
                results.push(within_timeout(description, reports.recv()).await.expect("a result"));
            }
            results
        })
        .await
}

#[tokio::test(flavor = "multi_thread")]
async fn call_after_a_malformed_counter_reply_is_sent_at_once_and_no_call_is_lost() {
    const TOTAL: fn(f64) -> CounterResult = CounterResult::Total;
    const UNKNOWN: CounterResult = CounterResult::Unknown;
    let not_resp = "#~\r\n";
    let error_without_total = "-LOADING soon\r\n";
    let incomplete = "$900\r\n12";
    for reply in [not_resp, error_without_total, incomplete] {
        let add = CounterBehavior::Add;
        let malformed = CounterBehavior::AddAndReplyWith(reply);

        let results = call_results(reply, &[add, malformed, add, malformed, add]).await;

        assert_eq!(results, [TOTAL(1.0), UNKNOWN, TOTAL(3.0), UNKNOWN, TOTAL(5.0)], "{reply}");
    }
}

// Guards against a total that is cut off, 12 for 120, because the counter gave its reply a wrong length: spent
// quota would be leased again.
#[tokio::test(flavor = "multi_thread")]
async fn total_whose_length_is_wrong_is_unknown() {
    let (add, total) = (CounterBehavior::Add, CounterResult::Total);
    for reply in ["$2\r\n120\r\n", "$1\r\n120\r\n", "$2\r\n12000\r\n", "$4\r\n120\r\n", "$0\r\n1\r\n"] {
        let wrong_length = CounterBehavior::AddAndReplyWith(reply);

        let results = call_results(reply, &[add, wrong_length, add]).await;

        assert_eq!(results, [total(1.0), CounterResult::Unknown, total(3.0)], "{reply}");
    }
}

/// An invalid counter reply, and the start and end of the log line about it. Between them is the call, whose
/// key depends on the time.
struct InvalidReply {
    text: &'static str,
    log_prefix: &'static str,
    log_suffix: &'static str,
}

fn invalid_replies() -> Vec<InvalidReply> {
    let reply = |text, log_prefix, log_suffix| InvalidReply { text, log_prefix, log_suffix };
    let unusable =
        |text, log_prefix| reply(text, log_prefix, ", expected a finite total, BUSY or ERR (logged once)");
    let too_long = format!("$9000\r\n{}", "1".repeat(5000)).leak();
    vec![
        reply("#~\r\n", "counter: malformed reply, expected RESP2: ", " (logged once)"),
        reply(
            "$1\r\n12\r\n",
            "counter: malformed reply, expected RESP2: no line end after ",
            " (logged once)",
        ),
        unusable("-LOADING\r\n", r#"counter: unusable Error "LOADING" in reply to Increment { key: "#),
        unusable("$3\r\nNaN\r\n", r#"counter: unusable BulkString "NaN" in reply to Increment { key: "#),
        unusable("+PONG\r\n", r#"counter: unusable SimpleString "PONG" in reply to Increment { key: "#),
        reply("$1\r\n1\r\n+OK\r\n", "counter: a reply without a call in flight", " (logged once)"),
        reply("$900\r\n12", "counter: a reply was not complete within 50 ms", " (logged once)"),
        reply(too_long, "counter: a reply of ", " bytes or more, expected 4096 at most (logged once)"),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_counter_reply_is_logged_once_per_connection_with_what_was_found_and_expected() {
    for InvalidReply { text, log_prefix, log_suffix } in invalid_replies() {
        let endpoint = TestEndpoint::ok("x").await;
        let options = GatewayOptions { refill_rate: 250.0, burst: 50.0, ..small_quota(&endpoint) };
        let env = TestEnvironment::start(&options, CounterBehavior::AddAndReplyWith(text)).await;
        // During the refill period of 200 ms after its start, a gateway makes two calls at once.
        sleep_ms(250).await;

        within_timeout("several calls on a connection", async {
            while env.counter.call_count() as usize <= 2 * CONNECTION_COUNT {
                send_requests(&env.gateway, 1).await;
                sleep_ms(50).await;
            }
        })
        .await;

        wait_until("a log line", || !env.gateway.log_lines(log_prefix).is_empty()).await;
        let lines = env.gateway.log_lines("counter: ");
        assert!(lines.len() <= CONNECTION_COUNT, "{lines:?}");
        assert!(lines.iter().all(|l| l.starts_with(log_prefix) && l.ends_with(log_suffix)), "{lines:?}");
    }
}
