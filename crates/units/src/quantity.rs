//! Quantities with units.

use std::str::FromStr;
use std::time::Duration;

use derive_more::{Add, Display, From, FromStr, Into, Sub};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A text that is not a valid quantity.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not {expected}")]
pub struct QuantityError {
    /// The rejected text.
    pub text: Box<str>,
    /// Description of valid values.
    pub expected: &'static str,
}

/// Time span or Unix time in milliseconds.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    FromStr,
    Into,
    Add,
    Sub,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Converts to a duration.
    #[must_use]
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Size in bytes.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    FromStr,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Bytes(pub u64);

/// Number of concurrent requests that a backend server runs.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    FromStr,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Slots(pub u16);

/// Relative share of new flows; 100 is the share of a full-size backend server.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    FromStr,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Weight(pub u16);

impl Default for Weight {
    fn default() -> Self {
        Self(100)
    }
}

/// Share in percent, from 0 to 100; fractions are allowed.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Display, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
#[display("{_0}%")]
pub struct Percent(f64);

impl Percent {
    /// Value from 0 to 100.
    #[must_use]
    pub fn value(self) -> f64 {
        self.0
    }

    /// Value as a fraction from 0 to 1.
    #[must_use]
    pub fn fraction(self) -> f64 {
        self.0 / 100.0
    }
}

impl TryFrom<f64> for Percent {
    type Error = QuantityError;

    fn try_from(value: f64) -> Result<Self, QuantityError> {
        if (0.0..=100.0).contains(&value) {
            Ok(Self(value))
        } else {
            Err(QuantityError {
                text: value.to_string().into(),
                expected: "a share from 0 to 100",
            })
        }
    }
}

impl From<Percent> for f64 {
    fn from(percent: Percent) -> Self {
        percent.0
    }
}

impl FromStr for Percent {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        let error = || QuantityError {
            text: text.into(),
            expected: "a share from 0 to 100",
        };
        let value: f64 = text.trim_end_matches('%').parse().map_err(|_| error())?;
        Self::try_from(value)
    }
}
