//! Settings files of the daemons, and the host list.

use super::{Error, Spec, spec::Kind};
use hibiscusroad_standins::platform::hosts::TargetGroup;
use serde::Serialize;
use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

#[derive(Clone, Copy, Debug, Serialize)]
struct Platform<'a> {
    table: &'a str,
    hosts: &'a str,
    objects: &'a str,
    weights: &'a str,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Entry {
    callers: SocketAddr,
    operators: SocketAddr,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Side<'a> {
    links: SocketAddr,
    service: &'a str,
    endpoint: &'a str,
    address: SocketAddr,
    kind: &'static str,
    limit: u32,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct File<'a> {
    name: &'a str,
    host: &'a str,
    place: &'a str,
    region: &'a str,
    platform: Platform<'a>,
    #[serde(skip_serializing_if = "Option::is_none")]
    entry: Option<Entry>,
    #[serde(skip_serializing_if = "Option::is_none")]
    side: Option<Side<'a>>,
}

/// One daemon: its settings file and what others need to know of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Daemon {
    /// Its name.
    pub name: String,
    /// Its host's name.
    pub host: String,
    /// Its place.
    pub place: &'static str,
    /// Its settings file.
    pub file: PathBuf,
    /// Where callers connect (entry) or links are opened (side).
    pub address: SocketAddr,
    /// Where operators connect; for a side, the same as `address`.
    pub operators: SocketAddr,
    /// The service and the endpoint's name, for a side.
    pub endpoint: Option<(String, String)>,
}

impl Daemon {
    /// Returns its row of the host list.
    #[must_use]
    pub fn target(&self, state: &str) -> TargetGroup {
        let (role, service, endpoint) = match &self.endpoint {
            Some((service, endpoint)) => ("side", service.as_str(), endpoint.as_str()),
            None => ("entry", "", self.name.as_str()),
        };
        let labels = [
            ("host", self.host.as_str()),
            ("place", self.place),
            ("role", role),
            ("service", service),
            ("endpoint", endpoint),
            ("state", state),
        ];
        let labels = labels.map(|(name, value)| (name.to_owned(), value.to_owned()));
        TargetGroup {
            targets: vec![self.operators.to_string()],
            labels: BTreeMap::from(labels),
        }
    }
}

/// Writes the settings files of one deployment.
#[derive(Debug)]
pub struct Generator<'a> {
    /// The deployment.
    pub spec: &'a Spec,
    /// Where the files go.
    pub folder: &'a Path,
    /// The platform's URL.
    pub platform: String,
}

impl Generator<'_> {
    /// Writes the settings of an entry; `ports` are for callers and operators.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the file can't be written.
    pub fn entry(&self, number: usize, ports: [SocketAddr; 2]) -> Result<Daemon, Error> {
        let [callers, operators] = ports;
        let place = self.spec.place(number);
        let name = format!("entry-{place}-{}", number + 1);
        let host = format!("{place}-entry-{}", number + 1);
        let file = File {
            name: &name,
            host: &host,
            place,
            region: self.spec.region,
            platform: self.platform(),
            entry: Some(Entry { callers, operators }),
            side: None,
        };
        Ok(Daemon {
            file: self.write(&file)?,
            name,
            host,
            place,
            address: callers,
            operators,
            endpoint: None,
        })
    }

    /// Writes the settings of the side beside an endpoint of a service.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the file can't be written.
    pub fn side(
        &self,
        service: &super::Service,
        number: usize,
        links: SocketAddr,
        address: SocketAddr,
    ) -> Result<Daemon, Error> {
        let place = self.spec.place(number);
        let endpoint = format!("{}-{}", service.name, number + 1);
        let host = format!("{place}-{endpoint}");
        let name = format!("side-{endpoint}");
        let side = Side {
            links,
            service: service.name,
            endpoint: &endpoint,
            address,
            kind: service.kind.word(),
            limit: service.limit,
        };
        let file = File {
            name: &name,
            host: &host,
            place,
            region: self.spec.region,
            platform: self.platform(),
            entry: None,
            side: Some(side),
        };
        Ok(Daemon {
            file: self.write(&file)?,
            name,
            host,
            place,
            address: links,
            operators: links,
            endpoint: Some((service.name.to_owned(), endpoint)),
        })
    }

    fn platform(&self) -> Platform<'_> {
        Platform {
            table: &self.platform,
            hosts: &self.platform,
            objects: &self.platform,
            weights: &self.platform,
        }
    }

    fn write(&self, file: &File<'_>) -> Result<PathBuf, Error> {
        let path = self.folder.join(format!("{}.toml", file.name));
        let text = toml::to_string(file).map_err(std::io::Error::other)?;
        fs::write(&path, text)?;
        Ok(path)
    }
}

/// Returns the options of a stand-in for an endpoint of this kind.
#[must_use]
pub fn endpoint_args(service: &super::Service) -> Vec<String> {
    let kind = match service.kind {
        Kind::Model => "engine",
        Kind::Plain => "plain",
    };
    let mut args = vec![kind.to_owned()];
    args.extend(service.options.iter().cloned());
    args
}
