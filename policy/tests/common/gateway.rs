//! A policy engine driven by scripted events.

use super::actions::{CounterCall, counter_call, forwarded};
use super::settings::{arrival, endpoint};
use ryefront_policy::*;

/// An engine with a clock that the test sets.
pub(crate) struct TestGateway {
    pub(crate) engine: PolicyEngine,
    /// The time of the next event.
    pub(crate) now: Millis,
    /// The actions of the last event.
    pub(crate) actions: Vec<Action>,
}

impl TestGateway {
    /// Returns a gateway that has handled a snapshot of ready endpoints, with a fixed seed.
    pub(crate) fn new(settings: Settings, endpoints: &[&str]) -> Self {
        Self::seeded(settings, 1, endpoints)
    }

    /// Returns a gateway that has handled a snapshot of ready endpoints, with a given seed.
    pub(crate) fn seeded(settings: Settings, seed: u64, endpoints: &[&str]) -> Self {
        let engine = PolicyEngine::new(settings, seed).expect("valid settings");
        let mut gateway = Self { engine, now: 1000.0, actions: Vec::new() };
        let list = endpoints.iter().map(|name| endpoint(name, EndpointState::Ready, None)).collect();
        gateway.handle(Event::EndpointSnapshot(list));
        gateway
    }

    /// Handles an event at the time `now`, and returns the actions.
    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        self.actions.clear();
        self.engine.handle(self.now, event, &mut self.actions);
        self.actions.clone()
    }

    /// Advances the clock, and fires the maintenance timer and the timers of the given requests.
    pub(crate) fn advance(&mut self, duration: Millis, requests: &[RequestId]) -> Vec<Action> {
        self.now += duration;
        let mut all = self.handle(Event::Timer { token: MAINTENANCE_TOKEN });
        for id in requests {
            all.extend(self.handle(Event::Timer { token: id * 2 }));
        }
        all
    }

    /// Handles the arrival of a request of one unit, from a tenant that two gateways serve.
    pub(crate) fn request(&mut self, id: RequestId, tenant: &str, plan: &str, class: &str) -> Vec<Action> {
        self.handle(Event::RequestArrived(arrival(id, tenant, plan, class)))
    }

    /// Ends an attempt with a latency of 100 ms.
    pub(crate) fn end_attempt(
        &mut self, id: RequestId, attempt: u32, endpoint: &Name, outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_after(100.0, id, attempt, endpoint, outcome)
    }

    /// Ends an attempt with a given latency. The request is finished if it was served.
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

    /// Handles the arrival of a request and the reply to its counter call, if it makes one; the total is the
    /// amount that this gateway adds. Returns the endpoint that the request is forwarded to.
    pub(crate) fn forward_request(&mut self, id: RequestId, tenant: &str, plan: &str, class: &str) -> Name {
        let mut actions = self.request(id, tenant, plan, class);
        if let Some(CounterCall { key, amount }) = counter_call(&actions) {
            actions = self.reply_total(key, amount);
        }
        forwarded(&actions).expect("request is forwarded").1
    }
}
