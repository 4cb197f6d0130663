//! The polls to discovery that have had no response yet.

use crate::discovery::backoff::MAX_OUTSTANDING_POLLS;
use crate::discovery::poll::{PollError, PollQuery, PollResponse, poll};
use crate::http_connection::Connection;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::Poll;
use tokio::time::Instant;

type PollFuture = Pin<Box<dyn Future<Output = Result<PollResponse, PollError>>>>;

struct OutstandingPoll {
    query: PollQuery,
    /// When the wait for changes ends, so that the response is due.
    due_at: Instant,
    future: PollFuture,
}

/// A poll that has ended.
pub(super) struct EndedPoll {
    pub(super) query: PollQuery,
    /// When the response was due.
    pub(super) due_at: Instant,
    pub(super) result: Result<PollResponse, PollError>,
    /// Whether a later poll has had no response yet.
    pub(super) has_successor: bool,
}

/// The outstanding polls in the order in which they began. Dropping them closes their connections.
#[derive(Default)]
pub(super) struct OutstandingPolls {
    polls: Vec<OutstandingPoll>,
}

impl OutstandingPolls {
    /// Starts a poll, on `connection` if there is one. Returns when its response is due.
    ///
    /// If there are too many, the poll that began most closely after the one before it is given up. Those
    /// that remain are spread over the longest time, so that a response is received however late it is.
    pub(super) fn start(&mut self, query: PollQuery, connection: Option<Connection>) -> Instant {
        if self.polls.len() >= MAX_OUTSTANDING_POLLS {
            let closest = (1..self.polls.len())
                .min_by_key(|index| self.polls[*index].due_at - self.polls[index - 1].due_at);
            self.polls.remove(closest.unwrap_or_default());
        }
        let due_at = Instant::now() + query.wait;
        self.polls.push(OutstandingPoll { query, due_at, future: Box::pin(poll(query, connection)) });
        due_at
    }

    /// Whether there are no polls.
    pub(super) fn is_empty(&self) -> bool {
        self.polls.is_empty()
    }

    /// Gives up the polls whose responses were due before this time.
    pub(super) fn give_up_due_before(&mut self, time: Instant) {
        self.polls.retain(|outstanding| outstanding.due_at >= time);
    }

    /// Gives up all polls.
    pub(super) fn clear(&mut self) {
        self.polls.clear();
    }

    /// Resolves when a poll ends; never if there are none. A response gives up the polls that began earlier:
    /// they are lost, or their lists are older. Of several responses that have arrived, the one to the latest
    /// poll is therefore read first.
    pub(super) async fn next_ended(&mut self) -> EndedPoll {
        let (index, result) = poll_fn(|cx| {
            let ready = self.polls.iter_mut().enumerate().rev().find_map(|(index, outstanding)| {
                match outstanding.future.as_mut().poll(cx) {
                    Poll::Ready(result) => Some((index, result)),
                    Poll::Pending => None,
                }
            });
            ready.map_or(Poll::Pending, Poll::Ready)
        })
        .await;
        let has_successor = index + 1 < self.polls.len();
        let OutstandingPoll { query, due_at, .. } = self.polls.remove(index);
        if result.is_ok() {
            self.polls.drain(..index);
        }
        EndedPoll { query, due_at, result, has_successor }
    }
}
