//! Least-squares line through measured points.

use serde::Serialize;

/// Residual over the largest value from which a line no longer describes the points.
const LINEAR: f64 = 0.15;

/// Line with its residual.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// Growth of the value per unit of size.
    pub slope: f64,
    /// Value at size zero.
    pub intercept: f64,
    /// Largest distance of a point from the line over the largest value.
    pub residual: f64,
    /// Whether the residual is small enough to call the growth linear.
    pub linear: bool,
}

/// One measured slope.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Slope {
    /// Role.
    pub role: Box<str>,
    /// What is measured.
    pub name: Box<str>,
    /// Unit of the size.
    pub per: Box<str>,
    /// Unit of the value.
    pub unit: Box<str>,
    /// Sizes and values.
    pub points: Vec<(f64, f64)>,
    /// Line through the points.
    pub fit: Fit,
}

impl Slope {
    /// Slope through points; the sizes must differ.
    #[must_use]
    pub fn new(role: &str, name: &str, per: &str, unit: &str, points: Vec<(f64, f64)>) -> Self {
        let fit = fit(&points);
        Self {
            role: role.into(),
            name: name.into(),
            per: per.into(),
            unit: unit.into(),
            points,
            fit,
        }
    }
}

fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean = |pick: fn(&(f64, f64)) -> f64| points.iter().map(pick).sum::<f64>() / count;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let common: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let slope = if spread > 0.0 { common / spread } else { 0.0 };
    let intercept = y - slope * x;
    let largest = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
    let distance = |p: &(f64, f64)| (p.1 - intercept - slope * p.0).abs();
    let worst = points.iter().map(distance).fold(0.0, f64::max);
    let residual = if largest > 0.0 { worst / largest } else { 0.0 };
    Fit {
        slope,
        intercept,
        residual,
        linear: residual <= LINEAR,
    }
}
