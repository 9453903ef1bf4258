//! Texts and lengths that depend on seed and prompt alone.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Start of the rolling digest.
const DIGEST_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Factor of the rolling digest.
const DIGEST_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Names a prompt's output length, as in `tokens=40`.
const LENGTH_MARKER: &str = "tokens=";
/// Bytes of prompt that make a token.
const PROMPT_BYTES_PER_TOKEN: usize = 4;

/// Length of an output whose prompt names none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputLength {
    /// Always so many tokens.
    Fixed(u64),
    /// Drawn between both, short ones more often than long ones.
    Random {
        /// Fewest tokens.
        min: u64,
        /// Most tokens.
        max: u64,
    },
}

impl Default for OutputLength {
    fn default() -> Self {
        Self::Random { min: 4, max: 400 }
    }
}

/// A digest that rolls over prompt and output alike: a prompt that ends with
/// the first tokens of an output is continued as that output was.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TextState(u64);

impl TextState {
    /// The state after reading a prompt.
    pub(crate) fn after(seed: u64, prompt: &str) -> Self {
        let mut state = Self(DIGEST_BASIS ^ seed);
        state.roll(prompt);
        state
    }

    /// The next token.
    pub(crate) fn next(&mut self) -> String {
        let mixed = (self.0 ^ (self.0 >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let token = format!(" w{}", (mixed >> 40) % 10_000);
        self.roll(&token);
        token
    }

    fn roll(&mut self, text: &str) {
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(DIGEST_PRIME);
        }
    }

    /// A number that stands for this state.
    pub(crate) const fn digest(self) -> u64 {
        self.0
    }
}

/// Tokens in a prompt.
pub(crate) fn prompt_tokens(prompt: &str) -> u64 {
    u64::try_from(prompt.len() / PROMPT_BYTES_PER_TOKEN + 1).unwrap_or(u64::MAX)
}

/// Tokens that a prompt's output has.
pub(crate) fn output_tokens(length: OutputLength, seed: u64, prompt: &str) -> u64 {
    if let Some(named) = named_length(prompt) {
        return named;
    }
    match length {
        OutputLength::Fixed(tokens) => tokens,
        OutputLength::Random { min, max } => {
            let digest = TextState::after(seed, prompt).digest();
            let mut random = ChaCha8Rng::seed_from_u64(digest);
            let upper = random.random_range(min..=max.max(min));
            random.random_range(min..=upper)
        }
    }
}

fn named_length(prompt: &str) -> Option<u64> {
    let (_, rest) = prompt.split_once(LENGTH_MARKER)?;
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest.get(..end)?.parse().ok()
}
