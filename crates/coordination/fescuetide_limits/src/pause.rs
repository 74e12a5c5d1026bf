//! Pauses that upstreams ask for.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;

/// The longest pause that is kept. Longer ones are cut, so that a wrong value does not exclude an upstream for good.
const MAX_PAUSE: SpanMillis = SpanMillis::new(600_000);

/// The pause of one upstream that turned a request away and wants no more of them for some time.
///
/// ```
/// use fescuetide_base::prelude::*;
/// use fescuetide_limits::prelude::*;
///
/// let now = ClockMillis::new(1_000);
/// let mut pause = RequestPause::default();
/// pause.extend(SpanMillis::new(5_000), now);
/// pause.extend(SpanMillis::new(1_000), now);
/// assert_eq!(pause.end(now), Some(ClockMillis::new(6_000)));
/// assert_eq!(pause.end(ClockMillis::new(6_000)), None);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestPause {
    until: ClockMillis,
}

impl RequestPause {
    /// Records that the upstream wants no requests for `pause`. An earlier pause that ends later stays.
    pub fn extend(&mut self, pause: SpanMillis, now: ClockMillis) {
        self.until = self.until.max(now + pause.min(MAX_PAUSE));
    }

    /// When the upstream accepts requests again, or `None` if it does.
    pub fn end(&self, now: ClockMillis) -> Option<ClockMillis> {
        (now < self.until).then_some(self.until)
    }
}
