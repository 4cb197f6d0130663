//! Runs the gateway as a child process with its own configuration file.

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

/// A text replacement in the configuration.
#[derive(Clone, Debug)]
pub(crate) struct ConfigEdit {
    old: String,
    new: String,
}

impl ConfigEdit {
    /// Replaces `old` by `new`; `old` must occur in the configuration.
    pub(crate) fn new(old: impl ToString, new: impl ToString) -> Self {
        Self { old: old.to_string(), new: new.to_string() }
    }
}

/// The parts of a gateway's configuration and environment that differ between tests.
pub(crate) struct GatewayOptions {
    /// The refill rate of the tenants' plan, in units per second.
    pub(crate) refill_rate: f64,
    /// The burst of the tenants' plan, in units.
    pub(crate) burst: f64,
    pub(crate) gateway_count: u32,
    pub(crate) gateway_index: u32,
    /// The endpoint list that the configuration contains, used until discovery sends one.
    pub(crate) cached_endpoints: String,
    /// The limit of open file descriptors.
    pub(crate) max_sockets: usize,
    /// The maximum duration of slow start; ejections last for a fraction of it.
    pub(crate) slow_start_ms: u64,
    pub(crate) config_edits: Vec<ConfigEdit>,
    /// The system calls that fail in the gateway, in the syntax of the `fault-injection` package; empty for
    /// none.
    pub(crate) system_call_faults: String,
}

impl GatewayOptions {
    /// The default options, with these entries in the cached endpoint list.
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

    /// The default options, with one cached endpoint named `b`.
    pub(crate) fn with_endpoint(address: SocketAddr) -> Self {
        Self::with_entries(&[in_service("b", address)])
    }

    /// Sets the system calls that fail, see [`Self::system_call_faults`].
    pub(crate) fn with_faults(self, faults: &str) -> Self {
        Self { system_call_faults: faults.to_owned(), ..self }
    }

    /// Sets the latency objectives, the counter timeout and the connect timeout to `ms`, so that requests
    /// wait for quota, for an endpoint and for the response.
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
            assert!(text.contains(&edit.old), "configuration does not contain {}", edit.old);
            text.replace(&edit.old, &edit.new)
        })
    }

    /// Starts the process through a shell that limits its open file descriptors.
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
            .expect("failed to start the gateway")
    }
}

/// The path of the fault injection library. As a dev-dependency it is built into the directory of the test
/// binary.
fn fault_library() -> PathBuf {
    let tests = std::env::current_exe().expect("failed to get the path of the test binary");
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
    /// Whether reading of the log has stopped while the read end of its pipe stays open.
    log_reading_paused: Arc<AtomicBool>,
}

