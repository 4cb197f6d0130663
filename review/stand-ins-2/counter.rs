//! The count keeper: `ADDGET` and `PING` over RESP2.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

type Totals = Arc<Mutex<HashMap<String, (f64, Instant)>>>;

/// Starts a counter and returns its address.
pub fn start() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let totals = Totals::default();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let totals = totals.clone();
            thread::spawn(move || serve(stream, &totals));
        }
    });
    Ok(address)
}

fn serve(stream: TcpStream, totals: &Totals) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(call) = read_call(&mut input)? {
        match call.as_slice() {
            [verb, name, amount, life] if verb == "ADDGET" => {
                let total = add(totals, name, amount.parse().unwrap_or(0.0), life.parse().unwrap_or(1.0));
                let total = total.to_string();
                write!(output, "${}\r\n{total}\r\n", total.len())?;
            }
            [verb] if verb == "PING" => output.write_all(b"+PONG\r\n")?,
            _ => output.write_all(b"-ERR no such call\r\n")?,
        }
    }
    Ok(())
}

fn add(totals: &Totals, name: &str, amount: f64, life_ms: f64) -> f64 {
    let now = Instant::now();
    let life = Duration::from_millis(life_ms.clamp(1.0, 60_000.0) as u64);
    let mut totals = totals.lock().expect("lock poisoned");
    let entry = totals.entry(name.to_owned()).or_insert((0.0, now + life));
    if entry.1 <= now {
        *entry = (0.0, now + life);
    }
    entry.0 += amount;
    entry.0
}

fn read_call(input: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<String>>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let count: usize = line.trim_start_matches('*').trim_end().parse().unwrap_or(0);
    let mut words = Vec::new();
    for _ in 0..count {
        let (mut length, mut word) = (String::new(), String::new());
        input.read_line(&mut length)?;
        input.read_line(&mut word)?;
        words.push(word.trim_end().to_owned());
    }
    Ok(Some(words))
}
