//! What lives for one version of the configuration.

use std::sync::Arc;

use rules::RuleSet;
use units::{Author, Version};

/// A configuration in force.
#[derive(Debug)]
pub struct Active {
    /// Its version; 0 for rules from the settings.
    pub version: Version,
    /// Who published it.
    pub author: Option<Author>,
    /// Text of the rules.
    pub text: Arc<str>,
    /// The rules themselves.
    pub rules: RuleSet,
}

impl Active {
    /// Reads the rules of a version.
    pub fn new(
        version: Version,
        author: Option<Author>,
        text: Arc<str>,
    ) -> Result<Self, rules::Errors> {
        let rules = rules::parse(&text)?;
        Ok(Self { version, author, text, rules })
    }
}
