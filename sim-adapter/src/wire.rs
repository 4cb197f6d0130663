//! The names and values of the simulator's protocol, as constants named in the terms of this workspace.
//!
//! A line consists of fields separated by tabs, and the first field is the name of the message. A batch
//! consists of a [`BATCH_START`] line, the lines of its messages, and a [`BATCH_END`] line. The reply to a
//! batch consists of one line for each action and a [`REPLY_END`] line.

/// Separates the fields of a line.
pub(crate) const FIELD_SEPARATOR: char = '\t';
/// Marks an absent value.
pub(crate) const ABSENT: &str = "-";
/// True, in a boolean field.
pub(crate) const TRUE: &str = "1";
/// False, in a boolean field.
pub(crate) const FALSE: &str = "0";

/// Begins a batch. Its field is the time of the batch.
pub(crate) const BATCH_START: &str = "BATCH";
/// Ends a batch.
pub(crate) const BATCH_END: &str = "YOUR_TURN";
/// Ends a reply.
pub(crate) const REPLY_END: &str = "READY";

/// Messages that the adapter receives.
pub(crate) mod message {
    pub(crate) const INSTANCE_STARTED: &str = "START";
    pub(crate) const INSTANCE_STOPPED: &str = "EXIT";
    /// Begins a numbered endpoint table. Its [`TABLE_ROW`] lines follow.
    pub(crate) const TABLE: &str = "TABLE";
    pub(crate) const TABLE_ROW: &str = "ENTRY";
    /// An endpoint list for an instance. Its endpoints are those of a [`TABLE`].
    pub(crate) const ENDPOINT_LIST: &str = "ANNOUNCE";
    pub(crate) const REQUEST_ARRIVED: &str = "ORDER";
    pub(crate) const STREAM_STARTED: &str = "UNDER_WAY";
    pub(crate) const ATTEMPT_ENDED: &str = "ATTEMPT_END";
    pub(crate) const CLIENT_DISCONNECTED: &str = "GONE";
    pub(crate) const TIMER: &str = "DUE";
    pub(crate) const HEALTH_CHECK_ENDED: &str = "SAMPLED";
    pub(crate) const GOSSIP_RECEIVED: &str = "INBOX";
    pub(crate) const COUNTER_REPLY: &str = "TOTAL";
}

/// Actions that the adapter sends.
pub(crate) mod action {
    pub(crate) const FORWARD_ATTEMPT: &str = "HAND_OFF";
    pub(crate) const REJECT: &str = "SHED";
    pub(crate) const FAIL: &str = "DROP_REQUEST";
    pub(crate) const CANCEL_ATTEMPT: &str = "CALL_OFF";
    pub(crate) const SET_TIMER: &str = "NOTIFY_ME";
    pub(crate) const HEALTH_CHECK: &str = "TEST";
    pub(crate) const INCREMENT_COUNTER: &str = "CHARGE_COUNTER";
    pub(crate) const GOSSIP: &str = "SHARE";
    pub(crate) const WATCH_ENDPOINTS: &str = "WATCH";
    pub(crate) const LOG: &str = "SAY_LOG";
}

/// The recipient of an [`action::GOSSIP`]: all other instances.
pub(crate) const ALL_PEERS: &str = "all";

/// The names of fields, for error messages. The lines do not contain them.
pub(crate) mod field {
    pub(crate) const MESSAGE: &str = "message";
    pub(crate) const CLOCK: &str = "clock";
    pub(crate) const INSTANCE: &str = "i";
    pub(crate) const SEED: &str = "init-seed";
    pub(crate) const TABLE: &str = "roster-id";
    pub(crate) const ROW_COUNT: &str = "rows";
    pub(crate) const ENDPOINT: &str = "backend";
    pub(crate) const ZONE: &str = "az";
    pub(crate) const MACHINE_KIND: &str = "family-type";
    pub(crate) const CELL: &str = "block";
    pub(crate) const STATE: &str = "readiness";
    pub(crate) const WEIGHT: &str = "rating";
    pub(crate) const STARTED_AT: &str = "born-ms";
    pub(crate) const LIST_KIND: &str = "kind";
    pub(crate) const LIST_VERSION: &str = "gen";
    pub(crate) const REQUEST_ID: &str = "id";
    pub(crate) const TENANT: &str = "account";
    pub(crate) const IS_WRITE: &str = "write";
    pub(crate) const TIME_TO_DEADLINE: &str = "patience-left-ms";
    pub(crate) const CLASS: &str = "band";
    pub(crate) const CLIENT_RETRY: &str = "again-by-client";
    pub(crate) const FIRST_GATEWAY: &str = "base";
    pub(crate) const GATEWAYS_PER_TENANT: &str = "spread";
    pub(crate) const UNITS: &str = "units";
    pub(crate) const PLAN: &str = "package";
    pub(crate) const LATENCY: &str = "latency-ms";
    pub(crate) const OUTCOME: &str = "rc";
    pub(crate) const METERED_USAGE: &str = "seen-use";
    pub(crate) const ATTEMPT: &str = "go";
    pub(crate) const ACTUAL_UNITS: &str = "true-units";
    pub(crate) const REQUEST_FINISHED: &str = "finished";
    pub(crate) const LOAD_REPORT: &str = "metrics";
    pub(crate) const TIMER_TOKEN: &str = "tag";
    pub(crate) const SENDER: &str = "neighbour";
    pub(crate) const PAYLOAD: &str = "msg";
    pub(crate) const COUNTER_KEY: &str = "counter-key";
    pub(crate) const COUNTER_TOTAL: &str = "result-value";
}

/// Values of [`field::OUTCOME`].
pub(crate) mod outcome {
    pub(crate) const SERVED: &str = "delivered";
    pub(crate) const ERROR: &str = "app_error";
    pub(crate) const REJECTED: &str = "shed";
    pub(crate) const TIMED_OUT: &str = "expired";
    pub(crate) const CONNECT_FAILED: &str = "dial_failed";
    pub(crate) const CONNECTION_RESET: &str = "dropped";
    pub(crate) const CANCELLED: &str = "revoked";
    pub(crate) const NOT_SENT: &str = "unused";
}

/// Values of [`field::LIST_KIND`].
pub(crate) mod list_kind {
    pub(crate) const DELTA: &str = "changes";
    pub(crate) const SNAPSHOT: &str = "all";
    /// The last snapshot that the instance received, which may be stale.
    pub(crate) const CACHED_SNAPSHOT: &str = "remembered";
    /// A request for the endpoint list failed.
    pub(crate) const FAILED: &str = "refused";
}

/// Values of [`field::STATE`].
pub(crate) mod state {
    pub(crate) const READY: &str = "IN";
    pub(crate) const DRAINING: &str = "LAME";
    pub(crate) const REMOVED: &str = "OUT";
    /// All valid values, for error messages.
    pub(crate) const ALL_VALUES: &str = "IN, LAME or OUT";
}

/// Separates the name-value pairs of a load report.
pub(crate) const LOAD_PAIR_SEPARATOR: char = ',';
/// Separates the name and the value of a pair.
pub(crate) const LOAD_VALUE_SEPARATOR: char = ':';
