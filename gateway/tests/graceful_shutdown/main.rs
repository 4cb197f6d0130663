//! A soak test of graceful shutdown: gateways receive SIGTERM under load and are killed at the earliest time
//! the shutdown protocol permits, while clients use their open connections until the kill. Each seed
//! generates a different random scenario. `SOAK_SEEDS=1-60` runs these seeds instead of the default ones.

#[path = "../common/mod.rs"]
mod common;
mod load;
mod scenario;

use common::{
    ConfigEdit, GatewayOptions, GatewayProcess, ScriptedResponse, TestCounter, TestDiscovery, TestEndpoint,
    in_service,
};
use load::{LOAD_BEFORE_SIGTERM, Load, Outcome, RequestLog, SentRequest};
use scenario::{LaterSignal, Scenario, Signal};
use std::collections::HashMap;
use std::process::ExitStatus;
use std::sync::Arc;
use tokio::time::{Instant, sleep_until, timeout_at};

const CONCURRENT_SCENARIOS: usize = 3;

/// The result of one scenario.
struct ScenarioResult {
    violations: Vec<String>,
    request_count: usize,
    reused_closed: usize,
}

async fn start_endpoints(scenario: &Scenario) -> Vec<TestEndpoint> {
    let count = scenario.endpoint_count;
    let mut endpoints = Vec::new();
    for n in 0..count {
        let delay = scenario.deadline.mul_f64(0.8 * scenario.slowness * n as f64 / count as f64);
        let response = ScriptedResponse::ok_after(delay.as_millis() as u64, "x");
        endpoints.push(TestEndpoint::responding(response).await);
    }
    endpoints
}

