//! A deployment of processes on this machine: stand-ins, entries and sides.
//!
//! All listen on free ports of the loopback interface, and all they write goes
//! into one temporary folder. Dropping the deployment ends every process by its
//! id and removes the folder, also after a failure or a signal.

mod operator;
pub mod process;
pub mod settings;
pub mod spec;

pub use operator::{Operator, Row};
pub use spec::{Kind, Service, Spec};

use crate::interrupt::Interrupt;
use hibiscusroad_standins::{plain::LogEntry, platform::hosts::TargetGroup, ports};
use process::Process;
use settings::{Daemon, Generator, endpoint_args};
use std::{
    collections::BTreeMap,
    env, fs, io, iter,
    net::SocketAddr,
    path::{Path, PathBuf},
    process as system,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use thiserror::Error as ThisError;

/// Why a deployment can't be started, driven or stopped.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The system refused something.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The system refused something.
    #[error("{0}")]
    System(#[from] rustix::io::Errno),
    /// A stand-in's control gave no answer.
    #[error("a stand-in's control: {0}")]
    Control(#[from] ureq::Error),
    /// A program isn't there, or can't be run.
    #[error("{0:?} can't be started: {1}; build the workspace first")]
    NotStarted(PathBuf, io::Error),
    /// A process failed; its log's end is the last field.
    #[error("{0} {1}\n  {2}")]
    Process(String, String, String),
    /// A statement failed.
    #[error("statement {0:?} failed: {1}")]
    Statement(String, String),
    /// A configuration isn't in force everywhere.
    #[error("version {0} isn't in force everywhere: {1}")]
    Version(u64, String),
    /// A signal asked for an early end.
    #[error("ended by a signal")]
    Interrupted,
}

/// The programs, found beside the running one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Bins {
    /// The daemon.
    pub daemon: PathBuf,
    /// The operators' command line.
    pub client: PathBuf,
    /// The stand-ins.
    pub standin: PathBuf,
}

impl Bins {
    /// Finds the programs in the folder of the running one, or in the one above
    /// it, where a test's program has them.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it can't say what is running.
    pub fn find() -> io::Result<Self> {
        let own = env::current_exe()?;
        let mut folder = own.parent().unwrap_or(Path::new("."));
        if folder.ends_with("deps") {
            folder = folder.parent().unwrap_or(folder);
        }
        Ok(Self {
            daemon: folder.join("hibiscusroadd"),
            client: folder.join("hibiscusroad"),
            standin: folder.join("standin"),
        })
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Member {
    /// What is known of it.
    pub daemon: Daemon,
    /// Its process.
    pub process: Process,
}

/// A running stand-in of an endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: String,
    /// What it is.
    pub kind: Kind,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its process.
    pub process: Process,
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// What it consists of.
    pub spec: Spec,
    /// Its entries.
    pub entries: Vec<Member>,
    /// Its sides, in the order of the endpoints.
    pub sides: Vec<Member>,
    /// Its endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Where the platform listens.
    pub platform: SocketAddr,
    /// The programs.
    pub bins: Bins,
    // Dropped after the daemons, whose last writes it may take.
    _platform: Process,
    interrupt: Interrupt,
    folder: Folder,
}

impl Deployment {
    /// Starts all processes, and tells the host list of them.
    ///
    /// # Errors
    ///
    /// Returns an error if a process doesn't start; the others are ended then.
    pub fn start(spec: &Spec, interrupt: &Interrupt) -> Result<Self, Error> {
        let bins = Bins::find()?;
        let folder = Folder::create()?;
        let lag = spec.lag.as_millis().to_string();
        let args = ["platform", "--lag-ms", &lag].map(str::to_owned);
        let mut platform = Process::start("platform", &bins.standin, &args, &folder.path)?;
        let address = platform.address()?;
        let mut deployment = Self {
            spec: spec.clone(),
            entries: Vec::new(),
            sides: Vec::new(),
            endpoints: Vec::new(),
            platform: address,
            bins,
            _platform: platform,
            interrupt: interrupt.clone(),
            folder,
        };
        deployment.start_endpoints()?;
        deployment.start_daemons()?;
        deployment.put_hosts("live")?;
        deployment.wait_listening()?;
        Ok(deployment)
    }

    fn start_endpoints(&mut self) -> Result<(), Error> {
        for service in &self.spec.services {
            for number in 0..service.count {
                let name = format!("{}-{}", service.name, number + 1);
                let mut args = endpoint_args(service);
                let folder = &self.folder.path;
                if self.spec.restarts {
                    // An endpoint that comes back must be found where it was.
                    args.extend(["--listen".to_owned(), ports::free_port()?.to_string()]);
                    if service.kind == Kind::Plain {
                        let file = runs_file(folder, &name).display().to_string();
                        args.extend(["--log".to_owned(), file]);
                    }
                }
                let mut process = Process::start(&name, &self.bins.standin, &args, folder)?;
                self.endpoints.push(Endpoint {
                    address: process.address()?,
                    name,
                    kind: service.kind,
                    process,
                });
                if self.spec.shared {
                    break;
                }
            }
        }
        Ok(())
    }

    /// Returns the address of each endpoint of each service, in order.
    fn addresses(&self) -> Vec<SocketAddr> {
        if !self.spec.shared {
            return self.endpoints.iter().map(|e| e.address).collect();
        }
        let services = self.spec.services.iter().zip(&self.endpoints);
        services
            .flat_map(|(service, endpoint)| iter::repeat_n(endpoint.address, service.count))
            .collect()
    }

    fn start_daemons(&mut self) -> Result<(), Error> {
        let generator = Generator {
            spec: &self.spec,
            folder: &self.folder.path,
            platform: format!("http://{}", self.platform),
        };
        let mut daemons = Vec::new();
        for number in 0..self.spec.entries {
            let ports = [ports::free_port()?, ports::free_port()?];
            daemons.push(generator.entry(number, ports)?);
        }
        let mut addresses = self.addresses().into_iter();
        for service in &self.spec.services {
            for (number, address) in addresses.by_ref().take(service.count).enumerate() {
                let links = ports::free_port()?;
                daemons.push(generator.side(service, number, links, address)?);
            }
        }
        for daemon in daemons {
            let args = [daemon.file.display().to_string()];
            let folder = &self.folder.path;
            let process = Process::start(&daemon.name, &self.bins.daemon, &args, folder)?;
            let members = match daemon.endpoint {
                Some(_) => &mut self.sides,
                None => &mut self.entries,
            };
            members.push(Member { daemon, process });
        }
        Ok(())
    }

    fn wait_listening(&mut self) -> Result<(), Error> {
        for member in self.entries.iter_mut().chain(&mut self.sides) {
            member.process.wait_for(member.daemon.address)?;
            member.process.wait_for(member.daemon.operators)?;
        }
        Ok(())
    }

    /// Creates the services, and waits until all know them.
    ///
    /// # Errors
    ///
    /// Returns an error if a statement fails or isn't in force in `limit`.
    pub fn set_up(&self, limit: Duration) -> Result<(), Error> {
        let statements = self.spec.statements();
        for statement in &statements {
            self.operate(0, statement)?;
        }
        self.wait_version(statements.len() as u64, limit)?;
        Ok(())
    }

    /// Puts all daemons on the host list, in one state.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gives no answer.
    pub fn put_hosts(&self, state: &str) -> Result<(), Error> {
        let members = self.entries.iter().chain(&self.sides);
        let list: Vec<TargetGroup> = members.map(|member| member.daemon.target(state)).collect();
        let url = format!("http://{}/hosts", self.platform);
        let body = serde_json::to_string(&list).map_err(io::Error::other)?;
        put_with_retries(&url, &body)
    }

    /// Returns the URL of a service at an entry.
    #[must_use]
    pub fn base(&self, entry: usize, service: &str) -> String {
        format!("http://{}/s/{service}", self.entries[entry].daemon.address)
    }

    /// Returns the logs of all plain services.
    ///
    /// # Errors
    ///
    /// Returns an error if one gives none.
    pub fn logs(&self) -> Result<Vec<Vec<LogEntry>>, Error> {
        let plain = self.endpoints.iter().filter(|e| e.kind == Kind::Plain);
        plain.map(|endpoint| log(endpoint.address)).collect()
    }

    /// Returns what all plain services ran, also in lives that were killed.
    ///
    /// # Errors
    ///
    /// Returns the system's error if a log can't be read.
    pub fn runs(&self) -> Result<BTreeMap<String, Vec<LogEntry>>, Error> {
        let plain = self.endpoints.iter().filter(|e| e.kind == Kind::Plain);
        let mut runs = BTreeMap::new();
        for endpoint in plain {
            let text = fs::read_to_string(runs_file(&self.folder.path, &endpoint.name))?;
            // A kill can cut the last line short; what it names did not start.
            let lines = text
                .lines()
                .map_while(|line| serde_json::from_str(line).ok());
            runs.insert(endpoint.name.clone(), lines.collect());
        }
        Ok(runs)
    }

    /// Asks all daemons to stop gracefully, entries first, and waits for them.
    ///
    /// # Errors
    ///
    /// Returns the first that doesn't end with code 0 within `limit`.
    pub fn stop(mut self, limit: Duration) -> Result<(), Error> {
        for members in [&mut self.entries, &mut self.sides] {
            for member in members.iter() {
                member.process.terminate()?;
            }
            let end = Instant::now() + limit;
            for Member { daemon, process } in members {
                let status = process.wait(end)?;
                if !status.success() {
                    let what = format!("ended with {status}");
                    return Err(Error::Process(daemon.name.clone(), what, String::new()));
                }
            }
        }
        Ok(())
    }
}

/// Tries to tell a stand-in something.
const TRIES: u32 = 3;

/// How long one try may take.
const TRY: Duration = Duration::from_secs(3);

/// Puts a body to a stand-in, with a few tries.
///
/// A stand-in was seen to close a new connection, or to leave it unanswered, once
/// in some dozens of starts; the cause is not known. Without a time limit the
/// whole run stood still.
///
/// # Errors
///
/// Returns the last error if no try is answered.
pub fn put_with_retries(url: &str, body: &str) -> Result<(), Error> {
    let mut tries = 0;
    loop {
        let request = ureq::put(url).config().timeout_global(Some(TRY)).build();
        tries += 1;
        match request.send(body) {
            Ok(_) => return Ok(()),
            Err(error) if tries == TRIES => return Err(error.into()),
            Err(_) => {}
        }
    }
}

fn runs_file(folder: &Path, endpoint: &str) -> PathBuf {
    folder.join(format!("{endpoint}.runs"))
}

// More than any log of a test or measurement has.
const LOG_LIMIT: u64 = 1 << 30;

fn log(address: SocketAddr) -> Result<Vec<LogEntry>, Error> {
    let mut answer = ureq::get(format!("http://{address}/control/log")).call()?;
    let body = answer
        .body_mut()
        .with_config()
        .limit(LOG_LIMIT)
        .read_to_vec()?;
    let log = serde_json::from_slice(&body).map_err(io::Error::other)?;
    Ok(log)
}

#[derive(Debug)]
struct Folder {
    path: PathBuf,
}

impl Folder {
    fn create() -> io::Result<Self> {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let name = format!("hibiscusroad-{}-{}", system::id(), now.subsec_nanos());
        let path = env::temp_dir().join(name);
        fs::create_dir(&path)?;
        Ok(Self { path })
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // Nothing more can be done about a folder that can't be removed.
        let _ = fs::remove_dir_all(&self.path);
    }
}
