//! Formats endpoint lists as the JSON of the discovery protocol. The protocol's field and state names appear
//! only here; the rest of the model uses the terms of the policy engine.

use ryefront_policy::{EndpointState, Millis};
use std::fmt::Write;

const VERSION: &str = "seq";
const IS_SNAPSHOT: &str = "whole";
const ENTRIES: &str = "hosts";
const NAME: &str = "host";
const ADDRESS: &str = "dial";
const ZONE: &str = "site";
const MACHINE_KIND: &str = "class";
const CELL: &str = "block";
const STATE: &str = "health";
const WEIGHT: &str = "share";
const STARTED_AT: &str = "born_ms";

const READY: &str = "in_service";
const DRAINING: &str = "terminating";
const REMOVED: &str = "terminated";

/// The prefix of endpoint names; the endpoint's number follows in hexadecimal digits.
const ENDPOINT_NAME_PREFIX: &str = "s-";
/// The port of all endpoints. Nothing connects to it.
const PORT: u16 = 7070;
/// The machine kind of all endpoints, which gateways do not read.
const MACHINE_KIND_VALUE: &str = "m2";

/// One entry of an endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct ListEntry {
    pub(crate) endpoint: u32,
    pub(crate) zone: u32,
    pub(crate) cell: u64,
    pub(crate) state: EndpointState,
    /// When the endpoint started, on the gateways' clocks; 0 if unknown.
    pub(crate) started_at: Millis,
}

/// Whether a list names all endpoints or only the changed ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListKind {
    Snapshot,
    Delta,
}

fn endpoint_name(endpoint: u32) -> String {
    format!("{ENDPOINT_NAME_PREFIX}{endpoint:08x}")
}

/// Returns the number in an endpoint name; `None` for any other text.
pub(crate) fn parse_endpoint_name(name: &str) -> Option<usize> {
    usize::from_str_radix(name.strip_prefix(ENDPOINT_NAME_PREFIX)?, 16).ok()
}

pub(crate) fn zone_name(zone: u32) -> String {
    format!("zone-{zone}")
}

/// Formats a list as JSON. The addresses are placeholders: no connection is made to them.
pub(crate) fn format_list<'a>(
    version: u64, kind: ListKind, entries: impl IntoIterator<Item = &'a ListEntry>,
) -> String {
    let is_snapshot = kind == ListKind::Snapshot;
    let mut text = format!("{{\"{VERSION}\":{version},\"{IS_SNAPSHOT}\":{is_snapshot},\"{ENTRIES}\":[");
    for (index, entry) in entries.into_iter().enumerate() {
        if index > 0 {
            text.push(',');
        }
        write_entry(&mut text, entry);
    }
    text.push_str("]}");
    text
}

fn write_entry(text: &mut String, entry: &ListEntry) {
    let name = endpoint_name(entry.endpoint);
    let [_, a, b, c] = entry.endpoint.to_be_bytes();
    let zone = zone_name(entry.zone);
    let cell = entry.cell;
    let state = state_name(entry.state);
    let started_at = entry.started_at;
    // Writing to a String cannot fail.
    let _ = write!(
        text,
        "{{\"{NAME}\":\"{name}\",\"{ADDRESS}\":\"127.{a}.{b}.{c}:{PORT}\",\"{ZONE}\":\"{zone}\",\
         \"{MACHINE_KIND}\":\"{MACHINE_KIND_VALUE}\",\"{CELL}\":{cell},\"{STATE}\":\"{state}\",\
         \"{WEIGHT}\":1.0,\"{STARTED_AT}\":{started_at}}}",
    );
}

fn state_name(state: EndpointState) -> &'static str {
    match state {
        EndpointState::Ready => READY,
        EndpointState::Draining => DRAINING,
        EndpointState::Removed => REMOVED,
    }
}
