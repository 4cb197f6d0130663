//! Interposes system calls of a process under test (`LD_PRELOAD`) and makes them fail as Linux documents.
//!
//! The environment variable `FAULTS` holds rules, separated by semicolons; without it nothing is changed:
//!
//! - `seed=N`: the seed of all chance.
//! - `CALL=ERRNO/PER_MILLE`, optionally followed by `@FROM-TO`: so many of a thousand calls fail with that error,
//!   where given only from `FROM` to `TO` ms after the process began. Calls: `recv`, `send` (and `writev`), `accept`,
//!   `socket`, `connect`, `setsockopt`, `epoll_ctl` (additions only), `epoll_wait`.
//! - `short=PER_MILLE`: so many of a thousand reads and writes move a few bytes at most.
//! - `realtime=MS`: the wall clock is off by this much; the monotonic clock is not touched.
//!
//! A failed call has no effect. Standard streams are left alone.

use libc::{c_int, c_void, clockid_t, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::CStr;
use std::mem::transmute;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// The most bytes that a short read or write moves.
const SHORT: u64 = 7;
const NANOS: i128 = 1_000_000_000;

/// One way in which a call fails.
struct Rule {
    call: String,
    errno: c_int,
    per_mille: u64,
    from_ms: u128,
    to_ms: u128,
}

struct Faults {
    rules: Vec<Rule>,
    short_per_mille: u64,
    realtime_ms: i64,
    random: AtomicU64,
    begun: Instant,
}

impl Faults {
    fn parse(text: &str) -> Self {
        let (rules, random) = (Vec::new(), AtomicU64::new(0));
        let mut faults = Self { rules, short_per_mille: 0, realtime_ms: 0, random, begun: Instant::now() };
        for entry in text.split(';').filter(|entry| !entry.is_empty()) {
            let (key, value) = entry.split_once('=').expect("FAULTS: KEY=VALUE");
            match key {
                "seed" => faults.random = AtomicU64::new(value.parse().expect("FAULTS: seed")),
                "short" => faults.short_per_mille = value.parse().expect("FAULTS: short"),
                "realtime" => faults.realtime_ms = value.parse().expect("FAULTS: realtime"),
                call => faults.rules.push(Rule::parse(call, value)),
            }
        }
        faults
    }

    /// The next random number below a thousand.
    fn chance(&self) -> u64 {
        let mut bits = self.random.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (bits ^ (bits >> 31)) % 1000
    }

    /// The error that this call fails with, if it does.
    fn error(&self, call: &str) -> Option<c_int> {
        let now = self.begun.elapsed().as_millis();
        let due =
            self.rules.iter().filter(|rule| rule.call == call && (rule.from_ms..rule.to_ms).contains(&now));
        due.into_iter().find(|rule| self.chance() < rule.per_mille).map(|rule| rule.errno)
    }

    /// How many of so many bytes are moved.
    fn length(&self, wanted: size_t) -> size_t {
        if self.chance() < self.short_per_mille {
            wanted.min((1 + self.chance() % SHORT) as size_t)
        } else {
            wanted
        }
    }
}

impl Rule {
    fn parse(call: &str, value: &str) -> Self {
        let (value, span) = value.split_once('@').unwrap_or((value, "0-1000000000"));
        let (errno, per_mille) = value.split_once('/').expect("FAULTS: ERRNO/PER_MILLE");
        let (from, to) = span.split_once('-').expect("FAULTS: @FROM-TO");
        let errno = match errno {
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
        };
        let number = |text: &str| text.parse::<u128>().expect("FAULTS: a number");
        let per_mille = per_mille.parse().expect("FAULTS: PER_MILLE");
        Self { call: call.to_owned(), errno, per_mille, from_ms: number(from), to_ms: number(to) }
    }
}

static FAULTS: OnceLock<Faults> = OnceLock::new();

fn faults() -> &'static Faults {
    FAULTS.get_or_init(|| Faults::parse(&std::env::var("FAULTS").unwrap_or_default()))
}