fn gateway_options(scenario: &Scenario, endpoints: &[TestEndpoint]) -> GatewayOptions {
    let named = endpoints.iter().enumerate();
    let entries: Vec<_> = named.map(|(n, endpoint)| in_service(&format!("b{n}"), endpoint.address)).collect();
    let options = GatewayOptions {
        refill_rate: 100_000.0,
        burst: 100_000.0,
        max_sockets: scenario.max_sockets,
        config_edits: vec![ConfigEdit::new(
            r#""goal-time-ms":800"#,
            format!(r#""goal-time-ms":800,"hard-limit-ms":{}"#, scenario.deadline.as_millis()),
        )],
        ..GatewayOptions::with_entries(&entries)
    };
    options.with_faults(&scenario.system_call_faults)
}

/// Sends SIGTERM and the later signals. Returns the exit status if the gateway exits before the kill.
async fn shut_down(
    gateway: &mut GatewayProcess, scenario: &Scenario, sigterm: Instant, kill: Instant,
) -> Option<ExitStatus> {
    gateway.send_sigterm();
    for LaterSignal { after, signal } in &scenario.signals {
        tokio::select! {
            status = gateway.wait_for_exit() => return Some(status),
            () = sleep_until((sigterm + *after).min(kill)) => {}
        }
        match signal {
            Signal::Terminate => gateway.send_sigterm(),
            Signal::Hangup => gateway.send_sighup(),
        }
    }
    timeout_at(kill, gateway.wait_for_exit()).await.ok()
}

async fn run_scenario(scenario: &Scenario) -> ScenarioResult {
    let endpoints = start_endpoints(scenario).await;
    let discovery = TestDiscovery::start().await;
    let counter = TestCounter::start(scenario.counter).await;
    let options = gateway_options(scenario, &endpoints);
    let mut gateway = GatewayProcess::start(discovery.address, counter.address, &options).await;
    let sigterm = Instant::now() + LOAD_BEFORE_SIGTERM;
    let kill = sigterm + scenario.kill_after();
    let log = Arc::<RequestLog>::default();
    let load = Load {
        gateway: gateway.address,
        log: log.clone(),
        deadline: scenario.deadline,
        sigterm,
        last_connect: sigterm + scenario.connects_after_sigterm,
        kill,
    };

    let clients = load.start_clients(scenario);
    sleep_until(sigterm).await;
    for endpoint in &endpoints[..scenario.unresponsive_endpoints] {
        endpoint.set_script(&[ScriptedResponse::NoResponse]);
    }
    let exit = shut_down(&mut gateway, scenario, sigterm, kill).await;
    sleep_until(kill).await;
    drop(gateway);

    let mut violations = Vec::new();
    for client in clients {
        if let Err(error) = client.await {
            violations.push(format!("client task failed: {error}"));
        }
    }
    if let Some(status) = exit.filter(|status| status.code() != Some(0)) {
        violations.push(format!("gateway exited with {status}"));
    }
    violations.extend(find_violations(&log, &endpoints));
    let reused_closed = log.count(Outcome::ReusedConnectionClosed);
    ScenarioResult { violations, request_count: log.len(), reused_closed }
}

/// The attempts of one request that reached endpoints.
struct Attempts {
    request_line: String,
    count: usize,
}

fn attempts_by_request_id(endpoints: &[TestEndpoint]) -> HashMap<String, Attempts> {
    let mut attempts = HashMap::new();
    for endpoint in endpoints {
        for request in endpoint.requests() {
            let id = request.headers["req-id"].clone();
            let new = Attempts { request_line: request.start_line, count: 0 };
            attempts.entry(id).or_insert(new).count += 1;
        }
    }
    attempts
}

/// Finds requests that were lost, and non-idempotent requests that were forwarded more than once.
fn find_violations(log: &RequestLog, endpoints: &[TestEndpoint]) -> Vec<String> {
    let attempts = attempts_by_request_id(endpoints);
    let mut violations = Vec::new();
    for SentRequest { id, before_kill, connection, outcome } in
        log.requests.lock().expect("lock poisoned").iter()
    {
        let was_forwarded = attempts.contains_key(id);
        let is_lost = match outcome {
            Outcome::Answered => false,
            Outcome::ReusedConnectionClosed | Outcome::UnusedConnectionClosed => was_forwarded,
            Outcome::NewConnectionClosed | Outcome::Unanswered => true,
        };
        if is_lost {
            violations.push(format!(
                "{id}: {outcome:?}, sent {before_kill:?} before the kill, connection: {connection:?}, \
                 forwarded: {was_forwarded}"
            ));
        }
    }
    for (id, Attempts { request_line, count }) in attempts {
        if request_line.contains("/order/") && count > 1 {
            violations.push(format!("{id}: {request_line} was forwarded {count} times"));
        }
    }
    violations
}

/// Reads the seeds from `SOAK_SEEDS`, which has the form FIRST-LAST.
fn seeds() -> Vec<u64> {
    let range = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "1-12".into());
    let (first, last) = range.split_once('-').expect("SOAK_SEEDS must have the form FIRST-LAST");
    (first.parse().expect("invalid first seed")..=last.parse().expect("invalid last seed")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdowns_under_load_lose_no_request() {
    let mut failed = Vec::new();
    let mut request_count = 0;
    let mut reused_closed = 0;
    for seeds in seeds().chunks(CONCURRENT_SCENARIOS) {
        let run = |seed: &u64| {
            let scenario = Scenario::from_seed(*seed);
            tokio::spawn(async move { (run_scenario(&scenario).await, scenario) })
        };
        let runs: Vec<_> = seeds.iter().map(run).collect();
        for run in runs {
            let (result, scenario) = run.await.expect("scenario task failed");
            println!(
                "seed {}: {} requests, {} on closed reused connections, {} violations",
                scenario.seed,
                result.request_count,
                result.reused_closed,
                result.violations.len()
            );
            request_count += result.request_count;
            reused_closed += result.reused_closed;
            if !result.violations.is_empty() {
                failed.push(format!("{scenario:?}: {:#?}", result.violations));
            }
        }
    }

    println!(
        "{request_count} requests, {reused_closed} on closed reused connections, {} scenarios failed",
        failed.len()
    );
    assert!(request_count > 0 && failed.is_empty(), "{}", failed.join("\n"));
}
