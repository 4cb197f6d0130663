//! The memory limit: whatever clients send, the gateway stays below it, answers its other clients, and ends
//! every bad request with an error or a close.

mod common;

use common::{
    Class, ConfigEdit, CounterBehavior, GatewayOptions, GatewayProcess, RequestBuilder, TestClient,
    TestEndpoint, TestEnvironment, idempotent_request, sleep_ms, within_timeout,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use tokio::io::AsyncWriteExt;
use tokio::task::JoinHandle;

/// The smallest limit that deployments have, in MB.
const MEMORY_LIMIT_MB: u64 = 32;
const BYTES_PER_MB: u64 = 1_000_000;
const BYTES_PER_KIB: u64 = 1024;
/// The resident pages of a release build's program file and libraries, in KiB, rounded up. Those of the test
/// build, which is larger, are not counted.
const PROGRAM_FILE_KIB: u64 = 4096;
const DEADLINE_MS: u64 = 900;
const MAX_BODY_BYTES: usize = 64 * 1024;
const CHUNKS_PER_WRITE: usize = 10;

fn options_with_memory_limit(endpoint: &TestEndpoint) -> GatewayOptions {
    let mut options = GatewayOptions::with_endpoint(endpoint.address);
    let limit = format!(r#""limits":{{"memory_mb":{MEMORY_LIMIT_MB},"#);
    options.config_edits.push(ConfigEdit::new(r#""limits":{"#, limit));
    options
}

/// The head of a request with a body, whose framing is given by this header line.
fn head_with_body(framing: &str) -> String {
    RequestBuilder::new(Class::NonIdempotent, DEADLINE_MS).build().replace("Content-Length: 0\r\n", framing)
}

/// Sends requests of a well-behaved client, and records the memory of the gateway, until `stopped`. Returns
/// the maximum, in KiB, with the pages of the program's file.
async fn observe_while_requesting(gateway: &GatewayProcess, stopped: &AtomicBool) -> u64 {
    let mut max_anonymous_kib = 0;
    while !stopped.load(SeqCst) {
        let response = gateway.request(&idempotent_request(DEADLINE_MS)).await;
        assert_eq!(response.status(), 200);
        for _ in 0..10 {
            max_anonymous_kib = max_anonymous_kib.max(gateway.anonymous_memory_kib());
            sleep_ms(2).await;
        }
    }
    max_anonymous_kib + PROGRAM_FILE_KIB
}

/// Runs bad clients until all have ended. Checks that the gateway stays below its limit and serves another
/// client meanwhile.
async fn check_memory_while(env: &TestEnvironment, bad_clients: Vec<JoinHandle<()>>) {
    let stopped = AtomicBool::new(false);
    let all_ended = async {
        for client in bad_clients {
            within_timeout("the end of a bad client", client).await.expect("a bad client failed");
        }
        stopped.store(true, SeqCst);
    };
    let (max_kib, ()) = tokio::join!(observe_while_requesting(&env.gateway, &stopped), all_ended);

    let limit_kib = MEMORY_LIMIT_MB * BYTES_PER_MB / BYTES_PER_KIB;
    assert!(max_kib <= limit_kib, "{max_kib} KiB of {limit_kib}");
}

/// Sends a body of one-byte chunks, which exceeds the limit on bodies, and expects an error or a close. Pauses
/// between writes, so that the gateway reads each on its own.
async fn send_one_byte_chunks(gateway: SocketAddr) {
    let mut client = TestClient::connect(gateway).await;
    client.stream.get_ref().set_nodelay(true).expect("failed to set TCP_NODELAY");
    client.write(&head_with_body("Transfer-Encoding: chunked\r\n")).await;
    let chunks = "1\r\nx\r\n".repeat(CHUNKS_PER_WRITE);
    for _ in 0..=MAX_BODY_BYTES / CHUNKS_PER_WRITE {
        if client.stream.write_all(chunks.as_bytes()).await.is_err() {
            return;
        }
        sleep_ms(1).await;
    }
    if let Some(response) = client.read_response_or_close().await {
        assert_eq!(response.status(), 413);
    }
}

/// Sends the bytes of a body one by one until the gateway closes the connection.
async fn send_single_bytes(gateway: SocketAddr) {
    let mut client = TestClient::connect(gateway).await;
    client.stream.get_ref().set_nodelay(true).expect("failed to set TCP_NODELAY");
    client.write(&head_with_body(&format!("Content-Length: {MAX_BODY_BYTES}\r\n"))).await;
    while client.stream.write_all(b"x").await.is_ok() {
        sleep_ms(1).await;
    }
}

// Guards against a gateway that is killed for memory: each chunk held 32 bytes besides its own, and each read
// the library's read buffer of 8 KiB.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_one_byte_chunks_keep_the_process_below_its_memory_limit() {
    let endpoint = TestEndpoint::ok("x").await;
    let env = TestEnvironment::start(&options_with_memory_limit(&endpoint), CounterBehavior::Add).await;

    let bad_clients = (0..20).map(|_| tokio::spawn(send_one_byte_chunks(env.gateway.address))).collect();

    check_memory_while(&env, bad_clients).await;
}

// Guards against the same for bodies that arrive in single bytes: each held a read buffer of 8 KiB.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_received_byte_by_byte_keep_the_process_below_its_memory_limit() {
    let endpoint = TestEndpoint::ok("x").await;
    let env = TestEnvironment::start(&options_with_memory_limit(&endpoint), CounterBehavior::Add).await;

    let bad_clients = (0..20).map(|_| tokio::spawn(send_single_bytes(env.gateway.address))).collect();

    check_memory_while(&env, bad_clients).await;
}
