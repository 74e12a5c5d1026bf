//! Replays load patterns through the model and compares routing policies.

use fescuetide_flow::FlowSettings;
use fescuetide_model::LoadPattern;
use fescuetide_model::ModelSettings;
use fescuetide_model::PlacePolicy;
use fescuetide_model::run_model;

/// Options of the model runs.
#[derive(Clone, Debug, Default)]
pub struct LoadOptions {
    /// The seed of the generated arrivals.
    pub seed: u64,
    /// The patterns; all of them when empty.
    pub patterns: Vec<LoadPattern>,
    /// The policies; all of them when empty.
    pub policies: Vec<PlacePolicy>,
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
        [] => &PlacePolicy::ALL[..],
        chosen => chosen,
    };
    let fallback = ModelSettings::default();
    let flow = FlowSettings {
        load_multiple: options.load_multiple.unwrap_or(fallback.flow.load_multiple),
        load_allowance: options
            .load_allowance
            .unwrap_or(fallback.flow.load_allowance),
        ..fallback.flow
    };
    for pattern in patterns {
        for policy in policies {
            let metrics = run_model(&ModelSettings {
                policy: *policy,
                pattern: *pattern,
                seed: options.seed,
                flow,
                load: options.load.unwrap_or(fallback.load),
                ..fallback
            });
            println!("{pattern}, {policy}\n{metrics}");
        }
    }
}
