//! Sharing requests out by weight.

/// Smooth weighted round robin: every stretch of requests is shared out as near to the weights as whole requests go.
#[derive(Debug, Clone, Default)]
pub struct Split {
    owed: Vec<f64>,
}

impl Split {
    /// Index of the part that takes the next request.
    pub fn next(&mut self, weights: &[u32]) -> usize {
        if self.owed.len() != weights.len() {
            self.owed = vec![0.0; weights.len()];
        }
        let total: f64 = weights.iter().copied().map(f64::from).sum();
        if total == 0.0 {
            return 0;
        }
        for (owed, weight) in self.owed.iter_mut().zip(weights) {
            *owed += f64::from(*weight) / total;
        }
        let most = self.owed.iter().enumerate().max_by(|a, b| a.1.total_cmp(b.1));
        let picked = most.map_or(0, |(index, _)| index);
        self.owed[picked] -= 1.0;
        picked
    }
}
