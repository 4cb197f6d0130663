//! What a list of actions holds.

use ryefront_policy::{Action, Name, RequestId};

/// A call that the counter is to answer.
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

/// Returns request and endpoint of the first attempt that is forwarded.
pub(crate) fn forwarded(actions: &[Action]) -> Option<(RequestId, Name)> {
    actions.iter().find_map(|action| match action {
        Action::ForwardAttempt { id, endpoint, .. } => Some((*id, endpoint.clone())),
        _ => None,
    })
}

/// Returns how many attempts are forwarded.
pub(crate) fn forward_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::ForwardAttempt { .. })).count()
}

/// Returns whether a request is rejected.
pub(crate) fn is_rejected(actions: &[Action], request: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { id, .. } if *id == request))
}

/// Returns whether a request fails.
pub(crate) fn is_failed(actions: &[Action], request: RequestId) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { id } if *id == request))
}
