//! Text form of `Duration`: a whole number and `us`, `ms`, `s`, `m` or `h`.

use std::time::Duration;

use crate::macros::ParseError;

/// Description of a valid span, for error messages.
pub const EXPECTED: &str = "a span of time such as `800ms`, `2s` or `5m`";

const UNITS: [(&str, u64); 5] =
    [("us", 1), ("ms", 1_000), ("s", 1_000_000), ("m", 60_000_000), ("h", 3_600_000_000)];

/// Parses a span such as `800ms` or `2s`.
pub fn parse(text: &str) -> Result<Duration, ParseError> {
    let invalid = || ParseError::Expected(text.to_owned(), EXPECTED);
    let split = text.find(|c: char| !c.is_ascii_digit()).ok_or_else(invalid)?;
    let (digits, name) = text.split_at(split);
    let (_, micros) = UNITS.into_iter().find(|(unit, _)| *unit == name).ok_or_else(invalid)?;
    let count: u64 = digits.parse().map_err(|_| invalid())?;
    count.checked_mul(micros).map(Duration::from_micros).ok_or_else(invalid)
}

/// Formats a span as a whole number of the largest possible unit.
pub fn format(span: Duration) -> String {
    let total = span.as_micros() as u64;
    let divides = |micros: u64| total >= micros && total.is_multiple_of(micros);
    let (name, micros) =
        UNITS.into_iter().rev().find(|(_, micros)| divides(*micros)).unwrap_or(("us", 1));
    format!("{}{name}", total / micros)
}

/// Serializes a span as text.
pub fn serialize<S: serde::Serializer>(span: &Duration, out: S) -> Result<S::Ok, S::Error> {
    out.serialize_str(&format(*span))
}

/// Deserializes a span from text.
pub fn deserialize<'de, D: serde::Deserializer<'de>>(input: D) -> Result<Duration, D::Error> {
    let text = <String as serde::Deserialize>::deserialize(input)?;
    parse(&text).map_err(serde::de::Error::custom)
}
