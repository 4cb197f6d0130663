//! The configuration of a gateway, from environment variables and the JSON file whose path is in
//! `NODE_CONFIG`.

use crate::client::MAX_DEADLINE_MS;
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

/// The environment variable with the path of the configuration file.
const PATH_VARIABLE: &str = "NODE_CONFIG";
/// The environment variables for values that the file may contain as well.
const NAME_VARIABLE: &str = "NODE_NAME";
const LISTEN_VARIABLE: &str = "NODE_LISTEN";
const DISCOVERY_VARIABLE: &str = "NODE_DISCOVERY";

/// The timeouts that are used where the settings have none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
const DEFAULT_ENDPOINT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const DEFAULT_COUNTER_TIMEOUT: Duration = Duration::from_millis(50);
/// The limit of file descriptors that is used where the configuration has none.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// The memory limit that is used where the configuration has none, in MB.
const DEFAULT_MAX_MEMORY_MB: f64 = 192.0;
const BYTES_PER_MB: f64 = 1e6;
/// The state of all tenants may use the memory limit divided by this.
const TENANT_MEMORY_DIVISOR: u64 = 8;
/// The memory that the state of one tenant uses, rounded up.
const BYTES_PER_TENANT: u64 = 512;
/// The most tenants whose state is kept, however much memory there is: all are visited 40 times a second.
const MAX_TENANTS: usize = 16_384;

/// Why the configuration cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The path of the file is not set.
    #[error("{PATH_VARIABLE} is not set, expected the path of the configuration file")]
    PathNotSet,
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The content of the file, or a variable, is invalid.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// The invalid part.
        source: ParseError,
    },
}

/// Why a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The text is not JSON, or a field is missing or has the wrong type.
    #[error("malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A value is missing.
    #[error("{key} is missing, expected {expected}")]
    Missing {
        /// The key of the value.
        key: &'static str,
        /// The expected form of the value.
        expected: &'static str,
    },
    /// A value is invalid.
    #[error("{key} is {found:?}, expected {expected}")]
    InvalidValue {
        /// The key of the value.
        key: &'static str,
        /// The invalid value.
        found: String,
        /// The expected form of the value.
        expected: &'static str,
    },
    /// The cached endpoint list is invalid.
    #[error("known: {0}")]
    CachedEndpoints(#[from] EndpointListError),
    /// The settings are invalid.
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
    max_descriptors: Option<usize>,
    #[serde(rename = "memory_mb")]
    max_memory_mb: Option<f64>,
}

/// Which value applies if both an environment variable and the file have one.
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
    /// The name of the gateway, for the log.
    pub name: String,
    /// The address to listen at for clients.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The timing of the polls to the discovery service.
    pub poll_timing: PollTiming,
    /// The address of the counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// The seed of the random number generators.
    pub seed: u64,
    /// The maximum number of file descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The memory that the process may use before the platform kills it, in bytes.
    pub max_memory_bytes: u64,
    /// The last known endpoint list, used until one is received from discovery.
    pub cached_endpoints: EndpointList,
    /// The timeout for connecting to an endpoint.
    pub connect_timeout: Duration,
    /// How long a connection may be idle before its endpoint closes it.
    pub endpoint_idle_timeout: Duration,
    /// The longest deadline of a request that the settings name, if they name any.
    pub longest_deadline: Option<Duration>,
    /// The settings of the policy.
    pub settings: Settings,
}

impl Config {
    /// Reads the configuration at startup. Environment variables take precedence over the file.
    ///
    /// # Errors
    /// If the file cannot be read or a value is invalid.
    pub fn load() -> Result<Self, ConfigError> {
        Self::read(Precedence::Variable)
    }

    /// Reads the configuration while the program runs. The file takes precedence, as the environment
    /// variables still have their values from startup.
    ///
    /// # Errors
    /// If the file cannot be read or a value is invalid.
    pub fn reload() -> Result<Self, ConfigError> {
        Self::read(Precedence::File)
    }

