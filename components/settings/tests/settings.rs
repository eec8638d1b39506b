//! Invalid settings are refused with the field, the value and what was expected.

#![allow(clippy::unwrap_used, clippy::too_many_lines, reason = "a panic fails the test")]

use std::path::{Path, PathBuf};

use googletest::prelude::*;
use serde_json::{Value, json};

fn valid() -> Value {
    json!({
        "version": 1, "node": "n1", "domain": "almaty-a", "region": "almaty",
        "listen": {
            "callers": "127.0.0.1:1", "upstream": "127.0.0.1:2", "peers": "127.0.0.1:3",
            "control": "127.0.0.1:4", "admin": "127.0.0.1:5",
        },
    })
}

fn error(change: impl FnOnce(&mut Value)) -> String {
    let mut value = valid();
    change(&mut value);
    match settings::parse(Path::new("node.json"), &value.to_string()) {
        Ok(_) => "no error".to_owned(),
        Err(err) => err.to_string(),
    }
}

#[gtest]
fn optional_fields_may_be_left_out() {
    expect_that!(settings::parse(Path::new("node.json"), &valid().to_string()), ok(anything()));
}

#[gtest]
fn errors_name_file_field_value_and_what_was_expected() {
    let unknown = error(|value| value["limts"] = json!({}));
    expect_that!(unknown, all!(contains_substring("node.json"), contains_substring("limts")));
    let address = error(|value| value["listen"]["peers"] = json!("nowhere"));
    expect_that!(address, contains_substring("listen.peers"));
    let name = error(|value| value["node"] = json!("Node One"));
    expect_that!(
        name,
        all!(
            contains_substring("`node`"),
            contains_substring("Node One"),
            contains_substring("lower-case")
        )
    );
    let duplicate = error(|value| value["listen"]["admin"] = json!("127.0.0.1:1"));
    expect_that!(
        duplicate,
        all!(contains_substring("127.0.0.1:1"), contains_substring("listen.callers"))
    );
    let unspecified = error(|value| value["listen"]["admin"] = json!("0.0.0.0:5"));
    expect_that!(unspecified, contains_substring("expected an IP address"));
    let depth = error(|value| value["bounds"] = json!({ "depth": 0 }));
    expect_that!(
        depth,
        all!(contains_substring("bounds.depth"), contains_substring("expected 1 to 64"))
    );
    let span = error(|value| value["control"] = json!({ "probe": "fast" }));
    expect_that!(span, all!(contains_substring("control.probe"), contains_substring("fast")));
}

#[gtest]
fn a_key_window_over_half_the_log_retention_is_refused() {
    let window = |window: &str| {
        error(|value| {
            value["log"] = json!({ "address": "127.0.0.1:7", "retention": "1h" });
            value["bounds"] = json!({ "window": window });
        })
    };
    expect_that!(window("30m"), eq("no error"));
    expect_that!(
        window("31m"),
        all!(contains_substring("bounds.window"), contains_substring("at most half of `1h`"))
    );
}

#[gtest]
fn a_newer_version_is_refused_before_its_unknown_fields() {
    let newer = error(|value| {
        value["version"] = json!(2);
        value["invented"] = json!(true);
    });
    expect_that!(newer, all!(contains_substring("version"), contains_substring("newer")));
}

#[gtest]
fn two_nodes_with_the_same_id_or_address_are_refused() -> googletest::Result<()> {
    let parse = |value: &Value| settings::parse(Path::new("x"), &value.to_string());
    let (first, mut other) = (parse(&valid()).or_fail()?, valid());
    for (index, field) in ["callers", "upstream", "peers", "control", "admin"].iter().enumerate() {
        other["listen"][field] = json!(format!("127.0.0.2:{}", index + 1));
    }
    let same_id = parse(&other).or_fail()?;
    let files = |a, b| [(PathBuf::from("a.json"), a), (PathBuf::from("b.json"), b)];
    let err = settings::check_all(&files(first.clone(), same_id)).unwrap_err().to_string();
    expect_that!(
        err,
        all!(
            contains_substring("a.json"),
            contains_substring("b.json"),
            contains_substring("`n1`")
        )
    );
    other["node"] = json!("n2");
    other["listen"]["admin"] = json!("127.0.0.1:3");
    let same_address = parse(&other).or_fail()?;
    let err = settings::check_all(&files(first, same_address)).unwrap_err().to_string();
    expect_that!(err, contains_substring("127.0.0.1:3"));
    Ok(())
}
