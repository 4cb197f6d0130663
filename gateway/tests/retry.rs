//! When a further attempt may still be written, and what an answer in front of the answer does to it.

mod common;

use bytes::Bytes;
use common::{Do, Endpoint, Mood, Setup, World, hear, ok, pause, request, row};
use http_body_util::Full;
use ryefront_gateway::http_connection::{Connection, Progress};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Larger than any socket buffer.
const LARGE: usize = 64 << 20;

fn post(size: usize) -> hyper::Request<Full<Bytes>> {
    hyper::Request::post("/x").body(Full::from(vec![b'x'; size])).expect("a request")
}

#[tokio::test]
async fn what_is_not_written_whole_in_time_never_becomes_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let mut connection = Connection::connect(at, common::LONG).await.expect("a connection");
    let (mut peer, _) = listener.accept().await.expect("a connection");
    let by = Instant::now() + Duration::from_millis(200);
    let end = connection.exchange(post(LARGE), 100, common::LONG, Some(by)).await;
    assert_eq!(end.expect_err("given up"), Progress::Partly);
    assert!(Instant::now() >= by);
    drop(connection);
    // The reader wakes up when the time is over.
    let mut bytes = Vec::new();
    let _ = common::soon("the end", peer.read_to_end(&mut bytes)).await;
    assert!(bytes.len() < LARGE);
}

#[tokio::test]
async fn what_is_written_whole_in_time_has_all_of_its_time_for_the_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let mut connection = Connection::connect(at, common::LONG).await.expect("a connection");
    let answer = async {
        let (peer, _) = listener.accept().await.expect("a connection");
        let mut peer = BufReader::new(peer);
        hear(&mut peer).await.expect("a request");
        pause(600).await;
        peer.write_all(ok("x").as_bytes()).await.expect("written");
        peer
    };
    let by = Instant::now() + Duration::from_millis(300);
    let (end, _peer) = tokio::join!(connection.exchange(post(10), 100, common::LONG, Some(by)), answer);
    assert_eq!(end.expect("an answer").1, "x");
}

/// A server that answers each request in pieces, a pause before each.
async fn in_pieces(pieces: &'static [(u64, &'static str)]) -> (std::net::SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let (at, asked) = (listener.local_addr().expect("an address"), Arc::<AtomicUsize>::default());
    let count = asked.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let count = count.clone();
            tokio::spawn(async move {
                let mut stream = BufReader::new(stream);
                while hear(&mut stream).await.is_some() {
                    count.fetch_add(1, SeqCst);
                    for (ms, piece) in pieces {
                        pause(*ms).await;
                        let _ = stream.write_all(piece.as_bytes()).await;
                    }
                }
            });
        }
    });
    (at, asked)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_1xx_that_comes_in_pieces_goes_ahead_of_the_answer_by_any_time() {
    const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
    const WAYS: [&[(u64, &str)]; 3] = [
        &[(0, "HTTP/1.1 10"), (20, "2 Processing\r\n\r"), (20, "\n"), (600, ANSWER)],
        &[(0, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 1"), (20, "03 Hints\r\n\r\n"), (600, ANSWER)],
        &[(0, "HTTP/1.1 102 Processing\r\n\r\n"), (600, ANSWER)],
    ];
    for way in WAYS {
        let (at, asked) = in_pieces(way).await;
        let setup = Setup::knowing(&[row("a", at, "in_service")]);
        let world = World::set(&setup, Mood::Adds).await;
        let reply = world.gateway.client().await.ask(&request("order", 20_000, "", "b")).await;
        assert_eq!((reply.status(), asked.load(SeqCst)), (200, 1), "{way:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_1xx_then_a_reset_may_have_run_and_is_not_refused() {
    for text in ["HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 10", ""] {
        let endpoint = Endpoint::start(&[Do::SayAndReset(text.into()), Do::Say(ok("x"))]).await;
        let world = World::with(&[&endpoint]).await;
        let reply = world.gateway.client().await.ask(&request("order", 2000, "", "b")).await;
        assert_eq!((reply.status(), endpoint.attempts()), (502, 1), "{text:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn srv_declined_proves_nothing_on_other_statuses() {
    for status in ["500 Error", "429 Slow", "404 None", "200 OK"] {
        let text = format!("HTTP/1.1 {status}\r\nSrv-Declined: 1\r\nContent-Length: 1\r\n\r\nx");
        let endpoint = Endpoint::start(&[Do::Say(text)]).await;
        let world = World::with(&[&endpoint]).await;
        let reply = world.gateway.client().await.ask(&request("order", 2000, "", "b")).await;
        let expected = if status.starts_with("200") { 200 } else { 502 };
        assert_eq!((reply.status(), endpoint.attempts()), (expected, 1), "{status}");
    }
}
