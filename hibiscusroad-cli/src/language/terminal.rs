//! Parsers of single tokens. An error lists the expected tokens.

use super::{
    Literal,
    token::{Token, TokenKind},
};
use std::time::Duration;
use winnow::{
    ModalResult,
    error::{ContextError, ErrMode, StrContext, StrContextValue},
    stream::{Stream, TokenSlice},
};

/// The remaining tokens.
pub(super) type Input<'t> = TokenSlice<'t, Token>;

pub(super) fn integer(input: &mut Input<'_>) -> ModalResult<u32> {
    convert_word(input, "a whole number", |word| word.parse().ok())
}

/// Parses a number from 0 to 1.
pub(super) fn fraction(input: &mut Input<'_>) -> ModalResult<f64> {
    convert_word(input, "a share from 0 to 1", |word| {
        word.parse()
            .ok()
            .filter(|fraction| (0.0..=1.0).contains(fraction))
    })
}

pub(super) fn duration(input: &mut Input<'_>) -> ModalResult<Duration> {
    let description = "a duration such as 250ms, 10s or 2m";
    convert_word(input, description, |word| {
        humantime::parse_duration(word).ok()
    })
}

pub(super) fn literal(input: &mut Input<'_>) -> ModalResult<Literal> {
    match peek(input) {
        Some(TokenKind::Quoted(text)) => {
            input.next_token();
            let text = text.clone();
            Ok(Literal { text, number: None })
        }
        Some(TokenKind::Word(text)) => {
            input.next_token();
            let millis = || Some(humantime::parse_duration(text).ok()?.as_secs_f64() * 1e3);
            let number = text.parse().ok().or_else(millis);
            let text = text.clone();
            Ok(Literal { text, number })
        }
        _ => Err(expected("a value")),
    }
}

pub(super) fn name(input: &mut Input<'_>, description: &'static str) -> ModalResult<String> {
    match peek(input) {
        Some(TokenKind::Word(text) | TokenKind::Quoted(text)) => {
            input.next_token();
            Ok(text.clone())
        }
        _ => Err(expected(description)),
    }
}

/// Returns the next token without consuming it.
pub(super) fn peek<'t>(input: &Input<'t>) -> Option<&'t TokenKind> {
    input.peek_token().map(|token| &token.kind)
}

/// Consumes a word and converts it to a value.
pub(super) fn convert_word<T>(
    input: &mut Input<'_>,
    description: &'static str,
    convert: impl FnOnce(&str) -> Option<T>,
) -> ModalResult<T> {
    let value = match peek(input) {
        Some(TokenKind::Word(word)) => convert(word),
        _ => None,
    };
    let value = value.ok_or_else(|| expected(description))?;
    input.next_token();
    Ok(value)
}

/// Consumes one of `words`, ignoring case.
pub(super) fn keyword(
    input: &mut Input<'_>,
    words: &'static [&'static str],
) -> ModalResult<&'static str> {
    let found = match peek(input) {
        Some(TokenKind::Word(word)) => words
            .iter()
            .find(|keyword| keyword.eq_ignore_ascii_case(word)),
        _ => None,
    };
    let found = found.ok_or_else(|| expected_one_of(words))?;
    input.next_token();
    Ok(found)
}

/// Consumes `word` if it is next, ignoring case, and returns whether it was.
pub(super) fn accept_keyword(input: &mut Input<'_>, word: &str) -> bool {
    let next = peek(input);
    let found = matches!(next, Some(TokenKind::Word(next)) if next.eq_ignore_ascii_case(word));
    if found {
        input.next_token();
    }
    found
}

pub(super) fn symbol(input: &mut Input<'_>, symbol: &'static str) -> ModalResult<()> {
    match peek(input) {
        Some(TokenKind::Symbol(next)) if *next == symbol => {
            input.next_token();
            Ok(())
        }
        _ => Err(expected_one_of(&[symbol])),
    }
}

/// Consumes a comma. The error for another token lets the parser backtrack,
/// because the list ends there.
pub(super) fn comma(input: &mut Input<'_>) -> ModalResult<()> {
    match peek(input) {
        Some(TokenKind::Symbol(",")) => {
            input.next_token();
            Ok(())
        }
        _ => Err(ErrMode::Backtrack(ContextError::new())),
    }
}

pub(super) fn expected_one_of(words: &[&'static str]) -> ErrMode<ContextError> {
    let mut error = ContextError::new();
    for word in words {
        error.push(StrContext::Expected(StrContextValue::StringLiteral(word)));
    }
    ErrMode::Cut(error)
}

pub(super) fn expected(description: &'static str) -> ErrMode<ContextError> {
    let mut error = ContextError::new();
    error.push(StrContext::Expected(StrContextValue::Description(
        description,
    )));
    ErrMode::Cut(error)
}
