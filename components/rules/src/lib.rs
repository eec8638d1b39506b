//! The operators' rules: a plain text file, one rule per line, each with a comment that names who requested it.
//!
//! ```text
//! call GET /prices to catalog class customer deadline 800ms idempotent   # Aigerim, cafes
//! call POST /orders to orders class franchisee deadline 3s retries 2     # Daulet, grocers
//! service warehouse retry-ratio 10% queue 50ms                           # Ruslan, operations
//! ```
//!
//! A file is accepted as a whole or not at all; every error is reported with its line and column.

mod error;
mod line;
mod model;
mod parse;

pub use error::{Diagnostic, Errors};
pub use model::{CallRule, Class, RuleSet, ServiceRule};
pub use parse::parse;
