//! The event loop of a simulation, in virtual time, and the handlers of all events.

use crate::attempts::AttemptResult;
use crate::clients::ClientRequest;
use crate::connection::EndpointRoute;
use crate::counter::{Counter, CounterCall};
use crate::discovery::Discovery;
use crate::endpoints::{Acceptance, Endpoints, Job, StartedJob};
use crate::error::RunError;
use crate::event_queue::{EventQueue, ReplacementStep, ScheduledEvent, SimEvent};
use crate::experiment::Experiment;
use crate::gateway_process::GatewayProcess;
use crate::list_format::{ListEntry, parse_endpoint_name};
use crate::network::Network;
use crate::random::{Random, Stream};
use crate::report::{Metrics, RejectionReason, Report, ReportInput, WorstRatios, worst_quota_usage};
use crate::requests::{Completion, Requests};
use crate::rollout::{Rollout, RolloutContext};
use crate::setup;
use crate::time::{self, Micros};
use ryefront_policy::{Action, EndpointState, Event, Name, Outcome};

/// Clients start to send requests once all gateways have received their first endpoint list.
const CLIENTS_START_AT: Micros = 50_000;
/// The simulation stops at this time after the last possible deadline, even if client attempts are open.
const MAX_TIME_PAST_LAST_DEADLINE: Micros = 1_000_000;
const SECOND: Micros = 1_000_000;
/// The zone of the counter.
const COUNTER_ZONE: u32 = 0;

struct Simulation<'a> {
    experiment: &'a Experiment,
    now: Micros,
    events: EventQueue,
    gateways: Vec<GatewayProcess>,
    endpoints: Endpoints,
    rollout: Option<Rollout>,
    counter: Counter,
    discovery: Discovery,
    network: Network,
    requests: Requests<'a>,
    /// The reason for a rejection that the type of the current event implies.
    rejection_reason: RejectionReason,
    /// Draws from [`Stream::Service`].
    service_random: Random,
    metrics: Metrics,
}

/// Simulates an experiment with the given seed.
///
/// # Errors
/// When the policy engine rejects the settings of a gateway, or the parser of the gateways an endpoint list.
pub fn run(experiment: &Experiment, seed: u64) -> Result<Report, RunError> {
    let mut simulation = Simulation::new(experiment, seed)?;
    simulation.run()?;
    Ok(simulation.report(seed))
}

impl<'a> Simulation<'a> {
    fn new(experiment: &'a Experiment, seed: u64) -> Result<Self, RunError> {
        let gateway_count = experiment.scale.gateways.unwrap_or(experiment.fleet.gateways);
        let fraction = f64::from(gateway_count) / f64::from(experiment.fleet.gateways);
        let mut random = Random::new(seed, Stream::Fleet);
        let endpoints = setup::endpoints(experiment, fraction, gateway_count, &mut random);
        let gateways = setup::gateways(experiment, gateway_count, &mut random)?;
        let mut simulation = Self {
            experiment,
            now: 0,
            events: EventQueue::default(),
            gateways,
            endpoints,
            rollout: None,
            counter: Counter::new(&experiment.counter, fraction),
            discovery: Discovery::default(),
            network: Network::new(experiment, Random::new(seed, Stream::Network)),
            requests: Requests::new(experiment, fraction, gateway_count, seed),
            rejection_reason: RejectionReason::OnArrival,
            service_random: Random::new(seed, Stream::Service),
            metrics: Metrics::new(),
        };
        simulation.schedule_initial_events(&mut random)?;
        Ok(simulation)
    }

    /// Schedules the first endpoint lists, the first publication, the rollout and the first request.
    fn schedule_initial_events(&mut self, random: &mut Random) -> Result<(), RunError> {
        let endpoint_count = self.endpoints.count() as u32;
        let entries: Vec<ListEntry> = (0..endpoint_count).map(|n| self.endpoints.list_entry(n)).collect();
        let list = self.discovery.publish_snapshot(&entries)?;
        for gateway in 0..self.gateways.len() as u32 {
            let at = setup::gateway_start_time(random);
            self.events.schedule(at, SimEvent::ListReceived { gateway, list });
        }
        self.schedule_publication();
        self.rollout = self.experiment.rollout.as_ref().map(|settings| {
            let speed = self.experiment.endpoints.speed;
            Rollout::schedule(settings, speed, endpoint_count, random, &mut self.events)
        });
        self.requests.schedule_next_request(CLIENTS_START_AT, &mut self.events);
        Ok(())
    }

