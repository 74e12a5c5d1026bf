//! Rate limits that upstreams name in their responses.

use fescuetide_base::ClockMillis;
use fescuetide_base::ProcessIncarnation;
use fescuetide_base::RequestRate;
use fescuetide_base::SpanMillis;
use fescuetide_base::VmName;
use indexmap::IndexMap;

/// For how long after a response that names a limit, responses that name none do not end it. They may have been written before.
const LIMIT_HOLD: SpanMillis = SpanMillis::new(1_000);

/// How long a limit counts that no response has named or ended.
const LIMIT_RETENTION: SpanMillis = SpanMillis::new(600_000);

/// What a response changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitChange {
    /// A limit is named where there was none.
    Named(RequestRate),
    /// There is no limit any more.
    Ended,
}

/// The limit of one incarnation of an upstream.
#[derive(Clone, Copy, Debug)]
struct UpstreamLimit {
    incarnation: ProcessIncarnation,
    rate: RequestRate,
    /// When a response last named it.
    named_at: ClockMillis,
}

/// The rate limits of all upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateLimitTable {
    limits: IndexMap<VmName, UpstreamLimit>,
}

impl RateLimitTable {
    /// Records what a response of an upstream says about its rate limit, `None` if it names none. Returns what changes. A
    /// response of an earlier incarnation is ignored.
    pub(crate) fn note(
        &mut self,
        vm: &VmName,
        incarnation: ProcessIncarnation,
        rate: Option<RequestRate>,
        now: ClockMillis,
    ) -> Option<LimitChange> {
        self.limits
            .retain(|_, limit| now.since(limit.named_at) < LIMIT_RETENTION);
        let known = self.limits.get(vm).copied();
        if known.is_some_and(|known| incarnation < known.incarnation) {
            return None;
        }
        let known = known.filter(|known| known.incarnation == incarnation);
        let Some(rate) = rate else {
            let is_over = known.is_some_and(|known| now.since(known.named_at) >= LIMIT_HOLD);
            if !is_over {
                return None;
            }
            self.limits.swap_remove(vm);
            return Some(LimitChange::Ended);
        };
        let limit = UpstreamLimit {
            incarnation,
            rate,
            named_at: now,
        };
        self.limits.insert(vm.clone(), limit);
        known.is_none().then_some(LimitChange::Named(rate))
    }

    /// The limit of an incarnation of an upstream, if it has named one.
    pub(crate) fn limit_of(
        &self,
        vm: &VmName,
        incarnation: ProcessIncarnation,
    ) -> Option<RequestRate> {
        let limit = self.limits.get(vm)?;
        (limit.incarnation == incarnation).then_some(limit.rate)
    }
}
