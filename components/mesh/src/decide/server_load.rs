//! The load that an upstream reports with its answers.
//!
//! The upstream shares its machine with others, which slow it down for a fraction of a second at a time. Only the
//! service-time factor is used: the guard counts the running and waiting requests itself.

use std::str::FromStr;

use units::ParseError;

/// Longest value of the header; four figures of the largest size have less than half of that.
const MAX_BYTES: usize = 64;
/// Highest count of requests or slots that an upstream can have.
const MAX_COUNT: u32 = 1_000_000;
/// Limits of the service-time factor in hundredths: beyond a hundredth or a hundred times the usual it is an error.
const MIN_FACTOR: f64 = 1.0;
const MAX_FACTOR: f64 = 10_000.0;

const EXPECTED: &str = "running, waiting, slots, and optionally a service-time factor";

/// Load that an upstream reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes at this moment, as a multiple of the usual time.
    pub factor: Option<f64>,
}

impl FromStr for ServerLoad {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text)
            .ok_or_else(|| ParseError::Expected(text.chars().take(MAX_BYTES).collect(), EXPECTED))
    }
}

fn parse(text: &str) -> Option<ServerLoad> {
    if text.len() > MAX_BYTES {
        return None;
    }
    let mut figures = text.split(',').map(|figure| figure.trim_matches([' ', '\t']));
    let load = ServerLoad {
        running: count(figures.next()?)?,
        waiting: count(figures.next()?)?,
        slots: count(figures.next()?)?,
        factor: match figures.next() {
            Some(figure) => Some(factor(figure)?),
            None => None,
        },
    };
    figures.next().is_none().then_some(load)
}

fn count(figure: &str) -> Option<u32> {
    let digits = figure.bytes().all(|byte| byte.is_ascii_digit());
    figure.parse().ok().filter(|count| digits && *count <= MAX_COUNT)
}

fn factor(figure: &str) -> Option<f64> {
    let decimal = figure.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let hundredths: f64 = figure.parse().ok().filter(|_| decimal)?;
    (MIN_FACTOR..=MAX_FACTOR).contains(&hundredths).then_some(hundredths / 100.0)
}
