//! Statements from tokens.

use super::{
    About, Filter, Op, Order, SUBJECTS, Show, Statement,
    error::Error,
    take::{
        Input, comma, duration, expect, expect_one, integer, keyword, literal, name, next, read,
        share, sign, skip,
    },
    token::{TokenKind, tokens},
};
use hibiscusroad::config::{Change, Kind, Rule, Target};
use serde_json::{Map, Value};
use std::time::Duration;
use winnow::{
    ModalResult, Parser,
    combinator::{repeat, separated},
    error::{ContextError, ErrMode, StrContext, StrContextValue},
    stream::{Stream, TokenSlice},
};

/// Work in flight gets this long if `stop` names no time.
const DEFAULT_STOP: Duration = Duration::from_secs(30);

const VERBS: &[&str] = &[
    "show", "watch", "explain", "create", "alter", "drop", "set", "drain", "undrain", "stop",
    "promote",
];

const RULE_KEYS: &[&str] = &[
    "depth",
    "floor_interactive",
    "floor_partner",
    "floor_rollout",
    "deadline",
    "limit",
];

const OPS: &[(&str, Op)] = &[
    ("=", Op::Equal),
    ("!=", Op::Differs),
    ("<", Op::Less),
    ("<=", Op::AtMost),
    (">", Op::Greater),
    (">=", Op::AtLeast),
    ("~", Op::Contains),
];

/// Reads all statements of a text.
///
/// # Errors
///
/// Returns the first place where the text is no statement, with what may stand
/// there.
pub fn parse(source: &str) -> Result<Vec<Statement>, Error> {
    let tokens = tokens(source)?;
    let found: Result<Vec<Option<Statement>>, _> =
        repeat(0.., line).parse(TokenSlice::new(&tokens));
    match found {
        Ok(lines) => Ok(lines.into_iter().flatten().collect()),
        Err(error) => {
            let token = &tokens[error.offset().min(tokens.len() - 1)];
            let expected = error.inner().context().map(describe).collect();
            Err(Error::new(source, token.span.clone(), expected))
        }
    }
}

fn describe(context: &StrContext) -> String {
    match context {
        StrContext::Expected(StrContextValue::StringLiteral(word)) => (*word).to_owned(),
        StrContext::Expected(value) => value.to_string(),
        other => other.to_string(),
    }
}

/// Reads one statement and its end, or an empty line.
fn line(input: &mut Input<'_>) -> ModalResult<Option<Statement>> {
    match next(input) {
        None => return Err(ErrMode::Backtrack(ContextError::new())),
        Some(TokenKind::End) => {
            input.next_token();
            return Ok(None);
        }
        Some(_) => {}
    }
    let statement = statement(input)?;
    match next(input) {
        Some(TokenKind::End) => input.next_token(),
        _ => return Err(expect_one("the end of the statement")),
    };
    Ok(Some(statement))
}

fn statement(input: &mut Input<'_>) -> ModalResult<Statement> {
    match keyword(input, VERBS)? {
        "show" => show(input).map(Statement::Show),
        "watch" => watch(input),
        "explain" => explain(input),
        "create" => create(input).map(Statement::Change),
        "alter" => alter(input).map(Statement::Change),
        "drop" => remove(input).map(Statement::Change),
        "set" => set(input).map(Statement::Change),
        "drain" => drain(input, |target, name| Change::Drain { target, name }),
        "undrain" => drain(input, |target, name| Change::Undrain { target, name }),
        "stop" => stop(input),
        _ => promote(input),
    }
}

fn show(input: &mut Input<'_>) -> ModalResult<Show> {
    let subject = keyword(input, SUBJECTS)?;
    let columns = columns(input)?;
    let mut filters = Vec::new();
    if skip(input, "where") {
        filters.push(filter(input)?);
        while skip(input, "and") {
            filters.push(filter(input)?);
        }
    }
    let order = if skip(input, "order") {
        keyword(input, &["by"])?;
        let column = name(input, "a column")?;
        let descending = skip(input, "desc");
        Some(Order { column, descending })
    } else {
        None
    };
    let limit = if skip(input, "limit") {
        Some(usize::try_from(integer(input)?).unwrap_or(usize::MAX))
    } else {
        None
    };
    Ok(Show {
        subject,
        columns,
        filters,
        order,
        limit,
    })
}

fn columns(input: &mut Input<'_>) -> ModalResult<Vec<String>> {
    let clause = |word: &String| ["where", "order", "limit"].contains(&word.as_str());
    match next(input) {
        Some(TokenKind::Word(word)) if !clause(word) => {
            let column = |input: &mut Input<'_>| name(input, "a column");
            separated(1.., column, comma).parse_next(input)
        }
        _ => Ok(Vec::new()),
    }
}

