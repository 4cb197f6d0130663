//! Which figures are measured, at which sizes, and what is required of them.

use super::error::SlopesError;
use super::fit::{Dimension, Limit, Point, Slope};
use super::list_watch::is_snapshot_applied;
use super::measured_gateway::{
    FleetSize, MIN_GATEWAYS, MeasuredGateway, delta, route_name, snapshot, tenant_name,
};
use super::memory::MemoryLoad;
use ryefront_policy::Name;
use std::time::{Duration, Instant};

/// The fewest and the most repetitions of a measurement.
const MIN_REPETITIONS: usize = 3;
const MAX_REPETITIONS: usize = 2_000;
/// Tenants or routes that the requests of one measurement alternate between.
const ALTERNATING_NAMES: usize = 64;
const MAX_SNAPSHOT_MS: f64 = 50.0;
const MAX_REQUEST_GROWTH: f64 = 2.0;
const MAX_DELTA_GROWTH: f64 = 4.0;

/// The sizes that are measured, smallest first.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Endpoints.
    pub endpoints: Vec<usize>,
    /// Tenants.
    pub tenants: Vec<usize>,
    /// Routes.
    pub routes: Vec<usize>,
    /// The time for which each measurement is repeated.
    pub measured_for: Duration,
}

impl Default for Sizes {
    /// From small deployments up to the target.
    fn default() -> Self {
        Self {
            endpoints: vec![200, 800, 3_200, 10_000, Dimension::Endpoints.target()],
            tenants: vec![10, 1_000, 30_000, 100_000, Dimension::Tenants.target()],
            routes: vec![1, 100, 1_000, 5_000, Dimension::Routes.target()],
            measured_for: Duration::from_millis(250),
        }
    }
}

impl Sizes {
    fn of(&self, dimension: Dimension) -> &[usize] {
        match dimension {
            Dimension::Endpoints => &self.endpoints,
            Dimension::Tenants => &self.tenants,
            Dimension::Routes => &self.routes,
        }
    }
}

/// Returns what [`measure_memory`](super::measure_memory) returns in a separate process.
pub type MemoryProbe<'a> = &'a dyn Fn(MemoryLoad, usize) -> Result<u64, SlopesError>;

/// Measures all figures.
///
/// # Errors
/// When the gateway's code rejects what it is given, or memory or sockets cannot be used.
pub fn measure(sizes: &Sizes, memory: MemoryProbe<'_>) -> Result<Vec<Slope>, SlopesError> {
    let bench = Bench { sizes, memory };
    let mut slopes = bench.requests()?;
    slopes.extend(bench.snapshots()?);
    slopes.push(bench.snapshot_over_socket()?);
    slopes.extend(bench.deltas()?);
    slopes.extend(bench.maintenance()?);
    slopes.push(bench.new_leases()?);
    slopes.extend(bench.memory()?);
    Ok(slopes)
}

struct Bench<'a> {
    sizes: &'a Sizes,
    memory: MemoryProbe<'a>,
}

