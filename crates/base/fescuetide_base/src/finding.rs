//! Validation errors that are collected with their location and reported together.

use std::error::Error;
use std::fmt;
use std::ops::RangeInclusive;

/// A validation error and its location in the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InputFinding {
    /// The location of the error, for example `line 3, key "pool"` or `header fescuetide-class`.
    pub place: String,
    /// A description of the error.
    pub message: String,
}

impl fmt::Display for InputFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// The validation errors found in one input.
///
/// ```
/// use fescuetide_base::FindingList;
///
/// let mut list = FindingList::default();
/// list.add("line 1", "unknown key");
/// assert!(list.into_result(()).is_err());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FindingList {
    findings: Vec<InputFinding>,
}

impl FindingList {
    /// Adds a finding.
    pub fn add(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.findings.push(InputFinding {
            place: place.into(),
            message: message.into(),
        });
    }

    /// Adds a finding if `value` is outside `range`.
    pub fn check_range<T: PartialOrd + fmt::Display>(
        &mut self,
        place: &str,
        value: T,
        range: RangeInclusive<T>,
    ) {
        if !range.contains(&value) {
            self.add(
                place,
                format!(
                    "{value} is not between {} and {}",
                    range.start(),
                    range.end()
                ),
            );
        }
    }

    /// Adds a finding if `url` is not the base URL of an HTTP service: `http://`, a host and an optional port, without
    /// a path, query or fragment.
    pub fn check_url(&mut self, place: &str, url: &str) {
        let host = url.strip_prefix("http://").unwrap_or_default();
        if host.is_empty() || host.contains(['/', ' ', '?', '#']) {
            self.add(
                place,
                format!("{url:?} is not a base URL such as \"http://10.0.0.9:7000\""),
            );
        }
    }

    /// Appends all findings of `other`.
    pub fn extend(&mut self, other: FindingList) {
        self.findings.extend(other.findings);
    }

    /// Returns `true` if the list has no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Iterates over the findings in insertion order.
    pub fn iter(&self) -> std::slice::Iter<'_, InputFinding> {
        self.findings.iter()
    }

    /// Returns `value` if the list is empty, and the list as the error otherwise.
    pub fn into_result<T>(self, value: T) -> Result<T, FindingList> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl Error for FindingList {}
