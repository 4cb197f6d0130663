//! Simulates an instance for each of its settings, with that setting missing or zero. Every request must get
//! exactly one final response in time, or the start of the instance must fail with an error that names the
//! cause.

use ryefront_sim_adapter::{Host, HostError};
use serde_json::{Value, json};
use std::collections::BTreeMap;

fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "dedup-scope": "all", "goal-time-ms": 500.0, "worth": 1.0,
            "hard-limit-ms": 2000.0, "late-value": 0.1, "window-ms": 600.0, "stream": false})
    };
    let plan = |name: &str, ceiling: f64| {
        json!({"name": name, "refill": 5.0, "burst": 10.0, "parallel": 3, "cap-rate": 5.0 * ceiling,
            "ceiling-burst": 10.0 * ceiling, "ceiling-slack": ceiling, "worth-factor": 1.0, "over-worth": 0.1,
            "overrun-cost": 0.5})
    };
    json!({
        "classes": [class("look", "idempotent"), class("book", "deduplicated"), class("pay", "at_most_once")],
        "plans": [plan("p", 0.0), plan("c", 1.6)],
        "fleet-size": 30, "my-number": 7, "locality": "z", "period-ms": 2.0, "discovery": "pushed",
        "extra": {"has-counter": true, "count-limit-ms": 30.0, "units-top": 3, "trued-up": true},
        "load-info": {"source": "inline"},
        "permissions": {"dial-timeout-ms": 250.0, "max-retry-after-ms": 1000.0, "most-tries": 3, "peers": false,
            "probes": true, "may-cancel": true, "retry-after": true},
        "prices": {"cross-zone": 0.1},
        "rules": {"cold-from": 0.2, "cold-ms": 9000.0, "overload-factor": 2.0, "fall-ms": 1000.0},
    })
}

/// Collects the JSON pointers of all values within an object or an array, depth first, each before its children.
fn collect_paths(value: &Value, parent: &str, paths: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(map) => map.iter().map(|(key, child)| (key.clone(), child)).collect(),
        Value::Array(list) => {
            list.iter().enumerate().map(|(index, child)| (index.to_string(), child)).collect()
        }
        _ => Vec::new(),
    };
    for (key, child) in children {
        let path = format!("{parent}/{key}");
        paths.push(path.clone());
        collect_paths(child, &path, paths);
    }
}

/// The settings without the value at a path.
fn without(path: &str) -> Value {
    let mut settings = settings();
    let (parent, key) = path.rsplit_once('/').expect("a path contains a slash");
    match settings.pointer_mut(parent) {
        Some(Value::Object(map)) => drop(map.remove(key)),
        Some(Value::Array(list)) => drop(list.remove(key.parse().expect("the key is an index"))),
        _ => panic!("{path} has no parent"),
    }
    settings
}

/// The settings with the number at a path set to zero; `None` if the value is not a number.
fn with_zero(path: &str) -> Option<Value> {
    let mut settings = settings();
    let value = settings.pointer_mut(path).filter(|value| value.is_number())?;
    *value = json!(0);
    Some(settings)
}

/// The simulated instance.
const INSTANCE: u64 = 3;
const REQUESTS: u64 = 18;
const TIME_TO_DEADLINE_MS: u64 = 900;
const RESPONSE_TOLERANCE_MS: u64 = 8;
const FIRST_ARRIVAL_MS: u64 = 1001;
const ARRIVAL_PERIOD_MS: u64 = 40;
const SIMULATION_END_MS: u64 = 4000;

fn arrival_ms(id: u64) -> u64 {
    FIRST_ARRIVAL_MS + ARRIVAL_PERIOD_MS * id
}

/// The latest attempt of a request, and when the first one was sent.
#[derive(Clone, Copy)]
struct Attempt {
    /// The index of the attempt, starting at 0.
    number: u32,
    first_sent_ms: u64,
}

