//! The events that a host passes to the policy engine.

use crate::{Millis, Name, RequestId};

/// The shortest pause of the process that a host reports with [`Event::ProcessResumed`]. Shorter pauses are
/// common on a busy machine.
pub const MIN_REPORTED_PAUSE: Millis = 250.0;

/// An event for [`PolicyEngine::handle`](crate::PolicyEngine::handle).
#[derive(Clone, Debug)]
pub enum Event {
    /// A complete endpoint list was received. Endpoints that are not in it are removed.
    EndpointSnapshot(Vec<EndpointEntry>),
    /// Changes to the endpoint list were received.
    EndpointDelta(Vec<EndpointEntry>),
    /// A request to discovery for the endpoint list failed.
    EndpointListFailed,
    /// A client request arrived.
    RequestArrived(Arrival),
    /// An attempt started to stream its response, which is passed through to the client from then on.
    StreamStarted {
        /// The request ID.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// A health check ended.
    HealthCheckEnded {
        /// The name of the endpoint.
        endpoint: Name,
        /// The outcome of the health check.
        outcome: Outcome,
        /// The duration of the health check.
        latency: Millis,
        /// The load report in the response, if any.
        load_report: Option<LoadReport>,
    },
    /// The client disconnected. The request needs no final response.
    ClientDisconnected {
        /// The request ID.
        id: RequestId,
    },
    /// A timer expired.
    Timer {
        /// The token passed in [`Action::SetTimer`](crate::Action::SetTimer).
        token: u64,
    },
    /// A counter call ended.
    CounterReply {
        /// The counter key.
        key: u64,
        /// The result of the call.
        result: CounterResult,
        /// The duration of the call.
        latency: Millis,
    },
    /// The state of the fleet's shared clock changed. The host's local clock is used until the first
    /// such event.
    FleetClock {
        /// The new state.
        time: FleetTime,
    },
    /// The fleet's earlier counts can no longer be found. Counter keys are derived from the fleet's clock,
    /// and no gateway is left that knows from which times the earlier keys were derived.
    CountsLost,
    /// The process resumed after a pause of at least [`MIN_REPORTED_PAUSE`], because it was stopped or got no
    /// CPU time. What other gateways did during the pause is unknown.
    ProcessResumed,
    /// A graceful shutdown started. No more requests will arrive.
    DrainStarted,
    /// A gossip message from another gateway was received.
    GossipReceived {
        /// The gateway index of the sender.
        from: u32,
        /// The content of the message.
        bytes: Vec<u8>,
    },
}

/// The state of an endpoint according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint finishes the requests in progress and must not be sent new ones.
    Draining,
    /// The endpoint no longer exists.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The name of the endpoint, the same at all gateways.
    pub name: Name,
    /// The zone of the endpoint.
    pub zone: Name,
    /// The cell of the endpoint.
    pub cell: u64,
    /// The state of the endpoint.
    pub state: EndpointState,
    /// The time at which the endpoint last started, if known.
    pub started_at: Option<Millis>,
}

/// A report by an endpoint of its own load. Values that the deployment does not provide are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The number of requests in flight at the endpoint.
    pub in_flight: Option<f64>,
    /// The number of requests queued at the endpoint.
    pub queue_length: Option<f64>,
    /// The recent service time at the endpoint, without time spent in its queue.
    pub service_time: Option<Millis>,
}

/// A client request that arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The ID that the host assigned to the request. IDs are never reused.
    pub id: RequestId,
    /// The tenant whose quota the request uses.
    pub tenant: Name,
    /// The name of the tenant's quota plan.
    pub plan: Name,
    /// The name of the request class.
    pub class: Name,
    /// The number of quota units that the request uses, or an estimate.
    pub units: f64,
    /// Whether the client marked the request as a retry.
    pub client_retry: bool,
    /// The time left until the client's deadline.
    pub time_to_deadline: Millis,
    /// The index of the first gateway that serves the tenant; the others follow it in order, wrapping around.
    pub first_gateway: u32,
    /// The number of gateways that serve the tenant.
    pub gateways_per_tenant: u32,
}

/// The outcome of an attempt or a health check.
///
/// An attempt that may have run at the endpoint can be retried only as far as its request class allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served it.
    Served,
    /// The endpoint responded with an error. The attempt may have run.
    Error,
    /// The endpoint rejected it. The attempt did not run.
    Rejected,
    /// No response arrived before the timeout. The attempt may have run or may still be running.
    TimedOut,
    /// No connection could be established. The attempt did not run.
    ConnectFailed,
    /// The connection was reset. The attempt may have run.
    ConnectionReset,
    /// It was cancelled. The attempt may have run.
    Cancelled,
    /// It was not sent. The attempt did not run.
    NotSent,
}

impl Outcome {
    /// Whether an attempt with this outcome may have run at the endpoint.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        !matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// The request ID.
    pub id: RequestId,
    /// The index of the attempt, starting at 0.
    pub attempt: u32,
    /// The name of the endpoint that it was sent to.
    pub endpoint: Name,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The time for which the attempt was in flight.
    pub latency: Millis,
    /// The number of units that the attempt actually used, if the response states it.
    pub actual_units: Option<f64>,
    /// Whether the request has already had its final response.
    pub request_finished: bool,
    /// The load report in the response, if any.
    pub load_report: Option<LoadReport>,
}

/// The result of a counter call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CounterResult {
    /// The amount was added. Holds the new total of the key.
    Total(f64),
    /// Nothing was added.
    NotAdded,
    /// No reply arrived before the timeout. The amount may have been added.
    Unknown,
}

/// The state of the fleet's shared clock as known to a host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FleetTime {
    /// The host waits for the first reply from the counter. Until it arrives, the policy makes no counter
    /// calls.
    Pending,
    /// The counter has not replied, and the host no longer waits for it. The host's local clock is used.
    Unavailable,
    /// The fleet's clock differs from the host's own. Its offset is not yet known accurately enough to derive
    /// counter keys from it.
    Converging,
    /// The offset of the fleet's clock is known.
    Synchronized {
        /// The fleet's time minus the host's time.
        offset: Millis,
    },
}

impl FleetTime {
    /// Returns whether the offset of the fleet's clock is known.
    pub(crate) fn is_synchronized(self) -> bool {
        matches!(self, Self::Synchronized { .. })
    }
}

impl Default for FleetTime {
    fn default() -> Self {
        Self::Synchronized { offset: 0.0 }
    }
}
