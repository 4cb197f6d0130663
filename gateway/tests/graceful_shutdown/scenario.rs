//! What a seed draws.

use crate::common::CounterBehavior;
use fastrand::Rng;
use std::time::Duration;

/// SIGKILL comes no sooner than the longest deadline and this after SIGTERM.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// A longer deadline counts as this for [`KILL_GRACE`].
const MAX_COUNTED_DEADLINE: Duration = Duration::from_millis(3000);

/// A signal that a gateway handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Signal {
    Hangup,
    Terminate,
}

/// A signal after the first SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LaterSignal {
    pub(crate) after: Duration,
    pub(crate) signal: Signal,
}

/// What one seed draws.
#[derive(Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) deadline: Duration,
    /// Clients that send one request after another.
    pub(crate) active_clients: usize,
    /// Clients that send one request and stay connected, some of which connect while the gateway drains.
    pub(crate) idle_clients: usize,
    pub(crate) max_sockets: usize,
    pub(crate) endpoint_count: usize,
    /// How many of the endpoints don't respond from SIGTERM on.
    pub(crate) unresponsive_endpoints: usize,
    /// Responses take up to this fraction of the deadline.
    pub(crate) slowness: f64,
    /// New connections go on coming for this long after SIGTERM.
    pub(crate) arrivals_after_sigterm: Duration,
    pub(crate) signals: Vec<LaterSignal>,
    pub(crate) counter: CounterBehavior,
    pub(crate) system_call_faults: String,
}

impl Scenario {
    /// The scenario of a seed; the order of the draws decides what a seed plays.
    pub(crate) fn draw(seed: u64) -> Self {
        let mut random = Rng::with_seed(seed);
        let idle_clients = if random.u8(0..3) == 0 { random.usize(20..60) } else { 0 };
        let endpoint_count = random.usize(2..6);
        let signals = draw_signals(&mut random);
        let deadline_ms = [300, 500, 900, 2000, 4000][random.usize(0..5)];
        let active_clients = random.usize(4..16);
        let unresponsive_endpoints = random.usize(0..=endpoint_count);
        let slowness = random.f64();
        let arrivals_after_sigterm = Duration::from_millis(random.u64(200..400));
        let counter = draw_counter_behavior(&mut random);
        let system_call_faults = draw_system_call_faults(&mut random, seed);
        Self {
            seed,
            deadline: Duration::from_millis(deadline_ms),
            active_clients,
            idle_clients,
            max_sockets: if idle_clients > 0 { 160 } else { 1024 },
            endpoint_count,
            unresponsive_endpoints,
            slowness,
            arrivals_after_sigterm,
            signals,
            counter,
            system_call_faults,
        }
    }

    /// How long after SIGTERM SIGKILL may come.
    pub(crate) fn kill_after(&self) -> Duration {
        self.deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE
    }
}

fn draw_signals(random: &mut Rng) -> Vec<LaterSignal> {
    let mut signals = Vec::new();
    for _ in 0..random.usize(0..25) {
        let after = Duration::from_millis(random.u64(0..1500));
        let signal = if random.bool() { Signal::Terminate } else { Signal::Hangup };
        signals.push(LaterSignal { after, signal });
    }
    signals.sort();
    signals
}

fn draw_counter_behavior(random: &mut Rng) -> CounterBehavior {
    let behaviors = [
        CounterBehavior::Add,
        CounterBehavior::Add,
        CounterBehavior::AddAndReplyAfter { delay_ms: 20 },
        CounterBehavior::NoReply,
        CounterBehavior::ReplyBusy,
    ];
    behaviors[random.usize(0..behaviors.len())]
}

fn draw_system_call_faults(random: &mut Rng, seed: u64) -> String {
    let faults = ["", "", "recv=EINTR/20;send=EINTR/20", "accept=ECONNABORTED/50;short=100"];
    if random.bool() {
        format!("seed={seed};{}", faults[random.usize(0..faults.len())])
    } else {
        String::new()
    }
}