    fn run(&mut self) -> Result<(), RunError> {
        let end = time::from_s(self.experiment.duration_s);
        let deadlines = self.experiment.classes.iter().map(|class| class.deadline_ms);
        let latest_end = end + time::from_ms(deadlines.fold(0.0, f64::max)) + MAX_TIME_PAST_LAST_DEADLINE;
        let mut second = 0;
        while let Some(ScheduledEvent { at, event, .. }) = self.events.pop() {
            if at > latest_end || (at > end && self.requests.client_attempts.count() == 0) {
                break;
            }
            self.now = at;
            if at / SECOND > second {
                second = at / SECOND;
                self.metrics.audit(&self.requests.client_attempts.counted_open_attempts());
                let attempts = self.requests.client_attempts.last_id();
                let open = self.requests.client_attempts.count();
                tracing::info!(second, attempts, open, "simulated");
            }
            match event {
                SimEvent::ClientRequest(_) | SimEvent::ClientRetry(_) if at > end => {}
                event => self.handle_event(event)?,
            }
        }
        self.metrics.finish(&self.requests.client_attempts.counted_open_attempts());
        Ok(())
    }

    /// Handles an event at the current time.
    fn handle_event(&mut self, event: SimEvent) -> Result<(), RunError> {
        match event {
            SimEvent::ClientRequest(request) => {
                self.requests.schedule_next_request(self.now, &mut self.events);
                let counted = self.now as f64 >= self.experiment.warm_up_s * 1e6;
                self.request_arrived(ClientRequest { counted, ..*request });
            }
            SimEvent::ClientRetry(request) => self.request_arrived(*request),
            SimEvent::GatewayTimer { gateway, token } => {
                self.dispatch(gateway, Event::Timer { token }, RejectionReason::WaitExpired);
            }
            SimEvent::AttemptArrived { endpoint, job } => self.attempt_arrived(endpoint, job),
            SimEvent::JobFinished { endpoint, job } => self.job_finished(endpoint, job),
            SimEvent::AttemptEnded { id, attempt, outcome, queue_length } => {
                if self.requests.client_attempts.is_in_flight(id, attempt) {
                    self.attempt_ended(id, outcome, Some(queue_length));
                }
            }
            SimEvent::ClientDeadline { id } => self.deadline_passed(id),
            SimEvent::ClientDisconnected { id } => self.client_disconnected(id),
            SimEvent::CounterCalled(call) => self.counter_called(&call),
            SimEvent::CounterReplied { gateway, key, result, sent_at } => {
                let latency = time::to_ms(self.now - sent_at);
                let reply = Event::CounterReply { key, result, latency };
                self.dispatch(gateway, reply, RejectionReason::OnCounterReply);
            }
            SimEvent::ChangesPublished => self.publish_changes()?,
            SimEvent::ListReceived { gateway, list } => {
                let published = self.discovery.list(list);
                let event = self.gateways[gateway as usize].receive_list(published, list, self.now);
                self.dispatch(gateway, event, RejectionReason::WaitExpired);
            }
            SimEvent::Replacement(step) => self.perform_replacement_step(step),
        }
        Ok(())
    }

    /// Passes an event to a gateway and performs the actions that it returns.
    fn dispatch(&mut self, gateway: u32, event: Event, rejection_reason: RejectionReason) {
        self.rejection_reason = rejection_reason;
        for action in self.gateways[gateway as usize].handle(self.now, event) {
            self.perform_action(gateway, action);
        }
    }

    fn perform_action(&mut self, gateway: u32, action: Action) {
        match action {
            Action::ForwardAttempt { id, endpoint, .. } => self.forward_attempt(gateway, id, endpoint),
            Action::Reject { id, retry_after } => {
                let reason = self.rejection_reason;
                self.complete(id, Completion::Rejected { retry_after, reason });
            }
            Action::Fail { id } => self.complete(id, Completion::Failed),
            Action::SetTimer { after, token } => {
                let at = self.now + time::from_ms_ceil(after);
                self.events.schedule(at, SimEvent::GatewayTimer { gateway, token });
            }
            Action::IncrementCounter { key, amount, ttl } => {
                let zone = self.gateways[gateway as usize].zone();
                let delay = self.network.network_delay(zone, COUNTER_ZONE);
                let call = CounterCall { gateway, key, amount, ttl, sent_at: self.now };
                self.events.schedule(self.now + delay, SimEvent::CounterCalled(call));
            }
            Action::Log(text) => tracing::debug!(gateway, "{text}"),
            // Attempts are cancelled in `client_disconnected`, without an action. With the settings from
            // `gateway_process::settings`, the policy returns none of these actions.
            Action::CancelAttempt { .. }
            | Action::HealthCheck { .. }
            | Action::Gossip { .. }
            | Action::WatchEndpoints => self.metrics.record_invalid_action(),
        }
    }

