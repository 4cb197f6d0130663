//! The memory that a response holds while it is received. A test binary of its own, as it measures the whole
//! heap of its process.

use cap::Cap;
use hyper::Request;
use ryefront_gateway::http_connection::{Connection, ExchangeLimits};
use ryefront_gateway::memory::MemoryMonitor;
use std::alloc::System;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, yield_now};

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

const BODY_BYTES: usize = 1000;
/// The read and write buffers of the HTTP library, the body twice, and the runtime.
const MAX_HEAP_GROWTH: usize = 128 * 1024;
const TIMEOUT: Duration = Duration::from_secs(60);

/// Reads a request and sends a response whose body is written byte by byte. Each byte is read before the next
/// is written, as both ends run on one thread. Returns by how many bytes the heap grew from the first to the
/// last byte, at most.
async fn respond_byte_by_byte(mut stream: TcpStream, max_growth: Rc<Cell<usize>>) {
    stream.set_nodelay(true).expect("failed to set TCP_NODELAY");
    let _ = stream.read(&mut [0; 1024]).await.expect("failed to read the request");
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("failed to write the head");
    let before = ALLOCATOR.allocated();
    for _ in 0..BODY_BYTES {
        stream.write_all(b"x").await.expect("failed to write the body");
        for _ in 0..20 {
            yield_now().await;
        }
        let growth = ALLOCATOR.allocated().saturating_sub(before);
        max_growth.set(max_growth.get().max(growth));
    }
}

// Guards against an endpoint or discovery service whose response arrives in small pieces and makes the gateway
// hold 8 KiB for each of them.
#[tokio::test]
async fn response_received_byte_by_byte_holds_little_more_than_its_length() {
    let max_growth = Rc::<Cell<usize>>::default();
    let observed = max_growth.clone();
    let exchange = async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
        let address = listener.local_addr().expect("listener has no address");
        let mut connection = Connection::connect(address, TIMEOUT).await.expect("failed to connect");
        let (stream, _) = listener.accept().await.expect("failed to accept");
        tokio::task::spawn_local(respond_byte_by_byte(stream, observed));
        let limits = ExchangeLimits {
            max_body_bytes: BODY_BYTES,
            response_timeout: TIMEOUT,
            write_deadline: None,
            memory: Rc::new(MemoryMonitor::unlimited()),
        };
        let request = Request::get("/").header("host", "x").body(Default::default()).expect("a request");
        connection.exchange(request, limits).await.expect("a response")
    };

    let response = LocalSet::new().run_until(exchange).await;

    assert_eq!(response.body().len(), BODY_BYTES);
    assert!(max_growth.get() <= MAX_HEAP_GROWTH, "the heap grew by {} bytes", max_growth.get());
}