impl Bench<'_> {
    /// Measures a figure at each size of a dimension.
    fn by_size(
        &self, name: &'static str, unit: &'static str, dimension: Dimension,
        measure: impl Fn(usize) -> Result<f64, SlopesError>,
    ) -> Result<Slope, SlopesError> {
        tracing::info!("{name}");
        let point = |size: &usize| Ok(Point { size: *size as f64, value: measure(*size)? });
        let points = self.sizes.of(dimension).iter().map(point).collect::<Result<Vec<_>, SlopesError>>()?;
        Ok(Slope::fitted(name, unit, dimension, points))
    }

    /// The median of a time that is measured repeatedly, µs.
    fn median_us(
        &self, mut measure: impl FnMut() -> Result<Duration, SlopesError>,
    ) -> Result<f64, SlopesError> {
        let start = Instant::now();
        let mut times = Vec::new();
        while times.len() < MIN_REPETITIONS
            || (times.len() < MAX_REPETITIONS && start.elapsed() < self.sizes.measured_for)
        {
            times.push(measure()?.as_secs_f64() * 1e6);
        }
        times.sort_by(f64::total_cmp);
        Ok(times[times.len() / 2])
    }

    fn requests(&self) -> Result<Vec<Slope>, SlopesError> {
        let by_endpoints = self.by_size("one request's decisions", "us", Dimension::Endpoints, |n| {
            self.request_time(FleetSize::in_proportion(n))
        })?;
        let few_gateways =
            self.by_size("one request's decisions, 300 gateways", "us", Dimension::Endpoints, |n| {
                self.request_time(FleetSize { endpoints: n, gateways: MIN_GATEWAYS, routes: 1 })
            })?;
        let by_tenants =
            self.by_size("one request's decisions, tenants known", "us", Dimension::Tenants, |n| {
                let mut gateway = MeasuredGateway::with_tenants(n)?;
                let tenants = alternating_names(n, tenant_name);
                self.alternating_requests(&mut gateway, &tenants, &[route_name(0)])
            })?;
        let by_routes = self.by_size("one request's decisions, routes", "us", Dimension::Routes, |n| {
            let mut gateway = MeasuredGateway::with_list(FleetSize { routes: n, ..FleetSize::ONE })?;
            self.alternating_requests(&mut gateway, &[tenant_name(1)], &alternating_names(n, route_name))
        })?;
        let limit = Limit {
            description: "largest over smallest: at most 2 times",
            value: by_endpoints.growth(),
            limit: MAX_REQUEST_GROWTH,
        };
        Ok(vec![by_endpoints.require(limit), few_gateways, by_tenants, by_routes])
    }

    /// The median time of one request in a fleet of this size, µs.
    fn request_time(&self, size: FleetSize) -> Result<f64, SlopesError> {
        let mut gateway = MeasuredGateway::with_list(size)?;
        let tenant = tenant_name(1);
        let class = route_name(0);
        gateway.request(&tenant, &class)?;
        self.median_us(|| {
            gateway.advance();
            Ok(gateway.request(&tenant, &class)?.time)
        })
    }

    fn alternating_requests(
        &self, gateway: &mut MeasuredGateway, tenants: &[Name], classes: &[Name],
    ) -> Result<f64, SlopesError> {
        let mut n = 0;
        self.median_us(|| {
            n += 1;
            Ok(gateway.request(&tenants[n % tenants.len()], &classes[n % classes.len()])?.time)
        })
    }

    fn snapshots(&self) -> Result<Vec<Slope>, SlopesError> {
        let first = self.by_size("endpoint list snapshot, first", "ms", Dimension::Endpoints, |n| {
            let text = snapshot(n);
            let us = self.median_us(|| {
                Ok(MeasuredGateway::without_list(FleetSize::in_proportion(n))?.apply(&text)?)
            })?;
            Ok(us / 1000.0)
        })?;
        let repeated = self.by_size("endpoint list snapshot, repeated", "ms", Dimension::Endpoints, |n| {
            let mut gateway = MeasuredGateway::with_list(FleetSize::in_proportion(n))?;
            let text = snapshot(n);
            let us = self.median_us(|| Ok(gateway.apply(&text)?))?;
            Ok(us / 1000.0)
        })?;
        let limit = |slope: &Slope| Limit {
            description: "under 50 ms",
            value: slope.value_at_largest_size(),
            limit: MAX_SNAPSHOT_MS,
        };
        let first_limit = limit(&first);
        let repeated_limit = limit(&repeated);
        Ok(vec![
            per_entry("one list entry applied, first", &first),
            per_entry("one list entry applied, repeated", &repeated),
            first.require(first_limit),
            repeated.require(repeated_limit),
            self.by_size("endpoint list snapshot, its text", "bytes", Dimension::Endpoints, |n| {
                Ok(snapshot(n).len() as f64)
            })?,
        ])
    }

    fn snapshot_over_socket(&self) -> Result<Slope, SlopesError> {
        let name = "endpoint list snapshot over a socket";
        let slope = self.by_size(name, "1 if read", Dimension::Endpoints, |n| {
            Ok(f64::from(u8::from(is_snapshot_applied(n)?)))
        })?;
        let unread = slope.points.iter().filter(|point| point.value < 1.0).count() as f64;
        let limit = Limit { description: "sizes that are not read: none", value: unread, limit: 0.0 };
        Ok(slope.unfitted().require(limit))
    }

    fn deltas(&self) -> Result<Vec<Slope>, SlopesError> {
        let applied = self.by_size("delta of 10 endpoints", "us", Dimension::Endpoints, |n| {
            let mut gateway = MeasuredGateway::with_list(FleetSize::in_proportion(n))?;
            let mut round = 0;
            self.median_us(|| {
                round += 1;
                Ok(gateway.apply(&delta(round))?)
            })
        })?;
        let next_request =
            self.by_size("first request after such a delta", "us", Dimension::Endpoints, |n| {
                let mut gateway = MeasuredGateway::with_list(FleetSize::in_proportion(n))?;
                let mut round = 0;
                self.median_us(|| {
                    round += 1;
                    gateway.advance();
                    gateway.apply(&delta(round))?;
                    Ok(gateway.request(&tenant_name(1), &route_name(0))?.time)
                })
            })?;
        let limit = Limit {
            description: "largest over smallest: at most 4 times (130 if every endpoint were visited)",
            value: applied.growth(),
            limit: MAX_DELTA_GROWTH,
        };
        Ok(vec![applied.require(limit), next_request])
    }

    fn maintenance(&self) -> Result<Vec<Slope>, SlopesError> {
        let by_endpoints =
            self.by_size("maintenance tick, endpoints known", "us", Dimension::Endpoints, |n| {
                let mut gateway = MeasuredGateway::with_list(FleetSize::in_proportion(n))?;
                self.median_us(|| Ok(gateway.maintain()))
            })?;
        let by_tenants = self.by_size("maintenance tick, tenants known", "us", Dimension::Tenants, |n| {
            let mut gateway = MeasuredGateway::with_tenants(n)?;
            self.median_us(|| Ok(gateway.maintain()))
        })?;
        Ok(vec![by_endpoints, by_tenants])
    }

    fn new_leases(&self) -> Result<Slope, SlopesError> {
        let name = "new lease: arrival, counter call, reply";
        self.by_size(name, "us", Dimension::Tenants, |n| {
            let mut gateway = MeasuredGateway::with_tenants(n)?;
            let mut new_tenant = n;
            self.median_us(|| {
                new_tenant += 1;
                let cost = gateway.request(&tenant_name(new_tenant), &route_name(0))?;
                if cost.counter_calls == 1 { Ok(cost.time) } else { Err(SlopesError::NoCounterCall) }
            })
        })
    }

    fn memory(&self) -> Result<Vec<Slope>, SlopesError> {
        let by_tenants = self.by_size("a gateway with tenants known", "bytes", Dimension::Tenants, |n| {
            Ok((self.memory)(MemoryLoad::Tenants, n)? as f64)
        })?;
        let by_endpoints =
            self.by_size("a gateway with idle endpoints", "bytes", Dimension::Endpoints, |n| {
                Ok((self.memory)(MemoryLoad::Endpoints, n)? as f64)
            })?;
        Ok(vec![by_tenants, by_endpoints])
    }
}

/// [`ALTERNATING_NAMES`] names that are spread evenly over `count`.
fn alternating_names(count: usize, name: impl Fn(usize) -> Name) -> Vec<Name> {
    (0..ALTERNATING_NAMES).map(|n| name(n * count / ALTERNATING_NAMES)).collect()
}

/// A figure in ms per list as one in µs per entry.
fn per_entry(name: &'static str, list: &Slope) -> Slope {
    let per_entry = |point: &Point| Point { size: point.size, value: point.value * 1000.0 / point.size };
    Slope::fitted(name, "us", Dimension::Endpoints, list.points.iter().map(per_entry).collect())
}
