//! Replays load patterns through the model and compares routing policies.

use fescuetide_flow::FlowSettings;
use fescuetide_model::LoadPattern;
use fescuetide_model::PlacementPolicy;
use fescuetide_model::SimulationSettings;
use fescuetide_model::run_simulation;

/// Options of the model runs.
#[derive(Clone, Debug, Default)]
pub struct LoadOptions {
    /// The seed of the generated arrivals.
    pub seed: u64,
    /// The patterns; all of them when empty.
    pub patterns: Vec<LoadPattern>,
    /// The policies; all of them when empty.
    pub policies: Vec<PlacementPolicy>,
    /// Multiple of the usual rates.
    pub load: Option<f64>,
    /// Multiple of the mean load that an engine may hold.
    pub load_multiple: Option<f64>,
    /// Requests above the multiple that an engine may hold.
    pub load_allowance: Option<u32>,
}

/// Prints the metrics of each pattern under each policy.
pub fn run(options: &LoadOptions) {
    let patterns = match options.patterns.as_slice() {
        [] => &LoadPattern::ALL[..],
        chosen => chosen,
    };
    let policies = match options.policies.as_slice() {
        [] => &PlacementPolicy::ALL[..],
        chosen => chosen,
    };
    let fallback = SimulationSettings::default();
    let flow = FlowSettings {
        load_multiple: options.load_multiple.unwrap_or(fallback.flow.load_multiple),
        load_allowance: options
            .load_allowance
            .unwrap_or(fallback.flow.load_allowance),
        ..fallback.flow
    };
    for pattern in patterns {
        for policy in policies {
            let metrics = run_simulation(&SimulationSettings {
                policy: *policy,
                pattern: *pattern,
                seed: options.seed,
                flow,
                load_factor: options.load.unwrap_or(fallback.load_factor),
                ..fallback
            });
            println!("{pattern}, {policy}\n{metrics}");
        }
    }
}
