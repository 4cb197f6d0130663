//! Queries on the actions of an event.

use ryefront_policy::{Action, Name, RequestId};

/// An increment of the shared counter.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CounterCall {
    pub(crate) key: u64,
    pub(crate) amount: f64,
}

/// Returns the first counter call.
pub(crate) fn counter_call(actions: &[Action]) -> Option<CounterCall> {
    actions.iter().find_map(|action| match action {
        Action::IncrementCounter { key, amount, .. } => Some(CounterCall { key: *key, amount: *amount }),
        _ => None,
    })
}

/// Returns the request and the endpoint of the first forwarded attempt.
pub(crate) fn forwarded(actions: &[Action]) -> Option<(RequestId, Name)> {
    actions.iter().find_map(|action| match action {
        Action::ForwardAttempt { id, endpoint, .. } => Some((*id, endpoint.clone())),
        _ => None,
    })
}

/// Returns the number of forwarded attempts.
pub(crate) fn forward_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::ForwardAttempt { .. })).count()
}

pub(crate) fn is_rejected(actions: &[Action], request: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { id, .. } if *id == request))
}

pub(crate) fn is_failed(actions: &[Action], request: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { id } if *id == request))
}
