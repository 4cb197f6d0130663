//! Intercepts system calls of a process under test, into which it is loaded with `LD_PRELOAD`, and makes them
//! fail as Linux documents.
//!
//! The environment variable `FAULTS` contains rules, separated by semicolons. Without it no call is changed.
//!
//! - `seed=N`: the seed of all random decisions.
//! - `CALL=ERRNO/PER_MILLE`: calls fail with this error with a probability of `PER_MILLE` in a thousand.
//!   With `@FROM-TO` appended, the rule applies only from `FROM` to `TO` ms after the first intercepted
//!   call. Calls: `recv`, `send` (also applies to `writev`), `accept` (applies to `accept4`), `socket`
//!   (IPv4 only), `connect`, `setsockopt`, `epoll_ctl` (additions only), `epoll_wait`. Errors: those of
//!   `errno_of`.
//! - `short=PER_MILLE`: reads and writes are limited to a few bytes with this probability. Applies to `recv`,
//!   `send`, and the first buffer of `writev`.
//! - `realtime=MS`: the wall clock is shifted by this many milliseconds. The monotonic clock is not changed.
//!
//! A call that is made to fail has no effect. Calls on standard streams never fail. An invalid rule causes a
//! panic.

use libc::{c_int, c_void, clockid_t, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::CStr;
use std::mem::transmute;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// The maximum length of a short read or write.
const MAX_SHORT_BYTES: u64 = 7;
/// The increment of SplitMix64.
const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
const NANOS_PER_SECOND: i128 = 1_000_000_000;
const NANOS_PER_MILLI: i128 = 1_000_000;
/// The period of a rule without one, in milliseconds: longer than any test.
const ALWAYS: &str = "0-1000000000";

/// A rule that makes calls fail.
struct Rule {
    call: String,
    errno: c_int,
    per_mille: u64,
    from_ms: u128,
    to_ms: u128,
}

/// All rules in `FAULTS`.
struct Faults {
    rules: Vec<Rule>,
    short_per_mille: u64,
    realtime_shift_ms: i64,
    /// The state of the random number generator, SplitMix64.
    random_state: AtomicU64,
    started_at: Instant,
}

impl Faults {
    fn parse(text: &str) -> Self {
        let mut faults = Self {
            rules: Vec::new(),
            short_per_mille: 0,
            realtime_shift_ms: 0,
            random_state: AtomicU64::new(0),
            started_at: Instant::now(),
        };
        for entry in text.split(';').filter(|entry| !entry.is_empty()) {
            let (key, value) = entry.split_once('=').expect("FAULTS: KEY=VALUE");
            match key {
                "seed" => faults.random_state = AtomicU64::new(value.parse().expect("FAULTS: seed")),
                "short" => faults.short_per_mille = value.parse().expect("FAULTS: short"),
                "realtime" => faults.realtime_shift_ms = value.parse().expect("FAULTS: realtime"),
                call => faults.rules.push(Rule::parse(call, value)),
            }
        }
        faults
    }

    /// Returns the next random number below 1000.
    fn random_per_mille(&self) -> u64 {
        let mut bits = self.random_state.fetch_add(GOLDEN_GAMMA, Ordering::Relaxed);
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (bits ^ (bits >> 31)) % 1000
    }

    /// Decides whether the next call of this name fails, and returns the error if so.
    fn next_error(&self, call: &str) -> Option<c_int> {
        let now_ms = self.started_at.elapsed().as_millis();
        let mut rules = self.rules.iter().filter(|rule| rule.applies(call, now_ms));
        rules.find(|rule| self.random_per_mille() < rule.per_mille).map(|rule| rule.errno)
    }

    /// Decides whether a read or write is short, and returns its maximum length.
    fn limit_length(&self, requested: size_t) -> size_t {
        if self.random_per_mille() < self.short_per_mille {
            requested.min((1 + self.random_per_mille() % MAX_SHORT_BYTES) as size_t)
        } else {
            requested
        }
    }
}

impl Rule {
    fn parse(call: &str, value: &str) -> Self {
        let (value, period) = value.split_once('@').unwrap_or((value, ALWAYS));
        let (errno, per_mille) = value.split_once('/').expect("FAULTS: ERRNO/PER_MILLE");
        let (from, to) = period.split_once('-').expect("FAULTS: @FROM-TO");
        let millis = |text: &str| text.parse::<u128>().expect("FAULTS: a number");
        Self {
            call: call.to_owned(),
            errno: errno_of(errno),
            per_mille: per_mille.parse().expect("FAULTS: PER_MILLE"),
            from_ms: millis(from),
            to_ms: millis(to),
        }
    }

    fn applies(&self, call: &str, now_ms: u128) -> bool {
        self.call == call && (self.from_ms..self.to_ms).contains(&now_ms)
    }
}

fn errno_of(name: &str) -> c_int {
    match name {
        "EADDRNOTAVAIL" => libc::EADDRNOTAVAIL,
        "ECONNABORTED" => libc::ECONNABORTED,
        "EINTR" => libc::EINTR,
        "EMFILE" => libc::EMFILE,
        "ENETUNREACH" => libc::ENETUNREACH,
        "ENFILE" => libc::ENFILE,
        "ENOBUFS" => libc::ENOBUFS,
        "ENOMEM" => libc::ENOMEM,
        "EPROTO" => libc::EPROTO,
        other => panic!("FAULTS: unknown error {other}"),
    }
}

static FAULTS: OnceLock<Faults> = OnceLock::new();

fn faults() -> &'static Faults {
    FAULTS.get_or_init(|| Faults::parse(&std::env::var("FAULTS").unwrap_or_default()))
}

