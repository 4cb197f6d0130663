//! Encodes actions as lines.

use crate::wire::{ALL_PEERS, TRUE, action};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use ryefront_policy::{Action, Millis};
use std::fmt::Write as _;

/// How the protocol represents an attempt without a timeout.
const NO_TIMEOUT: Millis = 0.0;

/// Appends the line for an action of an instance to a reply.
pub(crate) fn write_action(reply: &mut String, instance: u64, action: &Action) {
    // Writing to a String cannot fail.
    let _ = match action {
        // The simulator sends an attempt in a single step, so the write timeout does not apply.
        Action::ForwardAttempt { id, endpoint, timeout, write_timeout: _ } => {
            let timeout = timeout.unwrap_or(NO_TIMEOUT);
            writeln!(reply, "{}\t{instance}\t{id}\t{endpoint}\t{timeout:.3}", action::FORWARD_ATTEMPT)
        }
        Action::Reject { id, retry_after } => {
            writeln!(reply, "{}\t{instance}\t{id}\t{retry_after:.3}", action::REJECT)
        }
        Action::Fail { id } => writeln!(reply, "{}\t{instance}\t{id}", action::FAIL),
        Action::CancelAttempt { id, attempt } => {
            writeln!(reply, "{}\t{instance}\t{id}\t{attempt}", action::CANCEL_ATTEMPT)
        }
        Action::SetTimer { after, token } => {
            writeln!(reply, "{}\t{instance}\t{after:.3}\t{token}", action::SET_TIMER)
        }
        Action::HealthCheck { endpoint } => {
            writeln!(reply, "{}\t{instance}\t{endpoint}", action::HEALTH_CHECK)
        }
        Action::IncrementCounter { key, amount, ttl } => {
            writeln!(reply, "{}\t{instance}\t{key}\t{amount:.6}\t{ttl:.3}", action::INCREMENT_COUNTER)
        }
        Action::Gossip { bytes } => {
            writeln!(reply, "{}\t{instance}\t{ALL_PEERS}\t{}", action::GOSSIP, STANDARD.encode(bytes))
        }
        Action::WatchEndpoints => writeln!(reply, "{}\t{instance}\t{TRUE}", action::WATCH_ENDPOINTS),
        Action::Log(text) => {
            writeln!(reply, "{}\t{instance}\t{}", action::LOG, text.replace(['\n', '\t'], " "))
        }
    };
}
