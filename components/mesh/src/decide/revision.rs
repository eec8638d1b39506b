//! Which of two documents of the configuration is in force.
//!
//! Versions order documents, but a store that was restored from an older copy may give a lost version out again with other
//! contents. A document of one version is therefore known by its contents and by where the store has it: in the later epoch
//! of the store, or, within one epoch, at the lower offset, as a version is written once there.
//!
//! A copy of the store may also bring back a document that was replaced in that way. It is at the same offset as before,
//! whereas one that was written again is not. So nodes remember what they replaced, and tell each other.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use units::ParseError;

use crate::configuration::Digest;
use crate::platform::StoreEpoch;

units::value! {
    /// Where the store has a document.
    #[derive(Default, Serialize, Deserialize)]
    pub struct Origin {
        /// Epoch of the store in which it was read last.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub epoch: Option<StoreEpoch>,
        /// Offset of its record.
        pub offset: u64,
    }

    /// A document of the configuration.
    #[derive(Serialize, Deserialize)]
    pub struct Revision {
        /// Version that it bears.
        pub version: u64,
        /// Digest of its contents.
        pub digest: Digest,
        /// Where the store has it.
        pub origin: Origin,
    }
}

impl Revision {
    /// Whether both are one record of the store, or a copy of it.
    pub fn is_copy_of(&self, other: &Self) -> bool {
        (self.version, self.digest, self.origin.offset)
            == (other.version, other.digest, other.origin.offset)
    }

    /// Whether this document replaces `active`. This node has replaced the documents in `replaced`, and the sender of this
    /// one those in `told`.
    pub fn replaces(&self, active: &Self, replaced: &[Self], told: &[Self]) -> bool {
        if self.version != active.version || self.digest == active.digest {
            return self.version > active.version;
        }
        let is_old = replaced.iter().any(|old| self.is_copy_of(old));
        let active_is_old = told.iter().any(|old| active.is_copy_of(old));
        if is_old != active_is_old {
            return active_is_old;
        }
        let (own, other) = (self.origin, active.origin);
        own.epoch > other.epoch || own.epoch == other.epoch && own.offset < other.offset
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { version, digest, origin: Origin { epoch, offset } } = self;
        write!(out, "{version};{digest};{offset};")?;
        epoch.map_or(Ok(()), |epoch| epoch.fmt(out))
    }
}

impl FromStr for Revision {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse(text).ok_or_else(|| ParseError::Expected(text.to_owned(), "a revision"))
    }
}

fn parse(text: &str) -> Option<Revision> {
    let mut parts = text.split(';');
    let (version, digest) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    let offset = parts.next()?.parse().ok()?;
    let epoch = match parts.next()? {
        "" => None,
        epoch => Some(epoch.parse().ok()?),
    };
    let origin = Origin { epoch, offset };
    parts.next().is_none().then_some(Revision { version, digest, origin })
}
