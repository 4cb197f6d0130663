//! Validation of the settings: the error for an invalid one shows its name, its value and the valid values.

mod common;
use common::*;
use ryefront_policy::*;

fn validation_error(modify: impl FnOnce(&mut Settings)) -> Option<String> {
    let mut settings = settings();
    modify(&mut settings);
    PolicyEngine::new(settings, 1).err().map(|error| error.to_string())
}

#[test]
fn invalid_settings_are_rejected_with_the_name_the_value_and_the_valid_values() {
    let message = |text: &str| Some(text.to_owned());
    let out_of_range =
        |value: &str| message(&format!("settings: {value}, expected a finite number of at least 0"));

    assert_eq!(validation_error(|_| ()), None);
    assert_eq!(validation_error(|s| s.classes.clear()), message("settings name no request class"));
    assert_eq!(
        validation_error(|s| s.gateway_index = 2),
        message("settings: gateway index 2 is not below the number of gateways, 2")
    );
    assert_eq!(validation_error(|s| s.tick = -1.0), out_of_range("tick is -1"));
    assert_eq!(validation_error(|s| s.plans[0].rate = f64::NAN), out_of_range("a plan's rate is NaN"));
    assert_eq!(
        validation_error(|s| s.plans[0].burst = 0.0),
        message("settings: a plan's burst is 0, expected more than 0 where there is a rate")
    );
    assert_eq!(
        validation_error(|s| s.classes[0].latency_objective = f64::INFINITY),
        out_of_range("a class's latency objective is inf")
    );
}
