//! The invariants that a gateway's actions must keep: no attempts at draining endpoints, at most one attempt
//! in flight for each request, retries only as the request class allows, one final response by the deadline,
//! and a bounded number of counter calls in flight.

use ryefront_policy::*;
use std::collections::BTreeMap;

/// The indices of the request classes in the settings.
const IDEMPOTENT: usize = 0;
const KEYED: usize = 1;
const NON_IDEMPOTENT: usize = 2;

/// A final response may come this long after the deadline, as the clock advances in steps of up to 11 ms.
const RESPONSE_TOLERANCE: Millis = 16.0;
/// The maximum number of counter calls in flight.
const MAX_COUNTER_CALLS_IN_FLIGHT: usize = 64;

/// An attempt that the engine forwarded.
#[derive(Clone)]
pub(crate) struct ForwardedAttempt {
    pub(crate) endpoint: Name,
    pub(crate) sent_at: Millis,
}

/// The state of a request as tracked by the test.
pub(crate) struct TrackedRequest {
    class: usize,
    pub(crate) deadline: Millis,
    pub(crate) attempts: u32,
    pub(crate) in_flight: Option<ForwardedAttempt>,
    /// The first attempt that may have run.
    pub(crate) first_ambiguous_attempt: Option<ForwardedAttempt>,
    /// Whether the request has had its final response or its client has disconnected.
    pub(crate) finished: bool,
}

impl TrackedRequest {
    pub(crate) fn new(class: usize, deadline: Millis) -> Self {
        Self { class, deadline, attempts: 0, in_flight: None, first_ambiguous_attempt: None, finished: false }
    }

    fn is_overdue(&self, now: Millis) -> bool {
        !self.finished && self.in_flight.is_none() && now > self.deadline + RESPONSE_TOLERANCE
    }
}

/// The expiry time of a timer in whole milliseconds, and a tie-breaker made of its token and the number of
/// timers set at that moment.
type TimerKey = (u64, u64);

/// Checks that all actions keep the invariants, and tracks the attempts, counter calls and timers they start.
#[derive(Default)]
pub(crate) struct InvariantChecker {
    settings: Settings,
    pub(crate) requests: BTreeMap<RequestId, TrackedRequest>,
    /// The keys of the counter calls in flight.
    pub(crate) counter_calls: Vec<u64>,
    /// The tokens of the timers that are set.
    timers: BTreeMap<TimerKey, u64>,
    /// Whether each endpoint is draining.
    pub(crate) draining: BTreeMap<Name, bool>,
    pub(crate) final_responses: usize,
}

impl InvariantChecker {
    /// Creates a checker for a gateway whose endpoints are all ready.
    pub(crate) fn new(settings: Settings, endpoints: &[&str]) -> Self {
        let draining = endpoints.iter().map(|name| (Name::from(*name), false)).collect();
        Self { settings, draining, ..Self::default() }
    }

    /// Checks the actions that a gateway returned at time `now`.
    pub(crate) fn check(&mut self, now: Millis, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::ForwardAttempt { id, endpoint, .. } => self.on_forwarded(now, id, endpoint),
                Action::Reject { id, .. } => self.on_rejected(now, id),
                Action::Fail { id } => {
                    self.on_final_response(now, id);
                }
                Action::CancelAttempt { id, .. } => {
                    let class = self.requests[&id].class;
                    assert!(class != NON_IDEMPOTENT, "a non-idempotent attempt was cancelled");
                }
                Action::SetTimer { after, token } => self.set_timer(now + after, token),
                Action::IncrementCounter { key, .. } => self.on_counter_call(key),
                Action::HealthCheck { .. }
                | Action::Gossip { .. }
                | Action::WatchEndpoints
                | Action::Log(_) => {}
            }
        }
    }

    fn on_forwarded(&mut self, now: Millis, id: RequestId, endpoint: Name) {
        let is_draining = self.draining.get(&endpoint).copied().unwrap_or(true);
        assert!(!is_draining, "an attempt was forwarded to the draining or unknown endpoint {endpoint}");
        let request = self.requests.get_mut(&id).expect("a known request");
        assert!(
            !request.finished && request.in_flight.is_none(),
            "a second attempt in flight, or an attempt after the final response"
        );
        if let Some(first) = &request.first_ambiguous_attempt {
            assert_retry_allowed(&self.settings, request.class, first, &endpoint, now);
        }
        request.attempts += 1;
        // A first attempt is allowed even if the setting is 0.
        let max_attempts = self.settings.max_attempts.max(1);
        assert!(request.attempts <= max_attempts, "more attempts than max_attempts allows");
        request.in_flight = Some(ForwardedAttempt { endpoint, sent_at: now });
    }

    fn on_rejected(&mut self, now: Millis, id: RequestId) {
        let keyed_is_safe_to_retry = self.settings.classes[KEYED].dedup_scope == DedupScope::All;
        let request = self.on_final_response(now, id);
        let safe_to_retry = match request.class {
            IDEMPOTENT => true,
            KEYED => keyed_is_safe_to_retry,
            _ => false,
        };
        assert!(
            request.first_ambiguous_attempt.is_none() || safe_to_retry,
            "a request that may have run and is unsafe to retry was rejected"
        );
    }

    pub(crate) fn on_final_response(&mut self, now: Millis, id: RequestId) -> &TrackedRequest {
        let request = self.requests.get_mut(&id).expect("a known request");
        assert!(!request.finished, "two final responses");
        assert!(now <= request.deadline + RESPONSE_TOLERANCE, "a final response after the deadline");
        request.finished = true;
        self.final_responses += 1;
        request
    }

    fn on_counter_call(&mut self, key: u64) {
        assert!(!self.counter_calls.contains(&key), "two counter calls in flight for one key");
        self.counter_calls.push(key);
        assert!(
            self.counter_calls.len() <= MAX_COUNTER_CALLS_IN_FLIGHT,
            "more counter calls in flight than allowed"
        );
    }

    fn set_timer(&mut self, expires_at: Millis, token: u64) {
        let order = self.timers.len() as u64;
        self.timers.insert((expires_at.ceil() as u64, token << 8 | order & 0xff), token);
    }

    /// Removes the earliest timer if it has expired, and returns its token.
    pub(crate) fn take_expired_timer(&mut self, now: Millis) -> Option<u64> {
        let first = self.timers.first_entry()?;
        let expires_at = first.key().0 as f64;
        (expires_at <= now).then(|| first.remove())
    }

    pub(crate) fn overdue_request(&self, now: Millis) -> Option<RequestId> {
        self.requests.iter().find(|(_, request)| request.is_overdue(now)).map(|(id, _)| *id)
    }
}

/// Asserts that a request that may have run in the attempt `first` may be retried on `endpoint`.
fn assert_retry_allowed(
    settings: &Settings, class: usize, first: &ForwardedAttempt, endpoint: &Name, now: Millis,
) {
    assert!(class != NON_IDEMPOTENT, "a non-idempotent request was retried");
    let keyed = &settings.classes[KEYED];
    let same_cell = first.endpoint.starts_with('a') == endpoint.starts_with('a');
    let in_scope = keyed.dedup_scope == DedupScope::All || same_cell;
    let in_window = now + settings.connect_timeout < first.sent_at + keyed.dedup_window;
    assert!(
        class == IDEMPOTENT || in_scope && in_window,
        "a keyed request was retried outside its dedup scope or window"
    );
}
