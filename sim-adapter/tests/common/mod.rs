//! Passes lines to a new host and collects its replies.

use ryefront_sim_adapter::{Host, HostError};

const SETTINGS: &str = r#"{"classes":[{"name":"look","effect":"idempotent","goal-time-ms":500.0,"hard-limit-ms":2000.0,
"worth":1.0}],"plans":[{"name":"p","refill":5.0,"burst":10.0,"worth-factor":1.0}],"fleet-size":2,"my-number":0,
"locality":"z","period-ms":1.0,"discovery":"pushed","a-new-key":{"x":1},"extra":{"has-counter":true,
"count-limit-ms":50.0,"units-top":1},"load-info":{"source":"inline"},"permissions":{"most-tries":3,
"may-cancel":true,"max-retry-after-ms":1000.0},"rules":{"cold-from":0.2,"cold-ms":9000.0}}"#;

/// The messages for an endpoint table with one endpoint.
#[allow(dead_code, reason = "not every test file needs it")]
pub(crate) const TABLE: [&str; 2] = ["TABLE\t0\t1", "ENTRY\tendpoint.x\tz\tk\t0\tIN\t1\t-"];
/// The message that sends this table to instance 3 as its endpoint list.
pub(crate) const ENDPOINT_LIST: &str = "ANNOUNCE\t3\tremembered\t1\t0";

/// Passes lines to a new host and returns the lines of all its replies.
pub(crate) fn replies(lines: &[&str]) -> Result<Vec<String>, HostError> {
    let input = lines.join("\n") + "\n";
    let mut output = Vec::new();
    Host::default().run(&mut input.as_bytes(), &mut output)?;
    Ok(String::from_utf8(output).expect("replies are UTF-8").lines().map(str::to_owned).collect())
}

/// The message that starts an instance.
pub(crate) fn start(instance: u32) -> String {
    format!("START\t{instance}\t7\t{}", SETTINGS.replace('\n', ""))
}
