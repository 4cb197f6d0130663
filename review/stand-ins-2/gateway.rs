//! A gateway as a process of its own, started with the command of the deploy file.

use std::fs::{self, File};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A folder for temporary files that is removed at the end.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create() -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// What differs between the gateways of a case.
pub struct Options<'a> {
    pub name: &'a str,
    pub discovery: SocketAddr,
    pub counter: SocketAddr,
    pub sockets: u32,
    pub memory_mb: u32,
    pub known: &'a str,
    /// The settings object without its outer braces.
    pub settings: &'a str,
}

/// A gateway, which is killed when this is dropped.
pub struct Gateway {
    pub address: SocketAddr,
    child: Child,
}

impl Gateway {
    /// Starts a gateway and waits until it is ready.
    pub fn start(folder: &Path, options: &Options) -> Result<Self, String> {
        let run = deploy_command("run").ok_or("deploy/balancer.toml has no run command")?;
        let Options { name, discovery, counter, sockets, memory_mb, known, settings } = options;
        let config = format!(
            r#"{{"name":"{name}","listen":"127.0.0.1:0","discovery":"{discovery}","counter":"{counter}",
"seed":"8c1f30d27a5be9{}","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{known},"settings":{{{settings}}}}}"#,
            name.bytes().fold(17_u32, |sum, byte| (sum * 31 + u32::from(byte)) % 256)
        );
        let config_path = folder.join(format!("{name}.json"));
        fs::write(&config_path, config).map_err(|error| error.to_string())?;
        let log_path = folder.join(format!("{name}.log"));
        let log = File::create(&log_path).map_err(|error| error.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("NODE_CONFIG", &config_path)
            .env_remove("NODE_LISTEN")
            .env_remove("NODE_DISCOVERY")
            .env("NODE_NAME", name)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{run}: {error}"))?;
        let mut gateway = Self { address: SocketAddr::from(([127, 0, 0, 1], 0)), child };
        let deadline = Instant::now() + Duration::from_secs(30);
        while Instant::now() < deadline {
            sleep(Duration::from_millis(20));
            let log = fs::read_to_string(&log_path).unwrap_or_default();
            let address = log.lines().find_map(|line| line.split_once(": listening at ")?.1.parse().ok());
            let Some(address) = address else { continue };
            gateway.address = address;
            if gateway.is_ready() {
                return Ok(gateway);
            }
        }
        Err(format!("gateway {name} was not ready within 30 s"))
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n").is_ok()
            && matches!(crate::http::read(&mut BufReader::new(stream)), Ok(Some(answer)) if answer.status() == 200)
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A command of the deploy file; the current folder is the repository's root.
fn deploy_command(key: &str) -> Option<String> {
    let text = fs::read_to_string("deploy/balancer.toml").ok()?;
    let line = text.lines().find(|line| line.split('=').next().is_some_and(|name| name.trim() == key))?;
    Some(line.split_once('"')?.1.rsplit_once('"')?.0.to_owned())
}