/// A fake of the simulator, with one instance. Every third counter call times out, and the connection of each
/// first attempt is reset.
struct FakeSimulator {
    host: Host,
    /// The scheduled events, by time and the order in which they were scheduled.
    events: BTreeMap<(u64, u64), String>,
    scheduled_count: u64,
    counter_calls: u32,
    /// The latest attempt of each request.
    attempts: BTreeMap<u64, Attempt>,
    /// The number of final responses to each request.
    final_responses: BTreeMap<u64, u32>,
    connect_timeout_ms: f64,
    dedup_window_ms: f64,
}

impl FakeSimulator {
    /// Schedules the start of the instance and requests of all classes and plans, with one to four units.
    fn new(settings: &Value) -> Self {
        let classes = settings["classes"].as_array().into_iter().flatten();
        let book = classes.into_iter().find(|class| class["name"] == "book");
        let mut simulator = Self {
            host: Host::default(),
            events: BTreeMap::new(),
            scheduled_count: 0,
            counter_calls: 0,
            attempts: BTreeMap::new(),
            final_responses: BTreeMap::new(),
            connect_timeout_ms: settings["permissions"]["dial-timeout-ms"].as_f64().unwrap_or(0.0),
            dedup_window_ms: book.and_then(|class| class["window-ms"].as_f64()).unwrap_or(0.0),
        };
        let start = format!("START\t{INSTANCE}\t7\t{settings}");
        let table = "TABLE\t0\t2\nENTRY\tx\tz\tk\t0\tIN\t1\t-\nENTRY\ty\tz\tk\t0\tIN\t1\t995";
        simulator.schedule(1000, format!("{start}\n{table}\nANNOUNCE\t{INSTANCE}\tall\t1\t0"));
        for id in 0..REQUESTS {
            simulator.schedule(arrival_ms(id), request(id));
            simulator.final_responses.insert(id, 0);
        }
        simulator
    }

    fn schedule(&mut self, at_ms: u64, event: String) {
        self.scheduled_count += 1;
        self.events.insert((at_ms, self.scheduled_count), event);
    }

    /// Runs the simulation, with one scheduled event in each batch.
    fn run(&mut self) -> Result<(), HostError> {
        while let Some(((now, _), event)) =
            self.events.pop_first().filter(|((now, _), _)| *now < SIMULATION_END_MS)
        {
            let batch = format!("BATCH\t{now}\n{event}\nYOUR_TURN\n");
            let mut reply = Vec::new();
            self.host.run(&mut batch.as_bytes(), &mut reply)?;
            for line in String::from_utf8(reply).expect("replies are UTF-8").lines() {
                self.perform(now, line);
            }
        }
        Ok(())
    }

    fn perform(&mut self, now: u64, line: &str) {
        let fields: Vec<&str> = line.split('\t').collect();
        let request_id = || fields[2].parse::<u64>().expect("the field is a request ID");
        match fields[0] {
            "NOTIFY_ME" => {
                let after: f64 = fields[2].parse().expect("the field is a duration");
                self.schedule(now + after.max(1.0).ceil() as u64, format!("DUE\t{INSTANCE}\t{}", fields[3]));
            }
            "CHARGE_COUNTER" => self.call_counter(now, fields[2], fields[3]),
            "HAND_OFF" => self.forward(now, request_id(), fields[3]),
            "SHED" | "DROP_REQUEST" => {
                let deadline = arrival_ms(request_id()) + TIME_TO_DEADLINE_MS;
                assert!(now <= deadline + RESPONSE_TOLERANCE_MS, "final response after the deadline: {line}");
                self.record_final_response(request_id());
            }
            _ => {}
        }
    }

    fn call_counter(&mut self, now: u64, key: &str, amount: &str) {
        self.counter_calls += 1;
        if self.counter_calls.is_multiple_of(3) {
            self.schedule(now + 30, format!("TOTAL\t{INSTANCE}\texpired\t{key}\t30\t-"));
        } else {
            self.schedule(now + 3, format!("TOTAL\t{INSTANCE}\tdelivered\t{key}\t3\t{amount}"));
        }
    }

