//! Speed curve of a kind of endpoint: inter-token latency as a function of the number of streams.

/// Completed streams required before the curve is used.
const MIN_SAMPLES: f64 = 12.0;
/// Factor applied to the weight of earlier samples at each new one; the last 300 or so dominate.
const SAMPLE_RETENTION: f64 = 0.997;
/// Coordinate descent iterations per sample; each fit starts from the previous one.
const FIT_ROUNDS: usize = 20;
/// Lower bound of the diagonal elements that the fit divides by, to avoid division by zero.
const MIN_DIAGONAL: f64 = 1e-9;

/// The inverse of the Universal Scalability Law: latency(L) = a + b(L-1) + c L(L-1) for a load of L streams,
/// fitted by non-negative least squares with exponentially decaying weights.
#[derive(Clone, Default)]
pub(super) struct SpeedCurve {
    gram: [[f64; 3]; 3],
    moments: [f64; 3],
    samples: f64,
    coefficients: [f64; 3],
}

fn basis(load: f64) -> [f64; 3] {
    let load = load.max(1.0);
    [1.0, load - 1.0, load * (load - 1.0)]
}

impl SpeedCurve {
    /// Adds a stream of `tokens` that took `duration` microseconds at this load.
    pub(super) fn add_sample(&mut self, load: f64, tokens: f64, duration: f64) {
        let basis = basis(load);
        for (row, row_value) in basis.iter().enumerate() {
            for (column, column_value) in basis.iter().enumerate() {
                let old = self.gram[row][column];
                self.gram[row][column] = old * SAMPLE_RETENTION + tokens * row_value * column_value;
            }
            self.moments[row] = self.moments[row] * SAMPLE_RETENTION + duration * row_value;
        }
        self.samples += 1.0;
        self.fit();
    }

    /// Fits the coefficients by non-negative least squares, using coordinate descent.
    fn fit(&mut self) {
        for row in (0..3).cycle().take(3 * FIT_ROUNDS) {
            let others = (0..3).filter(|&column| column != row);
            let explained: f64 =
                others.map(|column| self.gram[row][column] * self.coefficients[column]).sum();
            let residual = self.moments[row] - explained;
            self.coefficients[row] = (residual / self.gram[row][row].max(MIN_DIAGONAL)).max(0.0);
        }
    }

    /// Returns the microseconds per token at this load, or zero until there are enough samples.
    pub(super) fn inter_token_latency(&self, load: f64) -> f64 {
        if self.samples < MIN_SAMPLES {
            return 0.0;
        }
        basis(load).iter().zip(self.coefficients).map(|(value, coefficient)| value * coefficient).sum()
    }
}
