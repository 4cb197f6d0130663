//! Validation of the settings: what cannot be used is an error that names the value and what was expected.

mod common;
use common::*;
use ryefront_policy::*;

fn error(change: impl FnOnce(&mut Settings)) -> Option<String> {
    let mut settings = settings();
    change(&mut settings);
    PolicyEngine::new(settings, 1).err().map(|error| error.to_string())
}

#[test]
fn unusable_settings_are_rejected_with_the_value_and_what_was_expected() {
    let is = |text: &str| Some(text.to_owned());
    let invalid = |value: &str| is(&format!("settings: {value}, expected a finite number of at least 0"));

    assert_eq!(error(|_| ()), None);
    assert_eq!(error(|s| s.classes.clear()), is("settings name no request class"));
    assert_eq!(
        error(|s| s.gateway_index = 2),
        is("settings: gateway index 2 is not below the number of gateways, 2")
    );
    assert_eq!(error(|s| s.tick = -1.0), invalid("tick is -1"));
    assert_eq!(error(|s| s.plans[0].rate = f64::NAN), invalid("a plan's rate is NaN"));
    assert_eq!(
        error(|s| s.plans[0].burst = 0.0),
        is("settings: a plan's burst is 0, expected more than 0 where there is a rate")
    );
    assert_eq!(
        error(|s| s.classes[0].latency_objective = f64::INFINITY),
        invalid("a class's latency objective is inf")
    );
}
