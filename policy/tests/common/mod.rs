//! Helpers of the policy tests: settings, requests, a gateway driven by scripted events, random numbers, a
//! queue of simulated events, and a fake of the shared counter.
#![allow(dead_code, unused_imports)]

mod actions;
mod counter;
mod gateway;
mod random;
mod schedule;
mod settings;

pub(crate) use actions::{CounterCall, counter_call, forward_count, forwarded, is_failed, is_rejected};
pub(crate) use counter::FakeCounter;
pub(crate) use gateway::TestGateway;
pub(crate) use random::Random;
pub(crate) use schedule::Schedule;
pub(crate) use settings::{arrival, endpoint, settings};
