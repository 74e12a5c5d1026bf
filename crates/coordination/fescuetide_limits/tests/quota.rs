//! Tests of the fixed-window rate limiter.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_limits::WindowQuota;

/// Guards against a flood of one event kind that suppresses other kinds, is not counted, or is limited beyond its
/// window.
#[test]
fn flood_of_one_kind_is_cut_and_counted() {
    let mut quota = WindowQuota::new(2, 3, SpanMillis::new(1_000));
    let now = ClockMillis::new(10_000);
    let passed = (0..10).filter(|_| quota.allows(0, now)).count();
    assert_eq!(passed, 3);
    assert!(quota.allows(1, now));
    assert_eq!(quota.take_left_out(), Some(vec![7, 0]));
    assert_eq!(quota.take_left_out(), None);
    assert!(quota.allows(0, now + SpanMillis::new(1_000)));
}
