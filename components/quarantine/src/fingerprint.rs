//! Fingerprints that identify resent requests.

use std::fmt;
use std::str;

use units::ParseError;
use xxhash_rust::xxh3::Xxh3;

units::value! {
    #[derive(Default)]
    /// Hash of the parts that a resent request shares with the first.
    pub struct Fingerprint(pub u64);
}

impl Fingerprint {
    /// Fingerprint of a request with an idempotency key.
    pub fn of_key(key: &[u8]) -> Self {
        Self::hash(&[b"key", key])
    }

    /// Fingerprint of a request without an idempotency key.
    pub fn of_request(method: &str, path: &str, body: &[u8]) -> Self {
        Self::hash(&[method.as_bytes(), path.as_bytes(), body])
    }

    /// The same for a body of `length` bytes in blocks.
    pub fn of_blocks<'a>(
        method: &str,
        path: &str,
        length: usize,
        blocks: impl Iterator<Item = &'a [u8]>,
    ) -> Self {
        let mut hasher = Self::hasher(&[method.as_bytes(), path.as_bytes()]);
        hasher.update(&(length as u64).to_le_bytes());
        for block in blocks {
            hasher.update(block);
        }
        Self(hasher.digest())
    }

    fn hash(parts: &[&[u8]]) -> Self {
        Self(Self::hasher(parts).digest())
    }

    fn hasher(parts: &[&[u8]]) -> Xxh3 {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}", self.0)
    }
}

impl str::FromStr for Fingerprint {
    type Err = ParseError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error =
            |_| ParseError::Expected(text.to_owned(), "a hexadecimal number of up to 16 digits");
        u64::from_str_radix(text, 16).map(Self).map_err(error)
    }
}
