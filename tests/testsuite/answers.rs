//! Delivery of answers: complete, streamed, and to the caller that asked.

use std::{
    io::Write,
    net::TcpStream,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use kingcup_support::{
    caller::Caller,
    engine::{Engine, EngineConfig},
    fleet::token,
    wait_until,
};

use crate::support::{TIMEOUT, prompt, start, tutor_document};

// Guards against an entry that buffers an answer and sends it only at its end, so that the caller
// sees nothing until the answer is complete. The engine records when it wrote the last event; the
// caller must have received the first one before that.
#[test]
fn an_answer_reaches_its_caller_event_by_event() {
    let engine = EngineConfig { token_time: Duration::from_millis(60), ..EngineConfig::default() };
    let harness = start(&["north"], 1, &engine).with_documents();
    let asked = prompt("stream", "alder", 10);
    let body = serde_json::to_string(&asked).expect("a serialisable prompt");
    let mut first = None;
    let caller = Caller::new(&token("alder"));
    let entry = harness.fleet.entry("entry-north-0");
    let answer = caller.post_with(entry, "/tutor/generate", &body, None, |_| {
        first.get_or_insert_with(Instant::now);
        true
    });
    assert!(answer.is_complete_for(&asked), "{answer:?}");
    let last_written = harness.engines[0].record().served.last().expect("events").at;
    assert!(first.expect("an event") < last_written);
}

// Guards against an entry that mixes up its upstream connections: of two requests that run on the
// same engine at the same time, one caller would get the other's answer.
#[test]
fn two_callers_at_once_each_get_their_own_answer() {
    let harness = start(&["north"], 1, &EngineConfig::default()).with_documents();
    let entry = harness.fleet.entry("entry-north-0");
    let ask = |organisation: &'static str| {
        thread::spawn(move || {
            let asked = prompt(&format!("of-{organisation}"), organisation, 30);
            let answer = Caller::new(&token(organisation)).prompt(entry, "tutor", &asked);
            assert!(answer.is_complete_for(&asked), "{answer:?}");
        })
    };
    let threads = [ask("alder"), ask("birch")];
    for thread in threads {
        thread.join().expect("a complete answer");
    }
}

// Guards against a request that runs on after its caller has disconnected in the middle of a long
// answer: unless the entry cancels it, the engine generates output that nobody reads while other
// requests wait for the slot.
#[test]
fn a_caller_that_hangs_up_frees_the_slot() {
    let harness = start(&["north"], 1, &EngineConfig::default()).with_documents();
    let entry = harness.fleet.entry("entry-north-0");
    let body =
        serde_json::to_string(&prompt("long", "alder", 100_000)).expect("a serialisable prompt");
    let caller = Caller::new(&token("alder"));
    let answer =
        caller.post_with(entry, "/tutor/generate", &body, None, |line| !line.contains("long 5"));
    assert!(!answer.is_complete);
    assert!(wait_until(TIMEOUT, || harness.engines[0].running() == 0), "the engine still runs it");
    let is_released = || {
        let status = harness.fleet.status("entry-north-0").expect("a status");
        status.pools.iter().flat_map(|pool| pool.upstreams.values()).all(|(used, _)| *used == 0)
    };
    assert!(wait_until(TIMEOUT, is_released), "the dispatcher still counts it");
}

// Guards against a queued request that outlives its caller: unless the entry removes it when the
// caller disconnects, it occupies a place in its organisation's queue and later runs although
// nobody reads the answer, while other requests wait.
#[test]
fn a_caller_that_hangs_up_while_it_waits_is_forgotten() {
    let engine = EngineConfig { cold_slots: 1, warm_slots: 1, ..EngineConfig::default() };
    let harness = start(&["north"], 1, &engine);
    let one_slot = tutor_document().replace("cold: 2, warm: 4", "cold: 1, warm: 1");
    harness.fleet.apply("tutor", 0, &one_slot).expect("the document applied");
    harness.fleet.wait_for_dispatchers("tutor").expect("a dispatcher");
    let entry = harness.fleet.entry("entry-north-0");
    let open = || harness.fleet.metric("entry-north-0", "kingcup_open_requests");
    let (end, ended) = mpsc::channel::<()>();
    let first = thread::spawn(move || {
        let body = serde_json::to_string(&prompt("first", "alder", 100_000))
            .expect("a serialisable prompt");
        let keep_reading = |_: &str| matches!(ended.try_recv(), Err(mpsc::TryRecvError::Empty));
        Caller::new(&token("alder")).post_with(entry, "/tutor/generate", &body, None, keep_reading)
    });
    assert!(wait_until(TIMEOUT, || harness.engines[0].running() == 1), "the first does not run");
    let body = serde_json::to_string(&prompt("second", "alder", 3)).expect("a serialisable prompt");
    let head = format!(
        "POST /tutor/generate HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {}\r\n\
         Content-Length: {}\r\n\r\n",
        token("alder"),
        body.len()
    );
    let mut second = TcpStream::connect(entry).expect("a connection");
    second.write_all((head + &body).as_bytes()).expect("written");
    assert!(wait_until(TIMEOUT, || open() == 2.0), "the second does not wait");
    drop(second);
    assert!(wait_until(TIMEOUT, || open() == 1.0), "the second still waits");
    drop(end);
    first.join().expect("the first caller");
    let asked = prompt("third", "alder", 3);
    assert!(Caller::new(&token("alder")).prompt(entry, "tutor", &asked).is_complete_for(&asked));
    let begun = harness.engines[0].record().started;
    assert!(!begun.iter().any(|(id, _)| id == "second"), "{begun:?}");
}

// Guards against answers cut off when an operator replaces an entry. The terminated entry must
// finish the answers in flight, refuse later requests with the outcome `not-run`, and then exit by
// itself.
#[test]
fn a_terminated_entry_cuts_off_no_answer() {
    let harness = start(&["north"], 2, &EngineConfig::default()).with_documents();
    let mut harness = harness;
    let entry = harness.fleet.entry("entry-north-0");
    let (tx, rx) = mpsc::channel();
    let caller = thread::spawn(move || {
        let asked = prompt("kept", "alder", 150);
        let body = serde_json::to_string(&asked).expect("a serialisable prompt");
        let answer =
            Caller::new(&token("alder")).post_with(entry, "/tutor/generate", &body, None, |_| {
                let _ = tx.send(());
                true
            });
        (asked, answer)
    });
    rx.recv_timeout(TIMEOUT).expect("a first event");
    harness.engines.iter().for_each(Engine::pause);
    harness.fleet.signal("entry-north-0", "TERM");
    let is_draining = || harness.fleet.status("entry-north-0").is_ok_and(|status| status.draining);
    assert!(wait_until(TIMEOUT, is_draining), "the entry does not drain");
    let late = Caller::new(&token("alder")).prompt(entry, "tutor", &prompt("late", "alder", 1));
    let refused = late.code == 3004 && late.outcome == "not-run";
    assert!(refused, "a late request is not refused: {late:?}");
    harness.engines.iter().for_each(Engine::resume);
    let (asked, answer) = caller.join().expect("a caller");
    assert!(answer.is_complete_for(&asked), "{answer:?}");
    assert!(harness.fleet.wait_for_exit("entry-north-0", TIMEOUT), "the entry does not exit");
}
