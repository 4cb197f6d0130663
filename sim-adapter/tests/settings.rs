//! Settings with one key absent or zero, played on the wire: every request gets one answer in time all the same, or the
//! start names the fault.

use ryefront_sim_adapter::Host;
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

/// The paths of all values in an object or list, its own parts first.
fn paths(value: &Value, at: &str, found: &mut Vec<String>) {
    let parts: Vec<(String, &Value)> = match value {
        Value::Object(map) => map.iter().map(|(k, v)| (k.clone(), v)).collect(),
        Value::Array(list) => list.iter().enumerate().map(|(n, v)| (n.to_string(), v)).collect(),
        _ => Vec::new(),
    };
    for (key, part) in parts {
        let path = format!("{at}/{key}");
        found.push(path.clone());
        paths(part, &path, found);
    }
}

fn without(path: &str) -> Value {
    let mut settings = settings();
    let (parent, key) = path.rsplit_once('/').expect("a path");
    match settings.pointer_mut(parent) {
        Some(Value::Object(map)) => drop(map.remove(key)),
        Some(Value::Array(list)) => drop(list.remove(key.parse().expect("a number"))),
        _ => panic!("no parent of {path}"),
    }
    settings
}

const PATIENCE: u64 = 900;

/// Plays eighteen requests, of all classes and plans and of up to three units; every third counter call gets no
/// answer, and first attempts break. Gives how often each request was answered and how many were sent again, or what
/// the start says.
fn play(settings: &Value) -> Result<(BTreeMap<u64, u32>, usize), String> {
    let mut host = Host::default();
    let mut due = BTreeMap::<(u64, usize), String>::new();
    let start = format!("START\t3\t7\t{settings}");
    let list = "TABLE\t0\t2\nENTRY\tx\tz\tk\t0\tIN\t1\t-\nENTRY\ty\tz\tk\t0\tIN\t1\t995";
    due.insert((1000, 0), format!("{start}\n{list}\nANNOUNCE\t3\tall\t1\t0"));
    let mut answers = BTreeMap::new();
    for id in 0..18 {
        let (class, plan) = (["look", "book", "pay"][id % 3], ["p", "c"][id / 3 % 2]);
        let (spread, units) = ([1, 30][id % 2], 1 + id % 4);
        let order =
            format!("ORDER\t3\t{id}\tc{}\t0\t{PATIENCE}\t{class}\t0\t0\t{spread}\t{units}\t{plan}", id % 5);
        due.insert((1001 + 40 * id as u64, id + 1), order);
        answers.insert(id as u64, 0);
    }
    let classes = settings["classes"].as_array().into_iter().flatten();
    let book = classes.into_iter().find(|class| class["name"] == "book");
    let window = book.and_then(|class| class["window-ms"].as_f64()).unwrap_or(0.0);
    let dial = settings["permissions"]["dial-timeout-ms"].as_f64().unwrap_or(0.0);
    let (mut order, mut calls, mut attempts) = (1000, 0, BTreeMap::<u64, (u32, u64)>::new());
    while let Some(((now, _), events)) = due.pop_first().filter(|((now, _), _)| *now < 4000) {
        let (batch, mut reply) = (format!("BATCH\t{now}\n{events}\nYOUR_TURN\n"), Vec::new());
        host.run(&mut batch.as_bytes(), &mut reply).map_err(|e| e.to_string())?;
        for line in String::from_utf8(reply).expect("text").lines() {
            let fields: Vec<&str> = line.split('\t').collect();
            let id = || fields[2].parse::<u64>().expect("an id");
            let next = match fields[0] {
                "NOTIFY_ME" => {
                    let after: f64 = fields[2].parse().expect("a time");
                    Some((after.max(1.0).ceil() as u64, format!("DUE\t3\t{}", fields[3])))
                }
                "CHARGE_COUNTER" => {
                    calls += 1;
                    let name = fields[2];
                    let total = format!("TOTAL\t3\tdelivered\t{name}\t3\t{}", fields[3]);
                    let lost = (30, format!("TOTAL\t3\texpired\t{name}\t30\t-"));
                    Some(if calls % 3 == 0 { lost } else { (3, total) })
                }
                "HAND_OFF" => {
                    let (n, first) = *attempts.entry(id()).and_modify(|(n, _)| *n += 1).or_insert((0, now));
                    let in_window = (now - first) as f64 + dial <= window;
                    let allowed = [true, in_window, false][id() as usize % 3];
                    assert!(n == 0 || allowed, "sent again {} ms after the first: {line}", now - first);
                    let (outcome, over) = if n == 0 { ("dropped", 0) } else { ("delivered", 1) };
                    *answers.get_mut(&id()).expect("an id given") += over;
                    let end = format!("{outcome}\t-\t{n}\t-\t{over}\t-");
                    Some((20, format!("ATTEMPT_END\t3\t{}\t20\t{}\t{end}", id(), fields[3])))
                }
                "SHED" | "DROP_REQUEST" => {
                    assert!(now <= 1001 + 40 * id() + PATIENCE + 8, "answered late: {line}");
                    *answers.get_mut(&id()).expect("an id given") += 1;
                    None
                }
                _ => None,
            };
            if let Some((after, event)) = next {
                order += 1;
                due.insert((now + after, order), event);
            }
        }
    }
    Ok((answers, attempts.values().filter(|(n, _)| *n > 0).count()))
}

#[test]
fn with_any_key_absent_or_zero_each_request_gets_one_answer_or_the_start_names_the_fault() {
    let (mut all, mut faults) = (Vec::new(), Vec::new());
    assert!(play(&settings()).is_ok_and(|(_, again)| again > 0));
    paths(&settings(), "", &mut all);
    let zero = |path: &String| {
        let mut settings = settings();
        let value = settings.pointer_mut(path).filter(|v| v.is_number())?;
        *value = json!(0);
        Some((format!("{path} = 0"), settings))
    };
    let zeros: Vec<_> = all.iter().filter_map(zero).collect();
    let absent = all.iter().map(|path| (format!("no {path}"), without(path)));
    for (what, settings) in absent.chain(zeros) {
        match play(&settings) {
            Ok((answers, _)) => assert!(answers.values().all(|n| *n == 1), "{what}: {answers:?}"),
            Err(fault) => faults.push(format!("{what}: {fault}")),
        }
    }
    let named = [
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
    assert_eq!(faults, named);
}
