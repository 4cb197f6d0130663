//! The gateway as a process with a configuration of its own.

use super::{
    CounterBehavior, HttpMessage, READINESS_REQUEST, TestClient, TestCounter, TestDiscovery, TestEndpoint,
    in_service, snapshot, wait_until, within_timeout,
};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

static NEXT_CONFIG_FILE: AtomicU32 = AtomicU32::new(0);

/// A text of the configuration that is replaced by another.
#[derive(Clone, Debug)]
pub(crate) struct ConfigEdit {
    old: String,
    new: String,
}

impl ConfigEdit {
    /// `old` must be part of the configuration.
    pub(crate) fn new(old: impl ToString, new: impl ToString) -> Self {
        Self { old: old.to_string(), new: new.to_string() }
    }
}

/// How a gateway's configuration differs from the usual one.
pub(crate) struct GatewayOptions {
    /// Units per second of the tenants' plan.
    pub(crate) refill_rate: f64,
    /// Units of the tenants' plan at most.
    pub(crate) burst: f64,
    pub(crate) gateway_count: u32,
    pub(crate) gateway_index: u32,
    /// The endpoint list that the gateway starts with.
    pub(crate) cached_endpoints: String,
    /// The limit of open descriptors.
    pub(crate) max_sockets: usize,
    /// How long slow start may last, in milliseconds; ejections last for a fraction of it.
    pub(crate) slow_start_ms: u64,
    pub(crate) config_edits: Vec<ConfigEdit>,
    /// Which system calls of the gateway fail, in the syntax of the package `fault-injection`.
    pub(crate) system_call_faults: String,
}

impl GatewayOptions {
    /// The usual options, with these entries of the endpoint list cached.
    pub(crate) fn with_entries(entries: &[String]) -> Self {
        Self {
            refill_rate: 500.0,
            burst: 1000.0,
            gateway_count: 1,
            gateway_index: 0,
            cached_endpoints: snapshot(1, entries),
            max_sockets: 1024,
            slow_start_ms: 1000,
            config_edits: Vec::new(),
            system_call_faults: String::new(),
        }
    }

    /// The same, with one endpoint named `b`.
    pub(crate) fn with_endpoint(address: SocketAddr) -> Self {
        Self::with_entries(&[in_service("b", address)])
    }

    /// The same, with system calls that fail.
    pub(crate) fn with_faults(self, faults: &str) -> Self {
        Self { system_call_faults: faults.to_owned(), ..self }
    }

