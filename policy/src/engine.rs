//! All decisions of a gateway. Its interface (settings, events, actions) is in `src/interface.rs`.
//!
//! A request passes three gates: its tenant's quota (`Tenant`, a lease cache on a shared window count),
//! its open cap, and an endpoint with room (`crate::endpoint`). What cannot pass yet waits a share of its aim.

use crate::demand::{faded, share_let_in, weight, window_length};
use crate::endpoint::{EJECT_TOLD, ROOM_FIRST, ROOM_LATE, ROOM_LEAST, room};
use crate::endpoint_table::EndpointTable;
use crate::fleet_clock::CYCLE;
use crate::hash::{hash, mix, unit};
use crate::subset::Slot;
use crate::*;
use std::collections::{BTreeMap, VecDeque};

// ---- Quotas (a turn is burst over rate: the time in which a quota turns over once) ----
/// A block holds the demand of this share of a turn; one unused for as long goes back, so that others can use
/// it, and what is owed is told without a block once it is this share of the burst.
const BLOCK_SHARE: f64 = 0.15;
/// A block takes at most this share of what is left, split over the tenant's gateways, or an even part of
/// all that is left above this share of the burst: while there is plenty, blocks are large.
const NEAR_SHARE: f64 = 0.5;
/// A block is renewed when less than this share of it is left.
const RENEW_SHARE: f64 = 0.4;
/// Demand is smoothed over this share of a turn.
const DEMAND_SHARE: f64 = 0.5;
/// A plan without a rate is remembered as if its quota turned over in this many ms.
const RATELESS_TURN: Millis = 1000.0;
/// A request waits for its block at most this share of its aim.
const BLOCK_WAIT: f64 = 0.12;
/// Under a ceiling an unknown tenant starts with this share of its burst (see `Tenant::start_of`).
const CEILING_START: f64 = 0.5;
/// A ceiling is held by quotas that stay this many times under it in rate and burst (see there too).
const CEILING_TIMES: f64 = 1.6;
/// The counter counts as silent after this many time-outs without an answer: one call may just be late.
const SILENT_AFTER: f64 = 3.0;
/// The most counter calls out at once from one gateway while the counter is at ease.
const CALLS_MOST: f64 = 12.0;
/// Counter calls should be answered within this share of what a request waits: slower, and fewer are made.
const EASE_SHARE: f64 = 0.3;
/// By how much an instant answer raises the share of calls made; a late one lowers it by up to twice that.
const EASE_STEP: f64 = 0.2;
/// The least share of calls still made: who never asks never learns that the counter is back.
const EASE_LEAST: f64 = 0.1;
/// A tenant is thin where its burst leaves each gateway under this many units: a smaller block serves no
/// request. Its demand over all gateways is counted instead, as a sum that fades (`crate::demand`).
const THIN: f64 = 1.0;
/// A total is as good as new for this share of a turn: what is asked in between is told with the next call.
const THIN_GAP: f64 = 0.25;
/// The share that fits falls by this power of what is asked beyond the burst: no count hears of everything.
const THIN_STRICT: f64 = 2.5;
/// What was heard of a thin tenant fades over this many turns.
const THIN_FADE: f64 = 4.0;
/// Weight of the newest first total in a plan's odds.
const PLAN_NEWEST: f64 = 0.03;
/// Gateways that may talk tell of tenants of whom less than this share fits, and again when it falls so.
const THIN_NEWS: f64 = 0.7;
/// A tenant idle for this many turns has a full store again: it and its count are forgotten at no loss.
const IDLE_TURNS: f64 = 2.0;
/// No count and no word of a tenant is kept for more than this many ms.
const KEEP_MOST: Millis = 60_000.0;

// ---- Requests ----
/// A request is held (for its open cap, for an endpoint with room) at most this share of its aim.
const HOLD_SHARE: f64 = 0.3;
/// An answer must leave this many ticks before the client's patience ends.
const LAST_TICKS: f64 = 2.0;
/// A host may be held up for so long between reading its clock and writing, by the pages.
const HOLD_UP: Millis = 150.0;
/// A safe request that may have run is tried this often at most: what two endpoints cannot do is costly.
const REPEAT_MOST: u32 = 2;

// ---- Endpoints ----
/// Weight of the newest latency in the usual latency of its class.
const USUAL_WEIGHT: f64 = 0.02;
/// A failure is a late answer if it took this many times the usual latency.
const LATE_LATENCIES: f64 = 4.0;
/// Answers should come within this share of the aim; the rest is for the way, for holding, for bad luck.
const ROOM_SHARE: f64 = 0.6;
/// The share of fresh requests taken moves as room does, by this: it sinks until few answers are late,
/// however many that turns away. Each one turned away raises it a little, or nobody would ask again.
const TAKE_STEP: f64 = 0.2;
const TAKE_LEAST: f64 = 0.1;
const TAKE_AGAIN: f64 = 0.01;
/// What is let in without a word of its tenant is worth this many times less: some of it is beyond quotas.
const BLIND_RANK: f64 = 2.0;
/// A choice is made among so many of a subset, drawn by chance: the cost of a request does not grow with
/// the subset. Where gateways are few each sees enough of all endpoints to compare more.
const SAMPLE: usize = 8;
const SAMPLE_OF_FEW: usize = 64;
/// An endpoint in another zone looks this much slower for each point of price: prices are small, so is this.
const ZONE_BIAS: f64 = 5.0;
/// A cold endpoint gets its capacity's share of an even part of all sends, times this at first and as much
/// again as it warms up: the more it bears, the less chance weighs. Warm ones get no more than they can do,
/// so all gateways together stay under the multiple that fells it.
const COLD_LEAST: f64 = 0.75;
/// A count that is only read is not kept.
const READ_LIFE: Millis = 1.0;
/// Time between housekeeping rounds, in ms: short beside any aim.
const SWEEP: Millis = 25.0;
const SWEEP_TOKEN: u64 = 1;

/// The time on this gateway's clock, and on the one that the fleet shares, by which windows are told.
#[derive(Clone, Copy)]
struct Moment {
    own: Millis,
    fleet: Millis,
}

