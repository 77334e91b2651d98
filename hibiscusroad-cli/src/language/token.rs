//! Words, signs and ends of statements.

use super::error::Error;
use std::ops::Range;
use winnow::{
    LocatingSlice, ModalResult, Parser,
    ascii::till_line_ending,
    combinator::{alt, delimited, dispatch, empty, fail, peek, repeat},
    token::{any, one_of, take_while},
};

/// One token and the bytes where it stands.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Token {
    pub kind: TokenKind,
    pub span: Range<usize>,
}

/// What a token is.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum TokenKind {
    /// A word, number, duration or name without quotes.
    Word(String),
    /// A text in quotes, without them.
    Quoted(String),
    /// `,` or a comparison.
    Sign(&'static str),
    /// `;`, a new line, or the end of the text.
    End,
}

type Input<'s> = LocatingSlice<&'s str>;

/// Cuts a text into tokens, the last of which is an end.
pub(super) fn tokens(source: &str) -> Result<Vec<Token>, Error> {
    let mut input = LocatingSlice::new(source);
    let mut tokens = Vec::new();
    loop {
        skip(&mut input).unwrap_or_default();
        let start = source.len() - input.len();
        if input.is_empty() {
            let kind = TokenKind::End;
            let span = start..start;
            tokens.push(Token { kind, span });
            return Ok(tokens);
        }
        let (kind, span) = kind
            .with_span()
            .parse_next(&mut input)
            .ok()
            .ok_or_else(|| unreadable(source, start))?;
        tokens.push(Token { kind, span });
    }
}

fn unreadable(source: &str, start: usize) -> Error {
    let first = source[start..].chars().next().unwrap_or_default();
    let span = start..start + first.len_utf8();
    let expected = match first {
        '\'' | '"' => format!("a closing {first} on the same line"),
        _ => "a word, a text in quotes, a comma or a comparison".to_owned(),
    };
    Error::new(source, span, vec![expected])
}

/// Skips spaces and comments, but no new line, which ends a statement.
fn skip(input: &mut Input<'_>) -> ModalResult<()> {
    let space = take_while(1.., (' ', '\t', '\r')).void();
    let comment = ('#', till_line_ending).void();
    repeat(0.., alt((space, comment))).parse_next(input)
}

fn kind(input: &mut Input<'_>) -> ModalResult<TokenKind> {
    dispatch! {peek(any);
        ';' | '\n' => any.value(TokenKind::End),
        '\'' => quoted('\''),
        '"' => quoted('"'),
        ',' | '=' | '!' | '<' | '>' | '~' => sign.map(TokenKind::Sign),
        _ => word.map(|word: &str| TokenKind::Word(word.to_owned())),
    }
    .parse_next(input)
}

fn word<'s>(input: &mut Input<'s>) -> ModalResult<&'s str> {
    take_while(1.., |c: char| c.is_alphanumeric() || "_-.:/%+".contains(c)).parse_next(input)
}

fn quoted<'s>(quote: char) -> impl FnMut(&mut Input<'s>) -> ModalResult<TokenKind> {
    move |input| {
        let inside = take_while(0.., move |c: char| c != quote && c != '\n');
        delimited(quote, inside, quote)
            .map(|text: &str| TokenKind::Quoted(text.to_owned()))
            .parse_next(input)
    }
}

fn sign(input: &mut Input<'_>) -> ModalResult<&'static str> {
    alt((
        "!=".value("!="),
        "<=".value("<="),
        ">=".value(">="),
        dispatch! {one_of([',', '=', '<', '>', '~']);
            ',' => empty.value(","),
            '=' => empty.value("="),
            '<' => empty.value("<"),
            '>' => empty.value(">"),
            '~' => empty.value("~"),
            _ => fail,
        },
    ))
    .parse_next(input)
}
