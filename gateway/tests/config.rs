//! Parsing of the configuration.

use ryefront_gateway::config::Config;
use std::time::Duration;

/// A configuration whose settings have these entries in `permissions` and, after others, in `extra`.
fn parse(permissions: &str, extra: &str) -> Config {
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","counter":"127.0.0.1:8","seed":"1","settings":{{
        "fleet-size":1,"classes":[{{"name":"a","effect":"idempotent"}}],"permissions":{{{permissions}}},
        "extra":{{"has-counter":true{extra}}}}}}}"#
    );
    Config::parse(&text, |_, file| file).expect("a usable configuration")
}

#[test]
fn absent_or_zero_timeouts_get_the_same_defaults_for_sockets_and_policy() {
    for (permissions, extra) in [("", ""), (r#""dial-timeout-ms":0"#, r#","count-limit-ms":0"#)] {
        let config = parse(permissions, extra);

        assert_eq!(config.connect_timeout, Duration::from_millis(250));
        assert_eq!((config.settings.connect_timeout, config.settings.counter_timeout), (250.0, 50.0));
    }

    let config = parse(r#""dial-timeout-ms":400"#, r#","count-limit-ms":30"#);

    assert_eq!(config.connect_timeout, Duration::from_millis(400));
    assert_eq!((config.settings.connect_timeout, config.settings.counter_timeout), (400.0, 30.0));
}
