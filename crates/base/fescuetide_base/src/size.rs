//! Newtypes for sizes, counts and ratios.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::number_type;

number_type! {
    /// A size in bytes.
    ByteCount, u64
}
number_type! {
    /// A number of model tokens.
    TokenCount, u64
}
number_type! {
    /// The load of an upstream: the number of its queued and running requests.
    LoadCount, u32
}

/// A ratio from 0 to 1, such as the share of requests that a service-level objective allows to be late, lost or
/// duplicated.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct TargetShare(f64);

/// The error returned for a share that is not between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareError(f64);

impl fmt::Display for ShareError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is not between 0 and 1", self.0)
    }
}

impl std::error::Error for ShareError {}

impl TargetShare {
    /// Creates a share.
    ///
    /// # Errors
    ///
    /// Returns an error if `share` is NaN or not between 0 and 1.
    pub fn new(share: f64) -> Result<Self, ShareError> {
        if (0.0..=1.0).contains(&share) {
            Ok(Self(share))
        } else {
            Err(ShareError(share))
        }
    }

    /// Returns the share as a number from 0 to 1.
    pub const fn get(self) -> f64 {
        self.0
    }

    /// Returns `true` if the share is zero.
    pub fn is_zero(self) -> bool {
        self.0 == 0.0
    }
}

impl TryFrom<f64> for TargetShare {
    type Error = ShareError;

    fn try_from(share: f64) -> Result<Self, ShareError> {
        Self::new(share)
    }
}

impl From<TargetShare> for f64 {
    fn from(share: TargetShare) -> f64 {
        share.0
    }
}

impl fmt::Display for TargetShare {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The reason why a string is not a valid share.
#[derive(Clone, Debug, PartialEq)]
pub enum ShareParseError {
    /// The string is not a number.
    NotANumber(ParseFloatError),
    /// The number is not between 0 and 1.
    OutOfRange(ShareError),
}

impl fmt::Display for ShareParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotANumber(error) => error.fmt(f),
            Self::OutOfRange(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ShareParseError {}

impl FromStr for TargetShare {
    type Err = ShareParseError;

    fn from_str(text: &str) -> Result<Self, ShareParseError> {
        let share = text.parse().map_err(ShareParseError::NotANumber)?;
        Self::new(share).map_err(ShareParseError::OutOfRange)
    }
}
