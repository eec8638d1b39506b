//! Reading the text of a rules file.

use std::collections::{HashMap, HashSet};
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use units::ServiceName;

use crate::error::{Errors, Flaw};
use crate::line::{self, Line, Word};
use crate::model::{CallRule, Class, RuleSet, ServiceRule};

const VERBS: [&str; 2] = ["call", "service"];
const CALL_OPTIONS: [&str; 7] =
    ["class", "deadline", "retries", "idempotent", "body", "to", "once"];
const SERVICE_OPTIONS: [&str; 4] = ["queue", "retry-ratio", "slots", "connections"];
const DEFAULT_DEADLINE: Duration = Duration::from_secs(2);
const DEFAULT_RETRIES: u8 = 2;
const MOST_RETRIES: u8 = 10;
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Reads a rules file; all of its mistakes are reported together.
pub fn parse(text: &str) -> Result<RuleSet, Errors> {
    let mut reader = Reader::default();
    for (index, text) in text.lines().enumerate() {
        if let Err(flaw) = reader.line(index + 1, text) {
            reader.flaws.push(flaw);
        }
    }
    if !reader.flaws.is_empty() {
        return Err(Errors(reader.flaws));
    }
    Ok(RuleSet::new(reader.calls, reader.services))
}

#[derive(Default)]
struct Reader {
    calls: Vec<CallRule>,
    services: HashMap<ServiceName, Arc<ServiceRule>>,
    seen: HashSet<String>,
    flaws: Vec<Flaw>,
}

impl Reader {
    fn line(&mut self, number: usize, text: &str) -> Result<(), Flaw> {
        let Some(line) = line::split(number, text)? else {
            return Ok(());
        };
        let verb = line.words[0];
        match verb.text {
            "call" => self.call(&line),
            "service" => self.service(&line),
            _ => Err(unknown(&line, verb, "is not a kind of rule", &VERBS)),
        }
    }

    fn call(&mut self, line: &Line<'_>) -> Result<(), Flaw> {
        let mut words = line.words[1..].iter().copied();
        let method_word =
            words.next().ok_or_else(|| line.missing("expected a method or `*` next"))?;
        let method = method(line, method_word)?;
        let path = words.next().ok_or_else(|| line.missing("expected a path next"))?;
        if !path.text.starts_with('/') {
            return Err(line.flaw(path, "is not a path (expected it to start with `/`)"));
        }
        let mut rule = CallRule {
            method,
            path: path.text.to_owned(),
            service: expect_service(line, &mut words)?,
            class: Class::Internal,
            deadline: DEFAULT_DEADLINE,
            retries: DEFAULT_RETRIES,
            idempotent: matches!(method_word.text, "GET" | "HEAD" | "OPTIONS"),
            once: false,
            body: None,
            asker: line.asker.to_owned(),
            line: line.number,
        };
        call_options(line, &mut rule, &mut words)?;
        self.once(line, path, format!("call {} {}", method_word.text, path.text))?;
        self.calls.push(rule);
        Ok(())
    }

    fn service(&mut self, line: &Line<'_>) -> Result<(), Flaw> {
        let mut words = line.words[1..].iter().copied();
        let name_word =
            words.next().ok_or_else(|| line.missing("expected the name of a service next"))?;
        let name: ServiceName = value(line, name_word)?;
        let mut rule = ServiceRule {
            asker: line.asker.to_owned(),
            line: line.number,
            ..ServiceRule::default()
        };
        while let Some(option) = words.next() {
            match option.text {
                "queue" => rule.queue = span(line, argument(line, option, &mut words)?)?,
                "retry-ratio" => rule.ratio = percent(line, argument(line, option, &mut words)?)?,
                "slots" => rule.slots = Some(positive(line, argument(line, option, &mut words)?)?),
                "connections" => {
                    rule.connections = Some(positive(line, argument(line, option, &mut words)?)?)
                }
                _ => {
                    return Err(unknown(
                        line,
                        option,
                        "is not an option of a `service` rule",
                        &SERVICE_OPTIONS,
                    ));
                }
            }
        }
        self.once(line, name_word, format!("service {name}"))?;
        self.services.insert(name, Arc::new(rule));
        Ok(())
    }

