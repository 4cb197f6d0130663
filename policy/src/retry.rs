//! What may be retried, and until when.
//!
//! A request whose earlier attempts surely never ran may always be retried. One that may have run may be
//! retried if its class is idempotent, or if it carries an idempotency key and the retry reaches an endpoint
//! of the same dedup scope within the dedup window.

use crate::request::Request;
use crate::{DedupScope, Idempotency, Millis, RequestClass, Settings};

/// An answer must be out this many ticks before the client's deadline.
const ANSWER_MARGIN_TICKS: f64 = 2.0;
/// The longest pause of a host between reading its clock and writing, by the operators' terms.
pub(crate) const MAX_HOST_PAUSE: Millis = 150.0;
/// An idempotent request that may have run gets no more attempts than this, those that never ran included: a
/// request that two endpoints have failed may overload a third.
const MAX_ATTEMPTS_ONCE_AMBIGUOUS: u32 = 2;

/// Returns whether a request may be forwarded once more.
pub(crate) fn may_retry(request: &Request, settings: &Settings, now: Millis) -> bool {
    let class = &settings.classes[request.class];
    let safe = match (&request.first_ambiguous_attempt, class.idempotency) {
        (None, _) | (_, Idempotency::WithKey) => true,
        (_, Idempotency::Idempotent) => request.attempts < MAX_ATTEMPTS_ONCE_AMBIGUOUS,
        (Some(_), Idempotency::NonIdempotent) => false,
    };
    safe && now < forward_deadline(request, settings) && request.attempts < settings.max_attempts
}

/// Returns whether a request may be rejected, which promises that a retry by the client is harmless.
pub(crate) fn may_reject(request: &Request, class: &RequestClass) -> bool {
    request.first_ambiguous_attempt.is_none()
        || class.idempotency == Idempotency::Idempotent
        || (class.idempotency == Idempotency::WithKey && class.dedup_scope == DedupScope::All)
}

/// Returns when the dedup window of a keyed request that may have run ends.
pub(crate) fn dedup_deadline(request: &Request, class: &RequestClass) -> Option<Millis> {
    let attempt = request.first_ambiguous_attempt.as_ref()?;
    (class.idempotency == Idempotency::WithKey).then_some(attempt.sent_at + class.dedup_window)
}

/// Returns the latest time at which a request may be forwarded.
///
/// A keyed retry has to arrive within the dedup window, while its connection may take all of the connect
/// timeout to come up and the host may pause.
pub(crate) fn forward_deadline(request: &Request, settings: &Settings) -> Millis {
    let margin = settings.connect_timeout.max(MAX_HOST_PAUSE);
    let dedup_deadline = dedup_deadline(request, &settings.classes[request.class]);
    let last_retry = dedup_deadline.map_or(f64::INFINITY, |deadline| deadline - margin);
    request.deadline.min(last_retry) - ANSWER_MARGIN_TICKS * settings.tick
}
