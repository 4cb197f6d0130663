//! A policy engine driven by scripted events.

use super::actions::{CounterCall, counter_call, forwarded};
use super::settings::{arrival, endpoint};
use ryefront_policy::*;

/// An engine that handles events at a time which the test sets.
pub(crate) struct TestGateway {
    pub(crate) engine: PolicyEngine,
    /// The time of the next event.
    pub(crate) now: Millis,
    /// The actions of the last event.
    pub(crate) actions: Vec<Action>,
}

impl TestGateway {
    /// Returns a gateway that has been passed a list of ready endpoints.
    pub(crate) fn new(settings: Settings, endpoints: &[&str]) -> Self {
        Self::seeded(settings, 1, endpoints)
    }

    /// The same, with a seed of its own.
    pub(crate) fn seeded(settings: Settings, seed: u64, endpoints: &[&str]) -> Self {
        let engine = PolicyEngine::new(settings, seed).expect("usable settings");
        let mut gateway = Self { engine, now: 1000.0, actions: Vec::new() };
        let list = endpoints.iter().map(|name| endpoint(name, EndpointState::Ready, None)).collect();
        gateway.handle(Event::EndpointSnapshot(list));
        gateway
    }

    /// Handles an event, and returns the actions.
    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        self.actions.clear();
        self.engine.handle(self.now, event, &mut self.actions);
        self.actions.clone()
    }

    /// Advances the clock, and expires the maintenance timer and the timers of the given requests.
    pub(crate) fn advance(&mut self, span: Millis, requests: &[RequestId]) -> Vec<Action> {
        self.now += span;
        let mut all = self.handle(Event::Timer { token: 1 });
        for id in requests {
            all.extend(self.handle(Event::Timer { token: id * 2 }));
        }
        all
    }

    /// Handles a first attempt of one unit, of a tenant that two gateways serve.
    pub(crate) fn request(&mut self, id: RequestId, tenant: &str, plan: &str, class: &str) -> Vec<Action> {
        self.handle(Event::RequestArrived(arrival(id, tenant, plan, class)))
    }

    /// Ends an attempt after 100 ms in flight.
    pub(crate) fn end_attempt(
        &mut self, id: RequestId, attempt: u32, endpoint: &Name, outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_after(100.0, id, attempt, endpoint, outcome)
    }

    /// Ends an attempt after some time in flight; the request is finished if it was served.
    pub(crate) fn end_attempt_after(
        &mut self, latency: Millis, id: RequestId, attempt: u32, endpoint: &Name, outcome: Outcome,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            endpoint: endpoint.clone(),
            outcome,
            latency,
            actual_units: None,
            request_finished: outcome == Outcome::Served,
            load_report: None,
        }))
    }

    /// Replies to a counter call with a total.
    pub(crate) fn reply_total(&mut self, key: u64, total: f64) -> Vec<Action> {
        self.handle(Event::CounterReply { key, result: CounterResult::Total(total), latency: 2.0 })
    }

    /// Makes a request whose counter call, if there is one, returns what this gateway adds. Returns where the
    /// request was forwarded.
    pub(crate) fn forward_request(&mut self, id: RequestId, tenant: &str, plan: &str, class: &str) -> Name {
        let mut actions = self.request(id, tenant, plan, class);
        if let Some(CounterCall { key, amount }) = counter_call(&actions) {
            actions = self.reply_total(key, amount);
        }
        forwarded(&actions).expect("forwarded").1
    }
}
