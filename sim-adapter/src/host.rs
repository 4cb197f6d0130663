//! Batches in, replies out, and the gateway instances in between.

use crate::decode::{self, DecodeError, ListKind, Message};
use crate::encode::write_action;
use crate::wire;
use ryefront_policy::{Action, EndpointEntry, Event, Millis, PolicyEngine, Settings, SettingsError};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// Why the host stopped before the end of the input.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// A line cannot be used.
    #[error("line {number}: {cause}")]
    Line {
        /// The line's number, from 1.
        number: u64,
        /// Why.
        cause: LineError,
    },
    /// The input ended inside a batch.
    #[error("line {number}: input ended inside a batch")]
    UnexpectedEnd {
        /// The number of the last line.
        number: u64,
    },
    /// Reading or writing failed.
    #[error("input or output: {0}")]
    Io(#[from] std::io::Error),
}

/// Why a line cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// It cannot be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The policy rejects the settings of an instance.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// It names an instance that is not running.
    #[error("gateway {0} was never started")]
    UnknownInstance(u64),
    /// It names an endpoint table that was not sent.
    #[error("no such list of endpoints")]
    UnknownTable,
}

/// Whether more lines of a batch follow.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BatchProgress {
    Incomplete,
    Complete,
}

/// The endpoint tables of the process, by their number.
#[derive(Default)]
struct Tables {
    entries: BTreeMap<u64, Vec<EndpointEntry>>,
    /// The table whose rows are being read.
    unfinished: Option<UnfinishedTable>,
}

struct UnfinishedTable {
    number: u64,
    /// At least 1.
    remaining_rows: usize,
}

impl Tables {
    /// Replaces a table, of which `row_count` rows follow.
    fn begin(&mut self, number: u64, row_count: usize) {
        self.entries.insert(number, Vec::new());
        self.unfinished = (row_count > 0).then_some(UnfinishedTable { number, remaining_rows: row_count });
    }

    fn add_row(&mut self, entry: EndpointEntry) {
        let Some(table) = &mut self.unfinished else { return };
        self.entries.entry(table.number).or_default().push(entry);
        table.remaining_rows -= 1;
        if table.remaining_rows == 0 {
            self.unfinished = None;
        }
    }

    fn get(&self, number: Option<u64>) -> Result<&[EndpointEntry], LineError> {
        let entries = number.and_then(|number| self.entries.get(&number));
        entries.map(Vec::as_slice).ok_or(LineError::UnknownTable)
    }
}

/// All gateway instances that one process hosts.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, PolicyEngine>,
    tables: Tables,
    /// The clock of the batch that is being read.
    now: Option<Millis>,
    reply: String,
    actions: Vec<Action>,
}

impl Host {
    /// Reads batches until the input ends and replies to each.
    ///
    /// # Errors
    /// On the first line that cannot be used, and when the input ends inside a batch.
    pub fn run(&mut self, input: &mut impl BufRead, output: &mut impl Write) -> Result<(), HostError> {
        let mut bytes = Vec::new();
        let mut number = 0;
        loop {
            bytes.clear();
            if input.read_until(b'\n', &mut bytes)? == 0 {
                return if self.now.is_some() { Err(HostError::UnexpectedEnd { number }) } else { Ok(()) };
            }
            number += 1;
            let progress = self.handle_line(&bytes).map_err(|cause| HostError::Line { number, cause })?;
            if progress == BatchProgress::Complete {
                self.send_reply(output)?;
            }
        }
    }

    fn handle_line(&mut self, bytes: &[u8]) -> Result<BatchProgress, LineError> {
        let line = std::str::from_utf8(bytes).map_err(|_| DecodeError::NotUtf8)?;
        let line = line.trim_end_matches(['\n', '\r']);
        if self.tables.unfinished.is_some() {
            self.tables.add_row(decode::table_row(line)?);
            return Ok(BatchProgress::Incomplete);
        }
        let Some(now) = self.now else {
            self.now = Some(decode::batch_start(line)?);
            return Ok(BatchProgress::Incomplete);
        };
        match decode::message(line)? {
            Message::BatchEnd => {
                self.now = None;
                return Ok(BatchProgress::Complete);
            }
            Message::Table { number, row_count } => self.tables.begin(number, row_count),
            Message::InstanceStarted { instance, seed, settings } => self.start(instance, seed, *settings)?,
            Message::InstanceStopped { instance } => self.stop(instance)?,
            Message::EndpointList { instance, kind, table } => {
                let entries = self.tables.get(table)?.to_vec();
                let event = match kind {
                    ListKind::Snapshot => Event::EndpointSnapshot(entries),
                    ListKind::Delta => Event::EndpointDelta(entries),
                };
                self.handle_event(now, instance, event)?;
            }
            Message::Event { instance, event } => self.handle_event(now, instance, event)?,
        }
        Ok(BatchProgress::Incomplete)
    }

    fn start(&mut self, instance: u64, seed: u64, settings: Settings) -> Result<(), LineError> {
        let engine = PolicyEngine::new(settings, seed)?;
        self.instances.insert(instance, engine);
        Ok(())
    }

    fn stop(&mut self, instance: u64) -> Result<(), LineError> {
        self.instances.remove(&instance).map(drop).ok_or(LineError::UnknownInstance(instance))
    }

    /// Passes an event to its instance and appends the actions to the reply.
    fn handle_event(&mut self, now: Millis, instance: u64, event: Event) -> Result<(), LineError> {
        let engine = self.instances.get_mut(&instance).ok_or(LineError::UnknownInstance(instance))?;
        engine.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            write_action(&mut self.reply, instance, &action);
        }
        Ok(())
    }

    fn send_reply(&mut self, output: &mut impl Write) -> std::io::Result<()> {
        self.reply.push_str(wire::REPLY_END);
        self.reply.push('\n');
        output.write_all(self.reply.as_bytes())?;
        output.flush()?;
        self.reply.clear();
        Ok(())
    }
}
