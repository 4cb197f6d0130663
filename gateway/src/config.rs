//! The configuration of a gateway: the environment, and the JSON file that `NODE_CONFIG` names.

use crate::clock::{duration, millis};
use crate::discovery::backoff::{DiscoveryService, PollTiming};
use crate::discovery::{EndpointList, EndpointListError};
use ryefront_policy::{Millis, Settings};
use ryefront_settings::{Object, ReadError};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The variable that names the configuration file.
const FILE_VARIABLE: &str = "NODE_CONFIG";
/// The variables for values that the file may have as well.
const NAME_VARIABLE: &str = "NODE_NAME";
const LISTEN_VARIABLE: &str = "NODE_LISTEN";
const DISCOVERY_VARIABLE: &str = "NODE_DISCOVERY";

/// Used where the settings have no such time.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const DEFAULT_ENDPOINT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const DEFAULT_COUNTER_TIMEOUT: Duration = Duration::from_millis(50);
/// Used where the configuration has no limit.
const DEFAULT_MAX_SOCKETS: usize = 1024;

/// A configuration that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No file is named.
    #[error("{FILE_VARIABLE} is not set, expected the path of the configuration file")]
    FileNotNamed,
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system reports.
        source: std::io::Error,
    },
    /// The content of the file, or a variable, cannot be used.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: ParseError,
    },
}

/// A text that is not a usable configuration.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// It is not a JSON object of the right form.
    #[error("malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A value is missing.
    #[error("{key} is missing, expected {expected}")]
    Missing {
        /// The value's key.
        key: &'static str,
        /// What is valid.
        expected: &'static str,
    },
    /// A value is not valid.
    #[error("{key} is {found:?}, expected {expected}")]
    InvalidValue {
        /// The value's key.
        key: &'static str,
        /// The value.
        found: String,
        /// What is valid.
        expected: &'static str,
    },
    /// The cached endpoint list cannot be used.
    #[error("known: {0}")]
    CachedEndpoints(#[from] EndpointListError),
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] ReadError),
}

#[derive(Deserialize)]
struct ConfigFile {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    counter: Option<String>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default, rename = "known")]
    cached_endpoints: Value,
    settings: Value,
}

#[derive(Default, Deserialize)]
struct Limits {
    #[serde(rename = "sockets")]
    max_sockets: Option<usize>,
}

/// Which value applies where both a variable and the file have one.
#[derive(Clone, Copy)]
enum Precedence {
    Variable,
    File,
}

impl Precedence {
    fn choose(self, in_variable: Option<String>, in_file: Option<String>) -> Option<String> {
        match self {
            Self::Variable => in_variable.or(in_file),
            Self::File => in_file.or(in_variable),
        }
    }
}

/// The configuration of a gateway.
#[derive(Debug)]
pub struct Config {
    /// The gateway's name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the discovery service is.
    pub discovery: SocketAddr,
    /// The timing of the polls to the discovery service.
    pub poll_timing: PollTiming,
    /// Where the counter is, if there is one.
    pub counter: Option<SocketAddr>,
    /// The seed of all random draws.
    pub seed: u64,
    /// The most file descriptors that the process may hold.
    pub max_sockets: usize,
    /// The last known endpoint list, in use until discovery sends one.
    pub cached_endpoints: EndpointList,
    /// A connection to an endpoint that takes longer has failed.
    pub connect_timeout: Duration,
    /// Endpoints close connections that are idle for this long.
    pub endpoint_idle_timeout: Duration,
    /// The settings of the policy.
    pub settings: Settings,
}

impl Config {
    /// Reads the configuration at the start of the program: variables take precedence over the file.
    ///
    /// # Errors
    /// When it cannot be used.
    pub fn load() -> Result<Self, ConfigError> {
        Self::read(Precedence::Variable)
    }

    /// Reads the configuration while the program runs: the file takes precedence, as the variables are from
    /// the start of the program.
    ///
    /// # Errors
    /// When it cannot be used.
    pub fn reload() -> Result<Self, ConfigError> {
        Self::read(Precedence::File)
    }

