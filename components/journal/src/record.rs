//! Records of the configuration stream.

use std::fmt;
use std::sync::Arc;

use units::{Author, Offset, Version};

units::wire! {
    /// Id of one publish, chosen by its author's program.
    #[derive(Eq, Hash)]
    #[serde(transparent)]
    pub struct ChangeId(pub String);

    /// A configuration that was accepted.
    pub struct Published {
        /// Its version: one more than the offset of its record.
        pub version: Version,
        /// Id of the publish.
        pub id: ChangeId,
        /// Who published it.
        pub author: Author,
        /// Text of the rules.
        pub text: Arc<str>,
    }

    /// What became of a publish.
    #[serde(rename_all = "kebab-case")]
    pub enum Outcome {
        /// It is a version.
        Accepted(Version),
        /// Its base was not the version then in force, which is given.
        Conflict(Version),
    }

    /// State of the fold behind some record.
    pub struct Snapshot {
        /// Offset of the first record that is not in it.
        pub next: Offset,
        /// The configuration, once there is one.
        pub current: Option<Published>,
        /// The last outcomes, the latest at the end.
        pub outcomes: Vec<(ChangeId, Outcome)>,
    }

    /// A record of the stream.
    #[serde(tag = "kind", rename_all = "kebab-case")]
    pub enum Record {
        /// A wish to change the configuration.
        Publish {
            /// Id of the publish.
            id: ChangeId,
            /// Version that the author started from.
            base: Version,
            /// Who publishes.
            author: Author,
            /// Text of the rules.
            text: Arc<str>,
        },
        /// The state so far, so that older records may go.
        Snapshot(Snapshot),
        /// A failure domain has a version in force.
        Applied {
            /// The version.
            version: Version,
            /// The failure domain.
            domain: units::DomainName,
            /// Milliseconds since the epoch.
            at: u64,
        },
    }
}

impl fmt::Display for ChangeId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.0)
    }
}
