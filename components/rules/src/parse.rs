//! Parser of the rules file.

use std::collections::{HashMap, HashSet};
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use units::ServiceName;

use crate::error::{Diagnostic, Errors};
use crate::line::{self, Line, Word};
use crate::model::{CallRule, Class, RuleSet, ServiceRule};

const RULE_KINDS: [&str; 2] = ["call", "service"];
const CALL_OPTIONS: [&str; 7] =
    ["class", "deadline", "retries", "idempotent", "body", "to", "once"];
const SERVICE_OPTIONS: [&str; 4] = ["queue", "retry-ratio", "slots", "connections"];
const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);
const DEFAULT_RETRIES: u8 = 2;
const MAX_RETRIES: u8 = 10;
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Parses a rules file; all its errors are reported together.
pub fn parse(text: &str) -> Result<RuleSet, Errors> {
    let mut parser = Parser::default();
    for (index, text) in text.lines().enumerate() {
        if let Err(error) = parser.line(index + 1, text) {
            parser.errors.push(error);
        }
    }
    if !parser.errors.is_empty() {
        return Err(Errors(parser.errors));
    }
    Ok(RuleSet::new(parser.calls, parser.services))
}

#[derive(Default)]
struct Parser {
    calls: Vec<CallRule>,
    services: HashMap<ServiceName, Arc<ServiceRule>>,
    seen: HashSet<String>,
    errors: Vec<Diagnostic>,
}

impl Parser {
    fn line(&mut self, number: usize, text: &str) -> Result<(), Diagnostic> {
        let Some(line) = line::split(number, text)? else {
            return Ok(());
        };
        let kind = line.words[0];
        match kind.text {
            "call" => self.call(&line),
            "service" => self.service(&line),
            _ => Err(unknown_word(&line, kind, "is not a kind of rule", &RULE_KINDS)),
        }
    }

    fn call(&mut self, line: &Line<'_>) -> Result<(), Diagnostic> {
        let mut words = line.words[1..].iter().copied();
        let method_word =
            words.next().ok_or_else(|| line.error_at_end("expected a method or `*` next"))?;
        let method = method(line, method_word)?;
        let path = words.next().ok_or_else(|| line.error_at_end("expected a path next"))?;
        if !path.text.starts_with('/') {
            return Err(line.error_at(path, "is not a path (expected it to start with `/`)"));
        }
        let mut rule = CallRule {
            method,
            path: path.text.to_owned(),
            service: expect_service(line, &mut words)?,
            class: Class::Internal,
            deadline: DEFAULT_DEADLINE,
            retries: DEFAULT_RETRIES,
            idempotent: matches!(method_word.text, "GET" | "HEAD" | "OPTIONS"),
            run_once: false,
            max_body: None,
            requester: line.requester.to_owned(),
            line: line.number,
        };
        call_options(line, &mut rule, &mut words)?;
        self.expect_unique(line, path, format!("call {} {}", method_word.text, path.text))?;
        self.calls.push(rule);
        Ok(())
    }

    fn service(&mut self, line: &Line<'_>) -> Result<(), Diagnostic> {
        let mut words = line.words[1..].iter().copied();
        let name_word =
            words.next().ok_or_else(|| line.error_at_end("expected the name of a service next"))?;
        let name: ServiceName = value(line, name_word)?;
        let mut rule = ServiceRule {
            requester: line.requester.to_owned(),
            line: line.number,
            ..ServiceRule::default()
        };
        while let Some(option) = words.next() {
            match option.text {
                "queue" => rule.max_wait = span(line, argument(line, option, &mut words)?)?,
                "retry-ratio" => {
                    rule.retry_ratio = percent(line, argument(line, option, &mut words)?)?
                }
                "slots" => rule.slots = Some(positive(line, argument(line, option, &mut words)?)?),
                "connections" => {
                    rule.connections = Some(positive(line, argument(line, option, &mut words)?)?)
                }
                _ => {
                    return Err(unknown_word(
                        line,
                        option,
                        "is not an option of a `service` rule",
                        &SERVICE_OPTIONS,
                    ));
                }
            }
        }
        self.expect_unique(line, name_word, format!("service {name}"))?;
        self.services.insert(name, Arc::new(rule));
        Ok(())
    }

