/// A line through points by least squares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LineFit {
    pub(crate) base: f64,
    pub(crate) slope: f64,
}

impl LineFit {
    pub(crate) fn of(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
        let common = |point: &(f64, f64)| (point.0 - mean_x) * (point.1 - mean_y);
        let slope = points.iter().map(common).sum::<f64>() / spread;
        Self {
            base: mean_y - slope * mean_x,
            slope,
        }
    }
}
