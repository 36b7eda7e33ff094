//! Answers with neither a length nor chunks, which end with their connection.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use kingcup_support::{
    caller::Caller,
    engine::{Engine, EngineConfig},
    fleet::token,
    platform::FakeUpstream,
};

use crate::support::{Harness, prompt, start};

/// The events of a whole answer.
const TOKENS: u64 = 12;
/// The events after which the first answers break off.
const BROKEN_AFTER: u64 = 5;
/// The answers that break off inside an event.
const BROKEN_ANSWERS: usize = 2;

/// What the first answers do inside an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Break {
    /// They end.
    End,
    /// They go on until the connection is closed.
    Endless,
}

/// Starts an upstream whose answers end with their connections, the first ones inside an event.
fn start_upstream(id: &'static str, how: Break) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let answered: Arc<AtomicUsize> = Arc::default();
    let count = answered.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let number = count.fetch_add(1, Ordering::SeqCst);
            // An entry that has closed its connection is none of this upstream's business.
            let _ = answer(stream, id, number, how);
        }
    });
    (address, answered)
}

fn answer(mut stream: TcpStream, id: &str, number: usize, how: Break) -> std::io::Result<()> {
    let mut head = Vec::new();
    let mut buf = [0; 4096];
    while !head.ends_with(b"}") {
        let count = stream.read(&mut buf)?;
        head.extend_from_slice(&buf[..count]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let offset = head.lines().find_map(|line| line.strip_prefix("resume-from:"));
    let offset: u64 = offset.and_then(|offset| offset.trim().parse().ok()).unwrap_or(0);
    let is_broken = number < BROKEN_ANSWERS;
    let end = if is_broken { BROKEN_AFTER.max(offset) } else { TOKENS };
    let mut text = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nresumed-from: {offset}\r\n\r\n"
    );
    for n in offset..end {
        text += &format!("data: {id} {n}\n\n");
    }
    if is_broken {
        text += "data: ";
    }
    stream.write_all(text.as_bytes())?;
    if is_broken && how == Break::Endless {
        loop {
            stream.write_all(&[b'x'; 16 << 10])?;
        }
    }
    Ok(())
}

fn start_with_upstream(id: &'static str, how: Break) -> (Harness, Arc<AtomicUsize>) {
    let harness = start(&["north"], 1, &EngineConfig::default());
    let (address, answered) = start_upstream(id, how);
    let engine = Engine::start(EngineConfig::default());
    harness.platform.remove("engine-north");
    harness.platform.add("unframed", "tutor", "north", address, FakeUpstream::Engine(engine));
    (harness.with_documents(), answered)
}

fn assert_goes_on(how: Break) {
    let (harness, answered) = start_with_upstream("unframed", how);
    let asked = prompt("unframed", "alder", TOKENS);
    let entry = harness.fleet.entry("entry-north-0");
    let answer = Caller::new(&token("alder")).prompt(entry, "tutor", &asked);
    assert!(answer.is_complete_for(&asked), "{answer:?}");
    assert!(answered.load(Ordering::SeqCst) > BROKEN_ANSWERS);
}

/// Guards against an answer that ends inside an event with its connection and is passed on as whole.
#[test]
fn an_answer_that_ends_inside_an_event_goes_on() {
    assert_goes_on(Break::End);
}

/// Guards against an event without end that is read until the entry runs out of memory or the
/// request out of time.
#[test]
fn an_answer_with_an_event_without_end_goes_on() {
    assert_goes_on(Break::Endless);
}