    fn forward_attempt(&mut self, gateway: u32, id: u64, endpoint_name: Name) {
        let endpoint = parse_endpoint_name(&endpoint_name).filter(|number| *number < self.endpoints.count());
        let attempt = self.requests.client_attempts.get(id).filter(|attempt| attempt.in_flight.is_none());
        let (Some(endpoint), Some(_)) = (endpoint, attempt) else {
            // A real gateway reports the outcome `NotSent`. In the model, it can only be a bug in the policy.
            return self.metrics.record_invalid_action();
        };
        let endpoint = endpoint as u32;
        self.endpoints.record_attempt(endpoint, gateway, self.now);
        let process = &self.gateways[gateway as usize];
        let rollout = self.rollout.as_ref();
        if rollout.is_some_and(|rollout| rollout.is_past_drain_grace(endpoint, process, self.now)) {
            self.metrics.record_sent_after_drain();
        }
        let route = EndpointRoute {
            gateway_zone: self.gateways[gateway as usize].zone(),
            endpoint_zone: self.endpoints.get(endpoint).zone(),
            endpoint,
        };
        let pool = &mut self.gateways[gateway as usize].connections;
        let connection = pool.connect(&route, &self.experiment.endpoints, &mut self.network, self.now);
        let Some(attempt) = self.requests.client_attempts.get_mut(id) else { return };
        let handshake = connection.handshake;
        let number = attempt.forward(endpoint, endpoint_name, handshake, self.now);
        if attempt.request.counted {
            self.metrics.record_forwarded(&connection);
        }
        let work = attempt.request.work + connection.handshake_work;
        let job = Job { id, attempt: number, gateway, work };
        let arrives_at = self.now + handshake + connection.delay;
        self.events.schedule(arrives_at, SimEvent::AttemptArrived { endpoint, job });
    }

    fn request_arrived(&mut self, request: ClientRequest) {
        let gateway = request.gateway;
        let arrival = self.requests.open_attempt(request, self.now, &mut self.events, &mut self.metrics);
        self.dispatch(gateway, Event::RequestArrived(arrival), RejectionReason::OnArrival);
    }

    fn complete(&mut self, id: u64, completion: Completion) {
        self.requests.complete(id, completion, self.now, &mut self.events, &mut self.metrics);
    }

    /// Handles the end of the attempt in flight, at the time its gateway observes it.
    fn attempt_ended(&mut self, id: u64, outcome: Outcome, queue_length: Option<f64>) {
        let Some(attempt) = self.requests.client_attempts.get_mut(id) else { return };
        let Some(in_flight) = attempt.in_flight.take() else { return };
        let gateway = attempt.request.gateway;
        let attempt_latency = self.now - in_flight.sent_at;
        let added_latency = self.now - attempt.arrived_at - attempt_latency + in_flight.handshake;
        if attempt.request.counted {
            self.metrics.record_forwarded_ended();
        }
        let connections = &mut self.gateways[gateway as usize].connections;
        connections.release(in_flight.endpoint, outcome, self.now);
        if outcome == Outcome::Served {
            self.complete(id, Completion::Served { added_latency });
        }
        let request_finished = !self.requests.client_attempts.is_open(id);
        let result = AttemptResult { id, outcome, request_finished, queue_length };
        self.dispatch(gateway, in_flight.into_event(result, self.now), RejectionReason::WaitExpired);
    }

    fn deadline_passed(&mut self, id: u64) {
        if self.requests.client_attempts.get(id).is_some_and(|attempt| attempt.in_flight.is_some()) {
            self.attempt_ended(id, Outcome::TimedOut, None);
        }
        // The gateway must have completed the client attempt by now. If it has not, the client disconnects.
        if self.requests.client_attempts.get(id).is_some_and(|attempt| attempt.request.counted) {
            self.metrics.record_incomplete_at_deadline();
        }
        self.client_disconnected(id);
    }

    fn client_disconnected(&mut self, id: u64) {
        let Some(attempt) = self.requests.client_attempts.get_mut(id) else { return };
        let gateway = attempt.request.gateway;
        let in_flight = attempt.in_flight.take();
        if attempt.request.counted && in_flight.is_some() {
            self.metrics.record_forwarded_ended();
        }
        self.complete(id, Completion::ClientDisconnected);
        self.dispatch(gateway, Event::ClientDisconnected { id }, RejectionReason::WaitExpired);
        let Some(in_flight) = in_flight else { return };
        // The attempt in flight is cancelled with its request, and its end is reported to the gateway.
        let outcome = Outcome::Cancelled;
        let result = AttemptResult { id, outcome, request_finished: true, queue_length: None };
        self.dispatch(gateway, in_flight.into_event(result, self.now), RejectionReason::WaitExpired);
    }

