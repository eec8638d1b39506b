//! Errors in a rules file, with their positions.

use std::fmt;

units::record! {
    /// One error in a rules file.
    pub struct Diagnostic {
        /// Line, counted from 1.
        pub line: usize,
        /// Column, counted from 1.
        pub column: usize,
        /// The invalid token.
        pub token: String,
        /// What is wrong with the token.
        pub message: String,
        /// The known word closest to the token, if one is close enough.
        pub suggestion: Option<String>,
    }

    /// All errors in one file.
    pub struct Errors(pub Vec<Diagnostic>);
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}:{}: `{}`: {}", self.line, self.column, self.token, self.message)?;
        match &self.suggestion {
            Some(suggestion) => write!(out, " (did you mean `{suggestion}`?)"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for Errors {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Diagnostic::to_string).collect();
        out.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Errors {}
