//! The speed curve of a kind of endpoint: time for each token by the number of streams.

/// Completed streams of a kind before its curve is used.
const MIN_SAMPLES: f64 = 12.0;
/// Weight that earlier samples keep at each new one: about the last 300 count.
const SAMPLE_RETENTION: f64 = 0.997;
/// Rounds of coordinate descent at each sample, starting from the last fit.
const FIT_ROUNDS: usize = 20;
/// Least diagonal element that the fit divides by.
const MIN_DIAGONAL: f64 = 1e-9;

/// The Universal Scalability Law inverted, pace = a + b(L-1) + c L(L-1) at the load L, fitted by decayed
/// least squares with no coefficient below zero.
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
    pub(super) fn learn(&mut self, load: f64, tokens: f64, duration: f64) {
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

    /// Non-negative least squares by coordinate descent.
    fn fit(&mut self) {
        for row in (0..3).cycle().take(3 * FIT_ROUNDS) {
            let others = (0..3).filter(|&column| column != row);
            let explained: f64 =
                others.map(|column| self.gram[row][column] * self.coefficients[column]).sum();
            let residual = self.moments[row] - explained;
            self.coefficients[row] = (residual / self.gram[row][row].max(MIN_DIAGONAL)).max(0.0);
        }
    }

    /// Microseconds a token at this load; zero until enough streams have completed.
    pub(super) fn pace(&self, load: f64) -> f64 {
        if self.samples < MIN_SAMPLES {
            return 0.0;
        }
        basis(load).iter().zip(self.coefficients).map(|(value, coefficient)| value * coefficient).sum()
    }
}
