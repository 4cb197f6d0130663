//! Choosing the endpoint of an attempt.
//!
//! Load should spread evenly over endpoints, although each gateway sees only its own attempts. A gateway
//! chooses among a sample of its subset, and among the standby endpoints only if none of the sample has
//! capacity. Endpoints that are ejected or at their concurrency limit are skipped. Of the others the one with
//! the fewest attempts in flight is chosen, weighted by zone (weighted least-request balancing). In a large
//! fleet the choice is random, weighted by attempts in flight and by the queues that endpoints report.
//! Endpoints in slow start come first where the request's random draw allows them.

use crate::concurrency_limit::is_large_fleet;
use crate::endpoint::Endpoint;
use crate::endpoint_table::EndpointTable;
use crate::hash::{mix, uniform};
use crate::request::Request;
use crate::slow_start::traffic_share;
use crate::subset::Slot;
use crate::{DedupScope, Idempotency, Millis, RequestClass, RequestId, Settings};

/// The number of endpoints compared for one request: its cost does not grow with the subset.
const SAMPLE_SIZE: usize = 8;
/// The same in a small fleet, where each gateway sees enough of all endpoints to compare more.
const SMALL_FLEET_SAMPLE_SIZE: usize = 64;
/// An endpoint in another zone looks this much slower for each point of cross-zone cost.
const CROSS_ZONE_PENALTY: f64 = 5.0;
/// The weight of randomness among equal endpoints in a small fleet.
const TIE_BREAK_WEIGHT: f64 = 0.1;
/// The least draw whose logarithm is taken.
const MIN_DRAW: f64 = 1e-12;

/// An endpoint that a request may go to.
#[derive(Clone, Copy)]
struct Candidate {
    slot: Slot,
    /// How many candidates share the requests evenly: in slow start this one gets part of one share.
    group_size: f64,
}

/// The random numbers of one choice.
#[derive(Clone, Copy)]
struct RandomDraws {
    /// Drawn anew for each choice.
    choice: u64,
    /// Drawn once for each request, so that one that waits does not get more chances of an endpoint in slow
    /// start with each choice; `None` for a retry, which gets no chance.
    slow_start: Option<u64>,
}

/// The present choice among a gateway's endpoints.
pub(crate) struct LoadBalancer<'a> {
    pub(crate) endpoints: &'a EndpointTable,
    pub(crate) settings: &'a Settings,
    /// The seed of the per-request samples.
    pub(crate) seed: u64,
    pub(crate) now: Millis,
}

impl LoadBalancer<'_> {
    /// Chooses the endpoint for the next attempt of a request, if there is one with capacity.
    pub(crate) fn choose(&self, id: RequestId, request: &Request, choice_draw: u64) -> Option<Slot> {
        let class = &self.settings.classes[request.class];
        let subset = self.endpoints.subset();
        // The same for each choice of a request.
        let request_sample = mix(self.seed ^ id);
        let draws =
            RandomDraws { choice: choice_draw, slow_start: request.is_fresh().then_some(request_sample) };
        let group_size = subset.ready() as f64;
        let in_scope = |slot| Candidate { slot, group_size };
        let bound = request.first_ambiguous_attempt.as_ref();
        match (bound.filter(|_| class.idempotency == Idempotency::WithKey), class.dedup_scope) {
            (Some(attempt), DedupScope::Zone) => {
                self.best_of(subset.of_zone(&attempt.zone).map(in_scope), class, draws)
            }
            (Some(attempt), DedupScope::Cell) => {
                self.best_of(subset.of_cell(attempt.cell).iter().copied().map(in_scope), class, draws)
            }
            _ => {
                let sample_start = mix(!request_sample ^ u64::from(request.attempts));
                self.choose_from_subset(sample_start, class, draws)
            }
        }
    }

    /// Chooses from a sample of the subset, or else from the standby endpoints. These take over only where
    /// none of the sample is left: otherwise each fault of one endpoint would open connections to others from
    /// all gateways.
    fn choose_from_subset(
        &self, sample_start: u64, class: &RequestClass, draws: RandomDraws,
    ) -> Option<Slot> {
        let members = self.endpoints.subset().members();
        let sample_size = members.len().min(if is_large_fleet(self.settings.gateway_count) {
            SAMPLE_SIZE
        } else {
            SMALL_FLEET_SAMPLE_SIZE
        });
        let start = (uniform(sample_start) * members.len() as f64) as usize;
        let sample = members.iter().cycle().skip(start).take(sample_size);
        let sample = sample.map(|slot| Candidate { slot: *slot, group_size: sample_size as f64 });
        // Endpoints in slow start get their share from the gateways whose subset they are in, and no more.
        let standby = self.endpoints.subset().standby().iter();
        let standby = standby.map(|slot| Candidate { slot: *slot, group_size: f64::INFINITY });
        self.best_of(sample, class, draws).or_else(|| self.best_of(standby, class, draws))
    }

    /// Returns the candidate with the lowest score.
    fn best_of(
        &self, candidates: impl IntoIterator<Item = Candidate>, class: &RequestClass, draws: RandomDraws,
    ) -> Option<Slot> {
        let mut best: Option<(f64, Slot)> = None;
        for candidate in candidates {
            let Some(score) = self.score(candidate, class, draws) else { continue };
            if best.is_none_or(|(best_score, _)| score < best_score) {
                best = Some((score, candidate.slot));
            }
        }
        best.map(|(_, slot)| slot)
    }

    /// Returns the score of a candidate, lower is better, or `None` if it may not be chosen.
    fn score(&self, candidate: Candidate, class: &RequestClass, draws: RandomDraws) -> Option<f64> {
        let endpoint = self.endpoints.get(candidate.slot);
        if !endpoint.is_available(self.now) {
            return None;
        }
        let clock = self.endpoints.start_clock();
        let capacity = endpoint.start.capacity_fraction(self.now, clock, self.settings);
        if capacity >= 1.0 {
            return Some(self.warm_score(endpoint, class, draws.choice));
        }
        let draw = draws.slow_start.map_or(f64::INFINITY, |sample| uniform(sample ^ endpoint.salt));
        // Any endpoint in slow start that the request may go to comes before all others.
        (draw * candidate.group_size < traffic_share(capacity)).then_some(draw - 1.0)
    }

    /// Returns the score of an endpoint with all its capacity.
    fn warm_score(&self, endpoint: &Endpoint, class: &RequestClass, choice_draw: u64) -> f64 {
        let draw = uniform(choice_draw ^ endpoint.salt);
        let weighted_draw = if is_large_fleet(self.settings.gateway_count) {
            // An exponential variate for each candidate, of which the least wins: a random choice by weight,
            // so that gateways do not all prefer the same endpoint.
            let queue = endpoint.expected_queue(self.now, class.latency_objective.max(1.0));
            -draw.max(MIN_DRAW).ln() * (1.0 + queue).powi(2)
        } else {
            1.0 + TIE_BREAK_WEIGHT * draw
        };
        let zone_factor = if endpoint.zone == self.settings.zone {
            1.0
        } else {
            1.0 + self.settings.cross_zone_cost * CROSS_ZONE_PENALTY
        };
        (1.0 + f64::from(endpoint.in_flight)) * zone_factor * weighted_draw
    }
}
