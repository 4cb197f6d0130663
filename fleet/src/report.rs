//! What a run found: as JSON for machines and as Markdown for people. No time of day is in it.

use crate::counter::Counter;
use crate::experiment::Experiment;
use crate::servers::Servers;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt::Write;

/// Where a refusal arose. The decisions give no reason, so it is told by the tenant's true store and by what the
/// gateway was told just before.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Reason {
    /// The tenant had truly too few units left.
    BeyondQuota,
    /// An attempt had been made.
    AfterAttempt,
    /// When it arrived: too few units by the gateway's own word, shed, or the line was full.
    AtOnce,
    /// On a word of the counter.
    OnTotal,
    /// At the end of a hold, for a total or for room.
    HoldOver,
}

const REASONS: usize = 5;
/// The longest time told apart, µs: ten minutes, as long as any deadline.
const LONGEST: u64 = 600_000_000;

/// What is counted while a run goes on. Times are µs.
pub(crate) struct Tally {
    /// Also those that are not counted otherwise.
    pub(crate) offered_in_all: u64,
    pub(crate) offered: u64,
    pub(crate) first_tries: u64,
    served: u64,
    late: u64,
    over_quota: u64,
    refused: [u64; REASONS],
    refused_with_room: u64,
    /// With no answer in time, and otherwise.
    pub(crate) failed: [u64; 2],
    pub(crate) left: u64,
    pub(crate) unanswered: u64,
    pub(crate) open_at_end: u64,
    pub(crate) attempts: u64,
    pub(crate) attempts_ended: u64,
    pub(crate) handshakes: u64,
    /// Attempts to another zone, also one of another region, and those among them to another region.
    pub(crate) across: [u64; 2],
    pub(crate) second_answers: u64,
    pub(crate) stray: u64,
    pub(crate) sent_to_drained: u64,
    pub(crate) unaccounted: u64,
    added: Histogram<u64>,
    latency: Histogram<u64>,
}

impl Tally {
    pub(crate) fn new() -> Self {
        let times =
            || Histogram::new_with_bounds(1, LONGEST, 3).expect("bounds and three digits are allowed");
        Self {
            offered_in_all: 0,
            offered: 0,
            first_tries: 0,
            served: 0,
            late: 0,
            over_quota: 0,
            refused: [0; REASONS],
            refused_with_room: 0,
            failed: [0; 2],
            left: 0,
            unanswered: 0,
            open_at_end: 0,
            attempts: 0,
            attempts_ended: 0,
            handshakes: 0,
            across: [0; 2],
            second_answers: 0,
            stray: 0,
            sent_to_drained: 0,
            unaccounted: 0,
            added: times(),
            latency: times(),
        }
    }

    pub(crate) fn served(&mut self, took: u64, added: u64, late: bool, over_quota: bool) {
        self.served += 1;
        self.late += u64::from(late);
        self.over_quota += u64::from(over_quota);
        self.latency.saturating_record(took);
        self.added.saturating_record(added);
    }

    pub(crate) fn refused(&mut self, reason: Reason, with_room: bool) {
        self.refused[reason as usize] += 1;
        self.refused_with_room += u64::from(with_room);
    }

    /// Holds what was offered against what has ended and what is open, of tries and of attempts.
    pub(crate) fn account(&mut self, open: u64, out: u64) {
        let ended =
            self.served + self.refused.iter().sum::<u64>() + self.failed.iter().sum::<u64>() + self.left;
        let tries = self.offered.abs_diff(ended + open);
        let attempts = self.attempts.abs_diff(self.attempts_ended + out);
        self.unaccounted = self.unaccounted.max(tries + attempts);
    }
}