    /// Refuses a second rule for the same subject: the result would depend on the order of the two.
    fn expect_unique(
        &mut self,
        line: &Line<'_>,
        word: Word<'_>,
        subject: String,
    ) -> Result<(), Diagnostic> {
        if self.seen.insert(subject) {
            return Ok(());
        }
        Err(line.error_at(word, "already has a rule above (expected one rule for each)"))
    }
}

fn call_options<'a>(
    line: &Line<'a>,
    rule: &mut CallRule,
    words: &mut impl Iterator<Item = Word<'a>>,
) -> Result<(), Diagnostic> {
    while let Some(option) = words.next() {
        match option.text {
            "class" => rule.class = value(line, argument(line, option, words)?)?,
            "deadline" => rule.deadline = span(line, argument(line, option, words)?)?,
            "retries" => rule.retries = retries(line, argument(line, option, words)?)?,
            "body" => rule.max_body = Some(value(line, argument(line, option, words)?)?),
            "idempotent" if !rule.run_once => rule.idempotent = true,
            "once" if !rule.idempotent => rule.run_once = true,
            "idempotent" | "once" => {
                return Err(line.error_at(option, "a call is either idempotent or `once`"));
            }
            _ => {
                return Err(unknown_word(
                    line,
                    option,
                    "is not an option of a `call` rule",
                    &CALL_OPTIONS,
                ));
            }
        }
    }
    Ok(())
}

fn expect_service<'a>(
    line: &Line<'a>,
    words: &mut impl Iterator<Item = Word<'a>>,
) -> Result<ServiceName, Diagnostic> {
    let to = words.next().ok_or_else(|| line.error_at_end("expected `to` and a service next"))?;
    if to.text != "to" {
        return Err(line.error_at(to, "expected `to` here"));
    }
    value(line, argument(line, to, words)?)
}

fn argument<'a>(
    line: &Line<'a>,
    option: Word<'a>,
    words: &mut impl Iterator<Item = Word<'a>>,
) -> Result<Word<'a>, Diagnostic> {
    words.next().ok_or_else(|| line.error_at(option, "needs a value after it"))
}

fn method(line: &Line<'_>, word: Word<'_>) -> Result<Option<http::Method>, Diagnostic> {
    if word.text == "*" {
        return Ok(None);
    }
    if !METHODS.contains(&word.text) {
        return Err(unknown_word(
            line,
            word,
            "is not a method (expected one in capitals, or `*`)",
            &METHODS,
        ));
    }
    Ok(http::Method::from_str(word.text).ok())
}

fn value<T: FromStr<Err = units::ParseError>>(
    line: &Line<'_>,
    word: Word<'_>,
) -> Result<T, Diagnostic> {
    word.text.parse().map_err(|units::ParseError::Expected(_, expected)| {
        line.error_at(word, format!("expected {expected}"))
    })
}

fn span(line: &Line<'_>, word: Word<'_>) -> Result<Duration, Diagnostic> {
    let span = units::span::parse(word.text)
        .map_err(|_| line.error_at(word, format!("expected {}", units::span::EXPECTED)))?;
    if span.is_zero() {
        return Err(line.error_at(word, "expected a span longer than zero"));
    }
    Ok(span)
}

fn retries(line: &Line<'_>, word: Word<'_>) -> Result<u8, Diagnostic> {
    let count: Option<u8> = word.text.parse().ok().filter(|count| *count <= MAX_RETRIES);
    count.ok_or_else(|| {
        line.error_at(word, format!("expected a number of retries from 0 to {MAX_RETRIES}"))
    })
}

fn positive(line: &Line<'_>, word: Word<'_>) -> Result<u32, Diagnostic> {
    let count: Option<u32> = word.text.parse().ok().filter(|count| *count > 0);
    count.ok_or_else(|| line.error_at(word, "expected a whole number of at least 1"))
}

fn percent(line: &Line<'_>, word: Word<'_>) -> Result<f64, Diagnostic> {
    let number: Option<f64> = word.text.strip_suffix('%').and_then(|digits| digits.parse().ok());
    let share = number.filter(|share| (0.0..=100.0).contains(share));
    share
        .map(|share| share / 100.0)
        .ok_or_else(|| line.error_at(word, "expected a share from `0%` to `100%`"))
}

fn unknown_word(line: &Line<'_>, word: Word<'_>, message: &str, known: &[&str]) -> Diagnostic {
    let mut error = line.error_at(word, message);
    error.suggestion = line::closest(word.text, known);
    if error.suggestion.is_none() {
        error.message = format!("{message} (expected one of: {})", known.join(", "));
    }
    error
}