    fn read(precedence: Precedence) -> Result<Self, ConfigError> {
        let path = std::env::var_os(PATH_VARIABLE).ok_or(ConfigError::PathNotSet)?;
        let path = Path::new(&path);
        let text = std::fs::read_to_string(path)
            .map_err(|source| ConfigError::Unreadable { path: path.into(), source })?;
        Self::parse(&text, |variable, in_file| precedence.choose(std::env::var(variable).ok(), in_file))
            .map_err(|source| ConfigError::Invalid { path: path.into(), source })
    }

    /// Parses the text of a configuration file. `choose` receives the name of an environment variable and the
    /// value in the file, and returns the value that applies. A timeout that is missing or 0 in the settings
    /// gets its default, for both sockets and policy.
    ///
    /// # Errors
    /// If the text is malformed or a value is missing or invalid.
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
        let max_memory_bytes = max_memory_bytes(file.limits.max_memory_mb)?;
        settings.max_tenants = max_tenants(max_memory_bytes);
        let counter = settings.has_counter.then(|| address("counter", file.counter)).transpose()?;
        Ok(Self {
            name: choose(NAME_VARIABLE, Some(file.name)).unwrap_or_default(),
            listen: address("listen (or NODE_LISTEN)", choose(LISTEN_VARIABLE, file.listen))?,
            discovery: address("discovery (or NODE_DISCOVERY)", choose(DISCOVERY_VARIABLE, file.discovery))?,
            poll_timing: poll_timing(&file.settings, &settings)?,
            counter,
            seed: seed(&file.seed)?,
            max_descriptors: file.limits.max_descriptors.unwrap_or(DEFAULT_MAX_DESCRIPTORS),
            max_memory_bytes,
            cached_endpoints: cached_endpoints(&file.cached_endpoints)?,
            connect_timeout,
            endpoint_idle_timeout: duration_or(
                DEFAULT_ENDPOINT_IDLE_TIMEOUT,
                permissions.number("keepalive-ms")?,
            ),
            longest_deadline: longest_deadline(&file.settings)?,
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

fn max_memory_bytes(max_memory_mb: Option<f64>) -> Result<u64, ParseError> {
    let megabytes = max_memory_mb.unwrap_or(DEFAULT_MAX_MEMORY_MB);
    if megabytes > 0.0 {
        return Ok((megabytes * BYTES_PER_MB) as u64);
    }
    Err(ParseError::InvalidValue {
        key: "limits.memory_mb",
        found: megabytes.to_string(),
        expected: "a number of megabytes above 0",
    })
}

/// The most tenants whose state is kept: an eighth of the memory, but no more than are quickly maintained.
fn max_tenants(max_memory_bytes: u64) -> usize {
    let tenants = max_memory_bytes / TENANT_MEMORY_DIVISOR / BYTES_PER_TENANT;
    usize::try_from(tenants).unwrap_or(usize::MAX).clamp(1, MAX_TENANTS)
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

/// Returns the longest deadline that the settings name, but at most [`MAX_DEADLINE_MS`].
fn longest_deadline(file_settings: &Value) -> Result<Option<Duration>, ParseError> {
    let longest = ryefront_settings::longest_deadline(file_settings)?;
    Ok(longest.map(|longest| duration(longest.min(MAX_DEADLINE_MS as Millis))))
}

/// Returns the timing of polls, so that a gateway learns of a draining endpoint within the drain grace
/// period.
fn poll_timing(file_settings: &Value, settings: &Settings) -> Result<PollTiming, ParseError> {
    let drain_grace = Object::member(file_settings, "rules")?.number("drain-grace-ms")?;
    let service =
        if settings.polls_endpoints { DiscoveryService::Shared } else { DiscoveryService::LocalAgent };
    Ok(PollTiming::new(service, duration(drain_grace)))
}
