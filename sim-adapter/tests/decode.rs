//! Invalid input. The error must name the line, the field, its value and the expected values.

mod common;

use common::{ENDPOINT_LIST, replies, start};

fn error_message(lines: &[&str]) -> String {
    replies(lines).expect_err("the input is invalid").to_string()
}

#[test]
fn error_names_line_and_unexpected_message() {
    assert_eq!(error_message(&["HELLO"]), r#"line 1: found "HELLO", expected BATCH"#);
    assert_eq!(error_message(&["BATCH\t1", "WHAT\t1"]), r#"line 2: unknown message "WHAT""#);
    assert_eq!(
        error_message(&["BATCH\t1", "TABLE\t0\t1", "YOUR_TURN"]),
        r#"line 3: found "YOUR_TURN", expected ENTRY"#
    );
}

#[test]
fn error_names_field_value_and_expectation() {
    let start = start(3);

    assert_eq!(error_message(&["BATCH\tsoon"]), r#"line 1: clock is "soon", expected a number"#);
    assert_eq!(error_message(&["BATCH\tinf"]), r#"line 1: clock is "inf", expected a finite number"#);
    assert_eq!(error_message(&["BATCH\t1", &start, "DUE\t3"]), "line 3: tag is missing");
    assert_eq!(
        error_message(&["BATCH\t1", &start, "DUE\t3\tx"]),
        r#"line 3: tag is "x", expected a whole number"#
    );
    let line_with_unknown_outcome = "SAMPLED\t3\t1.5\tendpoint.x\tlost\t-";
    assert_eq!(
        error_message(&["BATCH\t1", &start, line_with_unknown_outcome]),
        r#"line 3: rc is "lost", expected an outcome of an attempt"#
    );
    let line_with_invalid_load = "SAMPLED\t3\t1.5\tendpoint.x\tdelivered\tbacklog:many";
    assert_eq!(
        error_message(&["BATCH\t1", &start, line_with_invalid_load]),
        r#"line 3: metrics is "backlog:many", expected NAME:NUMBER"#
    );
}

#[test]
fn error_names_unknown_instance_and_unknown_table() {
    assert_eq!(error_message(&["BATCH\t1", "DUE\t9\t1"]), "line 2: instance 9 is not running");
    assert_eq!(error_message(&["BATCH\t1", "EXIT\t9"]), "line 2: instance 9 is not running");
    assert_eq!(error_message(&["BATCH\t1", &start(3), ENDPOINT_LIST]), "line 3: unknown endpoint table");
}

#[test]
fn error_describes_invalid_settings() {
    assert_eq!(error_message(&["BATCH\t1", "START\t1\t2\t{}"]), "line 2: settings name no request class");
    assert_eq!(
        error_message(&["BATCH\t1", "START\t1\t2\t{\"classes\":3}"]),
        "line 2: settings: classes is not a list"
    );
    assert!(error_message(&["BATCH\t1", "START\t1\t2\t{"]).starts_with("line 2: settings: "));
}

#[test]
fn input_that_ends_inside_a_batch_is_an_error() {
    assert_eq!(error_message(&["BATCH\t1", &start(3)]), "line 2: input ended inside a batch");
}
