//! What a simulated fleet goes through.

/// How an upstream goes down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum DownKind {
    /// Its connections break, and new ones are refused.
    #[default]
    Crashed,
    /// It does not answer any more.
    Dark,
}

/// How the crashing request comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum CrashTraffic {
    /// To one gateway at a time.
    #[default]
    Single,
    /// To all gateways at once.
    Series,
    /// No two alike, with a part of their prompts that crashes upstreams, before or after the one that harmless requests have.
    Part { is_first: bool },
}

impl CrashTraffic {
    /// Number of crashes from which the sends are limited.
    pub(crate) fn crash_limit(self) -> u32 {
        match self {
            Self::Single | Self::Series => 3,
            Self::Part { .. } => 5,
        }
    }

    /// The prompt parts of requests. The last one is their own.
    pub(crate) fn parts(self, is_crashing: bool) -> &'static [u64] {
        match (self, is_crashing) {
            (Self::Single | Self::Series, _) => &[],
            (Self::Part { .. }, false) => &[1, 2, 100],
            (Self::Part { is_first: true }, true) => &[66, 2, 101],
            (Self::Part { is_first: false }, true) => &[1, 66, 101],
        }
    }
}

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetPlan {
    pub(crate) seed: u64,
    pub(crate) gateways: usize,
    pub(crate) upstreams: usize,
    pub(crate) down_kind: DownKind,
    pub(crate) traffic: CrashTraffic,
    /// Whether all upstreams go down together at times.
    pub(crate) has_pool_outages: bool,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            seed: 0,
            gateways: 4,
            upstreams: 12,
            down_kind: DownKind::default(),
            traffic: CrashTraffic::default(),
            has_pool_outages: false,
        }
    }
}
