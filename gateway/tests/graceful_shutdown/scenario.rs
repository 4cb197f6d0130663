//! The random scenario of a seed.

use crate::common::CounterBehavior;
use fastrand::Rng;
use std::time::Duration;

/// SIGKILL follows SIGTERM no sooner than the longest request deadline plus this margin.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// A longer request deadline counts as this long in the time until SIGKILL.
const MAX_DEADLINE_BEFORE_KILL: Duration = Duration::from_millis(3000);

/// A signal that the gateway handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Signal {
    Hangup,
    Terminate,
}

/// A signal after the first SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LaterSignal {
    /// The delay after the first SIGTERM.
    pub(crate) after: Duration,
    pub(crate) signal: Signal,
}

/// The parameters of one shutdown under load.
#[derive(Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) deadline: Duration,
    /// The number of clients that send one request after another.
    pub(crate) active_clients: usize,
    /// The number of clients that send one request, stay connected and send another one later. Some of them
    /// connect while the gateway drains.
    pub(crate) idle_clients: usize,
    /// The number of clients that connect while the gateway drains, and send their first request later.
    pub(crate) late_clients: usize,
    pub(crate) max_sockets: usize,
    pub(crate) endpoint_count: usize,
    /// The number of endpoints that stop responding at SIGTERM.
    pub(crate) unresponsive_endpoints: usize,
    /// From 0 to 1. The slowest endpoint responds within 0.8 times this fraction of the deadline.
    pub(crate) slowness: f64,
    /// How long after SIGTERM clients still open new connections.
    pub(crate) connects_after_sigterm: Duration,
    pub(crate) signals: Vec<LaterSignal>,
    pub(crate) counter: CounterBehavior,
    pub(crate) system_call_faults: String,
}

impl Scenario {
    /// Generates the scenario of a seed. The order of the random draws determines the scenario of each seed.
    pub(crate) fn from_seed(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let idle_clients = if rng.u8(0..3) == 0 { rng.usize(20..60) } else { 0 };
        let endpoint_count = rng.usize(2..6);
        let signals = random_signals(&mut rng);
        let deadline_ms = [300, 500, 900, 2000, 4000][rng.usize(0..5)];
        let active_clients = rng.usize(4..16);
        let unresponsive_endpoints = rng.usize(0..=endpoint_count);
        let slowness = rng.f64();
        let connects_after_sigterm = Duration::from_millis(rng.u64(200..400));
        let counter = random_counter_behavior(&mut rng);
        let system_call_faults = random_system_call_faults(&mut rng, seed);
        let late_clients = rng.usize(0..20);
        Self {
            seed,
            deadline: Duration::from_millis(deadline_ms),
            active_clients,
            idle_clients,
            late_clients,
            max_sockets: if idle_clients > 0 { 160 } else { 1024 },
            endpoint_count,
            unresponsive_endpoints,
            slowness,
            connects_after_sigterm,
            signals,
            counter,
            system_call_faults,
        }
    }

    /// The time from SIGTERM to SIGKILL.
    pub(crate) fn kill_after(&self) -> Duration {
        self.deadline.min(MAX_DEADLINE_BEFORE_KILL) + KILL_MARGIN
    }
}

fn random_signals(rng: &mut Rng) -> Vec<LaterSignal> {
    let mut signals = Vec::new();
    for _ in 0..rng.usize(0..25) {
        let after = Duration::from_millis(rng.u64(0..1500));
        let signal = if rng.bool() { Signal::Terminate } else { Signal::Hangup };
        signals.push(LaterSignal { after, signal });
    }
    signals.sort();
    signals
}

fn random_counter_behavior(rng: &mut Rng) -> CounterBehavior {
    let behaviors = [
        CounterBehavior::Add,
        CounterBehavior::Add,
        CounterBehavior::AddAndReplyAfter { delay_ms: 20 },
        CounterBehavior::NoReply,
        CounterBehavior::ReplyBusy,
    ];
    behaviors[rng.usize(0..behaviors.len())]
}

fn random_system_call_faults(rng: &mut Rng, seed: u64) -> String {
    let faults = ["", "", "recv=EINTR/20;send=EINTR/20", "accept=ECONNABORTED/50;short=100"];
    if rng.bool() { format!("seed={seed};{}", faults[rng.usize(0..faults.len())]) } else { String::new() }
}
