//! Which requests may be retried, and until when.
//!
//! A request may be retried if none of its attempts can have run. If one may have run, the request may be
//! retried if its class is idempotent, or if it carries an idempotency key and the retry reaches an endpoint
//! of the same dedup scope within the dedup window.

use crate::request::Request;
use crate::{DedupScope, Idempotency, Millis, RequestClass, Settings};

/// The last attempt is forwarded at least this many ticks before the client's deadline, so that the client
/// can be answered in time.
const ANSWER_MARGIN_TICKS: f64 = 2.0;
/// The longest pause of a host between reading its clock and writing to a socket, as specified by the
/// operators.
pub(crate) const MAX_HOST_PAUSE: Millis = 150.0;
/// The most attempts of an idempotent request that may have run, including attempts that cannot have run: a
/// request that failed at two endpoints may overload a third.
const MAX_ATTEMPTS_ONCE_AMBIGUOUS: u32 = 2;

/// Returns whether another attempt of a request may be forwarded.
pub(crate) fn may_retry(request: &Request, settings: &Settings, now: Millis) -> bool {
    let class = &settings.classes[request.class];
    let safe = match (&request.first_ambiguous_attempt, class.idempotency) {
        (None, _) | (_, Idempotency::WithKey) => true,
        (_, Idempotency::Idempotent) => request.attempts < MAX_ATTEMPTS_ONCE_AMBIGUOUS,
        (Some(_), Idempotency::NonIdempotent) => false,
    };
    safe && now < forward_deadline(request, settings) && request.attempts < settings.max_attempts
}

/// Returns whether a retry by the client is safe. A rejection promises that it is, so a request
/// without another attempt fails where it is not.
pub(crate) fn is_client_retry_safe(request: &Request, class: &RequestClass) -> bool {
    request.first_ambiguous_attempt.is_none()
        || class.idempotency == Idempotency::Idempotent
        || (class.idempotency == Idempotency::WithKey && class.dedup_scope == DedupScope::All)
}

/// Returns the end of the dedup window of a request with an idempotency key that may have run.
pub(crate) fn dedup_deadline(request: &Request, class: &RequestClass) -> Option<Millis> {
    let attempt = request.first_ambiguous_attempt.as_ref()?;
    (class.idempotency == Idempotency::WithKey).then_some(attempt.sent_at + class.dedup_window)
}

/// Returns the latest time at which a request may be forwarded.
///
/// A retry with an idempotency key has to arrive within the dedup window, even if connecting takes the whole
/// connect timeout or the host pauses.
pub(crate) fn forward_deadline(request: &Request, settings: &Settings) -> Millis {
    let margin = settings.connect_timeout.max(MAX_HOST_PAUSE);
    let dedup_deadline = dedup_deadline(request, &settings.classes[request.class]);
    let last_retry = dedup_deadline.map_or(f64::INFINITY, |deadline| deadline - margin);
    request.deadline.min(last_retry) - ANSWER_MARGIN_TICKS * settings.tick
}
