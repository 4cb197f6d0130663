//! Reads HTTP/1.1 messages with a length.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;
use std::time::Instant;

pub struct Message {
    pub start_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// When the first byte was read.
    pub began_at: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` at the end of the connection or in the middle of a message.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    if stream.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let began_at = Instant::now();
    let mut start_line = String::new();
    stream.read_line(&mut start_line)?;
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(Some(Message { start_line: start_line.trim_end().to_owned(), headers, body, began_at }))
}

/// An answer with a body of known length.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len())
}
