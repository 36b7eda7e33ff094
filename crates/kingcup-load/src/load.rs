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
    caller::{Caller, Response},
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
pub(crate) enum Outcome {
    Completed,
    NotRun,
    Unknown,
    Crossed,
    Truncated,
}

/// A request of a caller to a model engine.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) id: String,
    pub(crate) organisation: usize,
    pub(crate) sent_at: Instant,
    /// When the first event or the refusal was received.
    pub(crate) answered_at: Instant,
    pub(crate) outcome: Outcome,
}

/// A deposit under one idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct Deposit {
    pub(crate) key: String,
    /// Whether all attempts were answered as not run.
    pub(crate) not_run: bool,
    pub(crate) outcome: Outcome,
}

/// The requests as the callers observed them.
#[derive(Default)]
pub(crate) struct RequestLog {
    pub(crate) requests: Mutex<Vec<RequestRecord>>,
    pub(crate) deposits: Mutex<Vec<Deposit>>,
}

/// The running callers.
pub(crate) struct Load {
    log: Arc<RequestLog>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    next_id: Arc<AtomicU64>,
}

impl Load {
    pub(crate) fn new() -> Load {
        Load {
            log: Arc::default(),
            stop: Arc::default(),
            threads: Vec::new(),
            next_id: Arc::new(AtomicU64::new(1)),
        }
    }

    pub(crate) fn log(&self) -> &RequestLog {
        &self.log
    }

    /// Starts a group of callers. Each calls its own entry, and the next ones while that is
    /// unreachable.
    pub(crate) fn add_group(&mut self, group: Group, entries: &[SocketAddr]) {
        for n in 0..group.callers {
            let entries = entries.to_vec();
            let (log, stop, next_id) = (self.log.clone(), self.stop.clone(), self.next_id.clone());
            let seed = (group.organisation * 1_000 + group.entry * 100 + n) as u64 + 1;
            let call = move || call_engines(group, &entries, seed, &log, &stop, &next_id);
            self.threads.push(thread::spawn(call));
        }
    }

    /// Starts a caller that makes deposits; each attempt uses the same key and the next entry.
    pub(crate) fn add_depositor(&mut self, organisation: usize, entries: &[SocketAddr]) {
        let entries = entries.to_vec();
        let (log, stop, next_id) = (self.log.clone(), self.stop.clone(), self.next_id.clone());
        let call = move || make_deposits(organisation, &entries, &log, &stop, &next_id);
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
    log: &RequestLog,
    stop: &AtomicBool,
    next_id: &AtomicU64,
) {
    let (name, _) = ORGANISATIONS[group.organisation];
    let caller = Caller::new(&token(name));
    let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut entry = group.entry;
    while !stop.load(Ordering::SeqCst) {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        let id = format!("r{}", next_id.fetch_add(1, Ordering::SeqCst));
        let tokens = MIN_TOKENS + random % TOKENS_SPREAD;
        let prompt = Prompt { id: id.clone(), organisation: name.to_owned(), tokens };
        let sent_at = Instant::now();
        let response = caller.prompt(entries[entry], "tutor", &prompt);
        let outcome = classify(&response, &prompt);
        let answered_at = if outcome == Outcome::NotRun {
            Instant::now()
        } else {
            sent_at + response.time_to_first_line
        };
        let request =
            RequestRecord { id, organisation: group.organisation, sent_at, answered_at, outcome };
        log.requests.lock().expect("request log").push(request);
        if response.status == 0 {
            // The platform's load balancer would skip an entry that can't be reached.
            entry = (entry + 1) % entries.len();
            thread::sleep(Duration::from_millis(50));
        } else {
            entry = group.entry;
        }
        if outcome == Outcome::NotRun {
            let retry_after = Duration::from_secs(response.retry_after.unwrap_or(0));
            thread::sleep(retry_after.min(MAX_BACKOFF));
        }
        thread::sleep(Duration::from_millis(group.pause_ms));
    }
}

fn classify(response: &Response, prompt: &Prompt) -> Outcome {
    if response.contains_other_prompt(prompt) {
        Outcome::Crossed
    } else if response.is_complete_for(prompt) {
        Outcome::Completed
    } else if response.outcome == "not-run" {
        Outcome::NotRun
    } else if response.status == 200 && response.is_complete {
        Outcome::Truncated
    } else {
        Outcome::Unknown
    }
}

fn make_deposits(
    organisation: usize,
    entries: &[SocketAddr],
    log: &RequestLog,
    stop: &AtomicBool,
    next_id: &AtomicU64,
) {
    let (name, _) = ORGANISATIONS[organisation];
    let caller = Caller::new(&token(name));
    let mut entry = organisation % entries.len();
    while !stop.load(Ordering::SeqCst) {
        let key = format!("{name}-{}", next_id.fetch_add(1, Ordering::SeqCst));
        let mut deposit = Deposit { key: key.clone(), not_run: true, outcome: Outcome::NotRun };
        for _ in 0..MAX_DEPOSIT_ATTEMPTS {
            let response = caller.post(entries[entry], "/orders/deposits", "amount", Some(&key));
            let is_complete = response.is_complete && response.outcome == "done";
            deposit.not_run &= response.outcome == "not-run";
            deposit.outcome = match response.outcome.as_str() {
                "done" if is_complete && response.body.starts_with(&key) => Outcome::Completed,
                "done" if is_complete => Outcome::Crossed,
                "not-run" => Outcome::NotRun,
                _ => Outcome::Unknown,
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
