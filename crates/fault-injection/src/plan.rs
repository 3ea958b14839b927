//! The plan: which calls fail, how and when.
//!
//! Each line holds one rule; empty lines and lines that begin with `#` are skipped. `FROM` and `TO` are milliseconds of
//! the monotonic clock since the first call for which the process needed the plan, soon after its start:
//!
//! ```text
//! clock FROM OFFSET                    shifts the wall clock by OFFSET milliseconds from then on
//! fail CALL ERRNO FROM TO PERCENT      makes this percentage of the calls fail with this error
//! short CALL BYTES FROM TO PERCENT     limits this percentage of the calls to a transfer of BYTES bytes
//! ```
//!
//! The rules `fail` and `short` are in force from `FROM` until before `TO`. `short` affects only the calls that
//! transfer data: `receive`, `send`, `file_read` and `file_write`.

use std::str::{FromStr, SplitWhitespace};

/// Kinds of system calls that a rule can name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `socket`.
    Socket,
    /// `bind`.
    Bind,
    /// `listen`.
    Listen,
    /// `accept4`.
    Accept,
    /// `connect`.
    Connect,
    /// `read` and `recv` on a socket.
    Receive,
    /// `write`, `writev` and `send` on a socket.
    Send,
    /// `epoll_wait` and `poll`.
    Wait,
    /// `epoll_create1`.
    EpollCreate,
    /// `epoll_ctl`.
    EpollControl,
    /// `eventfd`.
    EventFd,
    /// `socketpair`.
    SocketPair,
    /// `pthread_create`.
    Thread,
    /// `open64`.
    Open,
    /// `read` on a regular file.
    FileRead,
    /// `write`, `writev` and `pwrite64` on a regular file.
    FileWrite,
    /// `fsync` and `fdatasync`.
    Sync,
}

/// The effect of a rule on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this error number.
    Errno(i32),
    /// The call transfers at most this many bytes; 0 counts as 1.
    Short(usize),
}

/// Applies a fault to a percentage of the calls of one kind from `from_ms` until before `to_ms`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Rule {
    pub(crate) call: Call,
    pub(crate) fault: Fault,
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
    pub(crate) percent: u64,
}

/// Sets the offset of the wall clock from `from_ms` on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClockStep {
    pub(crate) from_ms: u64,
    pub(crate) offset_ms: i64,
}

/// The rules of one plan file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    pub(crate) rules: Vec<Rule>,
    pub(crate) steps: Vec<ClockStep>,
}

/// The error for a line of the plan that is not a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanError {
    /// The number of the line, from 1.
    pub line: usize,
}

const CALLS: [(&str, Call); 17] = [
    ("socket", Call::Socket),
    ("bind", Call::Bind),
    ("listen", Call::Listen),
    ("accept", Call::Accept),
    ("connect", Call::Connect),
    ("receive", Call::Receive),
    ("send", Call::Send),
    ("wait", Call::Wait),
    ("epoll_create", Call::EpollCreate),
    ("epoll_ctl", Call::EpollControl),
    ("eventfd", Call::EventFd),
    ("socketpair", Call::SocketPair),
    ("thread", Call::Thread),
    ("open", Call::Open),
    ("file_read", Call::FileRead),
    ("file_write", Call::FileWrite),
    ("sync", Call::Sync),
];

const ERRORS: [(&str, i32); 19] = [
    ("EACCES", libc::EACCES),
    ("EADDRINUSE", libc::EADDRINUSE),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("EAGAIN", libc::EAGAIN),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("ECONNRESET", libc::ECONNRESET),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("EINTR", libc::EINTR),
    ("EIO", libc::EIO),
    ("EMFILE", libc::EMFILE),
    ("ENETDOWN", libc::ENETDOWN),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOMEM", libc::ENOMEM),
    ("ENOSPC", libc::ENOSPC),
    ("EPERM", libc::EPERM),
    ("EPROTO", libc::EPROTO),
    ("ETIMEDOUT", libc::ETIMEDOUT),
];

fn find<T: Copy>(table: &[(&str, T)], word: Option<&str>) -> Option<T> {
    let word = word?;
    table.iter().find(|(name, _)| *name == word).map(|(_, value)| *value)
}

fn number<T: FromStr>(words: &mut SplitWhitespace) -> Option<T> {
    words.next()?.parse().ok()
}

impl Plan {
    /// Parses one line and adds its rule; returns `None` if the line is not a rule.
    fn add_rule(&mut self, line: &str) -> Option<()> {
        let mut words = line.split_whitespace();
        match words.next()? {
            "clock" => {
                let from_ms = number(&mut words)?;
                let offset_ms = number(&mut words)?;
                self.steps.push(ClockStep { from_ms, offset_ms });
            }
            kind @ ("fail" | "short") => {
                let call = find(&CALLS, words.next())?;
                let fault = match kind {
                    "fail" => Fault::Errno(find(&ERRORS, words.next())?),
                    _ => Fault::Short(number(&mut words)?),
                };
                let from_ms = number(&mut words)?;
                let to_ms = number(&mut words)?;
                let percent = number(&mut words)?;
                self.rules.push(Rule { call, fault, from_ms, to_ms, percent });
            }
            _ => return None,
        }
        words.next().is_none().then_some(())
    }

    /// The offset of the wall clock at this time, which the latest step has set; 0 before the first step.
    pub(crate) fn clock_offset_ms(&self, at_ms: u64) -> i64 {
        let past = self.steps.iter().filter(|step| step.from_ms <= at_ms);
        past.max_by_key(|step| step.from_ms).map_or(0, |step| step.offset_ms)
    }

    /// The fault that this call gets, if any. Each rule in force for the call draws a value of `roll`, a random number
    /// from 0 to 99, until the value is below the rule's percentage; that rule gives the fault.
    pub(crate) fn fault(&self, call: Call, at_ms: u64, mut roll: impl FnMut() -> u64) -> Option<Fault> {
        let mut due = self.rules.iter().filter(|r| r.call == call && (r.from_ms..r.to_ms).contains(&at_ms));
        due.find(|rule| roll() < rule.percent).map(|rule| rule.fault)
    }
}

impl FromStr for Plan {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<Plan, PlanError> {
        let mut plan = Plan::default();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if !line.is_empty() && !line.starts_with('#') {
                plan.add_rule(line).ok_or(PlanError { line: index + 1 })?;
            }
        }
        Ok(plan)
    }
}
