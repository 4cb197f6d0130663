//! The scenario of each case.

mod half_requests;
mod memory_close;
mod short_lengths;
mod slow_discovery;
mod small_units;

use crate::Verdict;
use crate::record::Record;

pub fn run(case: &str, trouble: bool, record: &Record) -> Verdict {
    let result = match case {
        "slow-discovery" => slow_discovery::run(trouble, record),
        "half-requests" => half_requests::run(trouble, record),
        "memory-close" => memory_close::run(trouble, record),
        "short-lengths" => short_lengths::run(trouble, record),
        "small-units" => small_units::run(trouble, record),
        _ => Err(format!("no such case: {case}")),
    };
    result.unwrap_or_else(Verdict::NotRun)
}

/// Settings like those of `kelaniya-campus`.
fn kelaniya_settings(gateways: usize, number: usize) -> String {
    format!(
        r#""classes":[{{"name":"next-pick","effect":"idempotent","dedup-scope":"all","goal-time-ms":1000,"hard-limit-ms":4000,"window-ms":5000,"worth":1}},
{{"name":"confirm-pick","effect":"deduplicated","dedup-scope":"zone","goal-time-ms":750,"hard-limit-ms":2000,"window-ms":2000,"worth":3}}],
"clients":{{"marks-retry":true}},"discovery":"pushed",
"extra":{{"call-price":0.01,"count-limit-ms":30,"has-counter":true,"trued-up":true,"units-top":8}},
"fleet-size":{gateways},"my-number":{number},"kinds":["small-2core"],
"load-info":{{"fields":["backlog","throughput","utilization"],"source":"inline"}},"locality":"hall-a","period-ms":2,
"permissions":{{"dial-timeout-ms":250,"keepalive-ms":30000,"max-open":20000,"max-retry-after-ms":1000,"max-streams":100,"may-cancel":true,"most-tries":6,"probes":true,"retry-after":true,"second-copies":true}},
"plans":[{{"name":"small","refill":1.7,"burst":16,"overrun-cost":0.5,"worth-factor":0.8}},{{"name":"large","refill":30,"burst":41,"overrun-cost":0.6,"worth-factor":1.6}}],
"prices":{{"cross-zone":0.01,"waste":0.16}},
"rules":{{"answer-slack-ms":8,"ask-every-ms":10000,"cold-from":0.25,"cold-ms":18000,"drain-grace-ms":1000,"fall-ms":1000,"overload-factor":2.5}},
"weights":"off","zones":["hall-a","hall-b"]"#
    )
}
