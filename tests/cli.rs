//! The command line: errors, exit codes and completions.

#![allow(clippy::unwrap_used, clippy::too_many_lines, reason = "a panic fails the test")]

use std::fs;
use std::process::Command;

use googletest::prelude::*;

fn run(args: &[&str]) -> (String, i32) {
    let output = Command::new(env!("CARGO_BIN_EXE_almondknot")).args(args).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    (text, output.status.code().unwrap_or(-1))
}

fn file(name: &str, text: &str) -> (tempfile::TempDir, String) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join(name);
    fs::write(&path, text).unwrap();
    let path = path.display().to_string();
    (dir, path)
}

#[gtest]
fn check_reports_file_line_column_and_suggestion() {
    let (_dir, path) = file("rules.txt", "call GET /a to a # x\nsevice a slots 3 # x\n");
    let (text, code) = run(&["check", "--rules", &path]);
    expect_that!(code, eq(3));
    expect_that!(text, contains_substring("rules.txt:2:1: `sevice`"));
    expect_that!(text, contains_substring("did you mean `service`?"));
}

#[gtest]
fn the_examples_are_valid() {
    for example in ["dala", "tuiwai"] {
        let folder = format!("{}/examples/{example}", env!("CARGO_MANIFEST_DIR"));
        let names =
            fs::read_dir(&folder).unwrap().map(|entry| entry.unwrap().path().display().to_string());
        let settings: Vec<String> =
            names.filter(|name| name.ends_with(".json") && !name.contains("overload")).collect();
        expect_that!(settings.len(), eq(16));
        let rules = format!("{folder}/rules.txt");
        let mut args = vec!["check", "--rules", &rules, "--settings"];
        args.extend(settings.iter().map(String::as_str));
        let (text, code) = run(&args);
        expect_that!(code, eq(0), "{text}");
    }
}

#[gtest]
fn invalid_files_and_arguments_have_distinct_exit_codes() {
    expect_that!(run(&["check"]).1, eq(2));
    expect_that!(run(&["node", "--settings", "not-there.json"]).1, eq(3));
    let (_dir, path) = file(
        "experiment.json",
        "{\"seed\": 1, \"entries\": [], \"timeout\": \"soon\", \"mixes\": []}",
    );
    let (text, code) = run(&["load", "--experiment", &path]);
    expect_that!(code, eq(3));
    expect_that!(text, contains_substring("timeout"));
    expect_that!(run(&["status", "--node", "127.0.0.1:1"]).1, eq(4));
}

#[gtest]
fn an_address_in_use_is_reported_with_its_field() {
    let taken = std::net::TcpListener::bind("127.71.0.1:0").unwrap();
    let address = taken.local_addr().unwrap();
    let settings = serde_json::json!({
        "version": 1, "node": "n", "domain": "d", "region": "r",
        "listen": { "callers": address, "upstream": "127.71.0.2:2002", "peers": "127.71.0.2:2003",
                    "control": "127.71.0.2:2004", "admin": "127.71.0.2:2005" },
    });
    let (_dir, path) = file("node.json", &settings.to_string());
    let (text, code) = run(&["node", "--settings", &path]);
    expect_that!(code, eq(4));
    expect_that!(
        text,
        all!(contains_substring("listen.callers"), contains_substring(address.to_string()))
    );
}

#[gtest]
fn completions_contain_the_subcommands() {
    for shell in ["bash", "zsh", "fish"] {
        let (text, code) = run(&["completions", shell]);
        expect_that!(code, eq(0));
        expect_that!(text, contains_substring("publish"));
    }
}