    /// Resets the connection of a first attempt and serves a retry. Asserts that the class allows the retry.
    fn forward(&mut self, now: u64, id: u64, endpoint: &str) {
        let first = Attempt { number: 0, first_sent_ms: now };
        let attempt = *self.attempts.entry(id).and_modify(|last| last.number += 1).or_insert(first);
        let is_retry = attempt.number > 0;
        let since_first_ms = now - attempt.first_sent_ms;
        let within_window = since_first_ms as f64 + self.connect_timeout_ms <= self.dedup_window_ms;
        let retry_allowed = [true, within_window, false][id as usize % 3];
        assert!(
            !is_retry || retry_allowed,
            "request {id} was retried {since_first_ms} ms after its first attempt"
        );
        let (outcome, finished) = if is_retry { ("delivered", 1) } else { ("dropped", 0) };
        if is_retry {
            self.record_final_response(id);
        }
        let end = format!("{outcome}\t-\t{}\t-\t{finished}\t-", attempt.number);
        self.schedule(now + 20, format!("ATTEMPT_END\t{INSTANCE}\t{id}\t20\t{endpoint}\t{end}"));
    }

    fn record_final_response(&mut self, id: u64) {
        *self.final_responses.get_mut(&id).expect("the request was sent") += 1;
    }
}

/// The message for the arrival of a request. Its class, plan, gateways and units depend on its ID.
fn request(id: u64) -> String {
    let n = id as usize;
    let class = ["look", "book", "pay"][n % 3];
    let plan = ["p", "c"][n / 3 % 2];
    let gateways_per_tenant = [1, 30][n % 2];
    let units = 1 + n % 4;
    let tenant = n % 5;
    let tenant_and_class = format!("c{tenant}\t0\t{TIME_TO_DEADLINE_MS}\t{class}\t0");
    format!("ORDER\t{INSTANCE}\t{id}\t{tenant_and_class}\t0\t{gateways_per_tenant}\t{units}\t{plan}")
}

/// The result of a simulation.
struct RunResult {
    final_responses: BTreeMap<u64, u32>,
    retried_requests: usize,
}

/// Simulates an instance with the given settings. Returns an error if the instance does not start.
fn simulate(settings: &Value) -> Result<RunResult, HostError> {
    let mut simulator = FakeSimulator::new(settings);
    simulator.run()?;
    let retried_requests = simulator.attempts.values().filter(|attempt| attempt.number > 0).count();
    Ok(RunResult { final_responses: simulator.final_responses, retried_requests })
}

#[test]
fn each_request_gets_one_final_response_or_the_start_fails_with_any_setting_missing_or_zero() {
    assert!(simulate(&settings()).is_ok_and(|result| result.retried_requests > 0));
    let mut paths = Vec::new();
    collect_paths(&settings(), "", &mut paths);
    let missing = paths.iter().map(|path| (format!("no {path}"), without(path)));
    let zeros = paths.iter().filter_map(|path| Some((format!("{path} = 0"), with_zero(path)?)));

    let mut errors = Vec::new();
    for (change, settings) in missing.chain(zeros) {
        match simulate(&settings) {
            Ok(result) => assert!(
                result.final_responses.values().all(|count| *count == 1),
                "{change}: {:?}",
                result.final_responses
            ),
            Err(error) => errors.push(format!("{change}: {error}")),
        }
    }

    let expected = [
        "no /classes: line 2: settings name no request class",
        "no /classes/0/effect: line 2: settings: effect is \"\", expected idempotent, deduplicated or at_most_once",
        "no /classes/1/effect: line 2: settings: effect is \"\", expected idempotent, deduplicated or at_most_once",
        "no /classes/2/effect: line 2: settings: effect is \"\", expected idempotent, deduplicated or at_most_once",
        "no /fleet-size: line 2: settings: gateway index 7 is not below the number of gateways, 0",
        "no /plans/0/burst: line 2: settings: a plan's burst is 0, expected more than 0 where there is a rate",
        "no /plans/1/burst: line 2: settings: a plan's burst is 0, expected more than 0 where there is a rate",
        "/fleet-size = 0: line 2: settings: gateway index 7 is not below the number of gateways, 0",
        "/plans/0/burst = 0: line 2: settings: a plan's burst is 0, expected more than 0 where there is a rate",
        "/plans/1/burst = 0: line 2: settings: a plan's burst is 0, expected more than 0 where there is a rate",
    ];
    assert_eq!(errors, expected);
}
