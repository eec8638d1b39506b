//! Whether a request may have run, and the error that a caller gets instead of a complete response.
//!
//! `NotRun` is only reported where it is certain: by a node before any byte was passed to the upstream, or by the
//! upstream itself. Where it is unknown, the verdict is `MayHaveRun`.

mod reason;
mod refusal;

pub use reason::Reason;
pub use refusal::Refusal;

use std::fmt;
use std::str;

units::value! {
    /// Whether the request may have run, from the most to the least safe to retry.
    #[derive(serde::Serialize, serde::Deserialize)]
    #[serde(rename_all = "kebab-case")]
    pub enum Verdict {
        /// It did not run and never will.
        NotRun,
        /// It is unknown whether it ran.
        MayHaveRun,
        /// It ran.
        Ran,
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        })
    }
}

impl str::FromStr for Verdict {
    type Err = units::ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            "ran" => Ok(Self::Ran),
            _ => Err(units::ParseError::Expected(
                text.to_owned(),
                "`not-run`, `may-have-run` or `ran`",
            )),
        }
    }
}
