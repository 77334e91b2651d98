//! `hibiscusroad`: the operators' command line.

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
        Ok(Action::Help) => print(HELP),
        Ok(Action::Version) => print(&format!("hibiscusroad {}", env!("CARGO_PKG_VERSION"))),
        Ok(Action::Trace { id, logs }) => trace(&id, &logs),
        Ok(Action::Steps { logs, format }) => steps(&logs, format),
        Ok(Action::Run(options)) => run(*options),
        Err(error) => usage(&error.to_string()),
    };
    match exit {
        Ok(exit) => ExitCode::from(exit as u8),
        // Whoever read the output has enough of it.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hibiscusroad: {error}");
            ExitCode::from(Exit::Usage as u8)
        }
    }
}

fn print(text: &str) -> io::Result<Exit> {
    writeln!(io::stdout(), "{text}")?;
    Ok(Exit::Done)
}

fn usage(text: &str) -> io::Result<Exit> {
    writeln!(io::stderr(), "{text}")?;
    Ok(Exit::Usage)
}

fn trace(id: &str, files: &[PathBuf]) -> io::Result<Exit> {
    let logs = match logs(files) {
        Ok(logs) => logs,
        Err(error) => return usage(&error),
    };
    let Some(story) = logs.story(id) else {
        writeln!(io::stderr(), "no line names {id}")?;
        return Ok(Exit::Refused);
    };
    write!(io::stdout(), "{story}")?;
    Ok(Exit::Done)
}

fn steps(files: &[PathBuf], format: Format) -> io::Result<Exit> {
    let logs = match logs(files) {
        Ok(logs) => logs,
        Err(error) => return usage(&error),
    };
    format::write(&mut io::stdout(), format, &logs.steps())?;
    Ok(Exit::Done)
}

/// Reads logs; the error says which file can't be read.
fn logs(files: &[PathBuf]) -> Result<Logs, String> {
    let input = [PathBuf::from("-")];
    let files = if files.is_empty() { &input } else { files };
    let mut logs = Logs::new();
    for file in files {
        let text = read(file).map_err(|error| format!("{}: {error}", file.display()))?;
        let name = file.file_stem().unwrap_or_default();
        logs.add(&name.to_string_lossy(), &text);
    }
    if logs.unparsed() > 0 {
        eprintln!("{} lines are no log lines", logs.unparsed());
    }
    Ok(logs)
}

fn run(options: Options) -> io::Result<Exit> {
    let source = options.source.clone();
    let (mut out, mut err) = (io::stdout(), io::stderr());
    let mut session = Session::new(options, &mut out, &mut err);
    let text = match source {
        Source::Text(text) => text,
        Source::File(file) => match read(&file) {
            Ok(text) => text,
            Err(error) => return usage(&format!("{}: {error}", file.display())),
        },
        Source::Prompt if io::stdin().is_terminal() => return prompt(&mut session),
        Source::Prompt => return usage("no statement; see hibiscusroad --help"),
    };
    match language::parse(&text) {
        Ok(statements) => session.run(&statements),
        Err(error) => usage(&error.to_string()),
    }
}

fn read(file: &Path) -> io::Result<String> {
    if file != Path::new("-") {
        return fs::read_to_string(file);
    }
    let mut text = String::new();
    io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

/// Runs lines until the input ends; a line that fails doesn't end it.
fn prompt(session: &mut Session<'_>) -> io::Result<Exit> {
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
