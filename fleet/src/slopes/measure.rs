//! Defines the measured costs, the sizes at which each is measured, and the requirements on them.

use super::error::MeasurementError;
use super::fit::{CostCurve, Dimension, Point, Requirement};
use super::list_watch::is_snapshot_applied;
use super::measured_gateway::{
    FleetSize, MIN_GATEWAYS, MeasuredGateway, delta, route_name, snapshot, tenant_name,
};
use super::memory::MemoryLoad;
use ryefront_policy::Name;
use std::time::{Duration, Instant};

/// Bounds on the number of repetitions of a measurement, which apply whatever [`Sizes::repeat_for`] is.
const MIN_REPETITIONS: usize = 3;
const MAX_REPETITIONS: usize = 2_000;
/// The number of tenants or routes that the requests of one measurement cycle through.
const ALTERNATING_NAMES: usize = 64;
const MAX_SNAPSHOT_MS: f64 = 50.0;
const MAX_REQUEST_GROWTH: f64 = 2.0;
const MAX_DELTA_GROWTH: f64 = 4.0;

/// The sizes at which costs are measured, smallest first.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Numbers of endpoints.
    pub endpoints: Vec<usize>,
    /// Numbers of tenants.
    pub tenants: Vec<usize>,
    /// Numbers of routes.
    pub routes: Vec<usize>,
    /// How long each measurement is repeated at each size, within a minimum and a maximum number of
    /// repetitions.
    pub repeat_for: Duration,
}

impl Default for Sizes {
    /// Sizes from small deployments up to the target.
    fn default() -> Self {
        Self {
            endpoints: vec![200, 800, 3_200, 10_000, Dimension::Endpoints.target_size()],
            tenants: vec![10, 1_000, 30_000, 100_000, Dimension::Tenants.target_size()],
            routes: vec![1, 100, 1_000, 5_000, Dimension::Routes.target_size()],
            repeat_for: Duration::from_millis(250),
        }
    }
}

impl Sizes {
    fn for_dimension(&self, dimension: Dimension) -> &[usize] {
        match dimension {
            Dimension::Endpoints => &self.endpoints,
            Dimension::Tenants => &self.tenants,
            Dimension::Routes => &self.routes,
        }
    }
}

/// Runs [`measure_memory`](super::measure_memory) in a separate process and returns its result.
pub type MemoryProbe<'a> = &'a dyn Fn(MemoryLoad, usize) -> Result<u64, MeasurementError>;

/// Measures all costs.
///
/// # Errors
/// When the gateway's code rejects the settings, an endpoint list or a request, or when memory or a loopback
/// socket cannot be used.
pub fn measure(sizes: &Sizes, memory_probe: MemoryProbe<'_>) -> Result<Vec<CostCurve>, MeasurementError> {
    let benchmark = Benchmark { sizes, memory_probe };
    let mut curves = benchmark.request_times()?;
    curves.extend(benchmark.snapshot_times()?);
    curves.push(benchmark.snapshot_over_socket()?);
    curves.extend(benchmark.delta_times()?);
    curves.extend(benchmark.maintenance_times()?);
    curves.push(benchmark.new_lease_time()?);
    curves.extend(benchmark.memory_growth()?);
    Ok(curves)
}

struct Benchmark<'a> {
    sizes: &'a Sizes,
    memory_probe: MemoryProbe<'a>,
}

