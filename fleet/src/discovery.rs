//! Discovery: the lists it writes, as text in the form that gateways read, and the changes it gathers.

use ryefront_gateway::discovery::{EndpointList, EndpointListError};
use ryefront_policy::EndpointState;
use std::fmt::Write;

/// One row of a list.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub(crate) server: u32,
    pub(crate) zone: u32,
    pub(crate) cell: u64,
    pub(crate) state: EndpointState,
    /// When it started, ms; 0 for long ago.
    pub(crate) started: f64,
}

/// A server's name.
fn server_name(server: u32) -> String {
    format!("s-{server:08x}")
}

/// The server of a name.
pub(crate) fn server_of(name: &str) -> Option<usize> {
    usize::from_str_radix(name.strip_prefix("s-")?, 16).ok()
}

/// A zone's name.
pub(crate) fn zone_name(zone: u32) -> String {
    format!("zone-{zone}")
}

/// A list as text. Addresses are made up, as nothing here connects.
pub(crate) fn text<'a>(seq: u64, whole: bool, rows: impl IntoIterator<Item = &'a Row>) -> String {
    let mut text = format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[");
    for (n, row) in rows.into_iter().enumerate() {
        let health = match row.state {
            EndpointState::Ready => "in_service",
            EndpointState::Draining => "terminating",
            EndpointState::Removed => "terminated",
        };
        let [_, a, b, c] = row.server.to_be_bytes();
        let comma = if n > 0 { "," } else { "" };
        // Writing to a text cannot fail.
        let _ = write!(
            text,
            "{comma}{{\"host\":\"{}\",\"dial\":\"127.{a}.{b}.{c}:7070\",\"site\":\"{}\",\"class\":\"m2\",\"block\":{},\
             \"health\":\"{health}\",\"share\":1.0,\"born_ms\":{}}}",
            server_name(row.server),
            zone_name(row.zone),
            row.cell,
            row.started,
        );
    }
    text.push_str("]}");
    text
}

/// A list that has been written, and what it takes on the wire.
pub(crate) struct Batch {
    pub(crate) list: EndpointList,
    pub(crate) bytes: u64,
}

/// Discovery's own state.
#[derive(Default)]
pub(crate) struct Discovery {
    /// All lists written so far; a list's version is its place, from 1.
    pub(crate) batches: Vec<Batch>,
    pending: Vec<Row>,
}

impl Discovery {
    /// Something has changed.
    pub(crate) fn note(&mut self, row: Row) {
        self.pending.push(row);
    }

    /// Writes the whole list; tells its place.
    ///
    /// # Errors
    /// When the real parser does not take it.
    pub(crate) fn whole(&mut self, rows: &[Row]) -> Result<usize, EndpointListError> {
        self.write(true, rows)
    }

    /// Writes what has changed since the last list, if anything has; tells its place.
    ///
    /// # Errors
    /// When the real parser does not take it.
    pub(crate) fn changes(&mut self) -> Result<Option<usize>, EndpointListError> {
        let rows = std::mem::take(&mut self.pending);
        if rows.is_empty() { Ok(None) } else { self.write(false, &rows).map(Some) }
    }

    fn write(&mut self, whole: bool, rows: &[Row]) -> Result<usize, EndpointListError> {
        let text = text(self.batches.len() as u64 + 1, whole, rows);
        self.batches.push(Batch { list: EndpointList::parse(text.as_bytes())?, bytes: text.len() as u64 });
        Ok(self.batches.len() - 1)
    }
}
