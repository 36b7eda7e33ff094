//! The memory in which an entry buffers bodies and answers, and what happens when it is short.
//!
//! Callers may read their answers slowly or not at all. What is buffered for them counts towards
//! the process's memory, and a process that exceeds its limit is killed, with all the answers that
//! it relays. So an entry takes no more bodies into memory than it has room for, doesn't read an
//! upstream whose caller does not read, and, if memory stays short, ends the answer that has been
//! unread for the longest time.
//!
//! An upstream cuts off an answer that stays unread for some seconds. That end is the caller's
//! doing and says nothing about the upstream.

use std::cmp::Reverse;

use crate::core::Millis;

/// The fraction of the process's memory limit that buffers may take. The program itself, the state
/// of its connections and the sockets' buffers need the rest.
const BUFFER_FRACTION: f64 = 0.5;
/// The fraction of the budget up to which bodies are taken into memory, and which the bounds of all
/// answers add up to; the rest is for what arrives with the event that reaches a bound.
const SHORT_FRACTION: f64 = 0.75;
/// The bound of one answer at most: the HTTP server buffers no more.
const MAX_ANSWER_BYTES: u64 = 64 << 10;
/// The least that is buffered for one answer before its upstream is no longer read: two reads of
/// the usual size from a socket.
const MIN_ANSWER_BYTES: u64 = 16 << 10;
/// The sockets that each answer takes: its caller's and its upstream's.
const SOCKETS_PER_ANSWER: u64 = 2;
/// Answers are ended if the budget stays short for this long: bodies and answers under way are
/// gone by then, and only callers that don't read still have theirs.
const MAX_SHORT_SPAN: Millis = Millis(1_000);

/// A caller has not read for long after this time. A lost packet is retransmitted earlier, and an
/// entry whose tasks wait this long serves nobody. Upstreams cut off unread answers only after some
/// seconds.
pub const UNREAD_SPAN: Millis = Millis(1_000);
/// How long after a caller has begun to read again the end of the upstream's connection may still
/// be due to the caller: what the upstream had sent before arrives first.
const CUT_OFF_SPAN: Millis = Millis(1_000);

/// What is buffered for the caller of one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferedAnswer {
    /// Identifies the caller's connection.
    pub connection: u64,
    /// The bytes that the caller has not taken.
    pub bytes: u64,
    /// When the caller last had taken everything.
    pub unread_since: Millis,
}

/// The budget of bytes for the buffers of one process.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    /// `None` if there is no limit.
    budget: Option<u64>,
    /// How many bytes of one answer are buffered before its upstream is no longer read: an equal
    /// part for each answer that there are sockets for.
    answer_bound: u64,
    taken: u64,
    /// When a body was last refused.
    last_refusal: Option<Millis>,
    short_since: Option<Millis>,
}

impl MemoryBudget {
    /// Creates the budget of a process with this memory limit and number of sockets.
    pub fn new(memory_limit: Option<u64>, max_sockets: usize) -> MemoryBudget {
        let budget = memory_limit.map(|limit| (limit as f64 * BUFFER_FRACTION) as u64);
        let answers = (max_sockets as u64 / SOCKETS_PER_ANSWER).max(1);
        let answer_bound = budget.map_or(u64::MAX, |budget| {
            (short_level(budget) / answers).clamp(MIN_ANSWER_BYTES, MAX_ANSWER_BYTES)
        });
        MemoryBudget { budget, answer_bound, taken: 0, last_refusal: None, short_since: None }
    }

    /// Creates the budget of a process in which bodies may take this many bytes, and nothing else is
    /// counted.
    pub fn for_bodies(room: u64) -> MemoryBudget {
        let budget = (room as f64 / SHORT_FRACTION).ceil() as u64;
        MemoryBudget { budget: Some(budget), ..MemoryBudget::new(None, 0) }
    }

    /// Returns whether there is a limit.
    pub fn is_limited(&self) -> bool {
        self.budget.is_some()
    }

    /// Returns the number of bytes in buffers.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Returns the budget in bytes, if there is a limit.
    pub fn budget(&self) -> Option<u64> {
        self.budget
    }

    /// Counts bytes that are put into a buffer.
    pub fn take(&mut self, bytes: u64) {
        self.taken += bytes;
    }

    /// Counts bytes that have left a buffer.
    pub fn give_back(&mut self, bytes: u64) {
        self.taken = self.taken.saturating_sub(bytes);
    }

    /// Returns whether a body of this length may be taken into memory.
    pub fn has_room_for_body(&self, bytes: u64) -> bool {
        self.room_for_bodies().is_none_or(|room| self.taken + bytes <= room)
    }

    /// Returns the bytes up to which bodies are taken into memory, if there is a limit.
    pub fn room_for_bodies(&self) -> Option<u64> {
        self.budget.map(short_level)
    }

    /// Records that a body is refused because there is no room for it.
    pub fn on_refused(&mut self, now: Millis) {
        self.last_refusal = Some(now);
    }

    /// Returns whether memory is short: no more bodies are taken in.
    pub fn is_short(&self) -> bool {
        self.budget.is_some_and(|budget| self.taken >= short_level(budget))
    }