fn filter(input: &mut Input<'_>) -> ModalResult<Filter> {
    let column = name(input, "a column")?;
    let op = match next(input) {
        Some(TokenKind::Sign(sign)) => OPS.iter().find(|(known, _)| known == sign),
        _ => None,
    };
    let Some((_, op)) = op else {
        let signs: Vec<&str> = OPS.iter().map(|(sign, _)| *sign).collect();
        return Err(expect(&signs));
    };
    input.next_token();
    let value = literal(input)?;
    let op = *op;
    Ok(Filter { column, op, value })
}

fn watch(input: &mut Input<'_>) -> ModalResult<Statement> {
    let expected = "seconds or a duration such as 2 or 500ms";
    let every = read(input, expected, |word| {
        let seconds = word.parse().ok().map(Duration::from_secs);
        seconds.or_else(|| humantime::parse_duration(word).ok())
    })?;
    keyword(input, &["show"])?;
    let show = show(input)?;
    Ok(Statement::Watch { every, show })
}

fn explain(input: &mut Input<'_>) -> ModalResult<Statement> {
    let (about, expected) = match keyword(input, &["request", "endpoint"])? {
        "request" => (About::Request, "a request's id"),
        _ => (About::Endpoint, "an endpoint's name"),
    };
    let name = name(input, expected)?;
    Ok(Statement::Explain { about, name })
}

fn create(input: &mut Input<'_>) -> ModalResult<Change> {
    keyword(input, &["service"])?;
    let name = name(input, "a service's name")?;
    keyword(input, &["kind"])?;
    let kind = match keyword(input, &["model", "plain"])? {
        "model" => Kind::Model,
        _ => Kind::Plain,
    };
    let pairs = if skip(input, "with") {
        pairs(input)?
    } else {
        Map::new()
    };
    // Keys and values were checked above, so that this fails for a key that
    // stands in the list but not in the rule.
    let rule: Option<Rule> = serde_json::from_value(pairs.into()).ok();
    let rule = rule.ok_or_else(|| expect(RULE_KEYS))?;
    Ok(Change::CreateService { name, kind, rule })
}

fn alter(input: &mut Input<'_>) -> ModalResult<Change> {
    keyword(input, &["service"])?;
    let name = name(input, "a service's name")?;
    keyword(input, &["set"])?;
    let set = pairs(input)?.into_iter().collect();
    Ok(Change::AlterService { name, set })
}

fn remove(input: &mut Input<'_>) -> ModalResult<Change> {
    keyword(input, &["service"])?;
    let name = name(input, "a service's name")?;
    Ok(Change::DropService { name })
}

fn set(input: &mut Input<'_>) -> ModalResult<Change> {
    let key = name(input, "a key")?;
    sign(input, "=")?;
    let value = literal(input)?.text;
    Ok(Change::Set { key, value })
}

fn drain(
    input: &mut Input<'_>,
    change: impl Fn(Target, String) -> Change,
) -> ModalResult<Statement> {
    let (target, expected) = match keyword(input, &["host", "place", "endpoint"])? {
        "host" => (Target::Host, "a host's name"),
        "place" => (Target::Place, "a place's name"),
        _ => (Target::Endpoint, "an endpoint's name"),
    };
    let name = name(input, expected)?;
    Ok(Statement::Change(change(target, name)))
}

fn stop(input: &mut Input<'_>) -> ModalResult<Statement> {
    keyword(input, &["service"])?;
    let service = name(input, "a service's name")?;
    let within = if skip(input, "within") {
        duration(input)?
    } else {
        DEFAULT_STOP
    };
    Ok(Statement::Stop { service, within })
}

fn promote(input: &mut Input<'_>) -> ModalResult<Statement> {
    keyword(input, &["version"])?;
    let version = name(input, "a version")?;
    keyword(input, &["for"])?;
    let service = name(input, "a service's name")?;
    Ok(Statement::Promote { version, service })
}

/// Reads `KEY = VALUE, ...` for the rule of a service.
fn pairs(input: &mut Input<'_>) -> ModalResult<Map<String, Value>> {
    let list: Vec<(String, Value)> = separated(1.., pair, comma).parse_next(input)?;
    Ok(list.into_iter().collect())
}

fn pair(input: &mut Input<'_>) -> ModalResult<(String, Value)> {
    let key = keyword(input, RULE_KEYS)?;
    sign(input, "=")?;
    match key {
        "depth" | "limit" => Ok((key.to_owned(), integer(input)?.into())),
        "deadline" => {
            let millis = u64::try_from(duration(input)?.as_millis()).unwrap_or(u64::MAX);
            Ok(("deadline_ms".to_owned(), millis.into()))
        }
        _ => Ok((key.to_owned(), share(input)?.into())),
    }
}
