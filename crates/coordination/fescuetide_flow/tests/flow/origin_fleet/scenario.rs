//! What happens in a run of the simulation.

use fescuetide_base::SpanMillis;

/// What happens in a run, with times since its start in ms.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    pub(super) gateways: usize,
    pub(super) length: SpanMillis,
    /// From when on streams begin.
    pub(super) streams_from: u64,
    /// When upstreams of another version join, and when those of the first leave, if they do.
    pub(super) releases: &'static [u64],
    pub(super) old_leaves: Option<u64>,
    /// When upstreams of the first version join again.
    pub(super) old_returns: Option<u64>,
    /// When all gateways are killed.
    pub(super) all_killed: &'static [u64],
    /// When two in five are killed.
    pub(super) some_killed: &'static [u64],
    /// Two gateways that are killed, and when.
    pub(super) killed_in_turn: Option<[(usize, u64); 2]>,
    /// When the log is away.
    pub(super) log_away: Option<(u64, u64)>,
    /// When the log turns every second gateway away.
    pub(super) log_turns_away: Option<(u64, u64)>,
}

impl Scenario {
    /// A run of 14 s in which streams begin and nothing happens.
    pub(super) const QUIET: Self = Self {
        gateways: 0,
        length: SpanMillis::new(14_000),
        streams_from: 0,
        releases: &[],
        old_leaves: None,
        old_returns: None,
        all_killed: &[],
        some_killed: &[],
        killed_in_turn: None,
        log_away: None,
        log_turns_away: None,
    };
}
