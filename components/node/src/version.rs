//! State of one version of the configuration.

use std::sync::Arc;

use rules::RuleSet;
use units::{Author, Version};

/// A configuration in force.
#[derive(Debug)]
pub struct Active {
    /// Version; 0 for rules from the settings.
    pub version: Version,
    /// Publisher; none for rules from the settings.
    pub author: Option<Author>,
    /// Source text of the rules.
    pub text: Arc<str>,
    /// Parsed rules.
    pub rules: RuleSet,
}

impl Active {
    /// Parses the rules of a version.
    pub fn new(
        version: Version,
        author: Option<Author>,
        text: Arc<str>,
    ) -> Result<Self, rules::Errors> {
        let rules = rules::parse(&text)?;
        Ok(Self { version, author, text, rules })
    }
}
