//! What is wrong with a text, and where.

use std::{fmt, ops::Range};

/// A text that is no list of statements.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    line: usize,
    text: String,
    span: Range<usize>,
    found: String,
    expected: Vec<String>,
}

impl Error {
    /// Creates an error about the bytes `span` of `source`.
    pub(super) fn new(source: &str, span: Range<usize>, expected: Vec<String>) -> Self {
        let start = source[..span.start].rfind('\n').map_or(0, |at| at + 1);
        let end = source[start..]
            .find('\n')
            .map_or(source.len(), |at| start + at);
        let found = match source[span.clone()].trim() {
            "" => "the end".to_owned(),
            word => format!("`{word}`"),
        };
        Self {
            line: source[..start].matches('\n').count() + 1,
            text: source[start..end].to_owned(),
            span: span.start - start..span.end.min(end).max(span.start) - start,
            found,
            expected,
        }
    }

    /// Returns what may stand at that point.
    #[must_use]
    pub fn expected(&self) -> &[String] {
        &self.expected
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Spaces and carets count characters, so that letters of more than one
        // byte don't push the caret away.
        let before = self.text[..self.span.start].chars().count();
        let width = self.text[self.span.clone()].chars().count().max(1);
        writeln!(f, "line {}: found {}", self.line, self.found)?;
        writeln!(f, "  {}", self.text)?;
        writeln!(f, "  {}{}", " ".repeat(before), "^".repeat(width))?;
        write!(f, "expected {}", self.expected.join(", "))
    }
}

impl std::error::Error for Error {}
