//! A fake endpoint that records requests and sends scripted responses.

use super::{HttpMessage, read_message, sleep_ms};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// The interval between two writes of [`ScriptedResponse::WriteRepeatedly`].
const REPEAT_INTERVAL_MS: u64 = 10;

/// A part of a response, written after a delay.
#[derive(Clone, Debug)]
pub(crate) struct ResponsePart {
    /// The delay before the text is written.
    pub(crate) delay_ms: u64,
    pub(crate) text: &'static str,
}

/// How an endpoint responds to one request.
#[derive(Clone, Debug)]
pub(crate) enum ScriptedResponse {
    Write(String),
    WriteAfter {
        delay_ms: u64,
        text: String,
    },
    WriteAndClose(String),
    WriteAndReset(String),
    WriteInTwoParts {
        first: String,
        delay_ms: u64,
        second: String,
    },
    WriteInParts(Vec<ResponsePart>),
    /// Writes the text repeatedly until the connection closes.
    WriteRepeatedly(String),
    NoResponse,
}

impl ScriptedResponse {
    /// A 200 response with this body.
    pub(crate) fn ok(body: &str) -> Self {
        Self::Write(super::ok_response(body))
    }

    /// A 200 response with this body, sent after a delay.
    pub(crate) fn ok_after(delay_ms: u64, body: &str) -> Self {
        Self::WriteAfter { delay_ms, text: super::ok_response(body) }
    }

    /// Closes the connection without a response.
    pub(crate) fn close() -> Self {
        Self::WriteAndClose(String::new())
    }
}

/// Whether an endpoint continues to read requests from a connection.
enum ConnectionState {
    Open,
    Closed,
}

#[derive(Default)]
struct State {
    requests: Mutex<Vec<HttpMessage>>,
    script: Mutex<Vec<ScriptedResponse>>,
    connections_opened: AtomicU32,
    connections_closed: AtomicU32,
}

/// An endpoint that records each request and responds as scripted. The last response of the script repeats.
pub(crate) struct TestEndpoint {
    pub(crate) address: SocketAddr,
    state: Arc<State>,
}

impl TestEndpoint {
    /// Starts an endpoint on an ephemeral port.
    pub(crate) async fn start(script: &[ScriptedResponse]) -> Self {
        Self::serve(TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port"), script)
    }

    /// Starts an endpoint that sends the same response to every request.
    pub(crate) async fn responding(response: ScriptedResponse) -> Self {
        Self::start(&[response]).await
    }

    /// Starts an endpoint that sends a 200 response with this body to every request.
    pub(crate) async fn ok(body: &str) -> Self {
        Self::responding(ScriptedResponse::ok(body)).await
    }

    pub(crate) fn serve(listener: TcpListener, script: &[ScriptedResponse]) -> Self {
        let address = listener.local_addr().expect("listener has no address");
        let state = Arc::new(State { script: Mutex::new(script.to_vec()), ..State::default() });
        tokio::spawn(state.clone().accept_connections(listener));
        Self { address, state }
    }

    pub(crate) fn set_script(&self, script: &[ScriptedResponse]) {
        *self.state.script.lock().expect("lock poisoned") = script.to_vec();
    }

    /// All requests received so far.
    pub(crate) fn requests(&self) -> Vec<HttpMessage> {
        self.state.requests.lock().expect("lock poisoned").clone()
    }

    /// The number of requests received so far.
    pub(crate) fn request_count(&self) -> usize {
        self.state.requests.lock().expect("lock poisoned").len()
    }

    /// The number of received requests whose request line contains this text.
    pub(crate) fn requests_containing(&self, text: &str) -> usize {
        let requests = self.state.requests.lock().expect("lock poisoned");
        requests.iter().filter(|request| request.start_line.contains(text)).count()
    }

    /// Whether the request line of the last request contains this text.
    pub(crate) fn last_request_contains(&self, text: &str) -> bool {
        let requests = self.state.requests.lock().expect("lock poisoned");
        requests.last().is_some_and(|request| request.start_line.contains(text))
    }

    /// The number of connections accepted so far.
    pub(crate) fn connections_opened(&self) -> u32 {
        self.state.connections_opened.load(SeqCst)
    }

    /// The number of connections closed so far, by either side.
    pub(crate) fn connections_closed(&self) -> u32 {
        self.state.connections_closed.load(SeqCst)
    }
}

impl State {
    async fn accept_connections(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.connections_opened.fetch_add(1, SeqCst);
            tokio::spawn(self.clone().serve_connection(stream));
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Some(request) = read_message(&mut stream).await {
            self.requests.lock().expect("lock poisoned").push(request);
            if let ConnectionState::Closed = respond(&mut stream, self.next_response()).await {
                break;
            }
        }
        drop(stream);
        self.connections_closed.fetch_add(1, SeqCst);
    }

    fn next_response(&self) -> ScriptedResponse {
        let mut script = self.script.lock().expect("lock poisoned");
        if script.len() > 1 { script.remove(0) } else { script[0].clone() }
    }
}

async fn respond(stream: &mut BufReader<TcpStream>, response: ScriptedResponse) -> ConnectionState {
    match response {
        ScriptedResponse::Write(text) => write(stream, &text).await,
        ScriptedResponse::WriteAfter { delay_ms, text } => {
            sleep_ms(delay_ms).await;
            write(stream, &text).await;
        }
        ScriptedResponse::WriteInTwoParts { first, delay_ms, second } => {
            write(stream, &first).await;
            sleep_ms(delay_ms).await;
            write(stream, &second).await;
        }
        ScriptedResponse::WriteInParts(parts) => {
            for ResponsePart { delay_ms, text } in parts {
                sleep_ms(delay_ms).await;
                write(stream, text).await;
            }
        }
        ScriptedResponse::WriteAndReset(text) => {
            write(stream, &text).await;
            let socket = socket2::SockRef::from(stream.get_ref());
            socket.set_linger(Some(Duration::ZERO)).expect("failed to set SO_LINGER");
            return ConnectionState::Closed;
        }
        ScriptedResponse::WriteAndClose(text) => {
            write(stream, &text).await;
            return ConnectionState::Closed;
        }
        ScriptedResponse::WriteRepeatedly(text) => {
            while stream.write_all(text.as_bytes()).await.is_ok() {
                sleep_ms(REPEAT_INTERVAL_MS).await;
            }
            return ConnectionState::Closed;
        }
        ScriptedResponse::NoResponse => {}
    }
    ConnectionState::Open
}

/// Writes a text. A failure is ignored: the next read then reports that the connection is closed.
async fn write(stream: &mut BufReader<TcpStream>, text: &str) {
    stream.write_all(text.as_bytes()).await.unwrap_or(());
}
