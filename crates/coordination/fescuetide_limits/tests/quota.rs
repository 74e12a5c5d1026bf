//! Tests of the fixed-window rate limiter and of the token bucket.

use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use fescuetide_limits::FixedWindowLimiter;
use fescuetide_limits::RateBucket;

/// Guards against a flood of one event kind that suppresses other kinds, is not counted, or is limited beyond its
/// window.
#[test]
fn flood_of_one_kind_is_limited_and_counted() {
    let mut limiter = FixedWindowLimiter::new(2, 3, SpanMillis::new(1_000));
    let now = ClockMillis::new(10_000);
    let allowed = (0..10).filter(|_| limiter.try_acquire(0, now)).count();
    assert_eq!(allowed, 3);
    assert!(limiter.try_acquire(1, now));
    assert_eq!(limiter.take_suppressed(), Some(vec![7, 0]));
    assert_eq!(limiter.take_suppressed(), None);
    assert!(limiter.try_acquire(0, now + SpanMillis::new(1_000)));
}

/// Guards against tokens that are taken ahead and that later ones do not make up for.
#[test]
fn later_tokens_make_up_for_those_taken_ahead() {
    let now = ClockMillis::new(10_000);
    let mut bucket = RateBucket::new(2.0, 1.0, now);
    for _ in 0..3 {
        bucket.take_ahead(now);
    }
    assert_eq!(bucket.next_at(now), Some(ClockMillis::new(11_500)));
    assert!(!bucket.try_take(ClockMillis::new(11_400)));
    assert!(bucket.try_take(ClockMillis::new(11_500)));
}
