//! The parser of statements.

use super::{
    About, Filter, Op, Order, SUBJECTS, Show, Statement,
    error::Error,
    terminal::{
        Input, accept_keyword, comma, convert_word, duration, expected, expected_one_of, fraction,
        integer, keyword, literal, name, peek, symbol,
    },
    token::{TokenKind, tokenize},
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

/// The time limit for work in flight if `stop` has no `within`.
const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_secs(30);

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

/// Parses all statements of `source`.
///
/// # Errors
///
/// Returns the first syntax error.
pub fn parse(source: &str) -> Result<Vec<Statement>, Error> {
    let tokens = tokenize(source)?;
    let parsed: Result<Vec<Option<Statement>>, _> =
        repeat(0.., statement_or_blank).parse(TokenSlice::new(&tokens));
    match parsed {
        Ok(statements) => Ok(statements.into_iter().flatten().collect()),
        Err(error) => {
            let token = &tokens[error.offset().min(tokens.len() - 1)];
            let expected = error.inner().context().map(description).collect();
            Err(Error::new(source, token.span.clone(), expected))
        }
    }
}

fn description(context: &StrContext) -> String {
    match context {
        StrContext::Expected(StrContextValue::StringLiteral(word)) => (*word).to_owned(),
        StrContext::Expected(value) => value.to_string(),
        other => other.to_string(),
    }
}

/// Parses one statement with its terminator, or a terminator alone.
fn statement_or_blank(input: &mut Input<'_>) -> ModalResult<Option<Statement>> {
    match peek(input) {
        None => return Err(ErrMode::Backtrack(ContextError::new())),
        Some(TokenKind::Terminator) => {
            input.next_token();
            return Ok(None);
        }
        Some(_) => {}
    }
    let statement = statement(input)?;
    match peek(input) {
        Some(TokenKind::Terminator) => input.next_token(),
        _ => return Err(expected("the end of the statement")),
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
        "drop" => drop_service(input).map(Statement::Change),
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
    if accept_keyword(input, "where") {
        filters.push(filter(input)?);
        while accept_keyword(input, "and") {
            filters.push(filter(input)?);
        }
    }
    let order = if accept_keyword(input, "order") {
        keyword(input, &["by"])?;
        let column = name(input, "a column")?;
        let descending = accept_keyword(input, "desc");
        Some(Order { column, descending })
    } else {
        None
    };
    let limit = if accept_keyword(input, "limit") {
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
    let is_clause = |word: &String| ["where", "order", "limit"].contains(&word.as_str());
    match peek(input) {
        Some(TokenKind::Word(word)) if !is_clause(word) => {
            let column = |input: &mut Input<'_>| name(input, "a column");
            separated(1.., column, comma).parse_next(input)
        }
        _ => Ok(Vec::new()),
    }
}

fn filter(input: &mut Input<'_>) -> ModalResult<Filter> {
    let column = name(input, "a column")?;
    let op = match peek(input) {
        Some(TokenKind::Symbol(symbol)) => OPS.iter().find(|(text, _)| text == symbol),
        _ => None,
    };
    let Some((_, op)) = op else {
        let symbols: Vec<&str> = OPS.iter().map(|(symbol, _)| *symbol).collect();
        return Err(expected_one_of(&symbols));
    };
    input.next_token();
    let value = literal(input)?;
    let op = *op;
    Ok(Filter { column, op, value })
}

fn watch(input: &mut Input<'_>) -> ModalResult<Statement> {
    let description = "seconds or a duration such as 2 or 500ms";
    let every = convert_word(input, description, |word| {
        let seconds = word.parse().ok().map(Duration::from_secs);
        seconds.or_else(|| humantime::parse_duration(word).ok())
    })?;
    keyword(input, &["show"])?;
    let show = show(input)?;
    Ok(Statement::Watch { every, show })
}

fn explain(input: &mut Input<'_>) -> ModalResult<Statement> {
    let (about, description) = match keyword(input, &["request", "endpoint"])? {
        "request" => (About::Request, "a request's id"),
        _ => (About::Endpoint, "an endpoint's name"),
    };
    let name = name(input, description)?;
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
    let pairs = if accept_keyword(input, "with") {
        pairs(input)?
    } else {
        Map::new()
    };
    // The keys and values are already checked, so this fails only if a key of
    // `RULE_KEYS` is missing in `Rule`.
    let rule: Option<Rule> = serde_json::from_value(pairs.into()).ok();
    let rule = rule.ok_or_else(|| expected_one_of(RULE_KEYS))?;
    Ok(Change::CreateService { name, kind, rule })
}

fn alter(input: &mut Input<'_>) -> ModalResult<Change> {
    keyword(input, &["service"])?;
    let name = name(input, "a service's name")?;
    keyword(input, &["set"])?;
    let set = pairs(input)?.into_iter().collect();
    Ok(Change::AlterService { name, set })
}

fn drop_service(input: &mut Input<'_>) -> ModalResult<Change> {
    keyword(input, &["service"])?;
    let name = name(input, "a service's name")?;
    Ok(Change::DropService { name })
}

fn set(input: &mut Input<'_>) -> ModalResult<Change> {
    let key = name(input, "a key")?;
    symbol(input, "=")?;
    let value = literal(input)?.text;
    Ok(Change::Set { key, value })
}

fn drain(
    input: &mut Input<'_>,
    change: impl Fn(Target, String) -> Change,
) -> ModalResult<Statement> {
    let (target, description) = match keyword(input, &["host", "place", "endpoint"])? {
        "host" => (Target::Host, "a host's name"),
        "place" => (Target::Place, "a data centre's name"),
        _ => (Target::Endpoint, "an endpoint's name"),
    };
    let name = name(input, description)?;
    Ok(Statement::Change(change(target, name)))
}

fn stop(input: &mut Input<'_>) -> ModalResult<Statement> {
    keyword(input, &["service"])?;
    let service = name(input, "a service's name")?;
    let within = if accept_keyword(input, "within") {
        duration(input)?
    } else {
        DEFAULT_STOP_TIMEOUT
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

/// Parses `KEY = VALUE, ...` for the rule of a service.
fn pairs(input: &mut Input<'_>) -> ModalResult<Map<String, Value>> {
    let list: Vec<(String, Value)> = separated(1.., pair, comma).parse_next(input)?;
    Ok(list.into_iter().collect())
}

fn pair(input: &mut Input<'_>) -> ModalResult<(String, Value)> {
    let key = keyword(input, RULE_KEYS)?;
    symbol(input, "=")?;
    match key {
        "depth" | "limit" => Ok((key.to_owned(), integer(input)?.into())),
        "deadline" => {
            let millis = u64::try_from(duration(input)?.as_millis()).unwrap_or(u64::MAX);
            Ok(("deadline_ms".to_owned(), millis.into()))
        }
        _ => Ok((key.to_owned(), fraction(input)?.into())),
    }
}
