//! The `hibiscusroad` program: the operators' command line.

use hibiscusroad_cli::{
    args::{self, Action, HELP, Options, Source},
    format::{self, Format},
    language::{self, Statement},
    session::{Exit, Session},
    trace::Logs,
};
use std::{
    fs,
    io::{self, IsTerminal, Read, Write},
    path::{Path, PathBuf},
    process::ExitCode,
};

const PROMPT: &str = "hibiscusroad> ";

fn main() -> ExitCode {
    let env = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
    let exit = match args::parse(std::env::args_os().skip(1), &env) {
        Ok(Action::Help) => print_line(HELP),
        Ok(Action::Version) => print_line(&format!("hibiscusroad {}", env!("CARGO_PKG_VERSION"))),
        Ok(Action::Trace { id, logs }) => print_timeline(&id, &logs),
        Ok(Action::Steps { logs, format }) => print_steps(&logs, format),
        Ok(Action::Run(options)) => run_statements(*options),
        Err(error) => report_usage_error(&error.to_string()),
    };
    match exit {
        Ok(exit) => ExitCode::from(exit as u8),
        // The reader of the output closed it early, as `head` does.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hibiscusroad: {error}");
            ExitCode::from(Exit::Usage as u8)
        }
    }
}

fn print_line(text: &str) -> io::Result<Exit> {
    writeln!(io::stdout(), "{text}")?;
    Ok(Exit::Done)
}

fn report_usage_error(text: &str) -> io::Result<Exit> {
    writeln!(io::stderr(), "{text}")?;
    Ok(Exit::Usage)
}

fn print_timeline(id: &str, paths: &[PathBuf]) -> io::Result<Exit> {
    let logs = match read_logs(paths) {
        Ok(logs) => logs,
        Err(error) => return report_usage_error(&error),
    };
    let Some(timeline) = logs.timeline(id) else {
        writeln!(io::stderr(), "no log line mentions {id}")?;
        return Ok(Exit::Refused);
    };
    write!(io::stdout(), "{timeline}")?;
    Ok(Exit::Done)
}

fn print_steps(paths: &[PathBuf], format: Format) -> io::Result<Exit> {
    let logs = match read_logs(paths) {
        Ok(logs) => logs,
        Err(error) => return report_usage_error(&error),
    };
    format::write(&mut io::stdout(), format, &logs.steps())?;
    Ok(Exit::Done)
}

/// Reads log files, or standard input if `paths` is empty.
fn read_logs(paths: &[PathBuf]) -> Result<Logs, String> {
    let stdin = [PathBuf::from("-")];
    let paths = if paths.is_empty() { &stdin } else { paths };
    let mut logs = Logs::new();
    for path in paths {
        let text = read_file(path).map_err(|error| format!("{}: {error}", path.display()))?;
        let name = path.file_stem().unwrap_or_default();
        logs.add(&name.to_string_lossy(), &text);
    }
    if logs.unparsed() > 0 {
        eprintln!("skipped {} lines that are not log lines", logs.unparsed());
    }
    Ok(logs)
}

fn run_statements(options: Options) -> io::Result<Exit> {
    let source = options.source.clone();
    let (mut out, mut err) = (io::stdout(), io::stderr());
    let mut session = Session::new(options, &mut out, &mut err);
    let text = match source {
        Source::Text(text) => text,
        Source::File(path) => match read_file(&path) {
            Ok(text) => text,
            Err(error) => return report_usage_error(&format!("{}: {error}", path.display())),
        },
        Source::Prompt if io::stdin().is_terminal() => return run_prompt(&mut session),
        Source::Prompt => return report_usage_error("no statement given; see hibiscusroad --help"),
    };
    match language::parse(&text) {
        Ok(statements) => session.run(&statements),
        Err(error) => report_usage_error(&error.to_string()),
    }
}

fn read_file(path: &Path) -> io::Result<String> {
    if path != Path::new("-") {
        return fs::read_to_string(path);
    }
    let mut text = String::new();
    io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

/// Runs lines until `exit` or the end of the input, whether or not they fail.
fn run_prompt(session: &mut Session<'_>) -> io::Result<Exit> {
    loop {
        write!(io::stdout(), "{PROMPT}")?;
        io::stdout().flush()?;
        let mut line = String::new();
        if io::stdin().read_line(&mut line)? == 0 {
            return Ok(Exit::Done);
        }
        match line.trim() {
            "exit" | "quit" => return Ok(Exit::Done),
            "help" | "?" => writeln!(io::stdout(), "{HELP}")?,
            line => run_line(session, &language::parse(line))?,
        }
    }
}

fn run_line(
    session: &mut Session<'_>,
    parsed: &Result<Vec<Statement>, language::Error>,
) -> io::Result<()> {
    match parsed {
        Ok(statements) => session.run(statements).map(drop),
        Err(error) => writeln!(io::stderr(), "{error}"),
    }
}
