//! Helpers of seeded tests: the proptest configuration of the stateful fuzz tests, random numbers, and the check of a retry
//! budget.
//!
//! By default, each test runs with its own fixed seed and case count. `FESCUETIDE_FUZZ_CASES=N` runs N cases with a new
//! seed and prints it; `FESCUETIDE_FUZZ_SEED=S` reproduces the run with seed S.

mod random;
mod retry_window;

use fescuetide_base::ClockMillis;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

pub use random::SeededRandom;
pub use retry_window::RetryLimit;
pub use retry_window::RetryWindow;

/// Builds the configuration of a fuzz test that runs `cases` cases with `seed`, unless environment variables override
/// them.
///
/// Proptest evaluates the configuration expression once per case. Tests must store the result in a `LazyLock`,
/// otherwise the cases of one run use different seeds.
///
/// # Panics
///
/// Panics if one of the environment variables is not a number, or if the case count does not fit in 32 bits.
pub fn fuzz_config(cases: u32, seed: u64) -> Config {
    let case_override = read_env_number("FESCUETIDE_FUZZ_CASES")
        .map(|cases| u32::try_from(cases).expect("FESCUETIDE_FUZZ_CASES must fit in 32 bits"));
    let default_seed = match case_override {
        Some(_) => ClockMillis::now().as_millis(),
        None => seed,
    };
    let seed = read_env_number("FESCUETIDE_FUZZ_SEED").unwrap_or(default_seed);
    println!("FESCUETIDE_FUZZ_SEED={seed}");
    Config {
        cases: case_override.unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

fn read_env_number(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    match text.parse() {
        Ok(number) => Some(number),
        Err(error) => {
            panic!("environment variable {name} must be a number, but is {text:?}: {error}")
        }
    }
}
