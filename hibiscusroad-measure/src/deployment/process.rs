//! One process of a deployment.

use super::Error;
use hibiscusroad_standins::ports;
use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs::{self, File, OpenOptions},
    io::{BufRead, BufReader},
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};

const POLL: Duration = Duration::from_millis(10);
const START: Duration = Duration::from_secs(20);
// Lines of a process's log that an error shows.
const TAIL: usize = 8;

/// A process that is ended, by its id, when it is dropped.
#[derive(Debug)]
pub struct Process {
    /// Its name in the deployment.
    pub name: String,
    child: Child,
    log: PathBuf,
    program: PathBuf,
    args: Vec<String>,
    /// Whether its output goes to its log as well.
    whole: bool,
}

impl Process {
    /// Starts a program whose log goes to a file of its name in `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[String],
        folder: &Path,
    ) -> Result<Self, Error> {
        Self::begin(name, program, args, folder, false)
    }

    /// Starts a program of which the output goes to its log as well, and no
    /// address is read.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn start_logged(
        name: &str,
        program: &Path,
        args: &[String],
        folder: &Path,
    ) -> Result<Self, Error> {
        Self::begin(name, program, args, folder, true)
    }

    fn begin(
        name: &str,
        program: &Path,
        args: &[String],
        folder: &Path,
        whole: bool,
    ) -> Result<Self, Error> {
        let log = folder.join(format!("{name}.log"));
        let child = spawn(program, args, File::create(&log)?, whole)?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log,
            program: program.to_owned(),
            args: args.to_vec(),
            whole,
        })
    }

    /// Starts it again after it has ended; its log goes on in the same file.
    ///
    /// # Errors
    ///
    /// Returns an error if the program can't be started.
    pub fn restart(&mut self) -> Result<(), Error> {
        let file = OpenOptions::new().append(true).open(&self.log)?;
        self.child = spawn(&self.program, &self.args, file, self.whole)?;
        Ok(())
    }

    /// Returns its id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Reads the address from its first line, `listening ADDR`.
    ///
    /// # Errors
    ///
    /// Returns an error if it ends, or says something else.
    pub fn address(&mut self) -> Result<SocketAddr, Error> {
        let mut line = String::new();
        if let Some(out) = &mut self.child.stdout {
            BufReader::new(out).read_line(&mut line)?;
        }
        let address = line.trim().strip_prefix("listening ");
        address
            .and_then(|address| address.parse().ok())
            .ok_or_else(|| self.failed("gave no address"))
    }

    /// Waits until it takes connections at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if it ends, or doesn't within 20 s.
    pub fn wait_for(&mut self, address: SocketAddr) -> Result<(), Error> {
        let start = Instant::now();
        while TcpStream::connect(address).is_err() {
            if let Some(status) = self.child.try_wait()? {
                return Err(self.failed(&format!("ended with {status}")));
            }
            if start.elapsed() > START {
                return Err(self.failed(&format!("doesn't listen at {address}")));
            }
            thread::sleep(POLL);
        }
        Ok(())
    }

    /// Asks it to stop gracefully.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it can't be asked.
    pub fn terminate(&self) -> Result<(), Error> {
        Ok(kill_process(self.pid()?, Signal::TERM)?)
    }

    /// Ends it at once, as a crash would.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it can't be ended.
    pub fn kill(&mut self) -> Result<(), Error> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Makes it stand still, without its knowing, until [`Process::thaw`].
    ///
    /// # Errors
    ///
    /// Returns the system's error if it can't be stopped.
    pub fn freeze(&self) -> Result<(), Error> {
        Ok(kill_process(self.pid()?, Signal::STOP)?)
    }

    /// Lets it go on.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it can't be told.
    pub fn thaw(&self) -> Result<(), Error> {
        Ok(kill_process(self.pid()?, Signal::CONT)?)
    }

    /// Waits until it has ended, at most until `limit`.
    ///
    /// # Errors
    ///
    /// Returns an error if it still runs then, or was ended by a signal.
    pub fn wait(&mut self, limit: Instant) -> Result<ExitStatus, Error> {
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= limit {
                return Err(self.failed("didn't stop in time"));
            }
            thread::sleep(POLL);
        }
    }

    /// Returns its resident memory now, in KiB.
    ///
    /// # Errors
    ///
    /// Returns an error if the system doesn't say.
    pub fn memory(&self) -> Result<u64, Error> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.trim().strip_suffix(" kB"));
        number
            .and_then(|number| number.trim().parse().ok())
            .ok_or_else(|| self.failed("has no VmRSS"))
    }

    /// Returns the processor time that it used so far.
    ///
    /// # Errors
    ///
    /// Returns an error if the system doesn't say.
    pub fn processor(&self) -> Result<Duration, Error> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.id()))?;
        // Fields count from behind the name, which may hold anything.
        let fields: Vec<&str> = match stat.rsplit_once(')') {
            Some((_, rest)) => rest.split_whitespace().collect(),
            None => Vec::new(),
        };
        let ticks = |at: usize| fields.get(at).and_then(|field| field.parse::<u64>().ok());
        let ticks = ticks(USER_TIME).zip(ticks(SYSTEM_TIME));
        let (user, system) = ticks.ok_or_else(|| self.failed("has no processor time"))?;
        let rate = rustix::param::clock_ticks_per_second();
        Ok(Duration::from_secs_f64(
            (user + system) as f64 / rate as f64,
        ))
    }

    fn pid(&self) -> Result<Pid, Error> {
        let id = i32::try_from(self.id()).ok().and_then(Pid::from_raw);
        id.ok_or_else(|| self.failed("has no id"))
    }

    fn failed(&self, what: &str) -> Error {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let tail = lines[lines.len().saturating_sub(TAIL)..].join("\n  ");
        Error::Process(self.name.clone(), what.to_owned(), tail)
    }
}

fn spawn(program: &Path, args: &[String], log: File, whole: bool) -> Result<Child, Error> {
    let output = if whole {
        log.try_clone()?.into()
    } else {
        Stdio::piped()
    };
    let mut command = Command::new(program);
    command
        .args(args)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(log);
    let child = ports::with_spawn_lock(|| command.spawn());
    child.map_err(|error| Error::NotStarted(program.to_owned(), error))
}

// Places of the fields utime and stime of /proc/PID/stat behind the name.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail if it has ended already, which is what is wanted.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