/// One tenant as this gateway knows it.
#[derive(Default)]
struct Tenant {
    plan: usize,
    spread: f64,
    place: u32,
    salt: u64,
    window: u64,
    /// Units of the block in hand; they end with the window.
    lease: f64,
    /// What this gateway has added to the window's count in all, and the last total heard of it.
    added: f64,
    seen: f64,
    /// What the tenant's store holds by all totals heard; between them it fills at the rate.
    store: f64,
    store_at: Millis,
    known: bool,
    heard: Millis,
    /// Used but not yet added, or to be given back (negative).
    owed: f64,
    /// The call out: its window, block, and what was owed.
    call: Option<(u64, f64, f64)>,
    /// The call out reads the count of the window before.
    reads_before: bool,
    /// The window before a tenant was known, and the total of its count.
    before: Option<(u64, f64)>,
    waiting: VecDeque<RequestId>,
    demand: f64,
    demand_at: Millis,
    /// This gateway's even slice of the store, spent while the counter is silent.
    slice: Option<(f64, Millis)>,
    open: u32,
}

impl Tenant {
    /// The quota that is granted under a plan: under a ceiling no more than holds it, also where the plan
    /// itself grants more or names no rate.
    fn bounded(plan: &QuotaPlan) -> QuotaPlan {
        let (rate, burst) = (plan.ceiling_rate / CEILING_TIMES, plan.ceiling_burst / CEILING_TIMES);
        let mut plan = plan.clone();
        if rate > 0.0 && burst > 0.0 {
            let quota = plan.rate > 0.0;
            plan.rate = if quota { plan.rate.min(rate) } else { rate };
            plan.burst = if quota { plan.burst.min(burst) } else { burst };
        }
        plan
    }

    /// What an unknown tenant's store is taken to hold. Under a ceiling only half the burst: a gateway may
    /// come back to an emptied count while the others have just granted a full burst, and burst + half a
    /// burst + rate x time stays within the ceiling.
    fn start_of(plan: &QuotaPlan) -> f64 {
        if plan.ceiling_rate > 0.0 { plan.burst * CEILING_START } else { plan.burst }
    }

    fn turn(plan: &QuotaPlan) -> Millis {
        if plan.rate > 0.0 { plan.burst / plan.rate * 1000.0 } else { RATELESS_TURN }
    }

    /// Whether the quota is too small for blocks at each gateway; chance decides then, but under no ceiling.
    fn thin(&self, plan: &QuotaPlan) -> bool {
        plan.rate > 0.0 && plan.ceiling_rate <= 0.0 && plan.burst < THIN * self.spread
    }

    /// How long a window lasts and by how much it is staggered, by hash: tenants do not all renew at once.
    fn window_length(&self, plan: &QuotaPlan) -> (Millis, Millis) {
        let turn = Self::turn(plan);
        let length = if self.thin(plan) { window_length(turn, KEEP_MOST) } else { turn };
        (length, (self.salt % 1024) as f64 / 1024.0 * length)
    }

    /// The name of a window's count: the same at all gateways.
    fn count_name(&self, window: u64) -> u64 {
        mix(self.salt ^ window.wrapping_mul(0x9e37_79b9_7f4a_7c15)) >> 1
    }

    /// What an unknown tenant's store holds by the first total of a window, and by that of the window
    /// before, as far as it is known.
    fn first_store(&self, window: u64, total: f64, now: Moment, plan: &QuotaPlan) -> f64 {
        let by_window = Self::start_of(plan) - total;
        let before = self.before.filter(|(before, _)| before.wrapping_add(1) == window);
        before.map_or(by_window, |(_, used)| {
            // What was used then may all have been used at its end, and nothing has come in for it since.
            let at_start = (plan.burst - used).clamp(0.0, plan.burst);
            let filled = plan.rate * self.since_start(window, now, plan) / 1000.0;
            by_window.min(at_start + filled - total)
        })
    }

    /// How long ago a window began.
    fn since_start(&self, window: u64, now: Moment, plan: &QuotaPlan) -> Millis {
        let (length, shift) = self.window_length(plan);
        (now.fleet - (window as f64 * length - shift)).rem_euclid(CYCLE)
    }

    /// Fills the store and moves to the present window: blocks end with theirs, unused.
    fn roll(&mut self, now: Moment, plan: &QuotaPlan) {
        if self.thin(plan) {
            self.owed = faded(self.owed, now.own - self.store_at, Self::turn(plan));
        }
        self.store = (self.store + plan.rate * (now.own - self.store_at) / 1000.0).min(plan.burst);
        self.store_at = now.own;
        let (length, shift) = self.window_length(plan);
        let window = ((now.fleet + shift) / length).floor() as u64;
        if window != self.window {
            self.store = (self.store + self.lease).min(plan.burst);
            (self.window, self.lease, self.added, self.seen) = (window, 0.0, 0.0, 0.0);
        }
    }

    /// The smoothed demand of a short while, as far as an even part of what is left allows.
    fn demand_block(&self, plan: &QuotaPlan) -> f64 {
        let target = self.demand * Self::turn(plan) * BLOCK_SHARE;
        target.min(self.store * NEAR_SHARE / self.spread).floor()
    }

    /// The block wanted now: an even part while there is plenty (so the first is burst over gateways), else
    /// smoothed demand; near the total it falls to what waits.
    fn block(&self, need: f64, plan: &QuotaPlan) -> f64 {
        let plenty = (self.store - plan.burst * NEAR_SHARE) / self.spread;
        let want =
            if self.known { self.demand_block(plan).max(plenty.ceil()) } else { plan.burst / self.spread };
        need.max(want.floor()).max(0.0)
    }

