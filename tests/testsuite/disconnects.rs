//! Callers who disconnect before they have an answer.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, mpsc},
    thread,
    time::Duration,
};

use kingcup_support::{
    engine::EngineConfig,
    fleet::{document, token},
    plain_service::PlainService,
    platform::FakeUpstream,
    wait_until,
};
use kingcupgrade::transport::{
    gateway::caller::{Caller, CallerStream},
    http,
};
use socket2::SockRef;

use crate::support::{TIMEOUT, start};

/// For how long an upstream may work on after the caller has left; far less than the deadline.
const MAX_RUN: Duration = Duration::from_secs(5);
/// Long enough for the server to see that a connection was closed.
const PAUSE: Duration = Duration::from_millis(300);

// Guards against a request that gets a slot and is sent to an upstream for nobody, because its
// caller left before the thread that serves it had registered to be told.
#[test]
fn a_caller_who_left_before_the_request_was_queued_is_noticed() {
    let (tx, events) = mpsc::channel();
    let tx = Arc::new(Mutex::new(tx));
    let address = "127.0.0.1:0".parse().expect("an address");
    let server = http::start("disconnects", address, move |request| {
        let tx = tx.lock().expect("no thread panics").clone();
        thread::spawn(move || {
            // Sending fails if the test has ended.
            let _ = tx.send("arrived");
            thread::sleep(PAUSE);
            let left_tx = tx.clone();
            let responder = request.on_disconnect(move || {
                let _ = left_tx.send("left");
            });
            thread::sleep(PAUSE);
            drop(responder);
            let _ = tx.send("ended");
        });
    });
    let server = server.expect("a server");
    let mut caller = TcpStream::connect(server.address()).expect("a connection");
    caller.write_all(b"GET / HTTP/1.1\r\nHost: tutor\r\n\r\n").expect("a request that is sent");
    assert_eq!(events.recv_timeout(TIMEOUT), Ok("arrived"));
    drop(caller);
    assert_eq!(events.recv_timeout(TIMEOUT), Ok("left"), "nobody is told that the caller has left");
    server.stop();
}

/// An upstream that never ends an answer, and says when a request arrives and when its connection is
/// closed.
fn start_silent(answer: &'static str) -> (SocketAddr, mpsc::Receiver<&'static str>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let tx = tx.clone();
            thread::spawn(move || {
                let mut buf = [0; 4096];
                let mut has_arrived = false;
                // The head and the body may arrive one after the other.
                while stream.read(&mut buf).is_ok_and(|read| read > 0) {
                    if has_arrived {
                        continue;
                    }
                    has_arrived = true;
                    // Both fail if the test has ended.
                    let _ = stream.write_all(answer.as_bytes());
                    let _ = tx.send("request");
                }
                let _ = tx.send("closed");
            });
        }
    });
    (address, rx)
}

/// Sends a prompt whose answer never ends, leaves, and checks that the upstream is told.
fn leave_an_upstream_that_answers(answer: &'static str) {
    let mut world = start(&["north"], 1, &EngineConfig::default()).with_documents();
    let (address, events) = start_silent(answer);
    let fake = FakeUpstream::Plain(PlainService::start(PAUSE));
    world.platform.add("silent-north", "silent", "north", address, fake);
    let rest = "slots: {cold: 2, warm: 2}\nlimits: {deadline_ms: 30000, silence_ms: 25000}\n";
    let silent = document("silent", "model-engine", &[("alder", 1)], rest);
    world.fleet.apply("silent", 0, &silent).expect("the document applied");
    world.fleet.wait_for_dispatchers("silent").expect("a dispatcher");
    let entry = world.fleet.entry("entry-north-0");
    let mut caller = TcpStream::connect(entry).expect("a connection");
    let token = token("alder");
    let request = format!(
        "POST /silent/prompt HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {token}\r\n\
         Content-Length: 2\r\n\r\n{{}}"
    );
    caller.write_all(request.as_bytes()).expect("a request that is sent");
    assert_eq!(events.recv_timeout(TIMEOUT), Ok("request"));
    thread::sleep(PAUSE);
    drop(caller);
    let closed = events.recv_timeout(MAX_RUN);
    let log = world.fleet.log("entry-north-0");
    world.fleet.kill("entry-north-0");
    assert_eq!(closed, Ok("closed"), "the upstream works on for nobody: {log}");
}

// Guards against an upstream that works on after the caller has left, because the thread that waits
// for its answer is told of that only when the answer comes.
#[test]
fn a_caller_who_leaves_before_the_answer_begins_ends_its_run() {
    leave_an_upstream_that_answers("");
}

// Guards against the same in the middle of a stream, between two events.
#[test]
fn a_caller_who_leaves_between_two_events_ends_its_run() {
    leave_an_upstream_that_answers(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
         9\r\ndata: 0\n\n\r\n",
    );
}

/// Connects a caller to an entry.
async fn connect() -> (TcpStream, CallerStream) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let caller = TcpStream::connect(address).expect("a connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    (caller, CallerStream::new(stream))
}

/// Waits, without giving the executor a turn, until it is known that a caller has left.
fn is_seen_to_leave(caller: &Caller) -> bool {
    wait_until(TIMEOUT, || caller.has_left())
}

// Guards against a request that an entry of the platform sends to an upstream although its caller
// has left, because the executor has hundreds of other tasks to poll before it reads the caller's
// socket. Here the executor gets no turn at all.
#[test]
fn a_caller_who_has_left_is_noticed_by_an_entry_that_is_behind() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let (mut caller, stream) = connect().await;
        assert!(!stream.caller().has_left(), "a caller that waits");
        caller.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("a request that is sent");
        thread::sleep(PAUSE);
        assert!(!stream.caller().has_left(), "a caller with unread bytes");
        drop(caller);
        let (caller, stream) = connect().await;
        drop(caller);
        assert!(is_seen_to_leave(&stream.caller()), "a caller that has closed");
        let (caller, stream) = connect().await;
        SockRef::from(&caller).set_linger(Some(Duration::ZERO)).expect("an open socket");
        drop(caller);
        assert!(is_seen_to_leave(&stream.caller()), "a caller that has reset its connection");
    });
}