impl GatewayProcess {
    /// Starts a gateway and waits until it listens; the first log line contains its address.
    pub(crate) async fn start(discovery: SocketAddr, counter: SocketAddr, options: &GatewayOptions) -> Self {
        let config_text = options.config_text(discovery, counter);
        let file_number = NEXT_CONFIG_FILE.fetch_add(1, SeqCst);
        let file_name = format!("ryefront-gateway-{}-{file_number}.json", std::process::id());
        let config_file = std::env::temp_dir().join(file_name);
        std::fs::write(&config_file, &config_text).expect("failed to write the configuration");
        let mut child = options.spawn(&config_file, discovery);
        let mut lines = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
        let first = within_timeout("the gateway's first log line", lines.next_line()).await;
        let first = first.expect("failed to read the log").expect("gateway exited without a log line");
        let address =
            first.rsplit(' ').next().and_then(|a| a.parse().ok()).expect("no address in the first log line");
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let recorded = log.clone();
        let log_reading_paused = Arc::<AtomicBool>::default();
        let paused = log_reading_paused.clone();
        let log_reader = tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                recorded.lock().expect("lock poisoned").push(line);
                if paused.load(SeqCst) {
                    std::future::pending().await
                }
            }
        });
        Self { address, child, config_file, config_text, log, log_reader, log_reading_paused }
    }

    /// Opens a client connection.
    pub(crate) async fn client(&self) -> TestClient {
        TestClient::connect(self.address).await
    }

    /// Sends a request on a new connection and reads its response.
    pub(crate) async fn request(&self, text: &str) -> HttpMessage {
        self.client().await.request(text).await
    }

    /// The number of log lines that start with this prefix.
    pub(crate) fn count_log_lines(&self, prefix: &str) -> usize {
        self.log_lines(prefix).len()
    }

    /// The log lines that start with this prefix.
    pub(crate) fn log_lines(&self, prefix: &str) -> Vec<String> {
        self.log
            .lock()
            .expect("lock poisoned")
            .iter()
            .filter(|line| line.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Stops reading the log after the next line and keeps the read end of its pipe open.
    pub(crate) fn stop_reading_log(&self) {
        self.log_reading_paused.store(true, SeqCst);
    }

    /// Closes the read end of the log pipe, so that subsequent writes of the gateway fail.
    pub(crate) async fn close_log(&mut self) {
        self.log_reader.abort();
        let _ = (&mut self.log_reader).await;
    }

    /// Rewrites the configuration file without sending a signal; `edit` gets the text the gateway started
    /// with.
    pub(crate) fn write_config(&self, edit: impl Fn(&str) -> String) {
        std::fs::write(&self.config_file, edit(&self.config_text))
            .expect("failed to write the configuration");
    }

    /// Rewrites the configuration file, sends SIGHUP, and waits until the gateway logs the result.
    pub(crate) async fn reconfigure(&mut self, edits: &[ConfigEdit]) {
        self.write_config(|text| {
            edits.iter().fold(text.to_owned(), |text, edit| text.replace(&edit.old, &edit.new))
        });
        let before = self.count_log_lines("configuration ");
        self.send_sighup();
        wait_until("a log line about the configuration", || self.count_log_lines("configuration ") > before)
            .await;
    }

    /// Sends SIGHUP, which makes the gateway reload its configuration.
    pub(crate) fn send_sighup(&self) {
        self.send_signal("-HUP");
    }

    /// Sends SIGTERM, which starts a graceful shutdown.
    pub(crate) fn send_sigterm(&self) {
        self.send_signal("-TERM");
    }

    /// Suspends the process. Events until [`Self::resume`] are processed in one iteration of its event loop.
    pub(crate) fn suspend(&self) {
        self.send_signal("-STOP");
    }

    /// Resumes a suspended process.
    pub(crate) fn resume(&self) {
        self.send_signal("-CONT");
    }

    fn send_signal(&self, signal: &str) {
        let id = self.child.id().expect("gateway has exited").to_string();
        let sent =
            std::process::Command::new("kill").args([signal, &id]).status().expect("failed to run kill");
        assert!(sent.success());
    }

    /// The number of file descriptors the process has open.
    pub(crate) fn open_descriptors(&self) -> usize {
        let id = self.child.id().expect("gateway has exited");
        std::fs::read_dir(format!("/proc/{id}/fd")).expect("failed to list the open descriptors").count()
    }

    /// The resident memory of the process, in KiB.
    pub(crate) fn resident_memory_kib(&self) -> u64 {
        self.process_status_kib("VmRSS:")
    }

    /// The resident anonymous memory of the process, in KiB: without the pages of the program's file, which
    /// depend on the build profile.
    pub(crate) fn anonymous_memory_kib(&self) -> u64 {
        self.process_status_kib("RssAnon:")
    }

    fn process_status_kib(&self, key: &str) -> u64 {
        let id = self.child.id().expect("gateway has exited");
        let status =
            std::fs::read_to_string(format!("/proc/{id}/status")).expect("failed to read the process status");
        let value = status.lines().find_map(|line| line.strip_prefix(key)).expect("no such line");
        value.trim().trim_end_matches(" kB").parse().expect("not a number of KiB")
    }

    /// Waits until the readiness check fails, which shows that draining has begun; that is shortly after the
    /// signal.
    pub(crate) async fn wait_until_draining(&self) {
        within_timeout("the start of draining", async {
            loop {
                let response = self.request(READINESS_REQUEST).await;
                if response.status() == 503 {
                    break assert_eq!(response.headers["connection"], "close");
                }
            }
        })
        .await;
    }

    /// Waits until the process exits.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        within_timeout("the gateway's exit", self.child.wait()).await.expect("failed to wait for the gateway")
    }

    /// Waits until the process exits; panics unless its exit code is 0.
    pub(crate) async fn expect_clean_exit(&mut self) {
        assert_eq!(self.wait_for_exit().await.code(), Some(0));
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.config_file);
    }
}

/// A gateway with its counter and a discovery service that has not published a list yet.
pub(crate) struct TestEnvironment {
    pub(crate) gateway: GatewayProcess,
    pub(crate) discovery: TestDiscovery,
    pub(crate) counter: TestCounter,
}

impl TestEnvironment {
    /// Starts a gateway with these cached endpoints, named `b0`, `b1` and so on, and a counter without
    /// faults.
    pub(crate) async fn with_endpoints(endpoints: &[&TestEndpoint]) -> Self {
        let named = endpoints.iter().enumerate();
        let entries: Vec<_> =
            named.map(|(n, endpoint)| in_service(&format!("b{n}"), endpoint.address)).collect();
        Self::start(&GatewayOptions::with_entries(&entries), CounterBehavior::Add).await
    }

    /// Starts a gateway with these options and a counter with this behavior.
    pub(crate) async fn start(options: &GatewayOptions, behavior: CounterBehavior) -> Self {
        let discovery = TestDiscovery::start().await;
        let counter = TestCounter::start(behavior).await;
        let gateway = GatewayProcess::start(discovery.address, counter.address, options).await;
        Self { gateway, discovery, counter }
    }
}
