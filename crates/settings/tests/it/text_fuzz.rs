use lentil_settings::parse_process;
use proptest::prelude::{ProptestConfig, any, prop, proptest};
use proptest::test_runner::RngSeed;

use crate::ENTRY;

/// Seed of the test cases if `LENTIL_SEED` is not set.
const SEED: u64 = 20_261_204;

fn config() -> ProptestConfig {
    let seed = std::env::var("LENTIL_SEED").ok();
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(seed.and_then(|seed| seed.parse().ok()).unwrap_or(SEED)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Any text is either accepted or rejected with a one-line message that gives an
    /// existing line number.
    #[test]
    fn any_text_is_accepted_or_located(text in "\\PC{0,200}") {
        check_message(&text);
    }

    /// The same holds for valid settings in which one part is replaced.
    #[test]
    fn any_edit_is_accepted_or_located(
        begin in 0..ENTRY.len(),
        len in 0..12_usize,
        piece in prop::sample::select(vec![
            "", ":", "\n", " ", "  - ", "&a", "*a", "{", "]", "'", "0", "-1", "99999999999999999999",
            "null", "true", "!!binary x", "<<: ", "entry", "agent:\n  kind: engine", "\u{7f}", "é",
        ]),
        other in any::<u64>(),
    ) {
        let end = (begin + len).min(ENTRY.len());
        let mut text = ENTRY.to_owned();
        text.replace_range(begin..end, piece);
        check_message(&text);
        check_message(&text.replace('2', &other.to_string()));
    }
}

fn check_message(text: &str) {
    if let Err(error) = parse_process(text) {
        let message = error.to_string();
        assert!(!message.contains('\n'), "{message}");
        let lines = u64::try_from(text.lines().count()).unwrap();
        assert!(error.line <= lines + 1, "{message}");
    }
}
