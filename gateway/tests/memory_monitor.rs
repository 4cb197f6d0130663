//! The part of the memory that requests leave to the responses of requests in progress.

use hyper::Request;
use ryefront_gateway::http_connection::{Connection, ExchangeLimits};
use ryefront_gateway::memory::MemoryMonitor;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The smallest limit that deployments have.
const MAX_MEMORY_BYTES: u64 = 32_000_000;
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Responses of the maximum size that find memory while requests fill all that they may.
const RESPONSES_IN_MEMORY: usize = 10;
/// Far longer than a response takes that does not wait for memory.
const TIMEOUT: Duration = Duration::from_secs(20);

/// The heap in use, as far as the monitor knows.
static HEAP_BYTES_IN_USE: AtomicUsize = AtomicUsize::new(0);

fn heap_bytes_in_use() -> usize {
    HEAP_BYTES_IN_USE.load(SeqCst)
}

/// Lets requests fill all of the heap that they may. Returns its size.
fn fill_with_requests(memory: &MemoryMonitor) -> usize {
    let mut low = 0;
    let mut high = MAX_MEMORY_BYTES as usize;
    while high - low > 1 {
        let middle = low.midpoint(high);
        HEAP_BYTES_IN_USE.store(middle, SeqCst);
        if memory.excess_bytes_of_requests() == 0 {
            low = middle;
        } else {
            high = middle;
        }
    }
    HEAP_BYTES_IN_USE.store(low, SeqCst);
    low
}

/// Starts an endpoint that responds once, with a body of the maximum size.
async fn start_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
    let address = listener.local_addr().expect("listener has no address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("failed to accept");
        let _ = stream.read(&mut [0; 1024]).await.expect("failed to read the request");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("failed to write the head");
        stream.write_all(&vec![b'x'; MAX_BODY_BYTES]).await.expect("failed to write the body");
    });
    address
}

// Guards against a request in progress that fails as its response finds no memory in time: new requests took all that
// others had freed.
#[tokio::test]
async fn responses_find_memory_while_requests_fill_all_that_they_may() {
    let memory = Rc::new(MemoryMonitor::new(MAX_MEMORY_BYTES, heap_bytes_in_use));
    let filled_by_requests = fill_with_requests(&memory);
    HEAP_BYTES_IN_USE.store(filled_by_requests + (RESPONSES_IN_MEMORY - 1) * MAX_BODY_BYTES, SeqCst);
    let mut connection =
        Connection::connect(start_endpoint().await, TIMEOUT).await.expect("failed to connect");
    let limits = ExchangeLimits {
        max_body_bytes: MAX_BODY_BYTES,
        response_timeout: TIMEOUT,
        write_deadline: None,
        memory,
    };
    let request = Request::get("/").header("host", "x").body(Default::default()).expect("a request");

    let response = connection.exchange(request, limits).await.expect("a response");

    assert_eq!(response.body().len(), MAX_BODY_BYTES);
}
