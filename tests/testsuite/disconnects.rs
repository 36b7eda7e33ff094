//! Callers who disconnect before they have an answer.

use std::{
    io::Write,
    net::TcpStream,
    sync::{Arc, Mutex, mpsc},
    thread,
    time::Duration,
};

use kingcup_support::wait_until;
use kingcupgrade::transport::{
    gateway::caller::{Caller, CallerStream},
    http,
};
use socket2::SockRef;

use crate::support::TIMEOUT;

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
