//! Sizes in bytes and rates per second.

use std::fmt;
use std::str;

use crate::macros::ParseError;

const SIZE_EXPECTED: &str = "a size such as `512B`, `64KiB` or `8MiB`";
const RATE_EXPECTED: &str = "a rate per second such as `250` or `0.5`";
const SIZE_UNITS: [(&str, u64); 4] =
    [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

crate::value! {
    /// A number of bytes.
    pub struct ByteSize(pub u64);
}

impl fmt::Display for ByteSize {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides = |unit: u64| self.0 >= unit && self.0.is_multiple_of(unit);
        let (name, unit) =
            SIZE_UNITS.into_iter().find(|(_, unit)| divides(*unit)).unwrap_or(("B", 1));
        write!(out, "{}{name}", self.0 / unit)
    }
}

impl str::FromStr for ByteSize {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseError::Expected(text.to_owned(), SIZE_EXPECTED);
        let (name, unit) =
            SIZE_UNITS.into_iter().find(|(name, _)| text.ends_with(name)).ok_or_else(invalid)?;
        let count: u64 = text[..text.len() - name.len()].parse().map_err(|_| invalid())?;
        count.checked_mul(unit).map(Self).ok_or_else(invalid)
    }
}

crate::text_serde!(ByteSize, SIZE_EXPECTED);

/// Events per second.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

impl fmt::Display for Rate {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}", self.0)
    }
}

impl str::FromStr for Rate {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || ParseError::Expected(text.to_owned(), RATE_EXPECTED);
        let rate: f64 = text.parse().map_err(|_| invalid())?;
        if rate.is_finite() && rate >= 0.0 { Ok(Self(rate)) } else { Err(invalid()) }
    }
}
