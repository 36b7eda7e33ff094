//! The callers of an experiment, each a thread that sends one request after the other.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use kingcup_support::{
    caller::{Answer, Caller},
    engine::Prompt,
    fleet::token,
};

use crate::scenario::{Group, ORGANISATIONS};

/// The fewest tokens of a request.
const MIN_TOKENS: u64 = 10;
/// The range of the tokens of a request above [`MIN_TOKENS`].
const TOKENS_SPREAD: u64 = 50;
/// An upper bound on the tokens of a request.
pub(crate) const MAX_TOKENS: u64 = MIN_TOKENS + TOKENS_SPREAD;
/// The longest that a refused caller waits. Experiments are short, so a longer `retry-after` is
/// ignored.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// The pause of a depositor between deposits.
const DEPOSIT_PAUSE: Duration = Duration::from_millis(300);
/// The maximum number of attempts of a deposit under one idempotency key.
const MAX_DEPOSIT_ATTEMPTS: usize = 6;

/// How a caller's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    Completed,
    NotRun,
    Unknown,
    Crossed,
    Truncated,
}

/// A request of a caller to a model engine.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    pub(crate) id: String,
    pub(crate) organisation: usize,
    pub(crate) at: Instant,
    /// When the first event or the refusal was received.
    pub(crate) until: Instant,
    pub(crate) end: End,
}

/// A deposit under one idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct Deposit {
    pub(crate) key: String,
    /// Whether all attempts were answered as not run.
    pub(crate) not_run: bool,
    pub(crate) end: End,
}

/// The requests as the callers observed them.
#[derive(Default)]
pub(crate) struct Log {
    pub(crate) asked: Mutex<Vec<Asked>>,
    pub(crate) deposits: Mutex<Vec<Deposit>>,
}

/// The running callers.
pub(crate) struct Load {
    log: Arc<Log>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    next: Arc<AtomicU64>,
}

impl Load {
    pub(crate) fn new() -> Load {
        Load {
            log: Arc::default(),
            stop: Arc::default(),
            threads: Vec::new(),
            next: Arc::new(AtomicU64::new(1)),
        }
    }

    pub(crate) fn log(&self) -> &Log {
        &self.log
    }

    /// Starts a group of callers. Each calls its own entry, and the next ones while that is
    /// unreachable.
    pub(crate) fn add_group(&mut self, group: Group, entries: &[SocketAddr]) {
        for n in 0..group.callers {
            let entries = entries.to_vec();
            let (log, stop, next) = (self.log.clone(), self.stop.clone(), self.next.clone());
            let seed = (group.organisation * 1_000 + group.entry * 100 + n) as u64 + 1;
            let call = move || call_engines(group, &entries, seed, &log, &stop, &next);
            self.threads.push(thread::spawn(call));
        }
    }

    /// Starts a caller that makes deposits; each attempt uses the same key and the next entry.
    pub(crate) fn add_depositor(&mut self, organisation: usize, entries: &[SocketAddr]) {
        let entries = entries.to_vec();
        let (log, stop, next) = (self.log.clone(), self.stop.clone(), self.next.clone());
        let call = move || make_deposits(organisation, &entries, &log, &stop, &next);
        self.threads.push(thread::spawn(call));
    }

    /// Stops all callers and waits until they have finished their current requests.
    pub(crate) fn finish(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            // A panic is already printed to standard error and adds no wrong entry to the log.
            let _ = thread.join();
        }
    }
}

fn call_engines(
    group: Group,
    entries: &[SocketAddr],
    seed: u64,
    log: &Log,
    stop: &AtomicBool,
    next: &AtomicU64,
) {
    let (name, _) = ORGANISATIONS[group.organisation];
    let caller = Caller::new(&token(name));
    let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut entry = group.entry;
    while !stop.load(Ordering::SeqCst) {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        let id = format!("r{}", next.fetch_add(1, Ordering::SeqCst));
        let tokens = MIN_TOKENS + random % TOKENS_SPREAD;
        let prompt = Prompt { id: id.clone(), organisation: name.to_owned(), tokens };
        let at = Instant::now();
        let answer = caller.prompt(entries[entry], "tutor", &prompt);
        let end = classify(&answer, &prompt);
        let until = if end == End::NotRun { Instant::now() } else { at + answer.first };
        let asked = Asked { id, organisation: group.organisation, at, until, end };
        log.asked.lock().expect("request log").push(asked);
        if answer.status == 0 {
            // The platform's load balancer would skip an entry that can't be reached.
            entry = (entry + 1) % entries.len();
            thread::sleep(Duration::from_millis(50));
        } else {
            entry = group.entry;
        }
        if end == End::NotRun {
            let retry_after = Duration::from_secs(answer.retry_after.unwrap_or(0));
            thread::sleep(retry_after.min(MAX_BACKOFF));
        }
        thread::sleep(Duration::from_millis(group.pause_ms));
    }
}

fn classify(answer: &Answer, prompt: &Prompt) -> End {
    if answer.is_crossed(prompt) {
        End::Crossed
    } else if answer.answers(prompt) {
        End::Completed
    } else if answer.outcome == "not-run" {
        End::NotRun
    } else if answer.status == 200 && answer.is_whole {
        End::Truncated
    } else {
        End::Unknown
    }
}

fn make_deposits(
    organisation: usize,
    entries: &[SocketAddr],
    log: &Log,
    stop: &AtomicBool,
    next: &AtomicU64,
) {
    let (name, _) = ORGANISATIONS[organisation];
    let caller = Caller::new(&token(name));
    let mut entry = organisation % entries.len();
    while !stop.load(Ordering::SeqCst) {
        let key = format!("{name}-{}", next.fetch_add(1, Ordering::SeqCst));
        let mut deposit = Deposit { key: key.clone(), not_run: true, end: End::NotRun };
        for _ in 0..MAX_DEPOSIT_ATTEMPTS {
            let answer = caller.post(entries[entry], "/orders/deposits", "amount", Some(&key));
            let is_complete = answer.is_whole && answer.outcome == "done";
            deposit.not_run &= answer.outcome == "not-run";
            deposit.end = match answer.outcome.as_str() {
                "done" if is_complete && answer.body.starts_with(&key) => End::Completed,
                "done" if is_complete => End::Crossed,
                "not-run" => End::NotRun,
                _ => End::Unknown,
            };
            if is_complete {
                break;
            }
            entry = (entry + 1) % entries.len();
            thread::sleep(Duration::from_millis(300));
        }
        log.deposits.lock().expect("request log").push(deposit);
        thread::sleep(DEPOSIT_PAUSE);
    }
}
