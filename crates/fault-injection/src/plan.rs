//! The plan: which calls fail, how and when.
//!
//! One rule a line; times are milliseconds of the monotonic clock since the process began:
//!
//! ```text
//! clock FROM OFFSET                    from then on the wall clock is off by so many milliseconds
//! fail CALL ERRNO FROM TO PERCENT      so many of a hundred calls fail with this error
//! short CALL BYTES FROM TO PERCENT     so many of a hundred calls move at most so many bytes
//! ```

use std::str::{FromStr, SplitWhitespace};

/// Kinds of system calls that a rule can name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Socket,
    Bind,
    Listen,
    Accept,
    Connect,
    /// Reads from a socket, by whatever function.
    Receive,
    /// Writes to a socket, by whatever function.
    Send,
    /// `epoll_wait` and `poll`.
    Wait,
    EpollCreate,
    EpollControl,
    EventFd,
    SocketPair,
    Thread,
    /// Opens of files.
    Open,
    FileRead,
    FileWrite,
    Sync,
}

/// What a rule does to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Errno(i32),
    /// At most so many bytes are moved.
    Short(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Rule {
    pub call: Call,
    pub fault: Fault,
    pub from_ms: u64,
    pub to_ms: u64,
    pub percent: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClockStep {
    pub from_ms: u64,
    pub offset_ms: i64,
}

/// All rules of one file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    pub(crate) rules: Vec<Rule>,
    pub(crate) steps: Vec<ClockStep>,
}

/// A line that is no rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanError {
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
    fn add(&mut self, line: &str) -> Option<()> {
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

    /// How far the wall clock is off at this time.
    pub(crate) fn clock_offset_ms(&self, at_ms: u64) -> i64 {
        let past = self.steps.iter().filter(|step| step.from_ms <= at_ms);
        past.max_by_key(|step| step.from_ms).map_or(0, |step| step.offset_ms)
    }

    /// What befalls this call; `dice` draws from 0 to 99.
    pub(crate) fn fault(&self, call: Call, at_ms: u64, mut dice: impl FnMut() -> u64) -> Option<Fault> {
        let mut due = self.rules.iter().filter(|r| r.call == call && (r.from_ms..r.to_ms).contains(&at_ms));
        due.find(|rule| dice() < rule.percent).map(|rule| rule.fault)
    }
}

impl FromStr for Plan {
    type Err = PlanError;

    fn from_str(text: &str) -> Result<Plan, PlanError> {
        let mut plan = Plan::default();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if !line.is_empty() && !line.starts_with('#') {
                plan.add(line).ok_or(PlanError { line: index + 1 })?;
            }
        }
        Ok(plan)
    }
}