    fn read(precedence: Precedence) -> Result<Self, ConfigError> {
        let path = std::env::var_os(FILE_VARIABLE).ok_or(ConfigError::FileNotNamed)?;
        let path = Path::new(&path);
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Unreadable { path: path.into(), source })?;
        Self::parse(&text, |variable, in_file| precedence.choose(std::env::var(variable).ok(), in_file))
            .map_err(|source| ConfigError::Invalid { path: path.into(), source })
    }

    /// Parses the text of a configuration file. `choose` gets the name of a variable and the file's value,
    /// and returns the value that applies. A time that the settings lack or have as 0 is the default one, for
    /// both sockets and policy.
    ///
    /// # Errors
    /// When it cannot be used.
    pub fn parse(
        text: &str, choose: impl Fn(&str, Option<String>) -> Option<String>,
    ) -> Result<Self, ParseError> {
        let file: ConfigFile = serde_json::from_str(text)?;
        let mut settings = ryefront_settings::from_value(&file.settings)?;
        let permissions = Object::member(&file.settings, "permissions")?;
        let connect_timeout = duration_or(DEFAULT_CONNECT_TIMEOUT, permissions.number("dial-timeout-ms")?);
        settings.connect_timeout = millis(connect_timeout);
        if settings.counter_timeout <= 0.0 {
            settings.counter_timeout = millis(DEFAULT_COUNTER_TIMEOUT);
        }
        let counter = settings.has_counter.then(|| address("counter", file.counter)).transpose()?;
        Ok(Self {
            name: choose(NAME_VARIABLE, Some(file.name)).unwrap_or_default(),
            listen: address("listen (or NODE_LISTEN)", choose(LISTEN_VARIABLE, file.listen))?,
            discovery: address("discovery (or NODE_DISCOVERY)", choose(DISCOVERY_VARIABLE, file.discovery))?,
            poll_timing: poll_timing(&file.settings, &settings)?,
            counter,
            seed: seed(&file.seed)?,
            max_sockets: file.limits.max_sockets.unwrap_or(DEFAULT_MAX_SOCKETS),
            cached_endpoints: cached_endpoints(&file.cached_endpoints)?,
            connect_timeout,
            endpoint_idle_timeout: duration_or(
                DEFAULT_ENDPOINT_IDLE_TIMEOUT,
                permissions.number("keepalive-ms")?,
            ),
            settings,
        })
    }
}

fn duration_or(default: Duration, configured: Millis) -> Duration {
    if configured > 0.0 { duration(configured) } else { default }
}

fn address(key: &'static str, text: Option<String>) -> Result<SocketAddr, ParseError> {
    const EXPECTED: &str = "an address and port, as 127.0.0.1:8080";
    let text = text.ok_or(ParseError::Missing { key, expected: EXPECTED })?;
    text.parse().map_err(|_| ParseError::InvalidValue { key, found: text, expected: EXPECTED })
}

fn seed(text: &str) -> Result<u64, ParseError> {
    u64::from_str_radix(text, 16).map_err(|_| ParseError::InvalidValue {
        key: "seed",
        found: text.to_owned(),
        expected: "up to 16 hexadecimal digits",
    })
}

fn cached_endpoints(value: &Value) -> Result<EndpointList, ParseError> {
    match value {
        Value::Null => Ok(EndpointList { version: 0, is_snapshot: true, endpoints: Vec::new() }),
        value => Ok(EndpointList::from_value(value)?),
    }
}

/// The timing of polls, from the time in which a draining endpoint has to be noticed.
fn poll_timing(file_settings: &Value, settings: &Settings) -> Result<PollTiming, ParseError> {
    let drain_grace = Object::member(file_settings, "rules")?.number("drain-grace-ms")?;
    let service =
        if settings.polls_endpoints { DiscoveryService::Shared } else { DiscoveryService::LocalAgent };
    Ok(PollTiming::new(service, duration(drain_grace)))
}
