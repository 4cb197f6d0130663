//! The record of a run: one line for each thing that was sent, answered or run, with its time.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record that all threads of a case write to.
#[derive(Clone)]
pub struct Record {
    began_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { began_at: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Milliseconds since the start of the run.
    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.began_at).as_millis()
    }

    pub fn line(&self, text: String) {
        let at = self.ms(Instant::now());
        let mut file = self.file.lock().expect("lock poisoned");
        let _ = writeln!(file, "{at:>6} ms  {text}");
    }
}
