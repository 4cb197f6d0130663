//! A line or a logarithm through measured points.

use serde::Serialize;

/// What a size counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Dimension {
    /// Endpoints that a gateway knows.
    Endpoints,
    /// Tenants whose requests a gateway has had.
    Tenants,
    /// Routes, that is, request classes of the settings.
    Routes,
}

impl Dimension {
    /// Its name in tables.
    pub fn label(self) -> &'static str {
        match self {
            Self::Endpoints => "endpoints",
            Self::Tenants => "tenants",
            Self::Routes => "routes",
        }
    }

    /// The size that the fleet has to support.
    pub fn target(self) -> usize {
        match self {
            Self::Endpoints => 26_000,
            Self::Tenants => 300_000,
            Self::Routes => 15_000,
        }
    }
}

/// A measured value, in JSON an array of size and value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "[f64; 2]")]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The value.
    pub value: f64,
}

impl From<Point> for [f64; 2] {
    fn from(point: Point) -> Self {
        [point.size, point.value]
    }
}

/// The function that was fitted through the points.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Fit {
    /// `intercept + slope * size`.
    Linear,
    /// `intercept + slope * ln(size)`.
    Log,
    /// None: the value at the target is the one measured at the largest size.
    None,
}

impl Fit {
    /// Its name in tables.
    pub fn label(self) -> &'static str {
        match self {
            Self::Linear => "linear",
            Self::Log => "log",
            Self::None => "none",
        }
    }
}

/// What is required of a figure: a value of it, and the most that this may be.
pub(super) struct Limit {
    /// In words.
    pub(super) description: &'static str,
    pub(super) value: f64,
    pub(super) limit: f64,
}

/// A limit of a figure, and whether it is met.
#[derive(Clone, Debug, Serialize)]
pub struct Requirement {
    /// In words.
    pub description: &'static str,
    /// The measured value.
    pub value: f64,
    /// The most that it may be.
    pub limit: f64,
    /// Whether the value is within the limit.
    pub met: bool,
}

/// One figure by size.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// What is measured.
    pub name: &'static str,
    /// The unit of the values.
    pub unit: &'static str,
    /// What the sizes count.
    pub size: Dimension,
    /// The measured values, smallest size first.
    pub points: Vec<Point>,
    /// The fitted function, or `Fit::None` where none was fitted.
    pub fit: Fit,
    /// The slope of that function; 0 where none was fitted.
    pub slope: f64,
    /// Its value where the size, or its logarithm, is 0; where none was fitted, the value at the largest
    /// size.
    pub intercept: f64,
    /// The target size.
    pub target: f64,
    /// The value of the function at the target size.
    pub at_target: f64,
    /// What is required of the figure, if anything is.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requirement: Option<Requirement>,
}

/// A least-squares line.
struct Line {
    slope: f64,
    intercept: f64,
    /// The sum of the squared differences between points and line.
    residual: f64,
}

impl Line {
    /// Fits a line through points whose sizes are transformed first.
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

impl Slope {
    /// Fits a line and a logarithm through points and evaluates the better one at the target size.
    pub fn fitted(name: &'static str, unit: &'static str, size: Dimension, points: Vec<Point>) -> Self {
        let linear = Line::fit(&points, |x| x);
        let log = Line::fit(&points, f64::ln);
        let target = size.target() as f64;
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

    /// The figure without a fit, for values that follow no function.
    pub(super) fn unfitted(mut self) -> Self {
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

    /// The value at the largest size, relative to that at the smallest.
    pub(super) fn growth(&self) -> f64 {
        self.value_at_largest_size() / self.points.first().map_or(1.0, |point| point.value).max(1e-9)
    }

    /// The figure with what is required of it.
    pub(super) fn require(mut self, limit: Limit) -> Self {
        let Limit { description, value, limit } = limit;
        self.requirement = Some(Requirement { description, value, limit, met: value <= limit });
        self
    }
}
