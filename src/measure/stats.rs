//! Summary statistics of a few numbers, and lines fitted to points.

/// The median, of an even count the lower of the two in the middle; zero if there are no numbers.
pub(crate) fn median(numbers: &[f64]) -> f64 {
    let mut sorted = numbers.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

/// The maximum; zero if there are no numbers.
pub(crate) fn maximum(numbers: &[f64]) -> f64 {
    numbers.iter().copied().fold(0.0, f64::max)
}

/// A line fitted to points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Line {
    pub(crate) slope: f64,
    pub(crate) intercept: f64,
    /// The maximum absolute residual of a point.
    pub(crate) max_residual: f64,
}

/// Fits a line to points by least squares.
pub(crate) fn fit_line(points: &[(f64, f64)]) -> Line {
    let n = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
    let variance_sum: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let covariance_sum: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = if variance_sum == 0.0 { 0.0 } else { covariance_sum / variance_sum };
    let intercept = mean_y - slope * mean_x;
    let residuals: Vec<f64> =
        points.iter().map(|(x, y)| (y - (slope * x + intercept)).abs()).collect();
    Line { slope, intercept, max_residual: maximum(&residuals) }
}
