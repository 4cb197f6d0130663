//! A pick server: answers each request after some work, and notes when each request began to arrive.

use crate::http;
use crate::record::Record;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One request that reached a pick server.
#[derive(Clone)]
pub struct Attempt {
    pub id: String,
    pub began_at: Instant,
}

#[derive(Clone)]
pub struct PickServer {
    pub name: String,
    pub address: SocketAddr,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    /// Every so many answers, one has a length that is too short; 0 for none.
    short_length_every: Arc<AtomicUsize>,
}

impl PickServer {
    pub fn start(name: &str, work: Duration, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            attempts: Arc::default(),
            short_length_every: Arc::default(),
        };
        let (accepting, record) = (server.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, record) = (accepting.clone(), record.clone());
                thread::spawn(move || server.serve(stream, work, &record));
            }
        });
        Ok(server)
    }

    /// The requests that have reached it so far.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.attempts.lock().expect("lock poisoned").clone()
    }

    /// From now on, one in so many answers has a length of half its body.
    pub fn spoil_lengths(&self, every: usize) {
        self.short_length_every.store(every, SeqCst);
    }

    fn serve(&self, stream: TcpStream, work: Duration, record: &Record) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut output = stream.try_clone()?;
        let mut input = BufReader::new(stream);
        while let Some(request) = http::read(&mut input)? {
            let id = request.header("req-id").to_owned();
            let told = request.header("req-deadline-ms").to_owned();
            let attempt = Attempt { id: id.clone(), began_at: request.began_at };
            let number = {
                let mut attempts = self.attempts.lock().expect("lock poisoned");
                attempts.push(attempt);
                attempts.len()
            };
            thread::sleep(work);
            record.line(format!(
                "{}: ran {id}, begun at {} ms, told {told} ms",
                self.name,
                record.ms(request.began_at)
            ));
            let body = answer_body(&id);
            let every = self.short_length_every.load(SeqCst);
            if every > 0 && number.is_multiple_of(every) {
                let length = body.len() / 2;
                record.line(format!("{}: {id}: spoilt, its length is {length} of {}", self.name, body.len()));
                let spoilt = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
                output.write_all(spoilt.as_bytes())?;
                // The connection stays open, but cannot be used any more.
                let _ = input.fill_buf();
                return Ok(());
            }
            output.write_all(http::answer("200 OK", "", &body).as_bytes())?;
        }
        Ok(())
    }
}

/// The body of the answer that is made for a request.
pub fn answer_body(id: &str) -> String {
    format!("picked: shelf 7, bin 12; next: shelf 9, bin 31; request {id}\n")
}