    /// Spends from the even slice, which starts from the store as last known: the silence rule.
    /// Of a store that others have been using, unseen, the slice starts empty.
    fn spend_slice(&mut self, units: f64, now: Millis, plan: &QuotaPlan, unseen: bool) -> bool {
        let start = if unseen { 0.0 } else { self.store.max(0.0) / self.spread };
        let (held, at) = self.slice.unwrap_or((start, now));
        let filled = held + plan.rate * (now - at) / 1000.0 / self.spread;
        let held = filled.min((plan.burst / self.spread).max(units));
        let fits = held >= units;
        let used = if fits { units } else { 0.0 };
        self.slice = Some((held - used, now));
        (self.owed, self.store) = (self.owed + used, self.store - used);
        fits
    }
}

#[derive(Clone, Copy, Default, PartialEq)]
enum Stage {
    #[default]
    Block,
    Queue,
    Out,
}

#[derive(Default)]
struct Request {
    tenant: Name,
    plan: usize,
    class: usize,
    units: f64,
    /// Let in without a total of its tenant; the client has asked for the same before.
    blind: bool,
    repeat: bool,
    arrived: Millis,
    deadline: Millis,
    hold_until: Millis,
    stage: Stage,
    attempts: u32,
    may_have_run: Option<(Millis, Name, u64)>, // since when, in which zone and cell
    sent_at: Millis,
}

/// Chance in one choice among endpoints: a number drawn for each choice, and one drawn once for a request
/// that may still go to a cold one.
#[derive(Clone, Copy)]
struct Draws {
    each: u64,
    cold: Option<u64>,
}

/// Whether each gateway sees too little of an endpoint: choice goes by chance and by all answers together,
/// and each keeps to a subset.
fn many(gateways: u32) -> bool {
    ROOM_FIRST < ROOM_LEAST * f64::from(gateways)
}

/// One gateway: build it from settings and a seed, then feed it events.
#[derive(Default)]
pub struct PolicyEngine {
    settings: Settings,
    seed: u64,
    random: u64,
    now: Millis,
    /// The clock by which windows are told.
    fleet_time: FleetTime,
    /// When this gateway began to count with a fleet that had been counting before.
    joined_at: Millis,
    endpoints: EndpointTable,
    tenants: BTreeMap<Name, Tenant>,
    requests: BTreeMap<RequestId, Request>,
    queue: VecDeque<RequestId>,
    calls: BTreeMap<u64, Name>,
    /// The share of the calls wanted that the counter can bear, by how fast it answers.
    ease: f64,
    /// The share of first totals with room left, for each plan: of first tries, and of clients' repeats.
    plan_odds: Vec<[f64; 2]>,
    /// Of thin tenants: the share of tries that fits and when that was heard, here or by another gateway.
    told: BTreeMap<u64, (f64, Millis)>,
    silences: u32,
    back_at: Millis,
    counter_heard: Millis,
    told_silent: bool,
    class_latency: Vec<f64>,
    /// The share of fresh requests that is taken.
    take: f64,
    sweeping: bool,
    /// No requests come any more: blocks in hand go back, as others can use them.
    ending: bool,
}

impl PolicyEngine {
    /// A gateway that knows its settings and nothing else.
    ///
    /// # Errors
    /// When the settings cannot be used.
    pub fn new(mut settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        settings.plans = settings.plans.iter().map(Tenant::bounded).collect();
        let class_latency = vec![0.0; settings.classes.len()];
        let plan_odds = vec![[1.0, 0.5]; settings.plans.len()];
        let (number, gateways) = (settings.gateway_index, settings.gateway_count);
        Ok(Self {
            endpoints: EndpointTable::new(number, gateways, !many(gateways)),
            settings,
            seed: mix(seed),
            random: mix(seed),
            ease: 1.0,
            take: 1.0,
            plan_odds,
            class_latency,
            joined_at: f64::NEG_INFINITY,
            ..Self::default()
        })
    }

    /// How many endpoints are remembered.
    pub fn endpoints(&self) -> usize {
        self.endpoints.len()
    }

    /// The endpoints that this gateway works with, of all that may be sent something new.
    pub fn subset(&self) -> impl Iterator<Item = &Name> {
        self.endpoints.subset().chosen().iter().map(|slot| &self.endpoints.get(*slot).name)
    }

