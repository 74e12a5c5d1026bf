//! Request kinds, arrival patterns, and incidents that affect engines and routers.

use std::fmt;
use std::str::FromStr;

/// A kind of request. The values come from the specifications of the two deployments.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestKind {
    /// The name in reports, also used as the name of the route.
    pub name: &'static str,
    /// Mean arrival rate in requests per second.
    pub rate: f64,
    /// Length of the prompt prefix that requests share, in tokens.
    pub prefix_tokens: u32,
    /// Length of the rest of the prompt, in tokens.
    pub unique_tokens: u32,
    /// Length of the answer, in tokens.
    pub output_tokens: u32,
    /// Target for the time to the first event, in ms.
    pub latency_target_ms: u64,
    /// How long the caller waits for the whole answer, in ms.
    pub timeout_ms: u64,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// Whether another engine can resume the stream after an engine was lost.
    pub is_resumable: bool,
}

/// The streaming request kinds of both deployments.
pub(crate) const REQUEST_KINDS: [RequestKind; 3] = [
    RequestKind {
        name: "draft",
        rate: 25.2,
        prefix_tokens: 10_512,
        unique_tokens: 1_300,
        output_tokens: 380,
        latency_target_ms: 800,
        timeout_ms: 15_000,
        priority: 0,
        is_resumable: true,
    },
    RequestKind {
        name: "chat",
        rate: 37.1,
        prefix_tokens: 699,
        unique_tokens: 130,
        output_tokens: 290,
        latency_target_ms: 400,
        timeout_ms: 12_000,
        priority: 1,
        is_resumable: false,
    },
    RequestKind {
        name: "hint",
        rate: 46.2,
        prefix_tokens: 2_041,
        unique_tokens: 360,
        output_tokens: 25,
        latency_target_ms: 400,
        timeout_ms: 3_000,
        priority: 2,
        is_resumable: true,
    },
];

/// Index of the request kind affected by [`LoadPattern::Burst`] and [`LoadPattern::HotPart`].
const AFFECTED_KIND: usize = 0;

/// When the incident of a pattern starts, in ms after the start of the simulation.
pub(crate) const INCIDENT_START_MS: u64 = 8_000;

/// When the incident ends, in ms after the start of the simulation.
pub(crate) const INCIDENT_END_MS: u64 = 14_000;

/// The arrival pattern and the incident of a simulation. All arrival rates vary sinusoidally by 15%.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPattern {
    /// No incident.
    Calm,
    /// One request kind arrives at 4 times its usual rate for 6 s.
    Burst,
    /// Half of the requests of one kind use the same prompt prefix for 6 s.
    HotPart,
    /// One workspace gets 8 times its usual weight among the workspaces for 6 s.
    HotWorkspace,
    /// All arrival rates are 1.5 times their usual value for 6 s. Throughout the simulation, half of the callers retry
    /// refused or failed requests immediately and up to 3 times instead of once.
    RetryAbuse,
    /// A quarter of the engines crash and do not come back.
    EnginesLost,
    /// A quarter of the engines are 4 times slower for 6 s.
    EnginesSlow,
    /// A third of the engines are drained one after the other and replaced by new ones.
    EnginesLeaving,
    /// Half of the routers crash, and their callers retry at the others.
    RoutersLost,
    /// All routers but one restart, one after the other.
    RoutersRestarted,
}

impl LoadPattern {
    /// All patterns.
    pub const ALL: [Self; 10] = [
        Self::Calm,
        Self::Burst,
        Self::HotPart,
        Self::HotWorkspace,
        Self::RetryAbuse,
        Self::EnginesLost,
        Self::EnginesSlow,
        Self::EnginesLeaving,
        Self::RoutersLost,
        Self::RoutersRestarted,
    ];

    /// The name on the command line and in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Burst => "burst",
            Self::HotPart => "hot-part",
            Self::HotWorkspace => "hot-workspace",
            Self::RetryAbuse => "retry-abuse",
            Self::EnginesLost => "engines-lost",
            Self::EnginesSlow => "engines-slow",
            Self::EnginesLeaving => "engines-leaving",
            Self::RoutersLost => "routers-lost",
            Self::RoutersRestarted => "routers-restarted",
        }
    }

    /// The factor by which the usual rate of a request kind is multiplied at `now_ms`.
    pub(crate) fn rate_factor(self, kind: usize, now_ms: u64) -> f64 {
        const PERIOD_MS: f64 = 11_000.0;
        const AMPLITUDE: f64 = 0.15;
        let angle = now_ms as f64 / PERIOD_MS * std::f64::consts::TAU;
        let wave = 1.0 + AMPLITUDE * angle.sin();
        match self {
            Self::Burst if kind == AFFECTED_KIND && is_incident_active(now_ms) => 4.0 * wave,
            Self::RetryAbuse if is_incident_active(now_ms) => 1.5 * wave,
            _ => wave,
        }
    }

    /// Whether a request uses the hot prompt prefix. `unit` is a uniform random number in `[0, 1)`.
    pub(crate) fn is_hot_part(self, kind: usize, unit: f64, now_ms: u64) -> bool {
        self == Self::HotPart && kind == AFFECTED_KIND && is_incident_active(now_ms) && unit < 0.5
    }

    /// The factor by which the weight of the first workspace is multiplied.
    pub(crate) fn first_workspace_weight(self, now_ms: u64) -> f64 {
        match self {
            Self::HotWorkspace if is_incident_active(now_ms) => 8.0,
            _ => 1.0,
        }
    }
}

/// Whether `now_ms` is between the start and the end of the incident.
pub(crate) fn is_incident_active(now_ms: u64) -> bool {
    (INCIDENT_START_MS..INCIDENT_END_MS).contains(&now_ms)
}

impl fmt::Display for LoadPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for LoadPattern {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut patterns = Self::ALL.into_iter();
        patterns
            .find(|pattern| pattern.as_str() == text)
            .ok_or_else(|| format!("unknown load pattern {text:?}"))
    }
}