/// Whether this call fails; sets `errno` if so. `fd` is what it is made on.
fn fails(call: &str, fd: c_int) -> bool {
    let error = if fd > libc::STDERR_FILENO { faults().error(call) } else { None };
    // SAFETY: `errno` of this thread is always there.
    error.map(|errno| unsafe { *libc::__errno_location() = errno }).is_some()
}

/// The next definition of a symbol, behind this library's own.
fn next(name: &CStr) -> usize {
    // SAFETY: the name ends with a nul.
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(!found.is_null(), "{name:?} is not defined");
    found as usize
}

/// Calls the C library's own function of a name and type.
macro_rules! real {
    ($name:literal as $kind:ty, $($argument:expr),*) => {{
        static REAL: OnceLock<usize> = OnceLock::new();
        // SAFETY: the symbol of this name has this type, and the arguments are those of the caller.
        unsafe { transmute::<usize, $kind>(*REAL.get_or_init(|| next($name)))($($argument),*) }
    }};
}

type Receive = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type WriteVectored = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type SetOption = unsafe extern "C" fn(c_int, c_int, c_int, *const c_void, socklen_t) -> c_int;
type Control = unsafe extern "C" fn(c_int, c_int, c_int, *mut epoll_event) -> c_int;
type Wait = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;
type Time = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;

#[unsafe(no_mangle)]
unsafe extern "C" fn recv(fd: c_int, bytes: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if fails("recv", fd) {
        return -1;
    }
    real!(c"recv" as Receive, fd, bytes, faults().length(length), flags)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if fails("send", fd) {
        return -1;
    }
    real!(c"send" as Send, fd, bytes, faults().length(length), flags)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    if fails("send", fd) {
        return -1;
    }
    if fd > libc::STDERR_FILENO && count > 0 {
        // SAFETY: the caller hands in `count` parts.
        let first = unsafe { *parts };
        let length = faults().length(first.iov_len);
        if length < first.iov_len {
            return real!(c"send" as Send, fd, first.iov_base, length, libc::MSG_NOSIGNAL);
        }
    }
    real!(c"writev" as WriteVectored, fd, parts, count)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET && fails("socket", c_int::MAX) {
        return -1;
    }
    real!(c"socket" as Socket, domain, kind, protocol)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn accept4(fd: c_int, from: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int {
    if fails("accept", fd) {
        return -1;
    }
    real!(c"accept4" as Accept, fd, from, length, flags)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn connect(fd: c_int, to: *const sockaddr, length: socklen_t) -> c_int {
    if fails("connect", fd) {
        return -1;
    }
    real!(c"connect" as Connect, fd, to, length)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn setsockopt(
    fd: c_int, level: c_int, name: c_int, value: *const c_void, length: socklen_t,
) -> c_int {
    if fails("setsockopt", fd) {
        return -1;
    }
    real!(c"setsockopt" as SetOption, fd, level, name, value, length)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_ctl(epoll: c_int, action: c_int, fd: c_int, event: *mut epoll_event) -> c_int {
    if action == libc::EPOLL_CTL_ADD && fails("epoll_ctl", fd) {
        return -1;
    }
    real!(c"epoll_ctl" as Control, epoll, action, fd, event)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn epoll_wait(
    epoll: c_int, events: *mut epoll_event, most: c_int, timeout: c_int,
) -> c_int {
    if fails("epoll_wait", epoll) {
        return -1;
    }
    real!(c"epoll_wait" as Wait, epoll, events, most, timeout)
}

#[unsafe(no_mangle)]
unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let result = real!(c"clock_gettime" as Time, clock, time);
    if clock == libc::CLOCK_REALTIME && result == 0 {
        // SAFETY: the call has filled it in.
        let time = unsafe { &mut *time };
        let nanos = i128::from(time.tv_sec) * NANOS
            + i128::from(time.tv_nsec)
            + i128::from(faults().realtime_ms) * (NANOS / 1000);
        time.tv_sec = nanos.div_euclid(NANOS) as i64;
        time.tv_nsec = nanos.rem_euclid(NANOS) as i64;
    }
    result
}
