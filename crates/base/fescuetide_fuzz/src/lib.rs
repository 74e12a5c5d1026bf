//! Seed and case count of the stateful fuzz tests.
//!
//! A run has the fixed seed and case count of its test. `FESCUETIDE_FUZZ_CASES=N` runs N cases with a new seed, which is
//! printed; `FESCUETIDE_FUZZ_SEED=S` repeats one.

use fescuetide_base::ClockMillis;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Builds the configuration of a fuzz test that runs `cases` cases from `seed` unless the environment says otherwise.
///
/// Proptest evaluates its configuration once per case, so a test keeps the result in a `LazyLock`; otherwise the cases of
/// one run would get different seeds.
///
/// # Panics
///
/// If one of the environment variables is not a number, or the case count does not fit 32 bits.
pub fn fuzz_config(cases: u32, seed: u64) -> Config {
    let chosen_cases = number("FESCUETIDE_FUZZ_CASES")
        .map(|cases| u32::try_from(cases).expect("FESCUETIDE_FUZZ_CASES fits 32 bits"));
    let default_seed = match chosen_cases {
        Some(_) => ClockMillis::now().as_millis(),
        None => seed,
    };
    let seed = number("FESCUETIDE_FUZZ_SEED").unwrap_or(default_seed);
    println!("FESCUETIDE_FUZZ_SEED={seed}");
    Config {
        cases: chosen_cases.unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

fn number(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    match text.parse() {
        Ok(number) => Some(number),
        Err(error) => panic!("{name} is {text:?}, which is not a number: {error}"),
    }
}
