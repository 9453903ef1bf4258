//! Tests of the planner, the claim table and the claim holder.

#[cfg(test)]
mod claim_table_bounds;
#[cfg(test)]
mod fencing;
#[cfg(test)]
mod planner_converges;
#[cfg(test)]
mod scenarios;
#[cfg(test)]
mod simulation;

#[cfg(test)]
fn seeded_config(cases: u32) -> proptest::test_runner::Config {
    let seed = std::env::var("LENTIL_SEED").ok();
    proptest::test_runner::Config {
        cases,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(
            seed.and_then(|text| text.parse().ok())
                .unwrap_or(20_261_204),
        ),
        ..Default::default()
    }
}
