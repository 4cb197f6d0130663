//! A policy engine driven by scripted events.

use super::actions::{counter_call, forwarded};
use super::settings::endpoint;
use ryefront_policy::*;

/// An engine, its clock and the actions of the last event.
pub(crate) struct TestGateway {
    pub(crate) engine: PolicyEngine,
    pub(crate) now: Millis,
    pub(crate) actions: Vec<Action>,
}

impl TestGateway {
    pub(crate) fn new(settings: Settings, endpoints: &[&str]) -> Self {
        Self::seeded(settings, 1, endpoints)
    }

    pub(crate) fn seeded(settings: Settings, seed: u64, endpoints: &[&str]) -> Self {
        let engine = PolicyEngine::new(settings, seed).expect("usable settings");
        let mut gateway = Self { engine, now: 1000.0, actions: Vec::new() };
        let list = endpoints.iter().map(|name| endpoint(name, EndpointState::Ready, None)).collect();
        gateway.handle(Event::EndpointSnapshot(list));
        gateway
    }

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

    /// A first attempt of a tenant that two gateways serve.
    pub(crate) fn request(&mut self, id: RequestId, tenant: &str, plan: &str, class: &str) -> Vec<Action> {
        self.request_as(id, tenant, plan, class, false, 2)
    }

    /// A request of a tenant that so many gateways serve, as a first attempt or as the client's retry.
    pub(crate) fn request_as(
        &mut self, id: RequestId, tenant: &str, plan: &str, class: &str, client_retry: bool,
        gateways_per_tenant: u32,
    ) -> Vec<Action> {
        self.handle(Event::RequestArrived(Arrival {
            id,
            tenant: tenant.into(),
            plan: plan.into(),
            class: class.into(),
            units: 1.0,
            client_retry,
            time_to_deadline: 2000.0,
            first_gateway: 0,
            gateways_per_tenant,
        }))
    }

    pub(crate) fn end_attempt(
        &mut self, id: RequestId, attempt: u32, endpoint: &Name, outcome: Outcome,
    ) -> Vec<Action> {
        self.end_attempt_after(100.0, id, attempt, endpoint, outcome)
    }

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
        if let Some((key, amount)) = counter_call(&actions) {
            actions = self.reply_total(key, amount);
        }
        forwarded(&actions).expect("forwarded").1
    }
}