/// Decides whether this call on `fd` fails, and sets `errno` if it does.
fn inject_error(call: &str, fd: c_int) -> bool {
    if fd <= libc::STDERR_FILENO {
        return false;
    }
    let Some(errno) = faults().next_error(call) else { return false };
    // SAFETY: `__errno_location` returns a valid pointer to the `errno` of this thread.
    unsafe { *libc::__errno_location() = errno };
    true
}

/// Returns the address of a symbol in the libraries loaded after this one.
fn next_symbol(name: &CStr) -> usize {
    // SAFETY: the name ends with a nul.
    let address = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(!address.is_null(), "{name:?} is not defined");
    address as usize
}

/// Calls the intercepted function with this name and type in the C library.
macro_rules! call_original {
    ($name:literal as $function_type:ty, $($argument:expr),*) => {{
        static ORIGINAL: OnceLock<usize> = OnceLock::new();
        let address = *ORIGINAL.get_or_init(|| next_symbol($name));
        // SAFETY: the symbol of this name has this type, and the arguments are those of the caller.
        unsafe { transmute::<usize, $function_type>(address)($($argument),*) }
    }};
}

type RecvFn = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type SendFn = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type WritevFn = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
type SocketFn = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
type Accept4Fn = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type ConnectFn = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type SetsockoptFn = unsafe extern "C" fn(c_int, c_int, c_int, *const c_void, socklen_t) -> c_int;
type EpollCtlFn = unsafe extern "C" fn(c_int, c_int, c_int, *mut epoll_event) -> c_int;
type EpollWaitFn = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;
type ClockGettimeFn = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;

#[unsafe(no_mangle)]
unsafe extern "C" fn recv(fd: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if inject_error("recv", fd) {
        return -1;
    }
    call_original!(c"recv" as RecvFn, fd, bytes, faults().limit_length(length), flags)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if inject_error("send", fd) {
        return -1;
    }
    call_original!(c"send" as SendFn, fd, bytes, faults().limit_length(length), flags)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    if inject_error("send", fd) {
        return -1;
    }
    if fd > libc::STDERR_FILENO && count > 0 {
        // SAFETY: the caller passes `count` valid parts, of which there is at least one.
        let first = unsafe { *parts };
        let length = faults().limit_length(first.iov_len);
        if length < first.iov_len {
            return call_original!(c"send" as SendFn, fd, first.iov_base, length, libc::MSG_NOSIGNAL);
        }
    }
    call_original!(c"writev" as WritevFn, fd, parts, count)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    // There is no descriptor yet, so a placeholder that is not a standard stream is passed.
    if domain == libc::AF_INET && inject_error("socket", c_int::MAX) {
        return -1;
    }
    call_original!(c"socket" as SocketFn, domain, kind, protocol)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn accept4(fd: c_int, from: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int {
    if inject_error("accept", fd) {
        return -1;
    }
    call_original!(c"accept4" as Accept4Fn, fd, from, length, flags)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn connect(fd: c_int, to: *const sockaddr, length: socklen_t) -> c_int {
    if inject_error("connect", fd) {
        return -1;
    }
    call_original!(c"connect" as ConnectFn, fd, to, length)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn setsockopt(
    fd: c_int, level: c_int, name: c_int, value: *const c_void, length: socklen_t,
) -> c_int {
    if inject_error("setsockopt", fd) {
        return -1;
    }
    call_original!(c"setsockopt" as SetsockoptFn, fd, level, name, value, length)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_ctl(epoll: c_int, operation: c_int, fd: c_int, event: *mut epoll_event) -> c_int {
    if operation == libc::EPOLL_CTL_ADD && inject_error("epoll_ctl", fd) {
        return -1;
    }
    call_original!(c"epoll_ctl" as EpollCtlFn, epoll, operation, fd, event)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_wait(
    epoll: c_int, events: *mut epoll_event, max_events: c_int, timeout: c_int,
) -> c_int {
    if inject_error("epoll_wait", epoll) {
        return -1;
    }
    call_original!(c"epoll_wait" as EpollWaitFn, epoll, events, max_events, timeout)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let result = call_original!(c"clock_gettime" as ClockGettimeFn, clock, time);
    if clock == libc::CLOCK_REALTIME && result == 0 {
        // SAFETY: the call succeeded, so the pointer is valid and its target initialized.
        let time = unsafe { &mut *time };
        let nanos = i128::from(time.tv_sec) * NANOS_PER_SECOND
            + i128::from(time.tv_nsec)
            + i128::from(faults().realtime_shift_ms) * NANOS_PER_MILLI;
        time.tv_sec = nanos.div_euclid(NANOS_PER_SECOND) as i64;
        time.tv_nsec = nanos.rem_euclid(NANOS_PER_SECOND) as i64;
    }
    result
}
