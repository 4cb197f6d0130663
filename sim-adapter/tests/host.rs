//! Batches of events and the replies to them.

mod common;

use common::{ENDPOINT_LIST, TABLE, replies, start};

/// A request that arrives at instance 3.
const REQUEST: &str = "ORDER\t3\t55\tc-1\t0\t900.0\tlook\t0\t0\t2\t1\tp";

/// The message with a total that replies to the first counter call in the adapter's reply.
fn counter_reply(reply: &[String], total: u32) -> String {
    let call = reply
        .iter()
        .find(|line| line.starts_with("CHARGE_COUNTER\t3\t"))
        .expect("the reply contains a counter call");
    let key = call.split('\t').nth(2).expect("the call contains a key");
    format!("TOTAL\t3\tdelivered\t{key}\t2.15\t{total}")
}

#[test]
fn replies_to_empty_batch_and_stops_at_the_end_of_the_input() {
    assert_eq!(replies(&["BATCH\t8412.25", "YOUR_TURN"]).expect("the input is valid"), ["READY"]);
}

#[test]
fn forwards_request_once_the_counter_grants_its_units() {
    let start = start(3);
    let first_batch = ["BATCH\t1", &start, TABLE[0], TABLE[1], ENDPOINT_LIST, REQUEST, "YOUR_TURN"];
    let total = counter_reply(&replies(&first_batch).expect("the input is valid"), 5);
    let second_batch = ["BATCH\t2", &total, "YOUR_TURN"];
    let attempt_end = "ATTEMPT_END\t3\t55\t18.5\tendpoint.x\tdelivered\t86\t0\t0\t1\toutstanding:4,unheard:2";
    let third_batch = ["BATCH\t3", attempt_end, "YOUR_TURN"];

    let reply =
        replies(&[&first_batch[..], &second_batch, &third_batch].concat()).expect("the input is valid");

    assert!(reply.iter().any(|line| line.starts_with("HAND_OFF\t3\t55\tendpoint.x\t")), "{reply:?}");
    assert_eq!(reply.iter().filter(|line| *line == "READY").count(), 3);
}

#[test]
fn restarted_instance_keeps_no_state_of_its_previous_run() {
    let start = start(3);
    let before = ["BATCH\t1", &start, TABLE[0], TABLE[1], ENDPOINT_LIST, REQUEST];
    let restart = ["EXIT\t3", &start, "GONE\t3\t55", "YOUR_TURN"];

    let reply = replies(&[&before[..], &restart].concat()).expect("the input is valid");

    assert_eq!(reply.last().map(String::as_str), Some("READY"));
}

#[test]
fn reused_table_number_refers_to_the_newer_table() {
    let start = start(3);
    let newer_row = "ENTRY\tendpoint.y\tz\tk\t0\tIN\t1\t-";
    let older_table = ["BATCH\t1", &start, TABLE[0], TABLE[1], ENDPOINT_LIST];
    let newer_table = [TABLE[0], newer_row, "ANNOUNCE\t3\tall\t2\t0", REQUEST, "YOUR_TURN"];
    let first_batch = [&older_table[..], &newer_table].concat();
    let total = counter_reply(&replies(&first_batch).expect("the input is valid"), 5);

    let reply = replies(&[&first_batch[..], &["BATCH\t2", &total, "YOUR_TURN"]].concat())
        .expect("the input is valid");

    assert!(reply.iter().any(|line| line.starts_with("HAND_OFF\t3\t55\tendpoint.y\t")), "{reply:?}");
}

#[test]
fn instances_share_no_state() {
    let start_of_three = start(3);
    let start_of_four = start(4);
    let list_of_four = ENDPOINT_LIST.replace("\t3\t", "\t4\t");
    let request_of_four = REQUEST.replace("\t3\t", "\t4\t");
    let lines_of_four = |lines: Vec<String>| -> Vec<String> {
        lines.into_iter().filter(|line| line.split('\t').nth(1) == Some("4")).collect()
    };

    let alone =
        ["BATCH\t1", &start_of_four, TABLE[0], TABLE[1], &list_of_four, &request_of_four, "YOUR_TURN"];
    let alone = replies(&alone).expect("the input is valid");
    let starts = ["BATCH\t1", &start_of_three, &start_of_four, TABLE[0], TABLE[1]];
    let events = [ENDPOINT_LIST, &list_of_four, REQUEST, &request_of_four, "YOUR_TURN"];
    let together = replies(&[&starts[..], &events].concat()).expect("the input is valid");

    assert_eq!(lines_of_four(alone), lines_of_four(together));
}