    /// Returns whether the whole budget is taken.
    pub fn is_exhausted(&self) -> bool {
        self.budget.is_some_and(|budget| self.taken >= budget)
    }

    /// Returns how many bytes of one answer are buffered before its upstream is no longer read.
    pub fn answer_bound(&self) -> u64 {
        self.answer_bound
    }

    /// Returns the connection whose answer is to be ended because memory stays short: of those
    /// that hold at least half of their bound, the one that has been unread longest.
    pub fn answer_to_end(
        &mut self,
        now: Millis,
        answers: impl Iterator<Item = BufferedAnswer>,
    ) -> Option<u64> {
        // Without room for the bodies that callers send, memory is short as well.
        let has_refused = |at: Millis| now.since(at) < MAX_SHORT_SPAN;
        if !self.is_short() && !self.last_refusal.is_some_and(has_refused) {
            self.short_since = None;
            return None;
        }
        let since = *self.short_since.get_or_insert(now);
        if !self.is_exhausted() && now.since(since) < MAX_SHORT_SPAN {
            return None;
        }
        let ended = answers
            .filter(|answer| answer.bytes >= self.answer_bound / 2)
            .filter(|answer| now.since(answer.unread_since) >= UNREAD_SPAN)
            .min_by_key(|answer| (answer.unread_since, Reverse(answer.bytes)))?;
        // Whether its end suffices shows only later.
        self.short_since = Some(now);
        Some(ended.connection)
    }
}

fn short_level(budget: u64) -> u64 {
    (budget as f64 * SHORT_FRACTION) as u64
}

/// How long the upstream of an answer has not been read because the caller does not read.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnreadUpstream {
    /// Since when the caller is to read before the upstream is.
    paused_at: Option<Millis>,
    /// The time for which the upstream has not been read since all that it had sent was.
    unread: Millis,
    /// Until when the end of the upstream's connection is due to the caller.
    cut_off_until: Option<Millis>,
}

impl UnreadUpstream {
    /// Records that the upstream is not read until the caller has read.
    pub fn on_paused(&mut self, now: Millis) {
        self.paused_at.get_or_insert(now);
    }

    /// Records that the upstream is read again; returns whether it has been unread for long.
    pub fn on_continued(&mut self, now: Millis) -> bool {
        let Some(paused_at) = self.paused_at.take() else { return false };
        self.unread = self.unread + now.since(paused_at);
        let was_long = self.unread >= UNREAD_SPAN;
        if was_long {
            self.cut_off_until = Some(now + CUT_OFF_SPAN);
        }
        was_long
    }

    /// Records that all bytes that the upstream had sent have been read.
    pub fn on_drained(&mut self) {
        self.unread = Millis::ZERO;
    }

    /// Returns whether the end of the upstream's connection is due to the caller.
    pub fn is_callers_doing(&self, now: Millis) -> bool {
        self.cut_off_until.is_some_and(|until| now < until)
    }
}

/// The standard deviations by which arrivals may exceed their mean: independent ones exceed it by
/// more in one of forty cases, and the engine has some memory left then.
const DEVIATIONS: f64 = 2.0;

/// What other entries have sent to an engine since their last reports, in tokens of memory.
///
/// In the time for which a request is in memory, the others send as many requests as they have
/// there; in the age of their reports, the corresponding part of that, with the variation of
/// independent arrivals.
#[derive(Clone, Copy, Debug, Default)]
pub struct UnreportedMemory {
    /// The requests of the others at an engine, on average, and their memory.
    mean_running: f64,
    mean_memory: f64,
    /// The age of the reports relative to the time for which a request is in memory.
    relative_age: f64,
}

impl UnreportedMemory {
    /// Creates the estimate from the requests that the others report at each engine of a service
    /// and their memory; `held_for` is the time for which a request is in memory, if known.
    pub fn new(
        reported: impl Iterator<Item = (u32, u64)>,
        report_age: Millis,
        held_for: Option<Millis>,
    ) -> UnreportedMemory {
        let (mut engines, mut running, mut memory) = (0.0, 0.0, 0.0);
        for at_engine in reported {
            engines += 1.0;
            running += f64::from(at_engine.0);
            memory += at_engine.1 as f64;
        }
        let engines = f64::max(engines, 1.0);
        let held_for = held_for.unwrap_or(report_age).max(Millis(1));
        let relative_age = (report_age.0 as f64 / held_for.0 as f64).min(1.0);
        let (mean_running, mean_memory) = (running / engines, memory / engines);
        UnreportedMemory { mean_running, mean_memory, relative_age }
    }

    /// Returns the estimate for an engine at which the others report these requests and their
    /// memory. At least the mean is assumed: all entries may since have chosen an engine that had
    /// few requests.
    pub fn at(&self, running: u32, memory: u64) -> u64 {
        let running = f64::from(running).max(self.mean_running);
        if running == 0.0 {
            return 0;
        }
        let each = (memory as f64).max(self.mean_memory) / running;
        let sent = running * self.relative_age;
        ((sent + DEVIATIONS * sent.sqrt()) * each) as u64
    }
}
