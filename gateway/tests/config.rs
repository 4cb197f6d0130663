//! Parsing of the configuration, and its error messages.

use ryefront_gateway::config::Config;
use std::time::Duration;

/// Parses a configuration whose settings have these entries in `permissions` and at the end of `extra`.
fn parse_with(permissions: &str, extra: &str) -> Config {
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","counter":"127.0.0.1:8","seed":"1","settings":{{
        "fleet-size":1,"classes":[{{"name":"a","effect":"idempotent"}}],"permissions":{{{permissions}}},
        "extra":{{"has-counter":true{extra}}}}}}}"#
    );
    Config::parse(&text, |_, file| file).expect("a valid configuration")
}

#[test]
fn absent_or_zero_timeouts_get_the_same_defaults_for_sockets_and_policy() {
    for (permissions, extra) in [("", ""), (r#""dial-timeout-ms":0"#, r#","count-limit-ms":0"#)] {
        let config = parse_with(permissions, extra);

        assert_eq!(config.connect_timeout, Duration::from_millis(250));
        assert_eq!((config.settings.connect_timeout, config.settings.counter_timeout), (250.0, 50.0));
    }

    let config = parse_with(r#""dial-timeout-ms":400"#, r#","count-limit-ms":30"#);

    assert_eq!(config.connect_timeout, Duration::from_millis(400));
    assert_eq!((config.settings.connect_timeout, config.settings.counter_timeout), (400.0, 30.0));
}

/// A valid configuration in JSON.
const CONFIG: &str = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","counter":"127.0.0.1:8","seed":"1",
"known":{"seq":1,"whole":true,"hosts":[{"host":"b","dial":"127.0.0.1:7","health":"in_service"}]},"settings":{
"fleet-size":1,"classes":[{"name":"a","effect":"idempotent"}],"extra":{"has-counter":true}}}"#;

/// Returns the error about the valid configuration with `part` replaced.
fn error_after_replacement(part: &str, replacement: &str) -> String {
    assert!(CONFIG.contains(part), "{part}");
    let text = CONFIG.replacen(part, replacement, 1);
    Config::parse(&text, |_, file| file).expect_err("an error").to_string()
}

#[test]
fn error_about_an_address_names_its_key_the_value_and_the_valid_form() {
    assert!(Config::parse(CONFIG, |_, file| file).is_ok());

    for (part, replacement, error) in [
        (r#""listen":"127.0.0.1:0","#, "", "listen (or NODE_LISTEN) is missing"),
        (r#""discovery":"127.0.0.1:9","#, "", "discovery (or NODE_DISCOVERY) is missing"),
        (r#""counter":"127.0.0.1:8","#, "", "counter is missing"),
        ("127.0.0.1:0", "127.0.0.1", r#"listen (or NODE_LISTEN) is "127.0.0.1""#),
        ("127.0.0.1:9", "nowhere:9", r#"discovery (or NODE_DISCOVERY) is "nowhere:9""#),
        ("127.0.0.1:8", "", r#"counter is """#),
    ] {
        let expected = format!("{error}, expected an address and port, as 127.0.0.1:8080");

        assert_eq!(error_after_replacement(part, replacement), expected);
    }
}

#[test]
fn number_of_tenants_is_limited_by_the_memory() {
    for (memory_mb, expected) in [(r#""limits":{"memory_mb":32},"#, 7_812), ("", 16_384)] {
        let text = CONFIG.replacen(r#""seed""#, &format!(r#"{memory_mb}"seed""#), 1);

        let config = Config::parse(&text, |_, file| file).expect("a valid configuration");

        assert_eq!(config.settings.max_tenants, expected, "{memory_mb}");
    }
}

#[test]
fn error_about_an_address_in_a_variable_names_the_variable() {
    let in_variable = |name: &str, file| if name == "NODE_LISTEN" { Some("8080".to_owned()) } else { file };

    let error = Config::parse(CONFIG, in_variable).expect_err("an error").to_string();

    let expected = r#"listen (or NODE_LISTEN) is "8080", expected an address and port, as 127.0.0.1:8080"#;
    assert_eq!(error, expected);
}

#[test]
fn error_about_the_seed_names_the_value_and_the_valid_digits() {
    for (seed, expected) in [
        ("", r#"seed is "", expected up to 16 hexadecimal digits"#),
        ("0x1", r#"seed is "0x1", expected up to 16 hexadecimal digits"#),
        ("10000000000000000", r#"seed is "10000000000000000", expected up to 16 hexadecimal digits"#),
    ] {
        assert_eq!(error_after_replacement(r#""seed":"1""#, &format!(r#""seed":"{seed}""#)), expected);
    }
}

#[test]
fn error_about_malformed_json_names_its_line_and_column_and_what_was_expected() {
    for (part, replacement, expected) in [
        (CONFIG, "", "malformed: EOF while parsing a value at line 1 column 0"),
        (r#"{"listen""#, r#"{listen"#, "malformed: key must be a string at line 1 column 2"),
        (r#""seed":"1","#, "", "malformed: missing field `seed` at line 3 column 92"),
        (
            r#""seed":"1""#,
            r#""seed":1"#,
            "malformed: invalid type: integer `1`, expected a string at line 1 column 82",
        ),
    ] {
        assert_eq!(error_after_replacement(part, replacement), expected);
    }
}

#[test]
fn error_about_the_cached_endpoint_list_names_its_key_and_the_invalid_part() {
    for (part, replacement, expected) in [
        (r#""seq":1,"#, "", "known: malformed endpoint list: missing field `seq`"),
        (
            r#""whole":true"#,
            r#""whole":"yes""#,
            r#"known: malformed endpoint list: invalid type: string "yes", expected a boolean"#,
        ),
        (r#""host":"b""#, r#""host":"""#, "known: entry 0 of the endpoint list: the name is empty"),
        (
            "127.0.0.1:7",
            "nowhere",
            r#"known: endpoint b: address "nowhere", expected an IP address and a port"#,
        ),
    ] {
        assert_eq!(error_after_replacement(part, replacement), expected);
    }
}

#[test]
fn error_about_the_settings_names_the_key_and_what_was_expected() {
    for (part, replacement, expected) in [
        (r#""fleet-size":1"#, r#""fleet-size":"1""#, "settings: fleet-size is not a small whole number"),
        (r#""extra":{"#, r#""permissions":3,"extra":{"#, "settings: permissions is not an object"),
        (
            r#""extra":{"#,
            r#""permissions":{"keepalive-ms":"1"},"extra":{"#,
            "settings: keepalive-ms is not a number",
        ),
        (
            r#""extra":{"#,
            r#""rules":{"drain-grace-ms":true},"extra":{"#,
            "settings: drain-grace-ms is not a number",
        ),
        (
            r#""effect":"idempotent""#,
            r#""effect":"x""#,
            r#"settings: effect is "x", expected idempotent, deduplicated or at_most_once"#,
        ),
    ] {
        assert_eq!(error_after_replacement(part, replacement), expected);
    }
}

#[test]
fn memory_limit_is_in_megabytes_and_an_invalid_one_names_its_key_and_the_valid_form() {
    let with_limit = |limit: &str| {
        CONFIG.replacen(r#""seed""#, &format!(r#""limits":{{"sockets":512,"memory_mb":{limit}}},"seed""#), 1)
    };
    let parse = |limit| Config::parse(&with_limit(limit), |_, file| file);

    assert_eq!(parse("32").expect("a valid configuration").max_memory_bytes, 32_000_000);
    assert_eq!(parse("0.5").expect("a valid configuration").max_memory_bytes, 500_000);
    for invalid in ["0", "-32"] {
        let error = parse(invalid).expect_err("an error").to_string();
        assert_eq!(
            error,
            format!(r#"limits.memory_mb is "{invalid}", expected a number of megabytes above 0"#)
        );
    }
}
