//! Splitting a line into its words, with their columns, and the trailing comment.

use crate::error::Diagnostic;

/// A word and the column it starts at, counted from 1.
#[derive(Debug, Clone, Copy)]
pub struct Word<'a> {
    pub text: &'a str,
    pub column: usize,
}

/// The words of one rule and who requested it.
#[derive(Debug)]
pub struct Line<'a> {
    pub number: usize,
    pub words: Vec<Word<'a>>,
    pub requester: &'a str,
}

impl Line<'_> {
    /// An error at a word of this line.
    pub fn error_at(&self, word: Word<'_>, message: impl Into<String>) -> Diagnostic {
        Diagnostic {
            line: self.number,
            column: word.column,
            token: word.text.to_owned(),
            message: message.into(),
            suggestion: None,
        }
    }

    /// An error after the last word.
    pub fn error_at_end(&self, message: impl Into<String>) -> Diagnostic {
        let last = self.words.last().copied().unwrap_or(Word { text: "", column: 1 });
        self.error_at(last, message)
    }
}

/// Splits one line; `None` for a line without a rule.
pub fn split(number: usize, text: &str) -> Result<Option<Line<'_>>, Diagnostic> {
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
    let line = Line { number, words, requester: comment.unwrap_or_default() };
    if line.requester.is_empty() {
        return Err(line.error_at_end(
            "the rule doesn't say who asked for it (expected `# name` at the end of the line)",
        ));
    }
    Ok(Some(line))
}

fn column_of(line: &str, word: &str) -> usize {
    let start = word.as_ptr() as usize - line.as_ptr() as usize;
    line[..start].chars().count() + 1
}

/// The candidate closest to `word`, if it is close enough for `word` to be a typo of it.
pub fn closest(word: &str, candidates: &[&str]) -> Option<String> {
    const MAX_DISTANCE: usize = 2;
    let (distance, best) =
        candidates.iter().map(|candidate| (levenshtein(word, candidate), *candidate)).min()?;
    (distance <= MAX_DISTANCE).then(|| best.to_owned())
}

fn levenshtein(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let substitution = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
