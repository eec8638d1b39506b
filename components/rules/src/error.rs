//! What is wrong with a rules file, and where.

use std::fmt;

units::record! {
    /// One mistake in a rules file.
    pub struct Flaw {
        /// Line, from 1.
        pub line: usize,
        /// Column, from 1.
        pub column: usize,
        /// The token at fault.
        pub token: String,
        /// What is wrong with it.
        pub what: String,
        /// What to write instead, where something close is known.
        pub hint: Option<String>,
    }

    /// Every mistake of one file.
    pub struct Errors(pub Vec<Flaw>);
}

impl fmt::Display for Flaw {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}:{}: `{}`: {}", self.line, self.column, self.token, self.what)?;
        match &self.hint {
            Some(hint) => write!(out, " (did you mean `{hint}`?)"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for Errors {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Flaw::to_string).collect();
        out.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Errors {}
