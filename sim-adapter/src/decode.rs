//! Decodes lines into messages.

use crate::fields::{Fields, InvalidField};
use crate::wire::{self, field, list_kind, message, outcome, state};
use ryefront_policy::{
    Arrival, AttemptEnd, CounterResult, EndpointEntry, EndpointState, Event, LoadReport, Millis, Name,
    Outcome, Settings,
};
use ryefront_settings::ReadError;

/// The units of a request whose line has none.
const DEFAULT_UNITS: f64 = 1.0;

/// A line that cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The line is not UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// The line is not the message that is expected at this position.
    #[error("found {found:?}, expected {expected}")]
    UnexpectedMessage {
        /// The line.
        found: String,
        /// The message that was expected.
        expected: &'static str,
    },
    /// The message is not part of the protocol.
    #[error("unknown message {0:?}")]
    UnknownMessage(String),
    /// A field is missing or has an invalid value.
    #[error(transparent)]
    Field(#[from] InvalidField),
    /// The settings of an instance cannot be parsed.
    #[error(transparent)]
    Settings(#[from] ReadError),
}

/// A message within a batch, other than a row of an endpoint table.
pub(crate) enum Message {
    /// The batch is complete.
    BatchEnd,
    /// An endpoint table begins. `row_count` rows follow.
    Table { number: u64, row_count: usize },
    /// A new instance starts.
    InstanceStarted { instance: u64, seed: u64, settings: Box<Settings> },
    /// An instance has stopped. Its state is discarded.
    InstanceStopped { instance: u64 },
    /// An instance receives the endpoints of a table as its endpoint list.
    EndpointList { instance: u64, kind: ListKind, table: Option<u64> },
    /// Any other event, which is passed to an instance.
    Event { instance: u64, event: Event },
}

/// Whether an endpoint list replaces all known endpoints or changes some of them.
#[derive(Clone, Copy)]
pub(crate) enum ListKind {
    Snapshot,
    Delta,
}

/// Decodes the line that begins a batch and returns the time of the batch.
pub(crate) fn batch_start(line: &str) -> Result<Millis, DecodeError> {
    let mut fields = Fields::new(line);
    if fields.text(field::MESSAGE)? != wire::BATCH_START {
        return Err(DecodeError::UnexpectedMessage { found: line.to_owned(), expected: wire::BATCH_START });
    }
    Ok(fields.millis(field::CLOCK)?)
}

/// Decodes a row of an endpoint table.
pub(crate) fn table_row(line: &str) -> Result<EndpointEntry, DecodeError> {
    let mut fields = Fields::new(line);
    if fields.text(field::MESSAGE)? != message::TABLE_ROW {
        return Err(DecodeError::UnexpectedMessage { found: line.to_owned(), expected: message::TABLE_ROW });
    }
    let name = fields.name(field::ENDPOINT)?;
    let zone = Name::from(fields.text(field::ZONE)?);
    // Required by the protocol but not used by the policy.
    fields.text(field::MACHINE_KIND)?;
    let cell = fields.integer(field::CELL)?;
    let state = endpoint_state(&mut fields)?;
    // Required by the protocol but not used by the policy.
    fields.optional_number(field::WEIGHT)?;
    let started_at = known_if_positive(fields.optional_number(field::STARTED_AT)?);
    Ok(EndpointEntry { name, zone, cell, state, started_at })
}

/// Decodes a line within a batch that is not a table row.
pub(crate) fn message(line: &str) -> Result<Message, DecodeError> {
    let mut fields = Fields::new(line);
    let name = fields.text(field::MESSAGE)?;
    match name {
        wire::BATCH_END => return Ok(Message::BatchEnd),
        message::TABLE => return table(&mut fields),
        _ => {}
    }
    let instance = fields.integer(field::INSTANCE)?;
    let event = match name {
        message::INSTANCE_STARTED => return instance_started(instance, fields),
        message::INSTANCE_STOPPED => return Ok(Message::InstanceStopped { instance }),
        message::ENDPOINT_LIST => return endpoint_list(instance, &mut fields),
        message::REQUEST_ARRIVED => request_arrived(&mut fields)?,
        message::STREAM_STARTED => Event::StreamStarted { id: fields.integer(field::REQUEST_ID)? },
        message::ATTEMPT_ENDED => attempt_ended(&mut fields)?,
        message::CLIENT_DISCONNECTED => Event::ClientDisconnected { id: fields.integer(field::REQUEST_ID)? },
        message::TIMER => Event::Timer { token: fields.integer(field::TIMER_TOKEN)? },
        message::HEALTH_CHECK_ENDED => health_check_ended(&mut fields)?,
        message::GOSSIP_RECEIVED => gossip_received(&mut fields)?,
        message::COUNTER_REPLY => counter_reply(&mut fields)?,
        unknown => return Err(DecodeError::UnknownMessage(unknown.to_owned())),
    };
    Ok(Message::Event { instance, event })
}

fn table(fields: &mut Fields<'_>) -> Result<Message, DecodeError> {
    let number = fields.integer(field::TABLE)?;
    let row_count = fields.integer(field::ROW_COUNT)?;
    Ok(Message::Table { number, row_count })
}

fn instance_started(instance: u64, mut fields: Fields<'_>) -> Result<Message, DecodeError> {
    let seed = fields.integer(field::SEED)?;
    let settings = Box::new(ryefront_settings::from_str(&fields.remaining_text())?);
    Ok(Message::InstanceStarted { instance, seed, settings })
}

fn endpoint_list(instance: u64, fields: &mut Fields<'_>) -> Result<Message, DecodeError> {
    let kind_text = fields.text(field::LIST_KIND)?;
    // Required by the protocol but not used by the policy.
    fields.text(field::LIST_VERSION)?;
    let table = fields.optional_integer(field::TABLE)?;
    let kind = match kind_text {
        list_kind::DELTA => ListKind::Delta,
        list_kind::SNAPSHOT | list_kind::CACHED_SNAPSHOT => ListKind::Snapshot,
        list_kind::FAILED => return Ok(Message::Event { instance, event: Event::EndpointListFailed }),
        unknown => return Err(InvalidField::value(field::LIST_KIND, unknown, "a kind of list").into()),
    };
    Ok(Message::EndpointList { instance, kind, table })
}

fn request_arrived(fields: &mut Fields<'_>) -> Result<Event, InvalidField> {
    let id = fields.integer(field::REQUEST_ID)?;
    let tenant = fields.name(field::TENANT)?;
    // Required by the protocol but not used by the policy.
    fields.boolean(field::IS_WRITE)?;
    let time_to_deadline = fields.millis(field::TIME_TO_DEADLINE)?;
    let class = fields.name(field::CLASS)?;
    let client_retry = fields.boolean(field::CLIENT_RETRY)?;
    let first_gateway = fields.optional_integer(field::FIRST_GATEWAY)?.unwrap_or(0);
    let gateways_per_tenant = fields.optional_integer(field::GATEWAYS_PER_TENANT)?.unwrap_or(0);
    let units = fields.optional_number(field::UNITS)?.unwrap_or(DEFAULT_UNITS);
    let plan = fields.name(field::PLAN)?;
    Ok(Event::RequestArrived(Arrival {
        id,
        tenant,
        plan,
        class,
        units,
        client_retry,
        time_to_deadline,
        first_gateway,
        gateways_per_tenant,
    }))
}

fn attempt_ended(fields: &mut Fields<'_>) -> Result<Event, InvalidField> {
    let id = fields.integer(field::REQUEST_ID)?;
    let latency = fields.millis(field::LATENCY)?;
    let endpoint = fields.name(field::ENDPOINT)?;
    let outcome = attempt_outcome(fields)?;
    // Required by the protocol but not used by the policy.
    fields.optional_number(field::METERED_USAGE)?;
    let attempt = fields.integer(field::ATTEMPT)?;
    let actual_units = known_if_positive(fields.optional_number(field::ACTUAL_UNITS)?);
    let request_finished = fields.boolean(field::REQUEST_FINISHED)?;
    let load_report = load_report(fields)?;
    Ok(Event::AttemptEnded(AttemptEnd {
        id,
        attempt,
        endpoint,
        outcome,
        latency,
        actual_units,
        request_finished,
        load_report,
    }))
}

fn health_check_ended(fields: &mut Fields<'_>) -> Result<Event, InvalidField> {
    let latency = fields.millis(field::LATENCY)?;
    let endpoint = fields.name(field::ENDPOINT)?;
    let outcome = attempt_outcome(fields)?;
    let load_report = load_report(fields)?;
    Ok(Event::HealthCheckEnded { endpoint, outcome, latency, load_report })
}

fn gossip_received(fields: &mut Fields<'_>) -> Result<Event, InvalidField> {
    let from = fields.integer(field::SENDER)?;
    let bytes = fields.base64(field::PAYLOAD)?;
    Ok(Event::GossipReceived { from, bytes })
}

fn counter_reply(fields: &mut Fields<'_>) -> Result<Event, InvalidField> {
    let outcome_text = fields.text(field::OUTCOME)?;
    let key = fields.integer(field::COUNTER_KEY)?;
    let latency = fields.millis(field::LATENCY)?;
    let total = fields.optional_number(field::COUNTER_TOTAL)?;
    let result = match outcome_text {
        outcome::SERVED => CounterResult::Total(total.ok_or(InvalidField::missing(field::COUNTER_TOTAL))?),
        outcome::REJECTED | outcome::CONNECT_FAILED => CounterResult::NotAdded,
        outcome::TIMED_OUT => CounterResult::Unknown,
        unknown => return Err(InvalidField::value(field::OUTCOME, unknown, "an outcome of a counter call")),
    };
    Ok(Event::CounterReply { key, result, latency })
}

/// Returns the value if it is positive. 0 means unknown in the protocol.
fn known_if_positive(value: Option<f64>) -> Option<f64> {
    value.filter(|value| *value > 0.0)
}

fn endpoint_state(fields: &mut Fields<'_>) -> Result<EndpointState, InvalidField> {
    match fields.text(field::STATE)? {
        state::READY => Ok(EndpointState::Ready),
        state::DRAINING => Ok(EndpointState::Draining),
        state::REMOVED => Ok(EndpointState::Removed),
        unknown => Err(InvalidField::value(field::STATE, unknown, state::ALL_VALUES)),
    }
}

fn attempt_outcome(fields: &mut Fields<'_>) -> Result<Outcome, InvalidField> {
    match fields.text(field::OUTCOME)? {
        outcome::SERVED => Ok(Outcome::Served),
        outcome::ERROR => Ok(Outcome::Error),
        outcome::REJECTED => Ok(Outcome::Rejected),
        outcome::TIMED_OUT => Ok(Outcome::TimedOut),
        outcome::CONNECT_FAILED => Ok(Outcome::ConnectFailed),
        outcome::CONNECTION_RESET => Ok(Outcome::ConnectionReset),
        outcome::CANCELLED => Ok(Outcome::Cancelled),
        outcome::NOT_SENT => Ok(Outcome::NotSent),
        unknown => Err(InvalidField::value(field::OUTCOME, unknown, "an outcome of an attempt")),
    }
}

fn load_report(fields: &mut Fields<'_>) -> Result<Option<LoadReport>, InvalidField> {
    let text = fields.text(field::LOAD_REPORT)?;
    if text == wire::ABSENT || text.is_empty() {
        return Ok(None);
    }
    let mut report = LoadReport::default();
    for pair in text.split(wire::LOAD_PAIR_SEPARATOR) {
        let invalid = || InvalidField::value(field::LOAD_REPORT, pair, "NAME:NUMBER");
        let (name, value) = pair.split_once(wire::LOAD_VALUE_SEPARATOR).ok_or_else(invalid)?;
        ryefront_settings::set_load_value(&mut report, name, value.parse().map_err(|_| invalid())?);
    }
    Ok(Some(report))
}
