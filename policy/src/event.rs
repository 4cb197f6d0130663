//! What a gateway is notified of.

use crate::{Millis, Name, RequestId};

/// A host reports a pause of its process that is at least this long. Shorter ones happen on a busy machine.
pub const MIN_REPORTED_PAUSE: Millis = 250.0;

/// Something that happened, passed to [`PolicyEngine::handle`](crate::PolicyEngine::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// A complete endpoint list; endpoints that are missing from it are removed.
    EndpointSnapshot(Vec<EndpointEntry>),
    /// Changes to the endpoint list.
    EndpointDelta(Vec<EndpointEntry>),
    /// A call for the endpoint list failed.
    EndpointListFailed,
    /// A request arrived.
    RequestArrived(Arrival),
    /// A stream began on an attempt; it belongs to the client from now on.
    StreamStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A health check ended.
    HealthCheckEnded {
        /// The endpoint.
        endpoint: Name,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        latency: Millis,
        /// The load report that came with it, if there was one.
        load_report: Option<LoadReport>,
    },
    /// The client disconnected; the request is over.
    ClientDisconnected {
        /// The request.
        id: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The token given when it was set.
        token: u64,
    },
    /// A counter call ended.
    CounterReply {
        /// The counter key.
        key: u64,
        /// How the call ended.
        result: CounterResult,
        /// How long it took.
        latency: Millis,
    },
    /// What is known of the clock that the fleet shares. Until a host reports it, it is the host's own clock.
    FleetClock {
        /// The fleet's time.
        time: FleetTime,
    },
    /// The counts that the fleet has kept until now cannot be found any more, as no gateway is left that knows
    /// under which times they were kept.
    CountsLost,
    /// The process goes on after a pause of [`MIN_REPORTED_PAUSE`] or more: it was stopped, or got no processor
    /// time. What other gateways did meanwhile is not known.
    ProcessResumed,
    /// A graceful shutdown started: no more requests arrive.
    DrainStarted,
    /// A message from another gateway.
    GossipReceived {
        /// The sender's gateway index.
        from: u32,
        /// The message.
        bytes: Vec<u8>,
    },
}

/// The state of an endpoint by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It accepts requests.
    Ready,
    /// It finishes the requests that it has and must be sent no new ones.
    Draining,
    /// It does not exist any more.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The endpoint's name, the same at all gateways.
    pub name: Name,
    /// Its zone.
    pub zone: Name,
    /// Its cell.
    pub cell: u64,
    /// Its state.
    pub state: EndpointState,
    /// When it last started, where that is known.
    pub started_at: Option<Millis>,
}

/// An endpoint's report of its own load; each value only where the deployment has it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight there.
    pub in_flight: Option<f64>,
    /// Requests that wait there.
    pub queue_length: Option<f64>,
    /// Its recent service time, without waiting.
    pub service_time: Option<Millis>,
}

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The host's number for it; never used twice.
    pub id: RequestId,
    /// Whose quota it uses.
    pub tenant: Name,
    /// The tenant's quota plan.
    pub plan: Name,
    /// Its request class.
    pub class: Name,
    /// The units it uses, or an estimate of them.
    pub units: f64,
    /// Whether the client marks it as a retry.
    pub client_retry: bool,
    /// How long until the client gives up.
    pub time_to_deadline: Millis,
    /// The index of the first gateway that serves the tenant; the others follow it in order, wrapping around.
    pub first_gateway: u32,
    /// How many gateways serve the tenant.
    pub gateways_per_tenant: u32,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Served,
    /// The endpoint responded with an error; it may have run.
    Error,
    /// The endpoint rejected it; it never ran.
    Rejected,
    /// No response in time; it may have run or may still run.
    TimedOut,
    /// No connection came up; it never ran.
    ConnectFailed,
    /// The connection was reset; it may have run.
    ConnectionReset,
    /// It was cancelled; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    /// Where it was sent.
    pub endpoint: Name,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it was in flight.
    pub latency: Millis,
    /// The units that it really used, where they come with the response.
    pub actual_units: Option<f64>,
    /// Whether the request has had its final answer.
    pub request_finished: bool,
    /// The load report that came with it, if there was one.
    pub load_report: Option<LoadReport>,
}

/// How a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterResult {
    /// The total after the add.
    Total(f64),
    /// Nothing was added.
    NotAdded,
    /// No reply in time; the amount may have been added.
    Unknown,
}

/// What a host knows of the clock that all gateways share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FleetTime {
    /// The first reply of the counter is awaited; until then the policy makes no counter calls.
    Pending,
    /// The counter has not replied, and its reply is not awaited: the host's own clock is used.
    Unavailable,
    /// The fleet has a clock other than the host's own, and its offset is not yet known well enough to derive
    /// counter keys from it.
    Converging,
    /// The offset is known.
    Synchronized {
        /// How far the fleet's clock is ahead of the host's; negative if it is behind.
        offset: Millis,
    },
}

impl FleetTime {
    /// Returns whether the offset is known.
    pub(crate) fn is_synchronized(self) -> bool {
        matches!(self, Self::Synchronized { .. })
    }
}

impl Default for FleetTime {
    fn default() -> Self {
        Self::Synchronized { offset: 0.0 }
    }
}
