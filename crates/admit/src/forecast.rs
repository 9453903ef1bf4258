//! The forecast of cache blocks in use, some tokens ahead.

use lentil_core::TokenCount;

use crate::event::EngineConfig;

/// Distances ahead, in tokens of each running generation.
pub(crate) const HORIZONS: [u32; 28] = [
    1, 8, 16, 24, 32, 48, 64, 80, 96, 128, 160, 192, 224, 256, 320, 384, 448, 512, 640, 768, 1_024,
    1_280, 1_536, 2_048, 3_072, 4_096, 8_192, 16_384,
];

/// Mean and variance of the blocks in use at each distance ahead.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Forecast {
    mean: [f64; HORIZONS.len()],
    variance: [f64; HORIZONS.len()],
}

/// What a forecast needs to know of one generation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outlook<'a> {
    pub(crate) prompt: TokenCount,
    pub(crate) generated: TokenCount,
    pub(crate) max_tokens: TokenCount,
    /// Chance to be longer than `generated` plus each distance.
    pub(crate) survival: &'a [f64],
}

impl Forecast {
    /// The part that one generation has in the forecast.
    pub(crate) fn of(shape: &EngineConfig, outlook: Outlook<'_>) -> Self {
        let mut part = Self::default();
        let held = outlook.prompt + outlook.generated;
        let steps = HORIZONS.iter().zip(outlook.survival);
        let cells = part.mean.iter_mut().zip(part.variance.iter_mut());
        for ((distance, chance), (mean, variance)) in steps.zip(cells) {
            let reached = outlook.generated + TokenCount::new(*distance);
            let chance = if reached > outlook.max_tokens && *distance > 1 {
                0.0
            } else {
                chance.clamp(0.0, 1.0)
            };
            let blocks = f64::from(shape.blocks_for(held + TokenCount::new(*distance)).get());
            *mean = blocks * chance;
            *variance = blocks * blocks * chance * (1.0 - chance);
        }
        part
    }

    /// Adds another forecast's blocks.
    pub(crate) fn add(&mut self, other: &Self) {
        for (mean, more) in self.mean.iter_mut().zip(other.mean) {
            *mean += more;
        }
        for (variance, more) in self.variance.iter_mut().zip(other.variance) {
            *variance += more;
        }
    }

    /// Adds blocks that stay in use.
    pub(crate) fn add_constant(&mut self, blocks: f64) {
        for mean in &mut self.mean {
            *mean += blocks;
        }
    }

    /// Moves towards another forecast.
    pub(crate) fn blend(&mut self, other: &Self, weight: f64) {
        for (mean, new) in self.mean.iter_mut().zip(other.mean) {
            *mean += weight * (new - *mean);
        }
        for (variance, new) in self.variance.iter_mut().zip(other.variance) {
            *variance += weight * (new - *variance);
        }
    }

    /// The largest demand ahead, `deviations` standard deviations above its mean.
    pub(crate) fn peak(&self, deviations: f64) -> f64 {
        self.mean
            .iter()
            .zip(self.variance)
            .map(|(mean, variance)| mean + deviations * variance.sqrt())
            .fold(0.0, f64::max)
    }
}
