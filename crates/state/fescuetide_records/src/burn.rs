//! Counts per class over several windows.

use std::collections::VecDeque;
use std::fmt;

use fescuetide_base::ClassName;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// Length of one bucket.
const BUCKET_MS: u64 = 60_000;

/// Most classes that are counted; further ones are not.
const CLASS_LIMIT: usize = 1_000;

/// A window of the burn report.
///
/// Pairs of a long and a short window tell a lasting burn from one that has ended (Beyer and others, "The Site
/// Reliability Workbook", chapter 5, 2018).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BurnWindow {
    /// 5 minutes.
    FiveMinutes,
    /// 30 minutes.
    ThirtyMinutes,
    /// 1 hour.
    OneHour,
    /// 6 hours.
    SixHours,
}

impl BurnWindow {
    /// All windows, shortest first.
    pub const ALL: [Self; 4] = [
        Self::FiveMinutes,
        Self::ThirtyMinutes,
        Self::OneHour,
        Self::SixHours,
    ];

    /// The length of the window.
    pub const fn span(self) -> SpanMillis {
        SpanMillis::new(match self {
            Self::FiveMinutes => 5 * 60_000,
            Self::ThirtyMinutes => 30 * 60_000,
            Self::OneHour => 60 * 60_000,
            Self::SixHours => 6 * 60 * 60_000,
        })
    }
}

impl fmt::Display for BurnWindow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::FiveMinutes => "5m",
            Self::ThirtyMinutes => "30m",
            Self::OneHour => "1h",
            Self::SixHours => "6h",
        })
    }
}

/// Counts of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnCount {
    /// All requests.
    pub total: u64,
    /// Requests whose first part was later than the lateness target.
    pub late: u64,
    /// Accepted requests that ended without a complete response.
    pub lost: u64,
    /// Requests that may have run more than once.
    pub duplicated: u64,
    /// Requests that were refused.
    pub refused: u64,
}

impl BurnCount {
    /// Adds other counts.
    pub fn merge(&mut self, other: &BurnCount) {
        self.total += other.total;
        self.late += other.late;
        self.lost += other.lost;
        self.duplicated += other.duplicated;
        self.refused += other.refused;
    }

    /// Requests that were accepted.
    pub fn accepted(&self) -> u64 {
        self.total.saturating_sub(self.refused)
    }
}

#[derive(Clone, Copy, Debug)]
struct TimedBucket {
    minute: u64,
    count: BurnCount,
}

/// Counts per class in buckets of a minute, for the longest window.
#[derive(Clone, Debug, Default)]
pub struct BurnLedger {
    classes: IndexMap<ClassName, VecDeque<TimedBucket>>,
}

impl BurnLedger {
    /// Adds counts of a class at `now`.
    pub fn note(&mut self, class: &ClassName, count: BurnCount, now: ClockMillis) {
        if self.classes.len() >= CLASS_LIMIT && !self.classes.contains_key(class) {
            return;
        }
        let buckets = self.classes.entry(class.clone()).or_default();
        let minute = now.as_millis() / BUCKET_MS;
        match buckets.back_mut() {
            Some(bucket) if bucket.minute >= minute => bucket.count.merge(&count),
            _ => buckets.push_back(TimedBucket { minute, count }),
        }
        let oldest = oldest_minute(BurnWindow::SixHours, minute);
        while buckets.front().is_some_and(|bucket| bucket.minute < oldest) {
            buckets.pop_front();
        }
    }

    /// The counts of a class over all windows of [`BurnWindow::ALL`].
    pub fn windows(&self, class: &ClassName, now: ClockMillis) -> [BurnCount; 4] {
        let mut counts = [BurnCount::default(); 4];
        let Some(buckets) = self.classes.get(class) else {
            return counts;
        };
        let minute = now.as_millis() / BUCKET_MS;
        for (window, count) in BurnWindow::ALL.into_iter().zip(&mut counts) {
            let oldest = oldest_minute(window, minute);
            for bucket in buckets {
                if bucket.minute >= oldest {
                    count.merge(&bucket.count);
                }
            }
        }
        counts
    }

    /// The classes that have counts.
    pub fn classes(&self) -> impl Iterator<Item = &ClassName> {
        self.classes.keys()
    }
}

/// The first minute of a window that ends in `minute`.
fn oldest_minute(window: BurnWindow, minute: u64) -> u64 {
    (minute + 1).saturating_sub(window.span().as_millis() / BUCKET_MS)
}
