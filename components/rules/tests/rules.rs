//! Parsing rules files.

#![allow(clippy::unwrap_used, clippy::too_many_lines, reason = "a panic fails the test")]

use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use rules::{Class, Diagnostic};

fn errors_in(text: &str) -> Vec<Diagnostic> {
    rules::parse(text).err().map(|errors| errors.0).unwrap_or_default()
}

#[gtest]
fn a_rule_without_a_requester_is_refused() {
    let found = errors_in("call GET /a to a\ncall GET /b to b #\ncall GET /c to c # Hana");
    expect_that!(
        found.iter().map(|error| error.line).collect::<Vec<_>>(),
        elements_are![eq(&1), eq(&2)]
    );
    expect_that!(found[0].message, contains_substring("who asked"));
}

#[gtest]
fn errors_have_line_column_token_and_suggestion() {
    let found = errors_in("# prices\n\ncall GET /prices to catalog clas customer # Hana");
    expect_that!(found.len(), eq(1));
    expect_that!((found[0].line, found[0].column), eq((3, 29)));
    expect_that!(found[0].token, eq("clas"));
    expect_that!(found[0].suggestion, some(eq("class")));
    expect_that!(found[0].to_string(), contains_substring("did you mean `class`?"));
}

#[gtest]
fn every_error_of_a_file_is_reported() {
    let text = "cal GET /a to a # x\ncall FETCH /b to b # x\ncall GET c to c # x\ncall GET /d to D # x\n\
                call GET /e to e deadline soon # x\ncall GET /f to f retries 99 # x\nservice g slots 0 # x\n\
                call GET /h # x\nservice i retry-ratio 120% # x\ncall GET /j to j deadline # x";
    expect_that!(errors_in(text).len(), eq(10));
}

#[gtest]
fn two_rules_for_one_call_are_refused() {
    expect_that!(
        errors_in("call GET /a to a # x\ncall GET /a to b # y")[0].message,
        contains_substring("already has a rule")
    );
}

#[gtest]
fn the_longest_path_and_the_exact_method_win() -> googletest::Result<()> {
    let text = "call * / to site # x\ncall * /a to a # x\ncall POST /a to writer # x\ncall GET /a/b to b # x";
    let set = rules::parse(text).or_fail()?;
    let service = |method: http::Method, path: &str| {
        set.find(&method, path).map(|rule| rule.service.to_string())
    };
    expect_that!(service(http::Method::GET, "/a/b/c"), some(eq("b")));
    expect_that!(service(http::Method::POST, "/a/b"), some(eq("writer")));
    expect_that!(service(http::Method::GET, "/a"), some(eq("a")));
    expect_that!(service(http::Method::GET, "/ab"), some(eq("site")));
    Ok(())
}

#[gtest]
fn options_are_read_and_the_rest_have_defaults() -> googletest::Result<()> {
    let text = "call POST /o to orders class customer deadline 3s retries 1 body 4KiB # Daulet\ncall GET /p to p # x";
    let set = rules::parse(text).or_fail()?;
    let orders = set.find(&http::Method::POST, "/o").or_fail()?;
    expect_that!(
        (orders.class, orders.deadline, orders.retries),
        eq((Class::Customer, Duration::from_secs(3), 1))
    );
    expect_that!((orders.idempotent, orders.requester.as_str()), eq((false, "Daulet")));
    let plain = set.find(&http::Method::GET, "/p").or_fail()?;
    expect_that!((plain.class, plain.idempotent), eq((Class::Internal, true)));
    Ok(())
}

#[gtest]
fn outside_callers_share_one_rank_above_internal_calls() {
    expect_that!(Class::Customer.rank(), eq(Class::Franchisee.rank()));
    expect_that!(Class::Internal.rank(), lt(Class::Franchisee.rank()));
    expect_that!(Class::Background.rank(), lt(Class::Internal.rank()));
}

proptest! {
    #[test]
    fn the_parser_does_not_panic_on_any_text(text in "\\PC{0,80}(\\n\\PC{0,80}){0,4}") {
        let _ = rules::parse(&text);
    }

    #[test]
    fn columns_point_at_the_token(indent in " {0,9}", word in "[a-z]{9,12}") {
        let text = format!("{indent}{word} x # y");
        let found = errors_in(&text);
        prop_assert_eq!(found[0].column, indent.len() + 1);
        prop_assert_eq!(&found[0].token, &word);
    }
}
