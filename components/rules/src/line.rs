//! Splitting a line into words with their columns, and the comment behind them.

use crate::error::Flaw;

/// A word and the column it starts at, from 1.
#[derive(Debug, Clone, Copy)]
pub struct Word<'a> {
    pub text: &'a str,
    pub column: usize,
}

/// The words of one rule and who asked for it.
#[derive(Debug)]
pub struct Line<'a> {
    pub number: usize,
    pub words: Vec<Word<'a>>,
    pub asker: &'a str,
}

impl Line<'_> {
    /// A flaw at a word of this line.
    pub fn flaw(&self, word: Word<'_>, what: impl Into<String>) -> Flaw {
        Flaw {
            line: self.number,
            column: word.column,
            token: word.text.to_owned(),
            what: what.into(),
            hint: None,
        }
    }

    /// A flaw behind the last word.
    pub fn missing(&self, what: impl Into<String>) -> Flaw {
        let last = self.words.last().copied().unwrap_or(Word { text: "", column: 1 });
        self.flaw(last, what)
    }
}

/// Splits one line; `None` for a line without a rule.
pub fn split(number: usize, text: &str) -> Result<Option<Line<'_>>, Flaw> {
    let (rule, comment) = match text.split_once('#') {
        Some((rule, comment)) => (rule, Some(comment.trim())),
        None => (text, None),
    };
    let words: Vec<Word<'_>> = rule
        .split_whitespace()
        .map(|word| Word { text: word, column: column_of(text, word) })
        .collect();
    if words.is_empty() {
        return Ok(None);
    }
    let line = Line { number, words, asker: comment.unwrap_or_default() };
    if line.asker.is_empty() {
        return Err(line.missing(
            "the rule doesn't say who asked for it (expected `# name` at the end of the line)",
        ));
    }
    Ok(Some(line))
}

fn column_of(line: &str, word: &str) -> usize {
    let start = word.as_ptr() as usize - line.as_ptr() as usize;
    line[..start].chars().count() + 1
}

/// The candidate closest to `word`, when it is close enough to be a slip of the finger.
pub fn closest(word: &str, candidates: &[&str]) -> Option<String> {
    const FURTHEST: usize = 2;
    let (distance, best) =
        candidates.iter().map(|candidate| (distance(word, candidate), *candidate)).min()?;
    (distance <= FURTHEST).then(|| best.to_owned())
}

/// Levenshtein distance.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut corner = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let cost = corner + usize::from(x != *y);
            corner = row[j + 1];
            row[j + 1] = cost.min(row[j] + 1).min(corner + 1);
        }
    }
    row[b.len()]
}
