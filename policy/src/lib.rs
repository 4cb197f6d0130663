//! The policy of a quota gateway: quotas, load balancing, retries and load shedding.
//!
//! A fleet of gateways enforces the quotas of many tenants that share one service. This crate does no I/O and
//! reads no clock, and its only source of randomness is the seed: the host passes each [`Event`] with its
//! time to a [`PolicyEngine`] and performs the [`Action`]s that it returns.
//!
//! ```
//! use ryefront_policy::{
//!     Action, Arrival, DedupScope, EndpointEntry, EndpointState, Event, Idempotency, PolicyEngine,
//!     QuotaPlan, RequestClass, Settings,
//! };
//!
//! let settings = Settings {
//!     gateway_count: 1,
//!     gateway_index: 0,
//!     zone: "a".into(),
//!     tick: 1.0,
//!     classes: vec![RequestClass {
//!         name: "read".into(),
//!         latency_objective: 500.0,
//!         idempotency: Idempotency::Idempotent,
//!         dedup_scope: DedupScope::All,
//!         dedup_window: 0.0,
//!         priority_weight: 1.0,
//!         late_weight_fraction: 0.0,
//!     }],
//!     plans: vec![QuotaPlan::new("basic", 5.0, 10.0)],
//!     max_attempts: 3,
//!     max_retry_after: 1000.0,
//!     ..Default::default()
//! };
//! let mut engine = PolicyEngine::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let endpoint = EndpointEntry {
//!     name: "endpoint-1".into(),
//!     zone: "a".into(),
//!     cell: 0,
//!     state: EndpointState::Ready,
//!     started_at: None,
//! };
//! engine.handle(0.0, Event::EndpointSnapshot(vec![endpoint]), &mut actions);
//! let arrival = Arrival {
//!     id: 1,
//!     tenant: "tenant-1".into(),
//!     plan: "basic".into(),
//!     class: "read".into(),
//!     units: 1.0,
//!     client_retry: false,
//!     time_to_deadline: 900.0,
//!     first_gateway: 0,
//!     gateways_per_tenant: 1,
//! };
//! engine.handle(1.0, Event::RequestArrived(arrival), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::ForwardAttempt { id: 1, .. })));
//! # Ok::<(), ryefront_policy::SettingsError>(())
//! ```
//!
//! # Modules in reading order
//!
//! - `settings`, `event`, `action`: the inputs and outputs of the engine.
//! - `engine`: the handling of each event by the mechanisms below; `request`: the requests in progress.
//! - `quota`: leases on a shared count, the fallback while the counter is unavailable, low quotas, ceilings.
//! - `load_shedder`, `wait_queue`, `response_latency`: overload protection.
//! - `endpoint_table`, `endpoint`, `subset`, `load_balancer`: the choice of an endpoint for each attempt.
//! - `concurrency_limit`, `outlier_detection`, `slow_start`: limits on the load of an endpoint.
//! - `retry`, `retry_after`: retries by the gateway and by clients.
//! - [`fleet_clock`]: the clock that gateways share through the counter.
//!
//! # What the host must provide
//!
//! - One engine for each gateway process, and after a restart a new engine with a fresh seed and the last
//!   endpoint list. No two engines share a seed, as they would make the same random choices.
//! - Gateway clocks that differ by much less than the shortest quota window of any plan, as counter keys are
//!   derived from window numbers: gateways whose clocks differ by a window grant the quota twice. A host
//!   whose clock may be wrong keeps a [`fleet_clock::FleetClock`] and reports its offset with
//!   [`Event::FleetClock`].
//! - A counter that adds an amount to a key and returns the total. Each call gets one reply, in the order of
//!   the calls for a key. A call that times out is reported as [`CounterResult::Unknown`].
//! - One [`Event::Timer`] for each [`Action::SetTimer`], at its time or later.
//! - Exactly one [`Event::AttemptEnded`] for each [`Action::ForwardAttempt`], no later than the client's
//!   deadline.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod action;
mod concurrency_limit;
mod endpoint;
mod endpoint_table;
mod engine;
mod event;
pub mod fleet_clock;
mod hash;
mod load_balancer;
mod load_shedder;
mod outlier_detection;
mod quota;
mod random;
mod request;
mod response_latency;
mod retry;
mod retry_after;
mod settings;
mod slow_start;
mod subset;
mod wait_queue;

pub use action::Action;
pub use engine::{MAINTENANCE_TOKEN, PolicyEngine};
pub use event::{
    Arrival, AttemptEnd, CounterResult, EndpointEntry, EndpointState, Event, FleetTime, LoadReport,
    MIN_REPORTED_PAUSE, Outcome,
};
pub use settings::{
    DedupScope, Idempotency, LoadReportSource, QuotaPlan, RequestClass, Settings, SettingsError,
};

/// A name that the host chooses and the policy returns unchanged: of a tenant, endpoint, class, plan or zone.
pub type Name = std::sync::Arc<str>;
/// A point in time on the host's clock, or a duration, in milliseconds.
pub type Millis = f64;
/// The number that the host gives a request; never reused.
pub type RequestId = u64;
