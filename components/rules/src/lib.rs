//! The operators' rules: a plain text file, one rule a line, each with a comment that names who asked for it.
//!
//! ```text
//! call GET /prices to catalog class customer deadline 800ms idempotent   # Aigerim, cafes
//! call POST /orders to orders class franchisee deadline 3s retries 2     # Daulet, grocers
//! service warehouse retry-ratio 10% queue 50ms                           # Ruslan, operations
//! ```
//!
//! A file is taken whole or not at all: every error found is reported with its line and column.

mod error;
mod line;
mod model;
mod parse;

pub use error::{Errors, Flaw};
pub use model::{CallRule, Class, RuleSet, ServiceRule};
pub use parse::parse;