    /// Two rules for the same thing would make the outcome depend on their order.
    fn once(&mut self, line: &Line<'_>, word: Word<'_>, what: String) -> Result<(), Flaw> {
        if self.seen.insert(what) {
            return Ok(());
        }
        Err(line.flaw(word, "already has a rule above (expected one rule for each)"))
    }
}

fn call_options<'a>(
    line: &Line<'a>,
    rule: &mut CallRule,
    words: &mut impl Iterator<Item = Word<'a>>,
) -> Result<(), Flaw> {
    while let Some(option) = words.next() {
        match option.text {
            "class" => rule.class = value(line, argument(line, option, words)?)?,
            "deadline" => rule.deadline = span(line, argument(line, option, words)?)?,
            "retries" => rule.retries = retries(line, argument(line, option, words)?)?,
            "body" => rule.body = Some(value(line, argument(line, option, words)?)?),
            "idempotent" if !rule.once => rule.idempotent = true,
            "once" if !rule.idempotent => rule.once = true,
            "idempotent" | "once" => {
                return Err(line.flaw(option, "a call is either idempotent or `once`"));
            }
            _ => {
                return Err(unknown(
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
) -> Result<ServiceName, Flaw> {
    let to = words.next().ok_or_else(|| line.missing("expected `to` and a service next"))?;
    if to.text != "to" {
        return Err(line.flaw(to, "expected `to` here"));
    }
    value(line, argument(line, to, words)?)
}

fn argument<'a>(
    line: &Line<'a>,
    option: Word<'a>,
    words: &mut impl Iterator<Item = Word<'a>>,
) -> Result<Word<'a>, Flaw> {
    words.next().ok_or_else(|| line.flaw(option, "needs a value behind it"))
}

fn method(line: &Line<'_>, word: Word<'_>) -> Result<Option<http::Method>, Flaw> {
    if word.text == "*" {
        return Ok(None);
    }
    if !METHODS.contains(&word.text) {
        return Err(unknown(
            line,
            word,
            "is not a method (expected one in capitals, or `*`)",
            &METHODS,
        ));
    }
    Ok(http::Method::from_str(word.text).ok())
}

fn value<T: FromStr<Err = units::ParseError>>(line: &Line<'_>, word: Word<'_>) -> Result<T, Flaw> {
    word.text.parse().map_err(|units::ParseError::Expected(_, wanted)| {
        line.flaw(word, format!("expected {wanted}"))
    })
}

fn span(line: &Line<'_>, word: Word<'_>) -> Result<Duration, Flaw> {
    let span = units::span::parse(word.text)
        .map_err(|_| line.flaw(word, format!("expected {}", units::span::WANTED)))?;
    if span.is_zero() {
        return Err(line.flaw(word, "expected a span longer than nothing"));
    }
    Ok(span)
}

fn retries(line: &Line<'_>, word: Word<'_>) -> Result<u8, Flaw> {
    let count: Option<u8> = word.text.parse().ok().filter(|count| *count <= MOST_RETRIES);
    count.ok_or_else(|| {
        line.flaw(word, format!("expected a number of retries from 0 to {MOST_RETRIES}"))
    })
}

fn positive(line: &Line<'_>, word: Word<'_>) -> Result<u32, Flaw> {
    let count: Option<u32> = word.text.parse().ok().filter(|count| *count > 0);
    count.ok_or_else(|| line.flaw(word, "expected a whole number of at least 1"))
}

fn percent(line: &Line<'_>, word: Word<'_>) -> Result<f64, Flaw> {
    let number: Option<f64> = word.text.strip_suffix('%').and_then(|digits| digits.parse().ok());
    let share = number.filter(|share| (0.0..=100.0).contains(share));
    share
        .map(|share| share / 100.0)
        .ok_or_else(|| line.flaw(word, "expected a share from `0%` to `100%`"))
}

fn unknown(line: &Line<'_>, word: Word<'_>, what: &str, known: &[&str]) -> Flaw {
    let mut flaw = line.flaw(word, what);
    flaw.hint = line::closest(word.text, known);
    if flaw.hint.is_none() {
        flaw.what = format!("{what} (expected one of: {})", known.join(", "));
    }
    flaw
}
