//! Measured costs by size, fitted with a line or a logarithm and extrapolated to the target size.

use serde::Serialize;

/// The quantity that a cost is measured against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Dimension {
    /// Endpoints in the gateway's endpoint list.
    Endpoints,
    /// Tenants from which the gateway has received requests.
    Tenants,
    /// Routes, that is, request classes of the settings.
    Routes,
}

impl Dimension {
    /// The name in tables.
    pub fn label(self) -> &'static str {
        match self {
            Self::Endpoints => "endpoints",
            Self::Tenants => "tenants",
            Self::Routes => "routes",
        }
    }

    /// The size that the fleet has to support.
    pub fn target_size(self) -> usize {
        match self {
            Self::Endpoints => 26_000,
            Self::Tenants => 300_000,
            Self::Routes => 15_000,
        }
    }
}

/// A cost measured at one size. In JSON it is an array of size and value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "[f64; 2]")]
pub struct Point {
    /// The number of endpoints, tenants or routes.
    pub size: f64,
    /// The measured cost.
    pub value: f64,
}

impl From<Point> for [f64; 2] {
    fn from(point: Point) -> Self {
        [point.size, point.value]
    }
}

/// The function that was fitted to the points.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Fit {
    /// `intercept + slope * size`.
    Linear,
    /// `intercept + slope * ln(size)`.
    Log,
    /// No function: the value at the target is the one measured at the largest size.
    None,
}

impl Fit {
    /// The name in tables.
    pub fn label(self) -> &'static str {
        match self {
            Self::Linear => "linear",
            Self::Log => "log",
            Self::None => "none",
        }
    }
}

/// An upper limit on a value that is derived from a cost curve.
#[derive(Clone, Debug, Serialize)]
pub struct Requirement {
    /// The requirement in words.
    pub description: &'static str,
    /// The measured value.
    pub value: f64,
    /// The highest allowed value.
    pub limit: f64,
    /// Whether the value is within the limit.
    pub met: bool,
}

impl Requirement {
    pub(super) fn at_most(limit: f64, description: &'static str, value: f64) -> Self {
        Self { description, value, limit, met: value <= limit }
    }
}

/// A cost as a function of a size: the measured points and the function fitted to them.
#[derive(Clone, Debug, Serialize)]
pub struct CostCurve {
    /// What is measured.
    pub name: &'static str,
    /// The unit of the cost.
    pub unit: &'static str,
    /// The quantity that the cost is measured against.
    pub size: Dimension,
    /// The measured points, smallest size first.
    pub points: Vec<Point>,
    /// The fitted function, or [`Fit::None`].
    pub fit: Fit,
    /// The slope of the function, per size or per logarithm of the size; 0 for [`Fit::None`].
    pub slope: f64,
    /// The value of the function where the size, or its logarithm, is 0; for [`Fit::None`] the value at the
    /// largest size.
    pub intercept: f64,
    /// The target size.
    pub target: f64,
    /// The value of the function at the target size.
    pub at_target: f64,
    /// The requirement on this cost, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requirement: Option<Requirement>,
}

/// A least-squares line.
struct Line {
    slope: f64,
    intercept: f64,
    /// The sum of the squared residuals.
    residual: f64,
}

impl Line {
    /// Fits a line to points after transforming their sizes.
    fn fit(points: &[Point], transform: impl Fn(f64) -> f64) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| transform(p.size)).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.value).sum::<f64>() / count;
        let variance: f64 = points.iter().map(|p| (transform(p.size) - mean_x).powi(2)).sum();
        let covariance: f64 = points.iter().map(|p| (transform(p.size) - mean_x) * (p.value - mean_y)).sum();
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let difference = |p: &Point| p.value - intercept - slope * transform(p.size);
        let residual = points.iter().map(|p| difference(p).powi(2)).sum();
        Self { slope, intercept, residual }
    }
}

impl CostCurve {
    /// Fits a line and a logarithm to the points, keeps the one with the smaller residual, and evaluates it at
    /// the target size.
    pub fn fitted(name: &'static str, unit: &'static str, size: Dimension, points: Vec<Point>) -> Self {
        let linear = Line::fit(&points, |x| x);
        let log = Line::fit(&points, f64::ln);
        let target = size.target_size() as f64;
        let (fit, line, x) = if linear.residual <= log.residual {
            (Fit::Linear, linear, target)
        } else {
            (Fit::Log, log, target.ln())
        };
        Self {
            name,
            unit,
            size,
            points,
            fit,
            slope: line.slope,
            intercept: line.intercept,
            target,
            at_target: line.intercept + line.slope * x,
            requirement: None,
        }
    }

    /// Discards the fit, for values that follow neither function.
    pub(super) fn without_fit(mut self) -> Self {
        self.fit = Fit::None;
        self.slope = 0.0;
        self.intercept = self.value_at_largest_size();
        self.at_target = self.intercept;
        self
    }

    /// The value at the largest size.
    pub(super) fn value_at_largest_size(&self) -> f64 {
        self.points.last().map_or(0.0, |point| point.value)
    }

    /// The ratio of the value at the largest size to that at the smallest.
    pub(super) fn growth(&self) -> f64 {
        self.value_at_largest_size() / self.points.first().map_or(1.0, |point| point.value).max(1e-9)
    }

    pub(super) fn with_requirement(mut self, requirement: Requirement) -> Self {
        self.requirement = Some(requirement);
        self
    }
}
