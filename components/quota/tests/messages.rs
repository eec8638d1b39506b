//! Messages between nodes: guards against ones that are not read as they were written, or that grow unnoticed.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

use std::time::Duration;

use quota::Moment;
use quota::message::{GrantEnd, Notice, Renewal, Silent, Stamp, TokenRequest, TokenResponse};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest size of each message with long numbers, in bytes.
const MAX_BYTES: usize = 512;

fn size<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(message: &T) -> usize {
    let bytes = serde_json::to_vec(message).unwrap();
    assert_eq!(serde_json::from_slice::<T>(&bytes).unwrap(), *message);
    println!("{} bytes: {}", bytes.len(), String::from_utf8_lossy(&bytes));
    bytes.len()
}

#[test]
fn messages_are_small_and_read_as_written() {
    let at = Moment { monotonic: Duration::from_nanos(86_400_123_456_789), wall_ms: 1 << 41 };
    let stamp = Stamp { process: u64::MAX, at };
    let renewal = Renewal { stamp, process: u64::MAX, number: 172_800, share: 1.0 / 79.0 };
    let silent = Silent { nodes: 12, age_ms: 0 };
    let plain = Notice { stamp, silent, renewal: None, stopping: false, rival: false };
    let ended = vec![GrantEnd { id: 1 << 30, unspent: 0 }; 2];
    let process = Some(u64::MAX);
    let tenant = "tenant-81".into();
    let request = TokenRequest { tenant, number: 1 << 30, wanted: 97, process, ended };
    let response =
        TokenResponse { number: 1 << 30, process: u64::MAX, id: 1 << 30, tokens: 97, wait_ms: 50 };
    assert!(size(&plain) <= MAX_BYTES);
    assert!(size(&Notice { renewal: Some(renewal), ..plain }) <= MAX_BYTES);
    assert!(size(&request) <= MAX_BYTES);
    assert!(size(&response) <= MAX_BYTES);
}
