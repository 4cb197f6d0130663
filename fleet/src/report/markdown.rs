//! Formats a report as Markdown, for `summary.md` and standard output.

use super::result::{Percentiles, Report, Spread};
use std::fmt::{Display, Write};

/// A Markdown table with the columns `figure` and `value`.
struct Table(String);

impl Table {
    fn new() -> Self {
        let mut table = Self(String::new());
        table.row("figure", "value");
        table.row("---", "---");
        table
    }

    fn row(&mut self, figure: impl Display, value: impl Display) {
        // Writing to a String cannot fail.
        let _ = writeln!(self.0, "| {figure} | {value} |");
    }
}

fn percent(part: u64, total: u64) -> String {
    format!("{:.2}%", 100.0 * part as f64 / total.max(1) as f64)
}

impl Report {
    /// Formats the report as a human-readable Markdown table.
    pub fn markdown(&self) -> String {
        let mut table = Table::new();
        self.add_scale(&mut table);
        self.add_client_attempts(&mut table);
        add_percentiles(&mut table, "added, ms", &self.added_ms);
        add_percentiles(&mut table, "latency, ms", &self.latency_ms);
        add_spread(&mut table, "attempts", &self.attempts_per_endpoint);
        add_spread(&mut table, "gateways", &self.gateways_per_endpoint);
        self.add_counter_and_lists(&mut table);
        self.add_attempts(&mut table);
        for invariant in &self.invariants {
            let verdict = if invariant.held { "held" } else { "VIOLATED" };
            let value = format!("{verdict} ({}, at most {})", invariant.value, invariant.limit);
            table.row(invariant.name, value);
        }
        format!("# {}, seed {}\n\n{}", self.experiment, self.seed, table.0)
    }

    fn add_scale(&self, table: &mut Table) {
        let scale = &self.scale;
        let sizes = format!("{}, {}, {}", scale.gateways, scale.endpoints, scale.tenants);
        table.row(
            "gateways, endpoints, tenants",
            format!("{sizes} ({:.3} of the fleet in the file)", scale.fraction),
        );
        table.row("gateways with a real endpoint registry", scale.gateways_with_registry);
        table.row(
            "first attempts per second; counted for",
            format!("{:.0}; {} s", scale.requests_per_s, scale.counted_s),
        );
        table.row(
            "demand relative to all quotas; to the capacity of all endpoints",
            format!("{:.2}; {:.2}", self.quota_demand, self.capacity_demand),
        );
    }

    fn add_client_attempts(&self, table: &mut Table) {
        let percent_of_offered = |part: u64| percent(part, self.offered);
        let rejected = &self.rejected;
        table.row("client attempts; first attempts", format!("{}; {}", self.offered, self.first_attempts));
        table.row(
            "first attempts served, then or by a retry",
            format!("{:.2}%", 100.0 * self.served_fraction_of_first_attempts),
        );
        table.row(
            "served; late",
            format!("{}; {}", percent_of_offered(self.served), percent_of_offered(self.late)),
        );
        table.row("rejected", percent_of_offered(rejected.total));
        table.row("- beyond quota", percent_of_offered(rejected.beyond_quota));
        table.row("- after an attempt", percent_of_offered(rejected.after_attempt));
        table.row(
            "- with units left: on arrival; on a counter reply; after a wait",
            format!(
                "{}; {}; {}",
                percent_of_offered(rejected.on_arrival),
                percent_of_offered(rejected.on_counter_reply),
                percent_of_offered(rejected.wait_expired)
            ),
        );
        table.row(
            "rejected with over half of the burst left",
            percent_of_offered(self.rejected_with_quota_left),
        );
        table.row(
            "failed: timed out; other",
            format!(
                "{}; {}",
                percent_of_offered(self.failed.timed_out),
                percent_of_offered(self.failed.other)
            ),
        );
        table.row("client disconnected", percent_of_offered(self.client_disconnected));
        table.row("over quota, of those served", percent(self.over_quota, self.served));
    }

    fn add_counter_and_lists(&self, table: &mut Table) {
        let calls = &self.counter;
        let lists = &self.endpoint_lists;
        table.row(
            "counter calls: per second; per client attempt",
            format!("{:.0}; {:.3}", calls.per_s, calls.per_client_attempt),
        );
        table.row("counter calls timed out; rejected", format!("{}; {}", calls.timed_out, calls.rejected));
        table.row(
            "endpoint list bytes per gateway: snapshots; deltas",
            format!("{:.0}; {:.0}", lists.snapshot_bytes_per_gateway, lists.delta_bytes_per_gateway),
        );
    }

    fn add_attempts(&self, table: &mut Table) {
        let slow_start = &self.slow_start;
        table.row(
            "endpoints started; attempts during their slow start",
            format!("{}; {}", slow_start.starts, slow_start.attempts),
        );
        let worst = format!("{} of {:.1}", slow_start.worst_attempts, slow_start.worst_budget);
        table.row(
            "worst ratio of attempts to the budget of a slow start",
            format!("{:.3} ({worst})", slow_start.worst_ratio),
        );
        table.row(
            "attempts per client attempt; handshakes per attempt",
            format!("{:.3}; {:.3}", self.attempts_per_client_attempt, self.handshakes_per_attempt),
        );
        let cross_zone_percent = 100.0 * self.cross_zone_fraction;
        let cross_region_percent = 100.0 * self.cross_region_fraction;
        table.row(
            "attempts to another zone; to another region",
            format!("{cross_zone_percent:.1}%; {cross_region_percent:.1}%"),
        );
    }
}

fn add_percentiles(table: &mut Table, name: &str, percentiles: &Percentiles) {
    let Percentiles { p50, p90, p99, p999, max } = percentiles;
    table.row(
        format!("{name}: p50, p90, p99, p99.9, max"),
        format!("{p50:.1}, {p90:.1}, {p99:.1}, {p999:.1}, {max:.1}"),
    );
}

fn add_spread(table: &mut Table, name: &str, spread: &Spread) {
    table.row(
        format!("{name} per endpoint: max, mean, max/mean"),
        format!("{}, {:.1}, {:.2}", spread.max, spread.mean, spread.max_over_mean),
    );
}
