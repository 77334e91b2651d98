//! The lexer.

use super::error::Error;
use std::ops::Range;
use winnow::{
    LocatingSlice, ModalResult, Parser,
    ascii::till_line_ending,
    combinator::{alt, delimited, dispatch, empty, fail, peek, repeat},
    token::{any, one_of, take_while},
};

/// A token and its byte range in the source.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Token {
    pub kind: TokenKind,
    pub span: Range<usize>,
}

/// The kind and text of a token.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum TokenKind {
    /// A word, number, duration or name without quotes.
    Word(String),
    /// A quoted string, without the quotes.
    Quoted(String),
    /// `,` or a comparison operator.
    Symbol(&'static str),
    /// `;`, a newline, or the end of the source.
    Terminator,
}

type Input<'s> = LocatingSlice<&'s str>;

/// Splits `source` into tokens, of which the last is a terminator.
pub(super) fn tokenize(source: &str) -> Result<Vec<Token>, Error> {
    let mut input = LocatingSlice::new(source);
    let mut tokens = Vec::new();
    loop {
        skip_blanks(&mut input).unwrap_or_default();
        let start = source.len() - input.len();
        if input.is_empty() {
            let kind = TokenKind::Terminator;
            let span = start..start;
            tokens.push(Token { kind, span });
            return Ok(tokens);
        }
        let (kind, span) = token_kind
            .with_span()
            .parse_next(&mut input)
            .ok()
            .ok_or_else(|| invalid_token(source, start))?;
        tokens.push(Token { kind, span });
    }
}

fn invalid_token(source: &str, start: usize) -> Error {
    let first = source[start..].chars().next().unwrap_or_default();
    let span = start..start + first.len_utf8();
    let expected = match first {
        '\'' | '"' => format!("a closing {first} on the same line"),
        _ => "a word, a text in quotes, a comma or a comparison".to_owned(),
    };
    Error::new(source, span, vec![expected])
}

/// Skips blanks and comments, but not newlines, which end a statement.
fn skip_blanks(input: &mut Input<'_>) -> ModalResult<()> {
    let blank = take_while(1.., (' ', '\t', '\r')).void();
    let comment = ('#', till_line_ending).void();
    repeat(0.., alt((blank, comment))).parse_next(input)
}

fn token_kind(input: &mut Input<'_>) -> ModalResult<TokenKind> {
    dispatch! {peek(any);
        ';' | '\n' => any.value(TokenKind::Terminator),
        '\'' => quoted('\''),
        '"' => quoted('"'),
        ',' | '=' | '!' | '<' | '>' | '~' => symbol.map(TokenKind::Symbol),
        _ => word.map(|word: &str| TokenKind::Word(word.to_owned())),
    }
    .parse_next(input)
}

fn word<'s>(input: &mut Input<'s>) -> ModalResult<&'s str> {
    take_while(1.., |c: char| c.is_alphanumeric() || "_-.:/%+".contains(c)).parse_next(input)
}

fn quoted<'s>(quote: char) -> impl FnMut(&mut Input<'s>) -> ModalResult<TokenKind> {
    move |input| {
        let content = take_while(0.., move |c: char| c != quote && c != '\n');
        delimited(quote, content, quote)
            .map(|text: &str| TokenKind::Quoted(text.to_owned()))
            .parse_next(input)
    }
}

fn symbol(input: &mut Input<'_>) -> ModalResult<&'static str> {
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
