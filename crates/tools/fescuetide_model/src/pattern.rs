//! Arrival patterns and what happens to engines and routers meanwhile.

use std::fmt;
use std::str::FromStr;

/// A kind of request. The figures are those of the two deployments' sheets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestKind {
    /// Its name.
    pub name: &'static str,
    /// Requests per second.
    pub rate: f64,
    /// Tokens of the shared part of its prompt.
    pub prefix_tokens: u32,
    /// Tokens of its own.
    pub unique_tokens: u32,
    /// Tokens that it generates.
    pub output_tokens: u32,
    /// The latency target for its first event, in ms.
    pub latency_target_ms: u64,
    /// How long its caller waits, in ms.
    pub timeout_ms: u64,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether its stream can go on at another engine.
    pub is_resumable: bool,
}

/// The kinds of streams of both deployments.
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

/// The kind that bursts and that callers repeat.
const AFFECTED_KIND: usize = 0;

/// When something happens, in ms from the start.
pub(crate) const INCIDENT_START_MS: u64 = 8_000;

/// When it is over.
pub(crate) const INCIDENT_END_MS: u64 = 14_000;

/// What happens in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadPattern {
    /// A wave around the usual rate.
    Calm,
    /// One kind comes at 4 times its rate for 6 s.
    Burst,
    /// Half of all requests of a kind share one part.
    HotPart,
    /// One workspace sends 8 times its usual.
    HotWorkspace,
    /// Half of the callers of refused or failed requests repeat them 2 more times at once.
    RetryAbuse,
    /// A quarter of the engines are lost.
    EnginesLost,
    /// A quarter of the engines work 4 times as long.
    EnginesSlow,
    /// A third of the engines leave one after the other, and new ones join.
    EnginesLeaving,
    /// Half of the routers are lost, and their callers come to the others.
    RoutersLost,
    /// All routers but one stop one after the other and start anew.
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

    /// Its name.
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

    /// The rate of a kind at a time, as a multiple of its usual rate.
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

    /// Whether a request of a kind goes to the one hot part now.
    pub(crate) fn is_hot_part(self, kind: usize, unit: f64, now_ms: u64) -> bool {
        self == Self::HotPart && kind == AFFECTED_KIND && is_incident_active(now_ms) && unit < 0.5
    }

    /// How much more often the first workspace sends.
    pub(crate) fn first_workspace_weight(self, now_ms: u64) -> f64 {
        match self {
            Self::HotWorkspace if is_incident_active(now_ms) => 8.0,
            _ => 1.0,
        }
    }
}

/// Whether the time of the event has come.
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
            .ok_or_else(|| format!("{text:?} is not a load pattern"))
    }
}
