//! Wall-clock timestamps and durations with millisecond resolution.

use std::fmt;
use std::num::ParseIntError;
use std::ops::Add;
use std::str::FromStr;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;
use serde::Deserialize;
use serde::Serialize;

/// A timestamp in milliseconds since the Unix epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ClockMillis(u64);

impl ClockMillis {
    /// Creates a timestamp from milliseconds since the Unix epoch.
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the current time.
    ///
    /// The wall clock is read once per process and advanced by the boot clock (`CLOCK_BOOTTIME`). Values therefore
    /// never decrease while the process runs, and they include time during which the VM is suspended.
    pub fn now() -> Self {
        static START: OnceLock<(u64, u64)> = OnceLock::new();
        let boot = read_boot_clock();
        let (start_boot, start_wall) = START.get_or_init(|| {
            let wall = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            (boot, wall.as_millis() as u64)
        });
        Self(start_wall + boot.saturating_sub(*start_boot))
    }

    /// Returns the number of milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> SpanMillis {
        SpanMillis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<SpanMillis> for ClockMillis {
    type Output = Self;

    fn add(self, span: SpanMillis) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl fmt::Display for ClockMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ClockMillis {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// Returns the milliseconds since the VM booted, including time spent suspended.
fn read_boot_clock() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// A duration in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SpanMillis(u64);

impl SpanMillis {
    /// Creates a duration from milliseconds.
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the duration in milliseconds.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Parses the value of a `Retry-After` header that has seconds, which may have a fraction. Returns `None` for dates,
    /// negative numbers and anything else.
    ///
    /// ```
    /// use fescuetide_base::SpanMillis;
    ///
    /// assert_eq!(SpanMillis::from_retry_after(" 2.5 "), Some(SpanMillis::new(2_500)));
    /// assert_eq!(SpanMillis::from_retry_after("-1"), None);
    /// ```
    pub fn from_retry_after(text: &str) -> Option<Self> {
        let seconds: f64 = text.trim().parse().ok()?;
        let is_valid = seconds.is_finite() && seconds >= 0.0;
        is_valid.then(|| Self((seconds * 1_000.0).ceil() as u64))
    }

    /// Returns the duration in whole seconds, rounded up, as the `Retry-After` header requires.
    pub const fn as_secs_ceil(self) -> u64 {
        self.0.div_ceil(1_000)
    }
}

impl Add<SpanMillis> for SpanMillis {
    type Output = Self;

    fn add(self, span: SpanMillis) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl From<SpanMillis> for Duration {
    fn from(span: SpanMillis) -> Self {
        Duration::from_millis(span.0)
    }
}

impl fmt::Display for SpanMillis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for SpanMillis {
    type Err = ParseIntError;

    /// Parses `250` or `250ms`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim_end_matches("ms").parse().map(Self)
    }
}
