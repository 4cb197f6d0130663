//! One endpoint as one gateway knows it: how it answers, what may be out there, when it is left alone.

use crate::endpoint_table::EndpointTable;
use crate::*;

/// What all gateways together keep out at one endpoint at first; it then follows the latencies seen.
pub(crate) const ROOM_FIRST: f64 = 3.5;
/// The share of answers that may come later than they should: fewer and room grows, more and it shrinks.
pub(crate) const ROOM_LATE: f64 = 0.1;
/// By how much one answer moves room: a late one by nine tenths of this, one in time by a tenth.
const ROOM_STEP: f64 = 0.12;
/// The least room at one endpoint for one gateway: the sum over all endpoints still binds.
pub(crate) const ROOM_LEAST: f64 = 0.2;
/// An endpoint that failed is tried again after this share of the cold time for each failure in a row ...
const EJECT_SHARE: f64 = 0.02;
/// ... and the log tells of it at this many.
pub(crate) const EJECT_TOLD: u32 = 2;
/// So many connections in a row may break under a request before that says something of the endpoint.
const BREAKS_FREE: u32 = 2;

/// The clock by which starts are told, as far as the starts themselves show it: it was at least as late as
/// each of them when that was heard of, and runs on since.
pub(crate) struct StartClock {
    lead: Millis,
}

impl Default for StartClock {
    fn default() -> Self {
        Self { lead: f64::NEG_INFINITY }
    }
}

impl StartClock {
    /// Notes a start that is heard of now.
    pub(crate) fn hear(&mut self, started: Millis, now: Millis) {
        self.lead = self.lead.max(started - now);
    }

    /// What that clock shows by now, or more.
    fn least(&self, now: Millis) -> Millis {
        now + self.lead
    }
}

/// One endpoint.
#[derive(Default)]
pub(crate) struct Endpoint {
    pub(crate) name: Name,
    pub(crate) zone: Name,
    pub(crate) cell: u64,
    pub(crate) salt: u64,
    pub(crate) ready: bool,
    pub(crate) gone: bool,
    pub(crate) started: Option<Millis>,
    /// When this start was first heard of.
    pub(crate) heard_at: Millis,
    pub(crate) out: u32,
    /// How many this gateway keeps out here at most.
    pub(crate) room: f64,
    pub(crate) failures: u32,
    pub(crate) told: bool,
    pub(crate) eject_until: Millis,
    /// How many requests waited there by its last report, and when that came.
    pub(crate) queue: (f64, Millis),
    /// Named by the whole list that is being taken in.
    pub(crate) listed: bool,
}

impl Endpoint {
    /// The room that an endpoint starts with at one of so many gateways.
    pub(crate) fn first_room(gateways: u32) -> f64 {
        ROOM_FIRST / f64::from(gateways)
    }

    /// Bounds what is out so that most answers keep to their aim: room follows the share of late answers.
    /// Guards against overload of any cause; it needs no figure of the endpoint's size.
    pub(crate) fn note_latency(&mut self, late: bool) {
        let used = f64::from(self.out) + 1.0 >= self.room.floor();
        if late || used {
            let step = ROOM_STEP * (ROOM_LATE - f64::from(u8::from(late)));
            self.room = (self.room * (1.0 + step)).max(ROOM_LEAST);
        }
    }

    /// The share of its capacity that an endpoint surely has by now: it rises at least evenly.
    pub(crate) fn warmth(&self, now: Millis, starts: &StartClock, settings: &Settings) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = self.age(started, now, starts) / settings.slow_start_duration.max(1.0);
        settings.slow_start_initial_fraction
            + (1.0 - settings.slow_start_initial_fraction) * age.clamp(0.0, 1.0)
    }

    /// For how long it has surely run. This gateway's clock may be ahead or behind, and so may that of one
    /// start: the lesser of what both tell counts, and no less than the time since the start was heard of.
    fn age(&self, started: Millis, now: Millis, starts: &StartClock) -> Millis {
        let by_own_clock = (now - started).max(now - self.heard_at);
        by_own_clock.min(starts.least(now) - started)
    }

    /// Guards against dead and stalled endpoints, which show in outcomes long before the list does: nothing
    /// is sent for as long again as the failure took, where calling off stops no work what was given
    /// up still has to be worked through, and longer with each failure in a row. A connection that breaks
    /// speaks of itself: kept ones go stale, the way resets them. Who died refuses the next one, which costs
    /// no request; so this also covers middleboxes and restarts. It could hurt where an endpoint takes each
    /// request and breaks: that spoils `BREAKS_FREE` more.
    pub(crate) fn failed(&mut self, now: Millis, end: &AttemptEnd, settings: &Settings) -> bool {
        self.failures += 1;
        let broken = end.outcome == Outcome::ConnectionReset;
        let counts = self.failures.saturating_sub(if broken { BREAKS_FREE } else { 0 });
        if counts > 0 {
            let share = EJECT_SHARE * f64::from(counts);
            self.eject_until = now + end.latency.max(settings.slow_start_duration * share);
        }
        let told = counts >= EJECT_TOLD;
        told && !std::mem::replace(&mut self.told, told)
    }
}

/// How many attempts one of so many gateways keeps out at most: what it has learnt of its own endpoints, and
/// what it takes the others to bear.
pub(crate) fn room(members: &EndpointTable, gateways: u32) -> f64 {
    let own = members.subset().chosen();
    let others = members.subset().ready() - own.len();
    own.iter().map(|slot| members.get(*slot).room).sum::<f64>()
        + others as f64 * Endpoint::first_room(gateways)
}
