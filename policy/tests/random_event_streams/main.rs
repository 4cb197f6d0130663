//! Randomized test of the invariants of a single gateway. Long streams of valid events in unusual orders are
//! generated from a seed. Endpoints and the counter are not simulated: attempt outcomes and counter totals
//! are random.

#[path = "../common/mod.rs"]
mod common;

mod event_stream;
mod invariants;

use common::{Random, settings};
use event_stream::run_stream;
use ryefront_policy::{DedupScope, Settings};

#[test]
fn invariants_hold_in_long_random_event_streams() {
    for seed in 1..=6 {
        let final_responses = run_stream(seed, settings(), 6000);
        assert!(
            final_responses > 1000,
            "too few final responses for the checks to be meaningful: {final_responses}"
        );
    }
}

#[test]
fn invariants_hold_with_short_absent_or_zero_settings() {
    type SettingsChange = (&'static str, fn(&mut Settings));
    let changes: [SettingsChange; 15] = [
        ("a dedup window and a connect timeout", |s| {
            (s.classes[1].dedup_window, s.connect_timeout) = (600.0, 250.0)
        }),
        ("a dedup window shorter than the connect timeout", |s| {
            (s.classes[1].dedup_window, s.connect_timeout) = (200.0, 250.0)
        }),
        ("a dedup window shorter than a tick", |s| s.classes[1].dedup_window = 3.0),
        ("a dedup window of little more than two ticks", |s| s.classes[1].dedup_window = 9.0),
        ("no dedup window", |s| s.classes[1].dedup_window = 0.0),
        ("no dedup window, and a dedup scope of all endpoints", |s| {
            (s.classes[1].dedup_window, s.classes[1].dedup_scope) = (0.0, DedupScope::All)
        }),
        ("no tick", |s| s.tick = 0.0),
        ("no retries", |s| s.max_attempts = 0),
        ("no Retry-After", |s| s.max_retry_after = 0.0),
        ("no counter timeout", |s| s.counter_timeout = 0.0),
        ("no latency objective", |s| s.classes.iter_mut().for_each(|c| c.latency_objective = 0.0)),
        ("no quota", |s| s.plans.iter_mut().for_each(|p| (p.rate, p.burst) = (0.0, 0.0))),
        ("a burst smaller than one request", |s| {
            s.plans.iter_mut().for_each(|p| (p.rate, p.burst) = (0.3, 0.6))
        }),
        ("a quota that refills quickly", |s| s.plans.iter_mut().for_each(|p| p.burst = 0.6)),
        ("many gateways", |s| s.gateway_count = 3100),
    ];
    for (description, change) in changes {
        let mut settings = settings();
        change(&mut settings);
        let final_responses = run_stream(7, settings, 1500);
        assert!(
            final_responses > 250,
            "{description}: too few final responses for the checks to be meaningful: {final_responses}"
        );
    }
}

#[test]
fn invariants_hold_with_random_settings() {
    for seed in [18, 68, 77, 84, 98, 101, 102, 103] {
        let mut random = Random(seed * 7919 + 13);
        let mut draw = |list: &[f64]| list[random.below(list.len() as u64) as usize];
        let mut settings = settings();
        settings.gateway_count = draw(&[1.0, 2.0, 30.0, 300.0, 3100.0]) as u32;
        settings.tick = draw(&[0.0, 4.0, 50.0]);
        settings.has_counter = draw(&[1.0, 1.0, 0.0]) > 0.0;
        settings.counter_timeout = draw(&[0.0, 50.0, 500.0]);
        settings.connect_timeout = draw(&[0.0, 250.0]);
        settings.max_attempts = draw(&[0.0, 1.0, 4.0, 9.0]) as u32;
        settings.slow_start_duration = draw(&[0.0, 18_000.0]);
        settings.settles_usage = draw(&[0.0, 1.0]) > 0.0;
        settings.gossip = draw(&[0.0, 1.0]) > 0.0;
        for class in &mut settings.classes {
            class.latency_objective = draw(&[0.0, 50.0, 800.0, 5000.0]);
            class.dedup_window = draw(&[0.0, 3.0, 260.0, 600.0, 4000.0]);
            class.priority_weight = draw(&[0.0, 1.0, 8.0]);
        }
        settings.classes[1].dedup_scope =
            if draw(&[0.0, 1.0]) > 0.0 { DedupScope::All } else { DedupScope::Cell };
        for plan in &mut settings.plans {
            plan.rate = draw(&[0.0, 0.5, 5.0, 50.0]);
            plan.burst = draw(&[5.0, 10.0, 100.0]);
        }
        let final_responses = run_stream(seed, settings, 2500);
        assert!(
            final_responses > 400,
            "seed {seed}: too few final responses for the checks to be meaningful: {final_responses}"
        );
    }
}
