//! Reads batches of events, passes them to the gateway instances, and writes their actions as replies.

use crate::decode::{self, DecodeError, ListKind, Message};
use crate::encode::write_action;
use crate::wire;
use ryefront_policy::{Action, EndpointEntry, Event, Millis, PolicyEngine, Settings, SettingsError};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};

/// An error that stops the host before the end of the input.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// A line is invalid.
    #[error("line {number}: {cause}")]
    Line {
        /// The number of the line, starting at 1.
        number: u64,
        /// The cause of the error.
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

/// The reason why a line is invalid.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line cannot be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The policy rejects the settings of an instance.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The line refers to an instance that is not running.
    #[error("instance {0} is not running")]
    UnknownInstance(u64),
    /// The line refers to an endpoint table that was not sent, or to none.
    #[error("unknown endpoint table")]
    UnknownTable,
}

/// Whether the batch continues after a line.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BatchProgress {
    Incomplete,
    Complete,
}

/// The endpoint tables received so far, which all instances share.
#[derive(Default)]
struct EndpointTables {
    tables: BTreeMap<u64, Vec<EndpointEntry>>,
    /// The table whose rows are being received.
    unfinished: Option<UnfinishedTable>,
}

/// An endpoint table with rows still to follow.
struct UnfinishedTable {
    number: u64,
    /// The number of rows still to follow, at least 1.
    remaining_rows: usize,
}

impl EndpointTables {
    /// Begins a table of `row_count` rows, which replaces any earlier table of the same number.
    fn begin(&mut self, number: u64, row_count: usize) {
        self.tables.insert(number, Vec::new());
        self.unfinished = (row_count > 0).then_some(UnfinishedTable { number, remaining_rows: row_count });
    }

    fn add_row(&mut self, entry: EndpointEntry) {
        let Some(table) = &mut self.unfinished else { return };
        self.tables.entry(table.number).or_default().push(entry);
        table.remaining_rows -= 1;
        if table.remaining_rows == 0 {
            self.unfinished = None;
        }
    }

    fn get(&self, number: Option<u64>) -> Result<&[EndpointEntry], LineError> {
        let entries = number.and_then(|number| self.tables.get(&number));
        entries.map(Vec::as_slice).ok_or(LineError::UnknownTable)
    }
}

/// Hosts any number of gateway instances in one process.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, PolicyEngine>,
    endpoint_tables: EndpointTables,
    /// The time of the current batch; `None` between batches.
    now: Option<Millis>,
    reply: String,
    actions: Vec<Action>,
}

impl Host {
    /// Reads batches until the input ends and writes a reply to each.
    ///
    /// # Errors
    /// When a line is invalid, the input ends inside a batch, or reading or writing fails.
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
        if self.endpoint_tables.unfinished.is_some() {
            self.endpoint_tables.add_row(decode::table_row(line)?);
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
            Message::Table { number, row_count } => self.endpoint_tables.begin(number, row_count),
            Message::InstanceStarted { instance, seed, settings } => {
                self.start_instance(instance, seed, *settings)?
            }
            Message::InstanceStopped { instance } => self.stop_instance(instance)?,
            Message::EndpointList { instance, kind, table } => {
                let entries = self.endpoint_tables.get(table)?.to_vec();
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

    fn start_instance(&mut self, instance: u64, seed: u64, settings: Settings) -> Result<(), LineError> {
        let engine = PolicyEngine::new(settings, seed)?;
        self.instances.insert(instance, engine);
        Ok(())
    }

    fn stop_instance(&mut self, instance: u64) -> Result<(), LineError> {
        self.instances.remove(&instance).map(drop).ok_or(LineError::UnknownInstance(instance))
    }

    /// Passes an event to an instance and appends the resulting actions to the reply.
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