    /// The same, with latency objectives and timeouts of the counter and of connection attempts so long that
    /// requests wait for quota, endpoint and response.
    pub(crate) fn with_long_timeouts(self, ms: u64) -> Self {
        let config_edits = vec![
            ConfigEdit::new(r#""goal-time-ms":800"#, format!(r#""goal-time-ms":{ms}"#)),
            ConfigEdit::new(r#""count-limit-ms":50"#, format!(r#""count-limit-ms":{ms}"#)),
            ConfigEdit::new(r#""most-tries":6"#, format!(r#""most-tries":6,"dial-timeout-ms":{ms}"#)),
        ];
        Self { config_edits, ..self }
    }

    fn config_text(&self, discovery: SocketAddr, counter: SocketAddr) -> String {
        let Self { refill_rate, burst, gateway_count, gateway_index, cached_endpoints, .. } = self;
        let Self { max_sockets, slow_start_ms, config_edits, .. } = self;
        let text = format!(
            r#"{{"name":"t","listen":"127.0.0.1:0","discovery":"{discovery}","counter":"{counter}",
            "seed":"{gateway_index}7f","limits":{{"sockets":{max_sockets}}},"known":{cached_endpoints},
            "settings":{{
            "fleet-size":{gateway_count},"my-number":{gateway_index},"period-ms":4,"locality":"z","classes":[
            {{"name":"read","effect":"idempotent","goal-time-ms":800,"worth":1}},
            {{"name":"upsert","effect":"deduplicated","dedup-scope":"cell","window-ms":4000,
              "goal-time-ms":800,"worth":1}},
            {{"name":"order","effect":"at_most_once","goal-time-ms":800,"worth":1}}],
            "plans":[{{"name":"p","refill":{refill_rate},"burst":{burst},"worth-factor":1}},
            {{"name":"free","worth-factor":1}}],
            "extra":{{"has-counter":true,"count-limit-ms":50,"units-top":1}},
            "permissions":{{"most-tries":6,"may-cancel":true,"max-retry-after-ms":1000}},
            "rules":{{"cold-from":0.2,"cold-ms":{slow_start_ms}}}}}}}"#
        );
        config_edits.iter().fold(text, |text, edit| {
            assert!(text.contains(&edit.old), "{} is not in the configuration", edit.old);
            text.replace(&edit.old, &edit.new)
        })
    }

    /// Starts the process; the shell limits its open descriptors.
    fn spawn(&self, config_file: &PathBuf, discovery: SocketAddr) -> Child {
        let script = r#"ulimit -n "$0" && exec "$1""#;
        let mut command = Command::new("sh");
        if !self.system_call_faults.is_empty() {
            command.env("LD_PRELOAD", fault_library()).env("FAULTS", &self.system_call_faults);
        }
        command
            .args(["-c", script, &self.max_sockets.to_string(), env!("CARGO_BIN_EXE_ryefront-gateway")])
            .env("NODE_CONFIG", config_file)
            .env_remove("NODE_LISTEN")
            .env("NODE_DISCOVERY", discovery.to_string())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("a gateway")
    }
}

/// The library that makes system calls fail: as a dependency of the tests it is built beside them.
fn fault_library() -> PathBuf {
    let tests = std::env::current_exe().expect("this program");
    let library = tests.with_file_name("libfault_injection.so");
    assert!(library.exists(), "{} was not built", library.display());
    library
}

/// A running gateway.
pub(crate) struct GatewayProcess {
    pub(crate) address: SocketAddr,
    child: Child,
    config_file: PathBuf,
    config_text: String,
    log: Arc<Mutex<Vec<String>>>,
    log_reader: tokio::task::JoinHandle<()>,
    /// Whether the log is no longer read, though its reading end is open.
    log_reading_paused: Arc<AtomicBool>,
}

impl GatewayProcess {
    /// Starts a gateway and waits until it listens.
    pub(crate) async fn start(discovery: SocketAddr, counter: SocketAddr, options: &GatewayOptions) -> Self {
        let config_text = options.config_text(discovery, counter);
        let file_number = NEXT_CONFIG_FILE.fetch_add(1, SeqCst);
        let file_name = format!("ryefront-gateway-{}-{file_number}.json", std::process::id());
        let config_file = std::env::temp_dir().join(file_name);
        std::fs::write(&config_file, &config_text).expect("a file");
        let mut child = options.spawn(&config_file, discovery);
        let mut lines = BufReader::new(child.stderr.take().expect("its log")).lines();
        let first = within_timeout("the gateway's first log line", lines.next_line()).await;
        let first = first.expect("a log").expect("a line");
        let address = first.rsplit(' ').next().and_then(|a| a.parse().ok()).expect("an address");
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let recorded = log.clone();
        let log_reading_paused = Arc::<AtomicBool>::default();
        let paused = log_reading_paused.clone();
        let log_reader = tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                recorded.lock().expect("lock").push(line);
                if paused.load(SeqCst) {
                    std::future::pending().await
                }
            }
        });
        Self { address, child, config_file, config_text, log, log_reader, log_reading_paused }
    }

    /// A client with a new connection.
    pub(crate) async fn client(&self) -> TestClient {
        TestClient::connect(self.address).await
    }

    /// Sends a request on a new connection and reads its response.
    pub(crate) async fn request(&self, text: &str) -> HttpMessage {
        self.client().await.request(text).await
    }

    /// How many lines of the log start with this prefix.
    pub(crate) fn count_log_lines(&self, prefix: &str) -> usize {
        self.log_lines(prefix).len()
    }

    /// The lines of the log that start with this prefix.
    pub(crate) fn log_lines(&self, prefix: &str) -> Vec<String> {
        self.log.lock().expect("lock").iter().filter(|line| line.starts_with(prefix)).cloned().collect()
    }

    /// Stops reading the log, after the next line, without closing its reading end.
    pub(crate) fn stop_reading_log(&self) {
        self.log_reading_paused.store(true, SeqCst);
    }

    /// Closes the reading end of the log, so that the gateway's writes to it fail from now on.
    pub(crate) async fn close_log(&mut self) {
        self.log_reader.abort();
        let _ = (&mut self.log_reader).await;
    }

    /// Rewrites the configuration file from the text the gateway was started with, without a signal.
    pub(crate) fn write_config(&self, edit: impl Fn(&str) -> String) {
        std::fs::write(&self.config_file, edit(&self.config_text)).expect("a file");
    }

    /// Rewrites the configuration file, sends SIGHUP, and waits until the gateway has logged the result.
    pub(crate) async fn reconfigure(&mut self, edits: &[ConfigEdit]) {
        self.write_config(|text| {
            edits.iter().fold(text.to_owned(), |text, edit| text.replace(&edit.old, &edit.new))
        });
        let before = self.count_log_lines("configuration ");
        self.send_sighup();
        wait_until("a log line on the configuration", || self.count_log_lines("configuration ") > before)
            .await;
    }

    /// Sends the signal at which the gateway reads its configuration again.
    pub(crate) fn send_sighup(&self) {
        self.send_signal("-HUP");
    }

    /// Sends the signal that starts a graceful shutdown.
    pub(crate) fn send_sigterm(&self) {
        self.send_signal("-TERM");
    }

    /// Suspends the process; it processes what happens until [`Self::resume`] in one turn of its event loop.
    pub(crate) fn suspend(&self) {
        self.send_signal("-STOP");
    }

    /// Continues a suspended process.
    pub(crate) fn resume(&self) {
        self.send_signal("-CONT");
    }

    fn send_signal(&self, signal: &str) {
        let id = self.child.id().expect("a process").to_string();
        let sent = std::process::Command::new("kill").args([signal, &id]).status().expect("kill");
        assert!(sent.success());
    }

    /// How many descriptors the process has open.
    pub(crate) fn open_descriptors(&self) -> usize {
        let id = self.child.id().expect("a process");
        std::fs::read_dir(format!("/proc/{id}/fd")).expect("its descriptors").count()
    }

    /// The resident memory of the process, in KiB.
    pub(crate) fn resident_memory_kib(&self) -> u64 {
        let id = self.child.id().expect("a process");
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("its status");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("its memory");
        line.trim().trim_end_matches(" kB").parse().expect("a number")
    }

    /// Waits until draining has begun, which is a moment after the signal: the readiness check fails.
    pub(crate) async fn wait_until_draining(&self) {
        within_timeout("draining", async {
            loop {
                let response = self.request(READINESS_REQUEST).await;
                if response.status() == 503 {
                    break assert_eq!(response.headers["connection"], "close");
                }
            }
        })
        .await;
    }

    /// Waits until the process has ended.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        within_timeout("the gateway's exit", self.child.wait()).await.expect("a status")
    }

    /// Waits until the process has ended; panics unless its exit code is 0.
    pub(crate) async fn expect_clean_exit(&mut self) {
        assert_eq!(self.wait_for_exit().await.code(), Some(0));
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.config_file);
    }
}

/// A gateway with a discovery service that has published nothing yet and a counter.
pub(crate) struct TestEnvironment {
    pub(crate) gateway: GatewayProcess,
    pub(crate) discovery: TestDiscovery,
    pub(crate) counter: TestCounter,
}

impl TestEnvironment {
    /// With these endpoints in service, named `b0`, `b1` and so on, and a counter that works.
    pub(crate) async fn with_endpoints(endpoints: &[&TestEndpoint]) -> Self {
        let named = endpoints.iter().enumerate();
        let entries: Vec<_> =
            named.map(|(n, endpoint)| in_service(&format!("b{n}"), endpoint.address)).collect();
        Self::start(&GatewayOptions::with_entries(&entries), CounterBehavior::Add).await
    }

    /// With these options and a counter that behaves so.
    pub(crate) async fn start(options: &GatewayOptions, behavior: CounterBehavior) -> Self {
        let discovery = TestDiscovery::start().await;
        let counter = TestCounter::start(behavior).await;
        let gateway = GatewayProcess::start(discovery.address, counter.address, options).await;
        Self { gateway, discovery, counter }
    }
}