/// By how much an experiment was scaled down to be played.
#[derive(Clone, Debug, Serialize)]
pub struct Scaled {
    /// Gateways that the file names.
    pub gateways_of_file: u32,
    /// Gateways that were played.
    pub gateways_played: u32,
    /// The share of everything that was played: gateways, servers, tenants, requests, counter.
    pub share: f64,
    /// Servers at the start.
    pub servers_played: u64,
    /// Tenants.
    pub tenants_played: u64,
    /// First tries a second, on average.
    pub requests_per_s: f64,
    /// Gateways that kept the real table of connections beside their decisions.
    pub gateways_with_real_tables: u32,
    /// For how long results were counted.
    pub seconds_counted: f64,
}

/// Tries that were refused, by where that arose.
#[derive(Clone, Debug, Serialize)]
pub struct Refused {
    /// All of them.
    pub total: u64,
    /// The tenant had truly too few units left.
    pub beyond_quota: u64,
    /// An attempt had been made.
    pub after_attempt: u64,
    /// On arrival, though the tenant had the units: shed, no place in line, or taken for beyond its quota.
    pub at_once: u64,
    /// On an answer of the counter, though the tenant had the units.
    pub on_total: u64,
    /// Held until the hold was over, though the tenant had the units.
    pub hold_over: u64,
}

/// Tries that failed.
#[derive(Clone, Debug, Serialize)]
pub struct Failed {
    /// With no answer in time.
    pub timed_out: u64,
    /// Otherwise.
    pub other: u64,
}

/// Percentiles of a time, in virtual milliseconds.
#[derive(Clone, Debug, Serialize)]
pub struct Times {
    /// The median.
    pub p50: f64,
    /// Of 10, 9 took no longer.
    pub p90: f64,
    /// Of 100, 99 took no longer.
    pub p99: f64,
    /// Of 1000, 999 took no longer.
    pub p999: f64,
    /// The longest.
    pub max: f64,
}

impl Times {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |q| histogram.value_at_quantile(q) as f64 / 1000.0;
        Self {
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: histogram.max() as f64 / 1000.0,
        }
    }
}

/// How evenly something is spread over the servers that ran from start to end.
#[derive(Clone, Debug, Serialize)]
pub struct Spread {
    /// The most of a server.
    pub max: u64,
    /// Of a server on average.
    pub mean: f64,
    /// One over the other.
    pub max_over_mean: f64,
}

impl Spread {
    fn of(values: impl Iterator<Item = u64> + Clone) -> Self {
        let (max, count) = (values.clone().max().unwrap_or(0), values.clone().count().max(1));
        let mean = values.sum::<u64>() as f64 / count as f64;
        Self { max, mean: round(mean), max_over_mean: round(max as f64 / mean.max(1e-9)) }
    }
}

/// Calls of the counter, the whole run long.
#[derive(Clone, Debug, Serialize)]
pub struct Calls {
    /// All of them.
    pub calls: u64,
    /// A second.
    pub per_s: f64,
    /// For each try that was offered.
    pub per_request: f64,
    /// Given up by the gateway.
    pub unanswered: u64,
    /// Turned away by the counter.
    pub turned_away: u64,
}

/// Lists of servers, the bodies alone.
#[derive(Clone, Debug, Serialize)]
pub struct Lists {
    /// How many were written.
    pub written: u64,
    /// Bytes of whole lists that a gateway was sent on average.
    pub whole_bytes_per_gateway: f64,
    /// Bytes of changes.
    pub change_bytes_per_gateway: f64,
}

/// Sends to cold servers, held against the rule: within the time over which that is judged, all gateways together
/// send at most N + 2 x root of N + 2, with N the multiple that fells a server times its present capacity.
#[derive(Clone, Debug, Serialize)]
pub struct ColdSends {
    /// Servers that started cold.
    pub starts: u64,
    /// Sends to them while they were cold, each of which was judged together with those just before it.
    pub sends: u64,
    /// The worst of what was sent over what is allowed.
    pub worst_ratio: f64,
    /// What was sent there.
    pub worst_sent: u64,
    /// What was allowed there.
    pub worst_allowed: f64,
}

