//! Rates of requests.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;

/// Unit of a [`RequestRate`]: requests in so many seconds.
const UNIT_SECONDS: f64 = 1_000.0;

/// A rate of requests, with a resolution of one request in 1000 s.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Creates a rate from its number of requests in 1000 s.
    pub const fn per_1000_s(requests: u32) -> Self {
        Self(requests)
    }

    /// Creates a rate from a number of requests per second. Numbers out of range become the end of the range, and NaN
    /// becomes zero.
    pub fn per_second(requests: f64) -> Self {
        Self((requests * UNIT_SECONDS).round() as u32)
    }

    /// Returns the number of requests in 1000 s.
    pub const fn as_per_1000_s(self) -> u32 {
        self.0
    }

    /// Returns the number of requests per second.
    pub fn as_per_second(self) -> f64 {
        f64::from(self.0) / UNIT_SECONDS
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.as_per_second().fmt(f)
    }
}

/// The reason why a string is not a rate.
#[derive(Clone, Debug, PartialEq)]
pub enum RateParseError {
    /// The string is not a number.
    NotANumber(ParseFloatError),
    /// The number is negative or not finite.
    OutOfRange(f64),
}

impl fmt::Display for RateParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotANumber(error) => error.fmt(f),
            Self::OutOfRange(number) => write!(f, "{number} is not a rate of requests"),
        }
    }
}

impl std::error::Error for RateParseError {}

impl FromStr for RequestRate {
    type Err = RateParseError;

    /// Parses a decimal number of requests per second.
    fn from_str(text: &str) -> Result<Self, RateParseError> {
        let number: f64 = text.trim().parse().map_err(RateParseError::NotANumber)?;
        if !number.is_finite() || number < 0.0 {
            return Err(RateParseError::OutOfRange(number));
        }
        Ok(Self::per_second(number))
    }
}
