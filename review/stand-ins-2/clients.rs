//! Clients: the usual ones, which follow the protocol, and ones that stop in the middle of a request.

use crate::http;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// What a client's request ended with.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// A whole answer.
    Answer { status: u16, body: String },
    /// The connection ended without a whole answer.
    Closed,
    /// Neither, by the time at which the client stopped watching.
    Nothing,
}

/// A request that was made.
pub struct Made {
    pub ending: Ending,
    /// When the last byte was written.
    pub sent_at: Instant,
    pub ended_at: Instant,
}

/// A request that may be repeated, with a new id for each call.
pub fn safe_request(
    class: &str, plan: &str, id: &str, customer: u64, spread: u32, deadline: Duration,
) -> String {
    format!(
        "GET /{class}/bins HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nApi-Plan: {plan}\r\n\
         Api-Customer: {customer:016x}\r\nReq-Deadline-Ms: {}\r\nApi-Terms: units=1,spread={spread},first=0\r\n\r\n",
        deadline.as_millis()
    )
}

/// Sends a request on a new connection and watches until `watch` after its last byte.
pub fn request(gateway: SocketAddr, text: &str, watch: Duration) -> io::Result<Made> {
    let mut stream = TcpStream::connect(gateway)?;
    stream.set_nodelay(true)?;
    stream.write_all(text.as_bytes())?;
    let sent_at = Instant::now();
    stream.set_read_timeout(Some(watch))?;
    let ending = match http::read(&mut BufReader::new(stream)) {
        Ok(Some(answer)) => Ending::Answer {
            status: answer.status(),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        },
        Ok(None) => Ending::Closed,
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            Ending::Nothing
        }
        Err(_) => Ending::Closed,
    };
    Ok(Made { ending, sent_at, ended_at: Instant::now() })
}

/// Sends half a request and stays until the gateway answers or closes. Returns how long that took.
pub fn half_request(gateway: SocketAddr, stay: Duration) -> io::Result<Duration> {
    let began_at = Instant::now();
    let mut stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(5))?;
    stream.set_read_timeout(Some(stay))?;
    stream.write_all(b"GET /record-read/bins HTTP/1.1\r\nHost: service.internal\r\nReq-Id: 9b1f03")?;
    let mut answer = [0; 512];
    let _ = stream.read(&mut answer);
    Ok(began_at.elapsed())
}

/// A request with a key and a body.
pub fn keyed_request(
    class: &str, plan: &str, id: &str, customer: u64, spread: u32, deadline: Duration, body_bytes: usize,
) -> String {
    format!(
        "POST /{class}/bins HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nApi-Plan: {plan}\r\n\
         Api-Customer: {customer:016x}\r\nReq-Deadline-Ms: {}\r\nIdempotency-Key: key-{id}\r\n\
         Api-Terms: units=1,spread={spread},first=0\r\nContent-Length: {body_bytes}\r\n\r\n{}",
        deadline.as_millis(),
        "p".repeat(body_bytes)
    )
}
