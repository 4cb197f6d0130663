//! The decisions of a quota gateway: quotas, load balancing, retries and load shedding.
//!
//! A fleet of gateways meters many tenants' use of one shared service. This crate does no I/O, reads no clock
//! and draws no randomness beyond its seed: the host passes each [`Event`] with its time to a
//! [`PolicyEngine`] and performs the [`Action`]s that come back.
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
//! - `settings`, `event`, `action`: what goes in and what comes out.
//! - `engine`: the way of an event through the mechanisms; `request`: the requests in progress.
//! - `quota`: leases on a shared count, the fallback while the counter is unavailable, low quotas, ceilings.
//! - `load_shedder`, `wait_queue`, `response_latency`: what happens under overload.
//! - `endpoint_table`, `endpoint`, `subset`, `load_balancer`: which endpoint an attempt is forwarded to.
//! - `concurrency_limit`, `outlier_detection`, `slow_start`: how much an endpoint gets.
//! - `retry`, `retry_after`: what may be retried, here and by clients.
//! - [`fleet_clock`]: the time that gateways agree on through the counter.
//!
//! # What the host must provide
//!
//! - One engine for each gateway process. After a restart, a new engine with a fresh seed and the last
//!   endpoint list. No two engines share a seed, or they would make the same random choices.
//! - Clocks that agree among gateways to well within the shortest quota window of any plan, as counter keys
//!   are derived from window numbers: gateways whose clocks differ by a window grant the quota twice. A host
//!   whose clock may be off keeps a [`fleet_clock::FleetClock`] and reports its offset with
//!   [`Event::FleetClock`].
//! - A counter that adds an amount to a key and returns the total. A call without a reply in time is reported
//!   as [`CounterResult::Unknown`]. Each call gets one reply, in the order of the calls of a key.
//! - Every timer that was set, once, at or after its time.
//! - Exactly one [`Event::AttemptEnded`] for every [`Action::ForwardAttempt`], by the client's deadline at
//!   the latest.

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

/// A name that the host passes in and gets back unchanged: a tenant, endpoint, class, plan or zone.
pub type Name = std::sync::Arc<str>;
/// Milliseconds: a point in time on the host's clock, or a duration.
pub type Millis = f64;
/// The host's number for a request; never used twice.
pub type RequestId = u64;