    fn attempt_arrived(&mut self, endpoint: u32, job: Job) {
        if !self.requests.client_attempts.is_awaiting(&job) {
            return;
        }
        if self.endpoints.get(endpoint).state() == EndpointState::Removed {
            return self.respond(endpoint, job, Outcome::ConnectFailed);
        }
        // A client attempt is charged once, when its first forwarded attempt arrives.
        if let Some(attempt) =
            self.requests.client_attempts.get_mut(job.id).filter(|attempt| attempt.quota_check.is_none())
        {
            let request = &attempt.request;
            attempt.quota_check = Some(self.requests.tenants.charge(request.tenant, request.units, self.now));
        }
        match self.endpoints.accept(endpoint, job, self.now) {
            Acceptance::Started { service_time } => {
                self.events.schedule(self.now + service_time, SimEvent::JobFinished { endpoint, job });
            }
            Acceptance::Queued => {}
            Acceptance::Rejected => self.respond(endpoint, job, Outcome::Rejected),
        }
    }

    fn job_finished(&mut self, endpoint: u32, job: Job) {
        let error = self.service_random.uniform() < self.experiment.endpoints.error_rate;
        self.respond(endpoint, job, if error { Outcome::Error } else { Outcome::Served });
        let attempts = &self.requests.client_attempts;
        let next = self.endpoints.start_next(endpoint, self.now, |job| attempts.is_awaiting(job));
        if let Some(StartedJob { job, service_time }) = next {
            self.events.schedule(self.now + service_time, SimEvent::JobFinished { endpoint, job });
        }
    }

    fn respond(&mut self, endpoint: u32, job: Job, outcome: Outcome) {
        let endpoint = self.endpoints.get(endpoint);
        let queue_length = endpoint.queue_length() as f64;
        let delay = self.network.network_delay(endpoint.zone(), self.gateways[job.gateway as usize].zone());
        let Job { id, attempt, .. } = job;
        let event = SimEvent::AttemptEnded { id, attempt, outcome, queue_length };
        self.events.schedule(self.now + delay, event);
    }

    fn perform_replacement_step(&mut self, step: ReplacementStep) {
        let context = RolloutContext {
            endpoints: &mut self.endpoints,
            discovery: &mut self.discovery,
            events: &mut self.events,
            random: &mut self.service_random,
        };
        if let Some(rollout) = &mut self.rollout {
            rollout.perform(step, self.now, context);
        }
    }

    fn counter_called(&mut self, call: &CounterCall) {
        let reply = self.counter.serve(call, self.now, &mut self.service_random);
        let zone = self.gateways[call.gateway as usize].zone();
        let delay = self.network.network_delay(COUNTER_ZONE, zone);
        let reply = self.counter.reply_at_gateway(call, &reply, delay, self.now);
        let CounterCall { gateway, key, sent_at, .. } = *call;
        let event = SimEvent::CounterReplied { gateway, key, result: reply.result, sent_at };
        self.events.schedule(reply.at, event);
    }

    fn schedule_publication(&mut self) {
        let period = time::from_ms(self.experiment.discovery.publish_period_ms);
        self.events.schedule(self.now + period, SimEvent::ChangesPublished);
    }

    fn publish_changes(&mut self) -> Result<(), RunError> {
        self.schedule_publication();
        let Some(list) = self.discovery.publish_changes()? else { return Ok(()) };
        if let Some(rollout) = &mut self.rollout {
            rollout.record_published_drains(list);
        }
        for gateway in 0..self.gateways.len() as u32 {
            let delay = self.network.notification_delay(&self.experiment.discovery);
            self.events.schedule(self.now + delay, SimEvent::ListReceived { gateway, list });
        }
        Ok(())
    }

    fn report(self, seed: u64) -> Report {
        let counter = self.counter.statistics();
        let worst_ratios = WorstRatios {
            quota_usage: worst_quota_usage(self.experiment, &self.requests.tenants, counter),
            slow_start: self.endpoints.slow_start().worst_ratio,
        };
        Report::new(&ReportInput {
            experiment: self.experiment,
            seed,
            quota_demand: self.requests.quota_demand(),
            worst_ratios,
            tenant_count: self.requests.tenants.iter().len(),
            gateways: &self.gateways,
            endpoints: &self.endpoints,
            counter,
            list_count: self.discovery.list_count(),
            metrics: self.metrics,
        })
    }
}