/// Something that must hold in every run.
#[derive(Clone, Debug, Serialize)]
pub struct Invariant {
    /// What it says.
    pub name: &'static str,
    /// Whether it held.
    pub held: bool,
    /// The figure behind that.
    pub figure: f64,
    /// The most that it may be.
    pub most: f64,
}

/// What a run found. Counts are of tries that arrived when results were counted, unless they say otherwise.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The experiment's name.
    pub experiment: String,
    /// The run's seed.
    pub seed: u64,
    /// How much of the experiment was played.
    pub scaled: Scaled,
    /// Units that first tries ask for, as a share of all quotas' rates.
    pub asked_of_quota: f64,
    /// First tries, as a share of what the servers that are left at the end can do.
    pub asked_of_capacity: f64,
    /// Tries.
    pub offered: u64,
    /// First tries among them.
    pub first_tries: u64,
    /// Tries that were served.
    pub served: u64,
    /// The share of first tries that were served, then or by a further try.
    pub served_share_of_first_tries: f64,
    /// Those served after their aim.
    pub late: u64,
    /// Tries that were refused.
    pub refused: Refused,
    /// Refused while over half of the tenant's burst was left.
    pub refused_with_room: u64,
    /// As a share of all tries.
    pub refused_with_room_share: f64,
    /// Tries that failed.
    pub failed: Failed,
    /// Tries whose client left.
    pub left: u64,
    /// Tries served though their tenant had too few units left.
    pub over_quota: u64,
    /// As a share of those served.
    pub over_quota_share: f64,
    /// The time from a served try's arrival to its answer, without the attempt that served it; its new connection
    /// is in. The gateway's own processor time is not: see `slopes`.
    pub added_ms: Times,
    /// The time from a served try's arrival to its answer, both at the gateway.
    pub latency_ms: Times,
    /// Attempts a server was sent, the whole run long.
    pub requests_per_server: Spread,
    /// Gateways that sent to a server at least once, the whole run long.
    pub gateways_per_server: Spread,
    /// The counter's calls.
    pub counter: Calls,
    /// Lists of servers.
    pub lists: Lists,
    /// Sends to cold servers.
    pub cold: ColdSends,
    /// Attempts for each try.
    pub attempts_per_request: f64,
    /// New connections.
    pub handshakes: u64,
    /// For each attempt.
    pub handshakes_per_attempt: f64,
    /// The share of attempts that left their gateway's zone.
    pub across_zones_share: f64,
    /// The share of attempts that left their gateway's region.
    pub across_regions_share: f64,
    /// What must hold in every run.
    pub invariants: Vec<Invariant>,
}

/// What a report is made of.
pub(crate) struct Parts<'a> {
    pub(crate) experiment: &'a Experiment,
    pub(crate) seed: u64,
    pub(crate) scaled: Scaled,
    pub(crate) asked_of_quota: f64,
    pub(crate) asked_of_capacity: f64,
    pub(crate) worst_use_of_bound: f64,
    pub(crate) servers: &'a Servers,
    pub(crate) counter: &'a Counter,
    pub(crate) list_bytes: [f64; 2],
    pub(crate) lists: u64,
    pub(crate) tally: Tally,
}

/// Six digits behind the point are enough to compare.
fn round(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}

