//! Load balancing: chooses the endpoint of each attempt.
//!
//! Load should spread evenly over the endpoints, although each gateway sees only its own attempts. A gateway
//! chooses from a sample of its subset, and from the standby endpoints only if no endpoint of the sample can
//! take the attempt. Endpoints that are ejected or at their concurrency limit are skipped. Of the others,
//! the one with the fewest attempts in flight is chosen, weighted by zone (weighted least-request balancing).
//! In a large fleet the choice is random, weighted by zone, attempts in flight and reported queue lengths.
//! An endpoint in slow start comes before all others if the request's random draw permits it.

use crate::concurrency_limit::is_large_fleet;
use crate::endpoint::Endpoint;
use crate::endpoint_table::EndpointTable;
use crate::hash::{mix, uniform};
use crate::request::Request;
use crate::slow_start::traffic_fraction;
use crate::subset::Slot;
use crate::{DedupScope, Idempotency, Millis, RequestClass, RequestId, Settings};

/// The number of endpoints compared for one attempt, so that the cost does not grow with the subset.
const SAMPLE_SIZE: usize = 8;
/// The sample size in a small fleet, where each gateway sends enough to every endpoint to compare more.
const SMALL_FLEET_SAMPLE_SIZE: usize = 64;
/// The increase of the score of an endpoint in another zone, as a fraction per point of cross-zone cost.
const CROSS_ZONE_PENALTY: f64 = 5.0;
/// The greatest random increase of a score in a small fleet, as a fraction: breaks ties between endpoints.
const TIE_BREAK_WEIGHT: f64 = 0.1;
/// The lower bound of a draw before its logarithm is taken.
const MIN_DRAW: f64 = 1e-12;

/// An endpoint that is considered for an attempt.
#[derive(Clone, Copy)]
struct Candidate {
    slot: Slot,
    /// The number of endpoints among which requests are distributed evenly; an endpoint in slow start gets a
    /// fraction of one even share.
    pool_size: f64,
}

/// The random numbers of one choice.
#[derive(Clone, Copy)]
struct RandomDraws {
    /// Differs for each choice.
    choice: u64,
    /// Stays the same for all choices of a request, so that a waiting request gets no further chances of an
    /// endpoint in slow start. `None` for a retry, which is not sent to endpoints in slow start.
    slow_start: Option<u64>,
}

/// A view of a gateway's endpoints at one time, from which the endpoint of one attempt is chosen.
pub(crate) struct LoadBalancer<'a> {
    pub(crate) endpoints: &'a EndpointTable,
    pub(crate) settings: &'a Settings,
    /// The seed of the per-request samples.
    pub(crate) seed: u64,
    pub(crate) now: Millis,
}

impl LoadBalancer<'_> {
    /// Chooses the endpoint for the next attempt of a request. Returns `None` if no endpoint can take it.
    pub(crate) fn choose(&self, id: RequestId, request: &Request, choice_draw: u64) -> Option<Slot> {
        let class = &self.settings.classes[request.class];
        let subset = self.endpoints.subset();
        // The same for all choices of a request.
        let request_hash = mix(self.seed ^ id);
        let draws = RandomDraws {
            choice: choice_draw,
            slow_start: request.is_first_attempt().then_some(request_hash),
        };
        let pool_size = subset.ready_count() as f64;
        let candidate = |slot| Candidate { slot, pool_size };
        let ambiguous_attempt = request.first_ambiguous_attempt.as_ref();
        let keyed = class.idempotency == Idempotency::WithKey;
        match (ambiguous_attempt.filter(|_| keyed), class.dedup_scope) {
            (Some(attempt), DedupScope::Zone) => {
                self.choose_lowest_score(subset.in_zone(&attempt.zone).map(candidate), class, draws)
            }
            (Some(attempt), DedupScope::Cell) => {
                let endpoints = subset.in_cell(attempt.cell).iter().copied();
                self.choose_lowest_score(endpoints.map(candidate), class, draws)
            }
            _ => {
                let sample_hash = mix(!request_hash ^ u64::from(request.attempts));
                self.choose_from_subset(sample_hash, class, draws)
            }
        }
    }

    /// Chooses from a sample of the subset, or else from the standby endpoints.
    ///
    /// Standby endpoints are used only if no endpoint of the sample can take the attempt: otherwise the
    /// failure of one endpoint would make all gateways open connections to others.
    fn choose_from_subset(&self, sample_hash: u64, class: &RequestClass, draws: RandomDraws) -> Option<Slot> {
        let members = self.endpoints.subset().members();
        let sample_size = members.len().min(if is_large_fleet(self.settings.gateway_count) {
            SAMPLE_SIZE
        } else {
            SMALL_FLEET_SAMPLE_SIZE
        });
        let start = (uniform(sample_hash) * members.len() as f64) as usize;
        let sample = members.iter().cycle().skip(start).take(sample_size);
        let sample = sample.map(|slot| Candidate { slot: *slot, pool_size: sample_size as f64 });
        // An endpoint in slow start gets its share from the gateways that have it in their subset. With an
        // infinite pool, none is chosen as a standby endpoint.
        let standby = self.endpoints.subset().standby().iter();
        let standby = standby.map(|slot| Candidate { slot: *slot, pool_size: f64::INFINITY });
        self.choose_lowest_score(sample, class, draws)
            .or_else(|| self.choose_lowest_score(standby, class, draws))
    }

    /// Returns the candidate with the lowest score.
    fn choose_lowest_score(
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

    /// Returns the score of a candidate, lower is better, or `None` if it must not be chosen.
    fn score(&self, candidate: Candidate, class: &RequestClass, draws: RandomDraws) -> Option<f64> {
        let endpoint = self.endpoints.get(candidate.slot);
        if !endpoint.is_available(self.now) {
            return None;
        }
        let clock = self.endpoints.discovery_clock();
        let capacity_fraction = endpoint.start.capacity_fraction(self.now, clock, self.settings);
        if capacity_fraction >= 1.0 {
            return Some(self.full_capacity_score(endpoint, class, draws.choice));
        }
        let draw = draws.slow_start.map_or(f64::INFINITY, |hash| uniform(hash ^ endpoint.name_hash));
        // Scores below 0 come before those of all endpoints at full capacity.
        (draw * candidate.pool_size < traffic_fraction(capacity_fraction)).then_some(draw - 1.0)
    }

    /// Returns the score of an endpoint at full capacity.
    fn full_capacity_score(&self, endpoint: &Endpoint, class: &RequestClass, choice_draw: u64) -> f64 {
        let draw = uniform(choice_draw ^ endpoint.name_hash);
        let random_factor = if is_large_fleet(self.settings.gateway_count) {
            // The minimum of one exponential variate per candidate is a weighted random choice, so that
            // gateways do not all prefer the same endpoint.
            let queue_length = endpoint.expected_queue_length(self.now, class.latency_objective.max(1.0));
            -draw.max(MIN_DRAW).ln() * (1.0 + queue_length).powi(2)
        } else {
            1.0 + TIE_BREAK_WEIGHT * draw
        };
        let zone_factor = if endpoint.zone == self.settings.zone {
            1.0
        } else {
            1.0 + self.settings.cross_zone_cost * CROSS_ZONE_PENALTY
        };
        (1.0 + f64::from(endpoint.in_flight)) * zone_factor * random_factor
    }
}
