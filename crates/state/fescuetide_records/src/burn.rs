//! Request counts per class over several time windows.

use std::collections::VecDeque;
use std::fmt;

use fescuetide_base::ClassName;
use fescuetide_base::ClockMillis;
use fescuetide_base::SpanMillis;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// Length of a bucket.
const BUCKET_MS: u64 = 60_000;

/// Maximum number of classes with counts. Requests of further classes are not counted.
const CLASS_LIMIT: usize = 1_000;

/// Time window of the burn report.
///
/// Pairing a long window with a short one distinguishes an ongoing burn from one that has ended (Beyer et al., "The
/// Site Reliability Workbook", chapter 5, 2018).
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

    /// Returns the length of the window.
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

/// Request counts by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BurnCount {
    /// All requests.
    pub total: u64,
    /// Requests whose first part missed the lateness target.
    pub late: u64,
    /// Accepted requests that ended without a complete response.
    pub lost: u64,
    /// Requests that may have run more than once.
    pub duplicated: u64,
    /// Refused requests.
    pub refused: u64,
}

impl BurnCount {
    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &BurnCount) {
        self.total += other.total;
        self.late += other.late;
        self.lost += other.lost;
        self.duplicated += other.duplicated;
        self.refused += other.refused;
    }

    /// Returns the number of accepted requests.
    pub fn accepted(&self) -> u64 {
        self.total.saturating_sub(self.refused)
    }
}

#[derive(Clone, Copy, Debug)]
struct MinuteBucket {
    minute: u64,
    count: BurnCount,
}

/// Request counts per class in buckets of one minute, retained for the longest window.
#[derive(Clone, Debug, Default)]
pub struct BurnLedger {
    classes: IndexMap<ClassName, VecDeque<MinuteBucket>>,
}

impl BurnLedger {
    /// Adds counts for a class at `now`.
    pub fn note(&mut self, class: &ClassName, count: BurnCount, now: ClockMillis) {
        if self.classes.len() >= CLASS_LIMIT && !self.classes.contains_key(class) {
            return;
        }
        let buckets = self.classes.entry(class.clone()).or_default();
        let minute = now.as_millis() / BUCKET_MS;
        match buckets.back_mut() {
            Some(bucket) if bucket.minute >= minute => bucket.count.merge(&count),
            _ => buckets.push_back(MinuteBucket { minute, count }),
        }
        let oldest = oldest_minute(BurnWindow::SixHours, minute);
        while buckets.front().is_some_and(|bucket| bucket.minute < oldest) {
            buckets.pop_front();
        }
    }

    /// Returns the counts of a class over each window of [`BurnWindow::ALL`].
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

    /// Iterates over the classes that have counts.
    pub fn classes(&self) -> impl Iterator<Item = &ClassName> {
        self.classes.keys()
    }
}

/// Returns the first minute of a window that ends in `minute`.
fn oldest_minute(window: BurnWindow, minute: u64) -> u64 {
    (minute + 1).saturating_sub(window.span().as_millis() / BUCKET_MS)
}