impl Report {
    pub(crate) fn new(parts: Parts) -> Self {
        let Parts { experiment, scaled, servers, counter, tally, .. } = parts;
        let share = |part: u64, whole: u64| round(part as f64 / whole.max(1) as f64);
        let stayed = || servers.all.iter().filter(|s| s.stayed());
        let reason = |reason: Reason| tally.refused[reason as usize];
        let invariant = |name, figure, most| Invariant { name, held: figure <= most, figure, most };
        let counts = [
            ("every try and every attempt is accounted for, every second", tally.unaccounted),
            ("no try has two final answers", tally.second_answers),
            ("no action makes no sense to a host", tally.stray),
            ("no try is without an answer when its client's time is over", tally.unanswered),
            ("no try is open at the end", tally.open_at_end),
            ("nothing is sent to a draining server after its grace", tally.sent_to_drained),
        ];
        let mut invariants: Vec<_> =
            counts.into_iter().map(|(name, count)| invariant(name, count as f64, 0.0)).collect();
        let use_of_bound = round(parts.worst_use_of_bound);
        invariants.push(invariant(
            "no tenant with a unit for each gateway passes its bound",
            use_of_bound,
            1.0,
        ));
        invariants.push(invariant(
            "cold servers are sent no more than is allowed",
            round(servers.cold.ratio),
            1.0,
        ));
        Self {
            experiment: experiment.name.clone(),
            seed: parts.seed,
            scaled,
            asked_of_quota: round(parts.asked_of_quota),
            asked_of_capacity: round(parts.asked_of_capacity),
            offered: tally.offered,
            first_tries: tally.first_tries,
            served: tally.served,
            served_share_of_first_tries: share(tally.served, tally.first_tries),
            late: tally.late,
            refused: Refused {
                total: tally.refused.iter().sum(),
                beyond_quota: reason(Reason::BeyondQuota),
                after_attempt: reason(Reason::AfterAttempt),
                at_once: reason(Reason::AtOnce),
                on_total: reason(Reason::OnTotal),
                hold_over: reason(Reason::HoldOver),
            },
            refused_with_room: tally.refused_with_room,
            refused_with_room_share: share(tally.refused_with_room, tally.offered),
            failed: Failed { timed_out: tally.failed[1], other: tally.failed[0] },
            left: tally.left,
            over_quota: tally.over_quota,
            over_quota_share: share(tally.over_quota, tally.served),
            added_ms: Times::of(&tally.added),
            latency_ms: Times::of(&tally.latency),
            requests_per_server: Spread::of(stayed().map(|s| s.sends)),
            gateways_per_server: Spread::of(stayed().map(|s| u64::from(s.gateways()))),
            counter: Calls {
                calls: counter.calls,
                per_s: round(counter.calls as f64 / experiment.seconds),
                per_request: share(counter.calls, tally.offered_in_all),
                unanswered: counter.unanswered,
                turned_away: counter.turned_away,
            },
            lists: Lists {
                written: parts.lists,
                whole_bytes_per_gateway: round(parts.list_bytes[0]),
                change_bytes_per_gateway: round(parts.list_bytes[1]),
            },
            cold: ColdSends {
                starts: servers.cold.starts,
                sends: servers.cold.sends,
                worst_ratio: round(servers.cold.ratio),
                worst_sent: servers.cold.sent,
                worst_allowed: round(servers.cold.allowed),
            },
            attempts_per_request: share(tally.attempts, tally.offered),
            handshakes: tally.handshakes,
            handshakes_per_attempt: share(tally.handshakes, tally.attempts),
            across_zones_share: share(tally.across[0], tally.attempts),
            across_regions_share: share(tally.across[1], tally.attempts),
            invariants,
        }
    }

    /// The invariants that did not hold.
    pub fn broken(&self) -> impl Iterator<Item = &Invariant> {
        self.invariants.iter().filter(|i| !i.held)
    }

