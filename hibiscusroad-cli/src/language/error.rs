//! Syntax errors with their position in the source.

use std::{fmt, ops::Range};

/// A syntax error.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error {
    line_number: usize,
    line_text: String,
    span: Range<usize>,
    found: String,
    expected: Vec<String>,
}

impl Error {
    /// Creates an error at the byte range `span` of `source`.
    pub(super) fn new(source: &str, span: Range<usize>, expected: Vec<String>) -> Self {
        let start = source[..span.start].rfind('\n').map_or(0, |pos| pos + 1);
        let end = source[start..]
            .find('\n')
            .map_or(source.len(), |pos| start + pos);
        let found = match source[span.clone()].trim() {
            "" => "the end".to_owned(),
            word => format!("`{word}`"),
        };
        Self {
            line_number: source[..start].matches('\n').count() + 1,
            line_text: source[start..end].to_owned(),
            span: span.start - start..span.end.min(end).max(span.start) - start,
            found,
            expected,
        }
    }

    /// Returns descriptions of the tokens that are valid at this position.
    #[must_use]
    pub fn expected(&self) -> &[String] {
        &self.expected
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Counted in characters, because the span counts bytes.
        let indent = self.line_text[..self.span.start].chars().count();
        let width = self.line_text[self.span.clone()].chars().count().max(1);
        writeln!(f, "line {}: found {}", self.line_number, self.found)?;
        writeln!(f, "  {}", self.line_text)?;
        writeln!(f, "  {}{}", " ".repeat(indent), "^".repeat(width))?;
        write!(f, "expected {}", self.expected.join(", "))
    }
}

impl std::error::Error for Error {}
