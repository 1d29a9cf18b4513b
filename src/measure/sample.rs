//! Medians and other summaries of a few numbers, and slopes through points.

/// The middle of some numbers; the lower one of two. Zero if there are none.
pub(crate) fn median(numbers: &[f64]) -> f64 {
    let mut sorted = numbers.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

/// The greatest of some numbers; zero if there are none.
pub(crate) fn greatest(numbers: &[f64]) -> f64 {
    numbers.iter().copied().fold(0.0, f64::max)
}

/// A straight line through points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Line {
    pub(crate) slope: f64,
    pub(crate) at_zero: f64,
    /// The greatest distance of a point from the line.
    pub(crate) off: f64,
}

/// The line of least squares through points.
pub(crate) fn line(points: &[(f64, f64)]) -> Line {
    let n = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let joint: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = if spread == 0.0 { 0.0 } else { joint / spread };
    let at_zero = mean_y - slope * mean_x;
    let distances: Vec<f64> =
        points.iter().map(|(x, y)| (y - (slope * x + at_zero)).abs()).collect();
    Line { slope, at_zero, off: greatest(&distances) }
}