    /// The result for machines, with a line feed at its end.
    ///
    /// # Panics
    /// Never: all of it can be written as JSON.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("figures and texts can be written") + "\n"
    }

    /// The summary for people.
    pub fn markdown(&self) -> String {
        let mut text = String::new();
        let scaled = &self.scaled;
        let percent = |part: u64, whole: u64| format!("{:.2}%", 100.0 * part as f64 / whole.max(1) as f64);
        let of_offered = |part: u64| percent(part, self.offered);
        let mut line = |key: &str, value: String| {
            // Writing to a text cannot fail.
            let _ = writeln!(text, "| {key} | {value} |");
        };
        line("figure", "value".into());
        line("---", "---".into());
        line(
            "gateways, servers, tenants",
            format!(
                "{}, {}, {} ({:.3} of the file's fleet)",
                scaled.gateways_played, scaled.servers_played, scaled.tenants_played, scaled.share
            ),
        );
        line("gateways with the real table of connections", scaled.gateways_with_real_tables.to_string());
        line(
            "first tries a second; counted for",
            format!("{:.0}; {} s", scaled.requests_per_s, scaled.seconds_counted),
        );
        line(
            "asked of all quotas; of all servers' capacity",
            format!("{:.2}; {:.2}", self.asked_of_quota, self.asked_of_capacity),
        );
        line("tries offered; first tries", format!("{}; {}", self.offered, self.first_tries));
        line("first tries served in the end", format!("{:.2}%", 100.0 * self.served_share_of_first_tries));
        line("served; late among them", format!("{}; {}", of_offered(self.served), of_offered(self.late)));
        let refused = &self.refused;
        line("refused", of_offered(refused.total));
        line("- beyond quota", of_offered(refused.beyond_quota));
        line("- after an attempt", of_offered(refused.after_attempt));
        line(
            "- with units left: at once; on a total; hold over",
            format!(
                "{}; {}; {}",
                of_offered(refused.at_once),
                of_offered(refused.on_total),
                of_offered(refused.hold_over)
            ),
        );
        line("refused with room", of_offered(self.refused_with_room));
        line(
            "failed: timed out; otherwise",
            format!("{}; {}", of_offered(self.failed.timed_out), of_offered(self.failed.other)),
        );
        line("client left", of_offered(self.left));
        line("over quota, of those served", percent(self.over_quota, self.served));
        for (key, times) in [("added, ms", &self.added_ms), ("latency, ms", &self.latency_ms)] {
            line(
                &format!("{key}: p50, p90, p99, p99.9, max"),
                format!(
                    "{:.1}, {:.1}, {:.1}, {:.1}, {:.1}",
                    times.p50, times.p90, times.p99, times.p999, times.max
                ),
            );
        }
        for (key, spread) in
            [("requests", &self.requests_per_server), ("gateways", &self.gateways_per_server)]
        {
            line(
                &format!("{key} per server: max, mean, max/mean"),
                format!("{}, {:.1}, {:.2}", spread.max, spread.mean, spread.max_over_mean),
            );
        }
        let calls = &self.counter;
        line("counter calls: a second; a try", format!("{:.0}; {:.3}", calls.per_s, calls.per_request));
        line("counter calls unanswered; turned away", format!("{}; {}", calls.unanswered, calls.turned_away));
        line(
            "list bytes a gateway: whole; changes",
            format!("{:.0}; {:.0}", self.lists.whole_bytes_per_gateway, self.lists.change_bytes_per_gateway),
        );
        let cold = &self.cold;
        line("cold starts; sends to cold servers", format!("{}; {}", cold.starts, cold.sends));
        line(
            "sends to a cold server over its budget, worst",
            format!("{:.3} ({} of {:.1})", cold.worst_ratio, cold.worst_sent, cold.worst_allowed),
        );
        line(
            "attempts a try; handshakes an attempt",
            format!("{:.3}; {:.3}", self.attempts_per_request, self.handshakes_per_attempt),
        );
        line(
            "attempts across zones; across regions",
            format!("{:.1}%; {:.1}%", 100.0 * self.across_zones_share, 100.0 * self.across_regions_share),
        );
        for invariant in &self.invariants {
            let word = if invariant.held { "held" } else { "BROKEN" };
            line(invariant.name, format!("{word} ({}, at most {})", invariant.figure, invariant.most));
        }
        format!("# {}, seed {}\n\n{text}", self.experiment, self.seed)
    }
}
