//! Plans the fleet, load and actions of each experiment.

use std::sync::Arc;

use crate::action::FaultAction;
use crate::action::TimedAction;
use crate::action::schedule;
use crate::deployment::DeploymentKind;
use crate::deployment::DeploymentSettings;
use crate::engines::EnginePerformance;
use crate::engines::RequestWork;
use crate::runner::RunSpec;
use crate::trace::LoadSpec;
use crate::trace::SurgeLoad;
use crate::trace::TraceCall;
use crate::trace::build_trace;
use crate::trace::chat_rate;
use crate::trace::mean_work;

/// Offered load as a share of the engines' capacity.
const OFFERED_SHARE: f64 = 0.65;

/// Routing policies compared by churn and surge.
const COMPARED_POLICIES: [&str; 4] = ["fescuetide", "rendezvous", "least_loaded", "random"];

/// Routing policies compared by the demo.
const DEMO_POLICIES: [&str; 3] = ["fescuetide", "random", "round_robin"];

/// Time between marking an engine as leaving and killing it, in ms.
const LEAVING_DELAY_MS: u64 = 4_000;

/// Rate of service calls in the demo, per second.
const DEMO_CALLS_PER_S: f64 = 20.0;

/// Command line options of an experiment.
#[derive(Clone, Debug)]
pub struct ExperimentOptions {
    /// The seed.
    pub seed: u64,
    /// Whether to run the short form.
    pub quick: bool,
    /// The deployment.
    pub deployment: DeploymentKind,
    /// Duration of the load in s; `None` for the experiment's default.
    pub seconds: Option<u64>,
    /// Lines added to the routers' settings.
    pub router_lines: Vec<String>,
}

impl Default for ExperimentOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            quick: false,
            deployment: DeploymentKind::default(),
            seconds: None,
            router_lines: Vec::new(),
        }
    }
}

impl ExperimentOptions {
    /// Reads the deployment's settings and adds the lines from the command line.
    ///
    /// # Errors
    ///
    /// Fails when the settings cannot be read.
    pub fn load_deployment(&self) -> anyhow::Result<DeploymentSettings> {
        let mut deployment = self.deployment.load()?;
        deployment
            .fleet
            .router_lines
            .extend(self.router_lines.clone());
        Ok(deployment)
    }

    fn span_ms(&self, quick: u64, full: u64) -> u64 {
        match self.seconds {
            Some(seconds) => seconds * 1_000,
            None if self.quick => quick,
            None => full,
        }
    }
}

/// The runs of an experiment, which all replay the same trace.
#[derive(Clone, Debug)]
pub struct ExperimentPlan {
    /// The trace.
    pub calls: Arc<Vec<TraceCall>>,
    /// The runs.
    pub runs: Vec<RunSpec>,
    /// Human-readable summary of capacity and offered load.
    pub description: String,
}

/// Plans churn: in each period, one engine leaves and another joins.
///
/// # Errors
///
/// Fails when the deployment's settings cannot be read.
pub fn plan_churn(options: &ExperimentOptions) -> anyhow::Result<ExperimentPlan> {
    let deployment = options.load_deployment()?;
    let span_ms = options.span_ms(20_000, 65_000);
    let period_ms = if options.quick { 5_000 } else { 10_000 };
    let load = chat_load(options, &deployment, span_ms, OFFERED_SHARE);
    let mut actions = Vec::new();
    let mut index = 0;
    let mut at_ms = period_ms;
    while at_ms < span_ms {
        actions.push(schedule(at_ms, FaultAction::ListLeaving(index)));
        actions.push(schedule(at_ms, FaultAction::AddEngine));
        if at_ms + LEAVING_DELAY_MS < span_ms {
            let killed_ms = at_ms + LEAVING_DELAY_MS;
            actions.push(schedule(killed_ms, FaultAction::RemoveVm(index)));
        }
        index += 1;
        at_ms += period_ms;
    }
    let note = format!("one engine leaves and one joins every {period_ms} ms");
    Ok(compare_policies(
        &deployment,
        &load,
        actions,
        (&COMPARED_POLICIES, &note),
    ))
}

