//! Output texts and lengths, determined by the seed and the prompt.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Precedes the output length in a prompt, as in `tokens=40`.
const LENGTH_PREFIX: &str = "tokens=";
/// Number of prompt bytes counted as one token.
const PROMPT_BYTES_PER_TOKEN: usize = 4;

/// Output length if the prompt doesn't state one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputLength {
    /// A fixed number of tokens.
    Fixed(u64),
    /// A random number of tokens; short outputs are more frequent than long ones.
    Random {
        /// Minimum number of tokens.
        min: u64,
        /// Maximum number of tokens.
        max: u64,
    },
}

impl Default for OutputLength {
    fn default() -> Self {
        Self::Random { min: 4, max: 400 }
    }
}

/// Generates tokens from a rolling hash over the prompt and the output. A prompt extended by
/// the first tokens of its output is therefore continued with the remaining tokens.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TextGenerator(u64);

impl TextGenerator {
    /// Creates a generator for the output of a prompt.
    pub(crate) fn new(seed: u64, prompt: &str) -> Self {
        let mut state = Self(FNV_OFFSET_BASIS ^ seed);
        state.update(prompt);
        state
    }

    /// Generates the next token.
    pub(crate) fn next_token(&mut self) -> String {
        let mixed = (self.0 ^ (self.0 >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let token = format!(" w{}", (mixed >> 40) % 10_000);
        self.update(&token);
        token
    }

    fn update(&mut self, text: &str) {
        for byte in text.bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }

    /// The current hash.
    pub(crate) const fn digest(self) -> u64 {
        self.0
    }
}

/// Number of tokens in a prompt.
pub(crate) fn prompt_tokens(prompt: &str) -> u64 {
    u64::try_from(prompt.len() / PROMPT_BYTES_PER_TOKEN + 1).unwrap_or(u64::MAX)
}

/// Number of tokens in the output of a prompt.
pub(crate) fn output_tokens(length: OutputLength, seed: u64, prompt: &str) -> u64 {
    if let Some(requested) = requested_length(prompt) {
        return requested;
    }
    match length {
        OutputLength::Fixed(tokens) => tokens,
        OutputLength::Random { min, max } => {
            let digest = TextGenerator::new(seed, prompt).digest();
            let mut random = ChaCha8Rng::seed_from_u64(digest);
            let upper = random.random_range(min..=max.max(min));
            random.random_range(min..=upper)
        }
    }
}

fn requested_length(prompt: &str) -> Option<u64> {
    let (_, rest) = prompt.split_once(LENGTH_PREFIX)?;
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest.get(..end)?.parse().ok()
}
