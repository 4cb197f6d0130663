//! A minimal HTTP/1.1 message reader for the test servers and clients.

use std::collections::HashMap;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::TcpStream;

/// A request or a response.
#[derive(Clone, Debug)]
pub(crate) struct HttpMessage {
    /// The request line or the status line.
    pub(crate) start_line: String,
    /// Header values, keyed by the lowercase header name.
    pub(crate) headers: HashMap<String, String>,
    pub(crate) body: Vec<u8>,
}

impl HttpMessage {
    /// The status code of a response.
    pub(crate) fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .expect("status line has no status code")
    }
}

/// Reads one message. Returns `None` if the connection closes before the message is complete.
pub(crate) async fn read_message(stream: &mut BufReader<TcpStream>) -> Option<HttpMessage> {
    let mut start_line = String::new();
    if stream.read_line(&mut start_line).await.ok()? == 0 {
        return None;
    }
    let headers = read_headers(stream).await?;
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(HttpMessage { start_line: start_line.trim_end().to_owned(), headers, body })
}

async fn read_headers(stream: &mut BufReader<TcpStream>) -> Option<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut header = String::new();
        stream.read_line(&mut header).await.ok()?;
        let Some((name, value)) = header.trim_end().split_once(':') else { return Some(headers) };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

/// A 200 response with this body.
pub(crate) fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}