impl Benchmark<'_> {
    /// Measures a cost at each size of a dimension and fits a function to the points.
    fn cost_by_size(
        &self, name: &'static str, unit: &'static str, dimension: Dimension,
        measure: impl Fn(usize) -> Result<f64, MeasurementError>,
    ) -> Result<CostCurve, MeasurementError> {
        tracing::info!("measuring: {name}");
        let point = |size: &usize| Ok(Point { size: *size as f64, value: measure(*size)? });
        let sizes = self.sizes.for_dimension(dimension);
        let points = sizes.iter().map(point).collect::<Result<Vec<_>, MeasurementError>>()?;
        Ok(CostCurve::fitted(name, unit, dimension, points))
    }

    /// Repeats a measurement and returns the median of the durations it returns, µs.
    fn median_us(
        &self, mut measure: impl FnMut() -> Result<Duration, MeasurementError>,
    ) -> Result<f64, MeasurementError> {
        let start = Instant::now();
        let mut times = Vec::new();
        while times.len() < MIN_REPETITIONS
            || (times.len() < MAX_REPETITIONS && start.elapsed() < self.sizes.repeat_for)
        {
            times.push(measure()?.as_secs_f64() * 1e6);
        }
        times.sort_by(f64::total_cmp);
        Ok(times[times.len() / 2])
    }

    fn request_times(&self) -> Result<Vec<CostCurve>, MeasurementError> {
        let by_endpoints = self.cost_by_size("one request's decisions", "us", Dimension::Endpoints, |n| {
            self.request_time(FleetSize::proportional(n))
        })?;
        let few_gateways =
            self.cost_by_size("one request's decisions, 300 gateways", "us", Dimension::Endpoints, |n| {
                self.request_time(FleetSize { endpoints: n, gateways: MIN_GATEWAYS, routes: 1 })
            })?;
        let by_tenants =
            self.cost_by_size("one request's decisions, tenants known", "us", Dimension::Tenants, |n| {
                let mut gateway = MeasuredGateway::with_tenants(n)?;
                let tenants = alternating_names(n, tenant_name);
                self.alternating_request_time(&mut gateway, &tenants, &[route_name(0)])
            })?;
        let by_routes =
            self.cost_by_size("one request's decisions, routes", "us", Dimension::Routes, |n| {
                let mut gateway = MeasuredGateway::with_list(FleetSize { routes: n, ..FleetSize::MINIMAL })?;
                let routes = alternating_names(n, route_name);
                self.alternating_request_time(&mut gateway, &[tenant_name(1)], &routes)
            })?;
        let requirement = Requirement::at_most(
            MAX_REQUEST_GROWTH,
            "largest over smallest: at most 2 times",
            by_endpoints.growth(),
        );
        Ok(vec![by_endpoints.with_requirement(requirement), few_gateways, by_tenants, by_routes])
    }

    /// The median time of one request in a fleet of a size, µs.
    fn request_time(&self, size: FleetSize) -> Result<f64, MeasurementError> {
        let mut gateway = MeasuredGateway::with_list(size)?;
        let tenant = tenant_name(1);
        let class = route_name(0);
        gateway.run_request(&tenant, &class)?;
        self.median_us(|| {
            gateway.advance_clock();
            Ok(gateway.run_request(&tenant, &class)?.time)
        })
    }

    /// The median time of requests that cycle through tenants and classes, µs.
    fn alternating_request_time(
        &self, gateway: &mut MeasuredGateway, tenants: &[Name], classes: &[Name],
    ) -> Result<f64, MeasurementError> {
        let mut n = 0;
        self.median_us(|| {
            n += 1;
            Ok(gateway.run_request(&tenants[n % tenants.len()], &classes[n % classes.len()])?.time)
        })
    }

    fn snapshot_times(&self) -> Result<Vec<CostCurve>, MeasurementError> {
        let first = self.cost_by_size("endpoint list snapshot, first", "ms", Dimension::Endpoints, |n| {
            let size = FleetSize::proportional(n);
            let text = snapshot(n);
            let us = self.median_us(|| Ok(MeasuredGateway::without_list(size)?.apply_list(&text)?))?;
            Ok(us / 1000.0)
        })?;
        let repeated =
            self.cost_by_size("endpoint list snapshot, repeated", "ms", Dimension::Endpoints, |n| {
                let mut gateway = MeasuredGateway::with_list(FleetSize::proportional(n))?;
                let text = snapshot(n);
                let us = self.median_us(|| Ok(gateway.apply_list(&text)?))?;
                Ok(us / 1000.0)
            })?;
        let requirement = |curve: &CostCurve| {
            Requirement::at_most(MAX_SNAPSHOT_MS, "under 50 ms", curve.value_at_largest_size())
        };
        let first_requirement = requirement(&first);
        let repeated_requirement = requirement(&repeated);
        Ok(vec![
            cost_per_entry("one list entry applied, first", &first),
            cost_per_entry("one list entry applied, repeated", &repeated),
            first.with_requirement(first_requirement),
            repeated.with_requirement(repeated_requirement),
            self.cost_by_size("endpoint list snapshot, its text", "bytes", Dimension::Endpoints, |n| {
                Ok(snapshot(n).len() as f64)
            })?,
        ])
    }

    fn snapshot_over_socket(&self) -> Result<CostCurve, MeasurementError> {
        let name = "endpoint list snapshot over a socket";
        let curve = self.cost_by_size(name, "1 if read", Dimension::Endpoints, |n| {
            Ok(f64::from(u8::from(is_snapshot_applied(n)?)))
        })?;
        let unread = curve.points.iter().filter(|point| point.value < 1.0).count() as f64;
        let requirement = Requirement::at_most(0.0, "sizes that are not read: none", unread);
        Ok(curve.without_fit().with_requirement(requirement))
    }

    fn delta_times(&self) -> Result<Vec<CostCurve>, MeasurementError> {
        let applied = self.cost_by_size("delta of 10 endpoints", "us", Dimension::Endpoints, |n| {
            let mut gateway = MeasuredGateway::with_list(FleetSize::proportional(n))?;
            let mut round = 0;
            self.median_us(|| {
                round += 1;
                Ok(gateway.apply_list(&delta(round))?)
            })
        })?;
        let next_request =
            self.cost_by_size("first request after such a delta", "us", Dimension::Endpoints, |n| {
                let mut gateway = MeasuredGateway::with_list(FleetSize::proportional(n))?;
                let mut round = 0;
                self.median_us(|| {
                    round += 1;
                    gateway.advance_clock();
                    gateway.apply_list(&delta(round))?;
                    Ok(gateway.run_request(&tenant_name(1), &route_name(0))?.time)
                })
            })?;
        let requirement = Requirement::at_most(
            MAX_DELTA_GROWTH,
            "largest over smallest: at most 4 times (130 if every endpoint were visited)",
            applied.growth(),
        );
        Ok(vec![applied.with_requirement(requirement), next_request])
    }

    fn maintenance_times(&self) -> Result<Vec<CostCurve>, MeasurementError> {
        let by_endpoints =
            self.cost_by_size("maintenance tick, endpoints known", "us", Dimension::Endpoints, |n| {
                let mut gateway = MeasuredGateway::with_list(FleetSize::proportional(n))?;
                self.median_us(|| Ok(gateway.run_maintenance()))
            })?;
        let by_tenants =
            self.cost_by_size("maintenance tick, tenants known", "us", Dimension::Tenants, |n| {
                let mut gateway = MeasuredGateway::with_tenants(n)?;
                self.median_us(|| Ok(gateway.run_maintenance()))
            })?;
        Ok(vec![by_endpoints, by_tenants])
    }

    fn new_lease_time(&self) -> Result<CostCurve, MeasurementError> {
        let name = "new lease: arrival, counter call, reply";
        self.cost_by_size(name, "us", Dimension::Tenants, |n| {
            let mut gateway = MeasuredGateway::with_tenants(n)?;
            let mut new_tenant = n;
            self.median_us(|| {
                new_tenant += 1;
                let cost = gateway.run_request(&tenant_name(new_tenant), &route_name(0))?;
                if cost.counter_calls == 1 { Ok(cost.time) } else { Err(MeasurementError::NotOneCounterCall) }
            })
        })
    }

    fn memory_growth(&self) -> Result<Vec<CostCurve>, MeasurementError> {
        let by_tenants =
            self.cost_by_size("a gateway with tenants known", "bytes", Dimension::Tenants, |n| {
                Ok((self.memory_probe)(MemoryLoad::Tenants, n)? as f64)
            })?;
        let by_endpoints =
            self.cost_by_size("a gateway with idle endpoints", "bytes", Dimension::Endpoints, |n| {
                Ok((self.memory_probe)(MemoryLoad::Endpoints, n)? as f64)
            })?;
        Ok(vec![by_tenants, by_endpoints])
    }
}

/// Returns [`ALTERNATING_NAMES`] names whose numbers are spaced evenly below `count`.
fn alternating_names(count: usize, name: impl Fn(usize) -> Name) -> Vec<Name> {
    (0..ALTERNATING_NAMES).map(|n| name(n * count / ALTERNATING_NAMES)).collect()
}

/// Converts a cost in ms per list to one in µs per entry.
fn cost_per_entry(name: &'static str, list_cost: &CostCurve) -> CostCurve {
    let per_entry = |point: &Point| Point { size: point.size, value: point.value * 1000.0 / point.size };
    CostCurve::fitted(name, "us", Dimension::Endpoints, list_cost.points.iter().map(per_entry).collect())
}
