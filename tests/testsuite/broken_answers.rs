//! Broken answers to deposits: they are neither passed on nor recorded as answers.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use kingcup_support::{
    broken_answers::{BrokenAnswer, CUT, FIELDS, FRAMINGS, STATUS_LINES},
    caller::{Caller, Response},
    engine::EngineConfig,
    fleet::token,
    plain_service::PlainService,
    platform::FakeUpstream,
    serve_connections,
};

use crate::support::start;

/// Starts an upstream that gives each request the answer whose number its body holds; returns how
/// many it has received.
fn start_upstream(answers: &'static [BrokenAnswer]) -> (SocketAddr, Arc<AtomicUsize>) {
    let received: Arc<AtomicUsize> = Arc::default();
    let count = received.clone();
    let address = serve_connections(move |mut stream| {
        let number = read_number(&stream)?;
        count.fetch_add(1, Ordering::SeqCst);
        stream.write_all(answers[number].with_fields("").as_bytes()).ok()
    });
    (address, received)
}

fn read_number(stream: &TcpStream) -> Option<usize> {
    let mut reader = BufReader::new(stream);
    let mut len = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.to_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            len = value.trim().parse().ok()?;
        }
        if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; len];
    reader.read_exact(&mut body).ok()?;
    String::from_utf8(body).ok()?.parse().ok()
}

fn is_done(answer: &Response) -> bool {
    answer.outcome == "done" || answer.status < 400
}

/// Sends a deposit for each answer, and again under the same key; each must run once, and its caller
/// must not be told that it is done.
fn assert_none_is_recorded(answers: &'static [BrokenAnswer]) {
    let harness = start(&["north"], 1, &EngineConfig::default());
    let (address, received) = start_upstream(answers);
    let plain = FakeUpstream::Plain(PlainService::start(Duration::ZERO));
    harness.platform.remove("orders-north");
    harness.platform.add("broken", "orders", "north", address, plain);
    let harness = harness.with_documents();
    let entry = harness.fleet.entry("entry-north-0");
    let caller = Caller::new(&token("alder"));
    let deposit_twice = &|(number, answer): (usize, &'static BrokenAnswer)| {
        let (key, body) = (format!("broken-{number}"), number.to_string());
        let deposit = || caller.post(entry, "/orders/deposits", &body, Some(&key));
        (answer, deposit(), deposit())
    };
    let answered: Vec<_> = thread::scope(|scope| {
        let deposits = answers.iter().enumerate().map(|d| scope.spawn(move || deposit_twice(d)));
        let deposits: Vec<_> = deposits.collect();
        deposits.into_iter().map(|deposit| deposit.join().expect("a caller")).collect()
    });
    let is_told = |(_, first, second): &&(_, Response, Response)| is_done(first) || is_done(second);
    let done: Vec<_> = answered.iter().filter(is_told).collect();
    assert!(done.is_empty(), "{}: {done:#?}", done.len());
    assert_eq!(received.load(Ordering::SeqCst), answers.len());
}

/// Guards against raw bytes of a connection that are recorded as the answer to a deposit, because the
/// head states their framing in a way that isn't understood.
#[test]
fn an_answer_with_an_unclear_end_is_not_recorded() {
    assert_none_is_recorded(FRAMINGS);
}

/// Guards against an answer that is recorded although its status is none, or says that the connection
/// changes to another protocol.
#[test]
fn an_answer_without_a_valid_status_is_not_recorded() {
    assert_none_is_recorded(STATUS_LINES);
}

/// Guards against an answer that is recorded although its head holds lines that are no fields.
#[test]
fn an_answer_with_lines_that_are_no_fields_is_not_recorded() {
    assert_none_is_recorded(FIELDS);
}

/// Guards against an answer that ends in its head or body and is recorded as whole.
#[test]
fn an_answer_that_ends_early_is_not_recorded() {
    assert_none_is_recorded(CUT);
}