    /// Takes one event at a time and appends what the host is to do.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !std::mem::replace(&mut self.sweeping, true) {
            out.push(Action::SetTimer { after: SWEEP, token: SWEEP_TOKEN });
            if self.settings.polls_endpoints {
                out.push(Action::WatchEndpoints);
            }
        }
        match event {
            Event::EndpointSnapshot(list) => self.on_list(list, true, out),
            Event::EndpointDelta(list) => self.on_list(list, false, out),
            Event::EndpointListFailed => out.push(Action::WatchEndpoints),
            Event::RequestArrived(arrival) => self.on_request(arrival, out),
            Event::AttemptEnded(end) => {
                self.on_endpoint(&end, out);
                self.on_attempt(end, out);
                self.drain_queue(out);
            }
            Event::ClientDisconnected { id } => self.forget(id),
            Event::Timer { token: SWEEP_TOKEN } => self.on_sweep(out),
            Event::Timer { token } => self.on_hold_over(token / 2, out),
            Event::FleetClock { time } => {
                let before = std::mem::replace(&mut self.fleet_time, time);
                if before == FleetTime::Converging && time != before {
                    self.joined_at = self.now;
                }
            }
            Event::DrainStarted => self.ending = true,
            Event::CounterReply { key: name, result: outcome, latency } => {
                self.on_counted(name, outcome, latency, out)
            }
            Event::GossipReceived { bytes, .. } => self.on_told(&bytes),
            Event::StreamStarted { .. } | Event::HealthCheckEnded { .. } => {}
        }
    }

    /// Guards a large fleet against overload: while too many answers are late, fewer fresh ones are taken,
    /// those worth less first.
    fn taken(&mut self, class: usize, blind: bool) -> bool {
        let classes = &self.settings.classes;
        let mean = classes.iter().map(|c| c.priority_weight).sum::<f64>() / classes.len() as f64;
        let rank = mean / classes[class].priority_weight.max(1e-9) * if blind { BLIND_RANK } else { 1.0 };
        let taken = !many(self.settings.gateway_count) || self.chance() < self.take.powf(rank);
        if !taken {
            self.take = (self.take * (1.0 + TAKE_AGAIN)).min(1.0);
        }
        taken
    }

    fn moment(&self) -> Moment {
        let offset = if let FleetTime::Synchronized { offset } = self.fleet_time { offset } else { 0.0 };
        Moment { own: self.now, fleet: (self.now + offset).rem_euclid(CYCLE) }
    }

    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit(self.random)
    }

    // ---- The list of endpoints ----

    fn on_list(&mut self, list: Vec<EndpointEntry>, whole: bool, out: &mut Vec<Action>) {
        self.endpoints.update(list, whole, self.now);
        self.drain_queue(out);
    }

    // ---- Requests ----

    fn on_request(&mut self, arrival: Arrival, out: &mut Vec<Action>) {
        let Arrival { id, tenant: name, .. } = arrival;
        let class = self.settings.classes.iter().position(|c| c.name == arrival.class);
        let plan = self.settings.plans.iter().position(|p| p.name == arrival.plan);
        let (Some(class), Some(plan)) = (class, plan) else {
            return out.push(Action::Reject { id, retry_after: 0.0 });
        };
        let now = self.now;
        let units = if arrival.units.is_finite() { arrival.units.max(0.0) } else { 1.0 };
        let (arrived, deadline) = (now, now + arrival.time_to_deadline);
        let (tenant, repeat, rest) = (name.clone(), arrival.client_retry, Request::default());
        self.requests.insert(id, Request { tenant, plan, class, units, repeat, arrived, deadline, ..rest });
        let tenant = self.tenants.entry(name.clone()).or_insert_with(|| {
            let (salt, store) = (hash(&name) >> 8, Tenant::start_of(&self.settings.plans[plan]));
            Tenant { plan, salt, store, store_at: now, demand_at: now, ..Tenant::default() }
        });
        let gateways = self.settings.gateway_count;
        tenant.spread = f64::from(arrival.gateways_per_tenant.clamp(1, gateways));
        tenant.place = (self.settings.gateway_index + gateways - arrival.first_gateway % gateways) % gateways;
        let span = Tenant::turn(&self.settings.plans[plan]) * DEMAND_SHARE;
        tenant.demand = tenant.demand * (-(now - tenant.demand_at) / span).exp() + units / span;
        tenant.demand_at = now;
        if self.admit(id, out) {
            self.ask(&name, out);
        }
    }

    fn counter_usable(&self) -> bool {
        self.settings.has_counter && self.fleet_time != FleetTime::Converging
    }

    fn counter_silent(&self) -> bool {
        let gap = self.now - self.counter_heard;
        !self.counter_usable() || self.silences > 1 && gap > self.settings.counter_timeout * SILENT_AFTER
    }

    /// The quota's gate: block in hand, else silence rule, else refusal once both are spent. True: it waits.
    fn admit(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let (now, silent) = (self.moment(), self.counter_silent());
        let Some(request) = self.requests.get(&id) else { return false };
        let (name, units) = (request.tenant.clone(), request.units);
        let Some(tenant) = self.tenants.get_mut(&name) else { return false };
        let plan = &self.settings.plans[tenant.plan];
        tenant.roll(now, plan);
        let left = tenant.store + tenant.lease;
        if plan.rate <= 0.0 {
            self.place(id, out);
        } else if tenant.thin(plan) {
            return self.admit_thin(id, out);
        } else if tenant.waiting.is_empty() && tenant.lease >= units {
            tenant.lease -= units;
            let target = tenant.demand_block(plan);
            if !silent && target >= 1.0 && tenant.lease < target * RENEW_SHARE {
                self.ask(&name, out);
            }
            self.place(id, out);
        } else if silent {
            self.by_slice(id, out);
            if self.calls.is_empty() && self.chance() < self.ease {
                self.ask(&name, out);
            }
        } else if tenant.known && left < units {
            self.over_quota(id, units - left, plan.rate, out);
        } else {
            return self.wait_for_total(id, out);
        }
        false
    }

    fn wait_for_total(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(tenant) = self.tenants.get_mut(&request.tenant) else { return false };
        tenant.waiting.push_back(id);
        let until = request.arrived + self.settings.classes[request.class].latency_objective * BLOCK_WAIT;
        self.hold(id, Stage::Block, until, out);
        true
    }

    /// The gate of a thin tenant. A total heard just now decides; else the count is asked, as far as the
    /// counter bears, and the odds heard before decide for the rest. Clients' repeats are no new demand.
    fn admit_thin(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let lucky = self.chance() < self.ease;
        let Some(request) = self.requests.get(&id) else { return false };
        // While the counter cannot bear all calls those for repeats go last: they tell it of no demand.
        let asks = self.counter_usable() && if request.repeat { self.ease >= 1.0 } else { lucky };
        let Some(tenant) = self.tenants.get_mut(&request.tenant) else { return false };
        let gap = Tenant::turn(&self.settings.plans[tenant.plan]) * THIN_GAP;
        let fresh = self.told.get(&tenant.salt).is_some_and(|(_, at)| self.now - at < gap);
        let calling = tenant.call.is_some();
        if (fresh || calling) && !request.repeat {
            tenant.owed += request.units;
        }
        if calling || asks && !fresh {
            return self.wait_for_total(id, out);
        }
        self.by_odds(id, out);
        false
    }

    /// Decides for a thin tenant's try without a total: by the odds last heard, fading to its plan's. Of
    /// an unknown tenant all is let in while that gains more than it costs. What is refused once would come
    /// again until it is let in, so repeats of a tenant beyond its quota are refused.
    fn by_odds(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let chance = self.chance();
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(tenant) = self.tenants.get(&request.tenant) else { return };
        let plan = &self.settings.plans[tenant.plan];
        let usual = self.plan_odds[tenant.plan][usize::from(request.repeat)];
        let pays = usual > (1.0 - usual) * (plan.over_quota_cost - plan.over_quota_weight);
        let usual = if pays && !request.repeat { 1.0 } else { usual };
        let told = self.told.get(&tenant.salt);
        request.blind = told.is_none();
        let (odds, at) = told.copied().unwrap_or_default();
        let odds = if request.repeat { odds.floor() } else { odds };
        let age = (self.now - at) / Tenant::turn(plan);
        if chance < usual + (-age / THIN_FADE).exp() * (odds - usual) {
            return self.place(id, out);
        }
        let (units, rate) = (request.units, plan.rate);
        self.over_quota(id, units, rate, out);
    }

    /// A thin tenant's total came: it tells what fits for now.
    fn granted_thin(&mut self, name: &Name, window: u64, total: f64, block: f64, out: &mut Vec<Action>) {
        let (now, moment) = (self.now, self.moment());
        let Some(tenant) = self.tenants.get_mut(name) else { return };
        let plan = &self.settings.plans[tenant.plan];
        let turn = Tenant::turn(plan);
        let since = tenant.since_start(window, moment, plan);
        // A try that weighs more than itself stands for others by chance: that is not held against it.
        let luck = block - block * self.ease;
        let asked = (faded(total, since, turn) - luck).max(0.0);
        let odds = share_let_in(asked, plan.burst, THIN_STRICT);
        let (told, at) = self.told.insert(tenant.salt, (odds, now)).unwrap_or((1.0, f64::NEG_INFINITY));
        if self.settings.gossip && odds < THIN_NEWS && (odds < told * THIN_NEWS || now > at + turn) {
            let mut bytes = tenant.salt.to_le_bytes();
            bytes[7] = (odds * 255.0) as u8;
            out.push(Action::Gossip { bytes: bytes.to_vec() });
        }
        let waiting = std::mem::take(&mut tenant.waiting);
        if !std::mem::replace(&mut tenant.known, true) {
            let repeat = waiting.iter().any(|id| self.requests.get(id).is_some_and(|r| r.repeat));
            let usual = &mut self.plan_odds[tenant.plan][usize::from(repeat)];
            *usual += PLAN_NEWEST * (odds - *usual);
        }
        for id in waiting {
            self.by_odds(id, out);
        }
    }

    fn on_told(&mut self, bytes: &[u8]) {
        let Ok(mut bytes) = <[u8; 8]>::try_from(bytes) else { return };
        let odds = f64::from(std::mem::take(&mut bytes[7])) / 255.0;
        self.told.insert(u64::from_le_bytes(bytes), (odds, self.now));
    }

    fn over_quota(&mut self, id: RequestId, short: f64, rate: f64, out: &mut Vec<Action>) {
        let wait = short / rate.max(1e-9) * 1000.0 * (1.0 + 0.5 * self.chance());
        self.refuse(id, wait, out);
    }

    fn hold(&mut self, id: RequestId, stage: Stage, until: Millis, out: &mut Vec<Action>) {
        let until = self.requests.get(&id).map_or(until, |r| until.min(self.send_until(r)));
        let Some(request) = self.requests.get_mut(&id) else { return };
        (request.stage, request.hold_until) = (stage, until);
        out.push(Action::SetTimer { after: (until - self.now).max(0.0), token: id * 2 });
    }

    /// Sends a request on, or has it wait in line, those worth more first; no line outgrows what is out.
    fn place(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Queue;
        let (fresh, class, blind) = (request.attempts == 0, request.class, request.blind);
        if fresh && !self.taken(class, blind) {
            return self.give_up(id, out);
        }
        if self.dispatch(id, out) {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let room = self.room();
        let hold = self.settings.classes[request.class].latency_objective * HOLD_SHARE;
        let until = if fresh { request.arrived } else { self.now } + hold;
        if until <= self.now || fresh && self.queue.len() as f64 >= room {
            return self.give_up(id, out);
        }
        let worth = |r: &Request| self.settings.classes[r.class].priority_weight;
        let less = |q: &RequestId| self.requests.get(q).is_some_and(|r| worth(r) < worth(request));
        let at = self.queue.iter().position(less).unwrap_or(self.queue.len());
        self.queue.insert(at, id);
        self.hold(id, Stage::Queue, until, out);
    }

    fn drain_queue(&mut self, out: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.queue) {
            if self.requests.get(&id).is_some_and(|r| r.stage == Stage::Queue) && !self.dispatch(id, out) {
                self.queue.push_back(id);
            }
        }
    }

    fn on_hold_over(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let over = self.now + 1e-6 >= request.hold_until;
        match request.stage {
            Stage::Queue if over => self.give_up(id, out),
            Stage::Block if over => self.by_slice(id, out),
            _ => {}
        }
    }

    /// The one final answer of a request that gets no further attempt: refused where that is harmless.
    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let class = &self.settings.classes[request.class];
        let harmless = request.may_have_run.is_none()
            || class.idempotency == Idempotency::Idempotent
            || (class.idempotency == Idempotency::WithKey && class.dedup_scope == DedupScope::All);
        if harmless && self.now < request.deadline {
            let wait = self.settings.max_retry_after * (0.3 + 0.4 * self.chance());
            self.refuse(id, wait, out);
        } else {
            self.forget(id);
            out.push(Action::Fail { id });
        }
    }

    fn refuse(&mut self, id: RequestId, wait: Millis, out: &mut Vec<Action>) {
        self.forget(id);
        out.push(Action::Reject { id, retry_after: wait.clamp(0.0, self.settings.max_retry_after) });
    }

    /// Units of a request that was never sent go back to its tenant's block.
    fn forget(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        let Some(tenant) = self.tenants.get_mut(&request.tenant) else { return };
        match request.stage {
            Stage::Block => tenant.waiting.retain(|w| *w != id),
            Stage::Out => tenant.open = tenant.open.saturating_sub(1),
            Stage::Queue if request.attempts == 0 => tenant.lease += request.units,
            Stage::Queue => {}
        }
    }

    fn dispatch(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let chosen = if self.open_allowed(id) { self.pick(id) } else { None };
        let (Some(slot), Some(request)) = (chosen, self.requests.get_mut(&id)) else { return false };
        let endpoint = self.endpoints.sent(slot);
        if let Some(tenant) = self.tenants.get_mut(&request.tenant) {
            tenant.open += 1;
        }
        (request.stage, request.sent_at, request.attempts) = (Stage::Out, self.now, request.attempts + 1);
        let written_by = self.requests.get(&id).and_then(|request| self.repeat_ends(request));
        let written_by = written_by.map(|end| end - HOLD_UP - self.now);
        out.push(Action::ForwardAttempt { id, endpoint, timeout: None, write_timeout: written_by });
        true
    }

    /// The open cap, shared evenly: the gateways first in the tenant's set take what does not divide.
    fn open_allowed(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(tenant) = self.tenants.get(&request.tenant) else { return true };
        let cap = self.settings.plans[request.plan].max_in_flight;
        let (spread, place) = (tenant.spread as u32, tenant.place);
        cap == 0 || tenant.open < (cap / spread + u32::from(place < cap % spread)).max(1)
    }

    fn room(&self) -> f64 {
        room(&self.endpoints, self.settings.gateway_count).max(1.0)
    }

    /// The endpoint that should answer first: of this gateway's own, else of those that stand by for them.
    fn pick(&mut self, id: RequestId) -> Option<Slot> {
        if self.endpoints.out() >= self.room() {
            return None;
        }
        let many = many(self.settings.gateway_count);
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[request.class];
        let tied = request.may_have_run.as_ref().filter(|_| class.idempotency == Idempotency::WithKey);
        // What a request draws once does not change as it looks again: not the sample, and not for cold ones.
        let lot = mix(self.seed ^ id);
        let (first, sample_at) = (request.attempts == 0, mix(!lot ^ u64::from(request.attempts)));
        let draws = Draws { each: self.random, cold: first.then_some(lot) };
        let subset = self.endpoints.subset();
        let (own, reserve, ready) = (subset.chosen(), subset.reserve(), subset.ready());
        // Cold ones get their share from those whose own they are, and no more.
        let stand_by = reserve.iter().map(|slot| (*slot, f64::INFINITY));
        let any = |slot| (slot, ready as f64);
        let chosen = match (tied, class.dedup_scope) {
            (Some((_, zone, _)), DedupScope::Zone) => {
                self.choose(subset.of_zone(zone).map(any), class, draws)
            }
            (Some((.., cell)), DedupScope::Cell) => {
                self.choose(subset.of_cell(*cell).iter().copied().map(any), class, draws)
            }
            _ => {
                let sample = own.len().min(if many { SAMPLE } else { SAMPLE_OF_FEW });
                let start = (unit(sample_at) * own.len() as f64) as usize;
                let drawn = own.iter().cycle().skip(start).take(sample);
                // Who stands by takes over only where none of these is left: else each trouble of one would
                // open connections to others, from all gateways alike.
                let own = self.choose(drawn.map(|slot| (*slot, sample as f64)), class, draws);
                own.or_else(|| self.choose(stand_by, class, draws))
            }
        };
        self.chance();
        chosen
    }

    /// Of these the one with the fewest requests of this gateway, near if equal; each comes with the number
    /// of those that it is one of, and a cold one is taken with odds of its part in so many.
    fn choose(
        &self, of: impl IntoIterator<Item = (Slot, f64)>, class: &RequestClass, draws: Draws,
    ) -> Option<Slot> {
        let far = 1.0 + self.settings.cross_zone_cost * ZONE_BIAS;
        let many = many(self.settings.gateway_count);
        let mut best: Option<(f64, Slot)> = None;
        for (slot, odds) in of {
            let endpoint = self.endpoints.get(slot);
            let full = f64::from(endpoint.out) >= endpoint.room.ceil();
            if full || self.now < endpoint.eject_until {
                continue;
            }
            let luck = unit(draws.each ^ endpoint.salt);
            let warmth = endpoint.warmth(self.now, self.endpoints.starts(), &self.settings);
            // Guards cold endpoints with no agreement: by chance their share of an even part, from the
            // start. One draw for each request, for its first attempt alone: one that waits, or fails, has
            // no better odds the more it looks.
            let drawn = draws.cold.map_or(f64::INFINITY, |lot| unit(lot ^ endpoint.salt));
            let part = (warmth * (warmth + COLD_LEAST)).min(1.0);
            let score = if warmth >= 1.0 {
                // Among many, a draw by weight: no two gateways follow the same order.
                let (queue, heard) = endpoint.queue;
                let queue = queue * (-(self.now - heard) / class.latency_objective.max(1.0)).exp();
                let draw =
                    if many { -luck.max(1e-12).ln() * (1.0 + queue).powi(2) } else { 1.0 + 0.1 * luck };
                let far = if endpoint.zone == self.settings.zone { 1.0 } else { far };
                (1.0 + f64::from(endpoint.out)) * far * draw
            } else if drawn * odds < part {
                drawn - 1.0
            } else {
                continue;
            };
            if best.is_none_or(|(s, _)| score < s) {
                best = Some((score, slot));
            }
        }
        best.map(|(_, slot)| slot)
    }

    fn on_endpoint(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        let (now, name, latency) = (self.now, &end.endpoint, end.latency);
        let Some(endpoint) = self.endpoints.ended(name) else { return };
        if let Some(queue) = end.load_report.and_then(|load| load.queue_length) {
            endpoint.queue = (queue, now);
        }
        // Of a request that is forgotten neither class nor aim is known.
        let Some(class) = self.requests.get(&end.id).map(|r| r.class) else { return };
        let usual = &mut self.class_latency[class];
        let late = match end.outcome {
            Outcome::Served => {
                if std::mem::take(&mut endpoint.told) {
                    out.push(Action::Log(format!("endpoint {name} back: it answers again")));
                }
                endpoint.failures = 0;
                *usual = if *usual == 0.0 { latency } else { *usual + USUAL_WEIGHT * (latency - *usual) };
                latency > self.settings.classes[class].latency_objective * ROOM_SHARE
            }
            Outcome::Error | Outcome::NotSent | Outcome::Cancelled => return,
            Outcome::Rejected => true,
            // A client with little time left proves nothing of the fleet, one that left nothing at all.
            _ => latency > *usual * LATE_LATENCIES,
        };
        endpoint.note_latency(late);
        let step = TAKE_STEP * (ROOM_LATE - f64::from(u8::from(late)));
        self.take = (self.take * (1.0 + step)).clamp(TAKE_LEAST, 1.0);
        let lost = end.outcome != Outcome::Served;
        if lost && endpoint.failed(now, end, &self.settings) {
            out.push(Action::Log(format!("endpoint {name} ejected: {EJECT_TOLD} failures in a row")));
        }
    }

    fn on_attempt(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let (id, outcome) = (end.id, end.outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        // A tenant that was idle for long enough has been forgotten; its request is owed an answer all
        // the same.
        let mut tenant = self.tenants.get_mut(&request.tenant);
        if let (Some(tenant), Some(true_units)) = (&mut tenant, end.actual_units)
            && outcome == Outcome::Served
        {
            tenant.owed += true_units - request.units;
            tenant.store -= true_units - request.units;
        }
        if end.request_finished || outcome == Outcome::Served {
            return self.forget(id);
        }
        if let Some(tenant) = tenant {
            tenant.open = tenant.open.saturating_sub(1);
        }
        request.stage = Stage::Queue;
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        if !never_ran && request.may_have_run.is_none() {
            let home = self.endpoints.named(&end.endpoint).map(|b| (request.sent_at, b.zone.clone(), b.cell));
            request.may_have_run = home.or(Some((request.sent_at, Name::default(), u64::MAX)));
        }
        if self.may_try_again(id) { self.place(id, out) } else { self.give_up(id, out) }
    }

    fn may_try_again(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let allowed = match (&request.may_have_run, self.settings.classes[request.class].idempotency) {
            (None, _) | (_, Idempotency::WithKey) => true,
            (_, Idempotency::Idempotent) => request.attempts < REPEAT_MOST,
            (Some(_), Idempotency::NonIdempotent) => false,
        };
        allowed && self.now < self.send_until(request) && request.attempts < self.settings.max_attempts
    }

    /// When a keyed repeat is no longer dropped as one.
    fn repeat_ends(&self, request: &Request) -> Option<Millis> {
        let class = &self.settings.classes[request.class];
        let tied = request.may_have_run.as_ref().filter(|_| class.idempotency == Idempotency::WithKey);
        tied.map(|(sent, ..)| sent + class.dedup_window)
    }

    /// The latest time of a send. A keyed repeat has to come while it is dropped as one, its connection may
    /// take all of its time to come up, and the host may be held up.
    fn send_until(&self, request: &Request) -> Millis {
        let spare = self.settings.connect_timeout.max(HOLD_UP);
        let forgotten = self.repeat_ends(request).map_or(f64::INFINITY, |end| end - spare);
        request.deadline.min(forgotten) - LAST_TICKS * self.settings.tick
    }

    // ---- The counter ----

    /// Adds a block to the tenant's count: one call out for each name, and a bound on all.
    fn ask(&mut self, name: &Name, out: &mut Vec<Action>) {
        let (now, usable) = (self.moment(), self.counter_usable() && self.fleet_time != FleetTime::Pending);
        let Some(tenant) = self.tenants.get_mut(name) else { return };
        let full = self.calls.len() as f64 >= (CALLS_MOST * self.ease).max(1.0);
        if tenant.call.is_some() || !usable || full {
            return;
        }
        let plan = &self.settings.plans[tenant.plan];
        tenant.roll(now, plan);
        let joined = self.now - self.joined_at < Tenant::turn(plan);
        let before = tenant.window.wrapping_sub(1);
        if joined && !tenant.known && !tenant.thin(plan) && tenant.before.is_none_or(|(b, _)| b != before) {
            // Guards quotas against gateways that start as a window does: its count tells nothing of what
            // others have used a moment ago.
            let count = tenant.count_name(before);
            (tenant.call, tenant.reads_before) = (Some((before, 0.0, 0.0)), true);
            self.calls.insert(count, name.clone());
            return out.push(Action::IncrementCounter { key: count, amount: 0.0, ttl: READ_LIFE });
        }
        let waiting = tenant.waiting.iter().filter_map(|id| self.requests.get(id));
        let block = if tenant.thin(plan) {
            let first: f64 = waiting.filter(|r| !r.repeat).map(|r| r.units).sum();
            first / self.ease
        } else {
            let need: f64 = waiting.map(|r| r.units).sum();
            let need = need.min(tenant.store.max(1.0));
            let block = if self.ending { need } else { tenant.block(need, plan) };
            (block - tenant.lease).max(0.0)
        };
        let owed = std::mem::take(&mut tenant.owed);
        let count = tenant.count_name(tenant.window);
        tenant.call = Some((tenant.window, block, owed));
        self.calls.insert(count, name.clone());
        let (length, _) = tenant.window_length(plan);
        let (weight, keep) = if tenant.thin(plan) {
            (weight(tenant.since_start(tenant.window, now, plan), Tenant::turn(plan)), length)
        } else {
            (1.0, (length * IDLE_TURNS).min(KEEP_MOST))
        };
        out.push(Action::IncrementCounter { key: count, amount: (block + owed) * weight, ttl: keep });
    }

    fn on_counted(&mut self, count: u64, outcome: CounterResult, latency: Millis, out: &mut Vec<Action>) {
        let Some(name) = self.calls.remove(&count) else { return };
        let wait = self
            .settings
            .classes
            .iter()
            .map(|c| c.latency_objective * BLOCK_WAIT)
            .fold(f64::INFINITY, f64::min);
        let quick = wait * EASE_SHARE;
        let slow = if matches!(outcome, CounterResult::Total(_)) { latency / quick } else { f64::INFINITY };
        let step = EASE_STEP * (1.0 - slow).max(-2.0);
        self.ease = (self.ease * (1.0 + step)).clamp(EASE_LEAST, 1.0);
        let CounterResult::Total(total) = outcome else {
            return self.silent(&name, outcome == CounterResult::Unknown, out);
        };
        if std::mem::take(&mut self.told_silent) {
            self.back_at = self.now;
            out.push(Action::Log("counter back".into()));
        }
        (self.silences, self.counter_heard) = (0, self.now);
        self.granted(&name, total, out);
    }

    /// A total came: learn the store from it, keep what fits, give the rest back, serve who waits.
    fn granted(&mut self, name: &Name, total: f64, out: &mut Vec<Action>) {
        let (now, moment) = (self.now, self.moment());
        let Some(tenant) = self.tenants.get_mut(name) else { return };
        let Some((window, block, owed)) = tenant.call.take() else { return };
        if std::mem::take(&mut tenant.reads_before) {
            tenant.before = Some((window, total));
            return self.ask(name, out);
        }
        let plan = &self.settings.plans[tenant.plan];
        if tenant.thin(plan) {
            return self.granted_thin(name, window, total, block, out);
        }
        tenant.roll(moment, plan);
        let slice = tenant.slice.take();
        if plan.ceiling_rate > 0.0 && tenant.known && tenant.heard < self.back_at {
            // Guards against a counter that comes back empty: what others spent in the silence is told
            // nowhere. Only the own slice (or an unknown tenant's start) is sure to be left.
            tenant.store = tenant.store.min(slice.map_or(Tenant::start_of(plan), |(held, _)| held));
        }
        tenant.heard = now;
        if window == tenant.window {
            // What the slice let in while the call was out is paid from the block: it was added.
            let paid = tenant.owed.clamp(0.0, block);
            (tenant.owed, tenant.store) = (tenant.owed - paid, tenant.store + paid);
            tenant.added += block + owed;
            if !tenant.known {
                // Who has served from its even slice so far goes by that, too: the total tells of the present
                // window alone, which may have begun just now.
                let held = slice.map_or(f64::INFINITY, |(held, _)| held * tenant.spread);
                tenant.store = tenant.first_store(window, total, moment, plan).min(held);
                tenant.known = true;
            } else if total + 1e-6 < tenant.added {
                // Guards against an emptied count: what is held is told again, lest new blocks stack on it.
                tenant.owed += tenant.added - total;
                tenant.store -= block;
            } else {
                tenant.store = (tenant.store - (total - tenant.seen - owed)).min(plan.burst);
            }
            tenant.seen = total;
            tenant.lease += block - paid;
            if tenant.store < 0.0 {
                let back = tenant.lease.min((-tenant.store).ceil()).min(block);
                tenant.lease -= back;
                tenant.owed -= back;
                tenant.store += back;
            }
        }
        let waiting = std::mem::take(&mut tenant.waiting);
        let give_back = tenant.owed <= -1.0;
        let wait = waiting.into_iter().filter(|id| self.admit(*id, out)).count();
        if wait > 0 || give_back {
            self.ask(name, out);
        }
    }

    /// No answer: the silence rule decides for who waits, and a block that may have counted is let go.
    fn silent(&mut self, name: &Name, may_have_counted: bool, out: &mut Vec<Action>) {
        self.silences += 1;
        if self.counter_silent() && !std::mem::replace(&mut self.told_silent, true) {
            out.push(Action::Log("counter silent: spending blocks and even slices".into()));
        }
        let Some(tenant) = self.tenants.get_mut(name) else { return };
        tenant.reads_before = false;
        let (_, _, owed) = tenant.call.take().unwrap_or_default();
        tenant.owed += if may_have_counted { owed.max(0.0) } else { owed };
        for id in std::mem::take(&mut tenant.waiting) {
            self.by_slice(id, out);
        }
    }

    /// The silence rule for one request: the even slice or refusal.
    fn by_slice(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let (now, settling) = (self.moment(), self.fleet_time == FleetTime::Converging);
        let Some(request) = self.requests.get(&id) else { return };
        let Some(tenant) = self.tenants.get_mut(&request.tenant) else { return };
        let plan = &self.settings.plans[request.plan];
        tenant.waiting.retain(|w| *w != id);
        if tenant.thin(plan) {
            return self.by_odds(id, out);
        }
        tenant.roll(now, plan);
        if tenant.spend_slice(request.units, now.own, plan, settling) {
            return self.place(id, out);
        }
        let short = request.units - tenant.slice.map_or(0.0, |s| s.0);
        let rate = plan.rate / tenant.spread;
        self.over_quota(id, short, rate, out);
    }

    // ---- Housekeeping ----

    fn on_sweep(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: SWEEP, token: SWEEP_TOKEN });
        let (now, moment, mut asking) = (self.now, self.moment(), Vec::new());
        let (plans, ending) = (&self.settings.plans, self.ending);
        self.told.retain(|_, (_, at)| now - *at < KEEP_MOST);
        self.endpoints.forget_gone();
        self.tenants.retain(|name, tenant| {
            let plan = &plans[tenant.plan];
            let (idle, turn) = (now - tenant.demand_at, Tenant::turn(plan));
            tenant.roll(moment, plan);
            let scarce = tenant.store < plan.burst * NEAR_SHARE;
            if (scarce && idle > turn * BLOCK_SHARE || ending) && tenant.lease >= 1.0 {
                let lease = std::mem::take(&mut tenant.lease);
                (tenant.owed, tenant.store) = (tenant.owed - lease, tenant.store + lease);
            }
            let least = if ending { 1.0 } else { (plan.burst * BLOCK_SHARE).max(1.0) };
            let owes = !tenant.thin(plan) && tenant.owed.abs() >= least;
            if tenant.call.is_none() && (owes || !tenant.waiting.is_empty()) {
                asking.push(name.clone());
            }
            let busy = tenant.call.is_some() || tenant.open > 0 || !tenant.waiting.is_empty();
            busy || idle < turn * IDLE_TURNS
        });
        if !self.counter_silent() {
            for name in asking {
                self.ask(&name, out);
            }
        }
        self.drain_queue(out);
    }
}