/// Plans a surge: 3 of 10 workspaces, including a large one, send at 8 times their rate for half of the run.
///
/// # Errors
///
/// Fails when the deployment's settings cannot be read.
pub fn plan_surge(options: &ExperimentOptions) -> anyhow::Result<ExperimentPlan> {
    let deployment = options.load_deployment()?;
    let span_ms = options.span_ms(20_000, 60_000);
    let surge = SurgeLoad {
        workspaces: vec![2, 3, 4],
        factor: 8,
        from_ms: span_ms / 4,
        to_ms: span_ms * 3 / 4,
    };
    let weights = LoadSpec::default().weights;
    let usual: u64 = weights.iter().sum();
    let mut surging = usual;
    for workspace in &surge.workspaces {
        surging += weights[*workspace] * (surge.factor - 1);
    }
    // Scales the usual rate so that the load during the surge equals the offered share.
    let share = OFFERED_SHARE * usual as f64 / surging as f64;
    let note = format!(
        "workspaces {:?} at {} × their rate from {} to {} ms",
        surge.workspaces, surge.factor, surge.from_ms, surge.to_ms
    );
    let mut load = chat_load(options, &deployment, span_ms, share);
    load.surge = Some(surge);
    Ok(compare_policies(
        &deployment,
        &load,
        Vec::new(),
        (&COMPARED_POLICIES, &note),
    ))
}

/// Plans the demo: chats and service calls of all classes.
///
/// # Errors
///
/// Fails when the deployment's settings cannot be read.
pub fn plan_demo(options: &ExperimentOptions) -> anyhow::Result<ExperimentPlan> {
    let deployment = options.load_deployment()?;
    let span_ms = options.span_ms(15_000, 15_000);
    let mut load = chat_load(options, &deployment, span_ms, OFFERED_SHARE);
    load.calls_per_s = DEMO_CALLS_PER_S;
    load.call_classes = deployment.call_classes.clone();
    Ok(compare_policies(
        &deployment,
        &load,
        Vec::new(),
        (&DEMO_POLICIES, "all classes"),
    ))
}

/// A chat load that offers `share` of the engines' capacity.
fn chat_load(
    options: &ExperimentOptions,
    deployment: &DeploymentSettings,
    span_ms: u64,
    share: f64,
) -> LoadSpec {
    let shape = LoadSpec::default();
    // A turn adds its user message and the previous answer, each with one token that starts the message.
    let user_words = (shape.turn_words.0 + shape.turn_words.1) as f64 / 2.0;
    let work = RequestWork {
        answer_tokens: f64::from(shape.answer_tokens),
        new_tokens: user_words + f64::from(shape.answer_tokens) + 2.0,
    };
    let engines = deployment.fleet.engines as f64;
    LoadSpec {
        seed: options.seed,
        span_ms,
        chats_per_s: share * engines * EnginePerformance::default().capacity_per_s(work),
        chat_classes: deployment.chat_classes.clone(),
        service_pool: deployment.fleet.service_pool.clone(),
        routers: deployment.fleet.routers as u64,
        ..shape
    }
}

/// Plans one run per policy, all on the same trace.
fn compare_policies(
    deployment: &DeploymentSettings,
    load: &LoadSpec,
    actions: Vec<TimedAction>,
    (policies, note): (&[&str], &str),
) -> ExperimentPlan {
    let performance = EnginePerformance::default();
    let calls = Arc::new(build_trace(load));
    let mut runs = Vec::new();
    for policy in policies {
        let mut fleet = deployment.fleet.clone();
        fleet.engine_options = performance.options();
        fleet.router_lines.push(format!("policy = \"{policy}\""));
        if load.call_classes.is_empty() {
            fleet.services = 0;
        }
        runs.push(RunSpec {
            label: (*policy).to_owned(),
            fleet,
            calls: Arc::clone(&calls),
            actions: actions.clone(),
            span_ms: load.span_ms,
            watch_offsets: false,
            progress: Arc::default(),
        });
    }
    let capacity = performance.capacity_per_s(mean_work(&calls)) * deployment.fleet.engines as f64;
    let window = match &load.surge {
        Some(surge) => (surge.from_ms + load.think_time_ms.1, surge.to_ms),
        None => (0, load.span_ms),
    };
    let offered = chat_rate(&calls, window.0, window.1);
    let description = format!(
        "capacity {capacity:.1} chat turns/s, offered {offered:.1}/s ({:.0}%) from {} to {} ms; {note}",
        offered / capacity * 100.0,
        window.0,
        window.1
    );
    ExperimentPlan {
        calls,
        runs,
        description,
    }
}
