//! Callers who disconnect before they have an answer.

use std::{
    io::Write,
    net::TcpStream,
    sync::{Arc, Mutex, mpsc},
    thread,
    time::Duration,
};

use kingcupgrade::transport::http;

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
