//! Distributing requests by weight.

/// Smooth weighted round robin: any run of consecutive requests is split as close to the weights as possible.
#[derive(Debug, Clone, Default)]
pub struct Split {
    credits: Vec<f64>,
}

impl Split {
    /// Index of the weight that the next request goes to.
    pub fn next(&mut self, weights: &[u32]) -> usize {
        if self.credits.len() != weights.len() {
            self.credits = vec![0.0; weights.len()];
        }
        let total: f64 = weights.iter().copied().map(f64::from).sum();
        if total == 0.0 {
            return 0;
        }
        for (credit, weight) in self.credits.iter_mut().zip(weights) {
            *credit += f64::from(*weight) / total;
        }
        let largest = self.credits.iter().enumerate().max_by(|a, b| a.1.total_cmp(b.1));
        let picked = largest.map_or(0, |(index, _)| index);
        self.credits[picked] -= 1.0;
        picked
    }
}
