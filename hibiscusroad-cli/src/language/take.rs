//! Taking single tokens, with what was expected if another stands there.

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

/// The tokens that are left.
pub(super) type Input<'t> = TokenSlice<'t, Token>;

pub(super) fn integer(input: &mut Input<'_>) -> ModalResult<u32> {
    read(input, "a whole number", |word| word.parse().ok())
}

pub(super) fn share(input: &mut Input<'_>) -> ModalResult<f64> {
    read(input, "a share from 0 to 1", |word| {
        word.parse()
            .ok()
            .filter(|share| (0.0..=1.0).contains(share))
    })
}

pub(super) fn duration(input: &mut Input<'_>) -> ModalResult<Duration> {
    let expected = "a duration such as 250ms, 10s or 2m";
    read(input, expected, |word| humantime::parse_duration(word).ok())
}

pub(super) fn literal(input: &mut Input<'_>) -> ModalResult<Literal> {
    match next(input) {
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
        _ => Err(expect_one("a value")),
    }
}

pub(super) fn name(input: &mut Input<'_>, expected: &'static str) -> ModalResult<String> {
    match next(input) {
        Some(TokenKind::Word(text) | TokenKind::Quoted(text)) => {
            input.next_token();
            Ok(text.clone())
        }
        _ => Err(expect_one(expected)),
    }
}

/// Returns the next token without taking it.
pub(super) fn next<'t>(input: &Input<'t>) -> Option<&'t TokenKind> {
    input.peek_token().map(|token| &token.kind)
}

/// Takes a word that `accept` makes a value of.
pub(super) fn read<T>(
    input: &mut Input<'_>,
    expected: &'static str,
    accept: impl FnOnce(&str) -> Option<T>,
) -> ModalResult<T> {
    let value = match next(input) {
        Some(TokenKind::Word(word)) => accept(word),
        _ => None,
    };
    let value = value.ok_or_else(|| expect_one(expected))?;
    input.next_token();
    Ok(value)
}

/// Takes one of `words`, in any case.
pub(super) fn keyword(
    input: &mut Input<'_>,
    words: &'static [&'static str],
) -> ModalResult<&'static str> {
    let found = match next(input) {
        Some(TokenKind::Word(word)) => words.iter().find(|known| known.eq_ignore_ascii_case(word)),
        _ => None,
    };
    let found = found.ok_or_else(|| expect(words))?;
    input.next_token();
    Ok(found)
}

/// Takes `word` if it comes next, and says whether it did.
pub(super) fn skip(input: &mut Input<'_>, word: &str) -> bool {
    let next = next(input);
    let found = matches!(next, Some(TokenKind::Word(next)) if next.eq_ignore_ascii_case(word));
    if found {
        input.next_token();
    }
    found
}

pub(super) fn sign(input: &mut Input<'_>, sign: &'static str) -> ModalResult<()> {
    match next(input) {
        Some(TokenKind::Sign(next)) if *next == sign => {
            input.next_token();
            Ok(())
        }
        _ => Err(expect(&[sign])),
    }
}

/// Takes a comma; without one the list is at its end, which is no error.
pub(super) fn comma(input: &mut Input<'_>) -> ModalResult<()> {
    match next(input) {
        Some(TokenKind::Sign(",")) => {
            input.next_token();
            Ok(())
        }
        _ => Err(ErrMode::Backtrack(ContextError::new())),
    }
}

pub(super) fn expect(words: &[&'static str]) -> ErrMode<ContextError> {
    let mut error = ContextError::new();
    for word in words {
        error.push(StrContext::Expected(StrContextValue::StringLiteral(word)));
    }
    ErrMode::Cut(error)
}

pub(super) fn expect_one(description: &'static str) -> ErrMode<ContextError> {
    let mut error = ContextError::new();
    error.push(StrContext::Expected(StrContextValue::Description(
        description,
    )));
    ErrMode::Cut(error)
}
