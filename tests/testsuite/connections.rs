//! Upstream connections of an entry whose executor is overloaded.
//!
//! An action on a connection must reach the upstream during the poll that triggers it, without
//! waiting for another turn of the executor. Each test blocks the thread right after the action, to
//! simulate an executor with hundreds of other tasks to poll first.

use std::{
    future::Future,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    rc::Rc,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use kingcup_support::serve_connections;
use kingcupgrade::transport::{
    bodies::{SegmentBody, Segments},
    gateway::pool::{Connection, Pool},
};
use tokio::task::LocalSet;

/// How long the executor is blocked.
const BUSY: Duration = Duration::from_millis(1_500);
/// Upper bound on the time until the upstream sees an action; shorter than [`BUSY`], so that an
/// action that waits for the executor exceeds it.
const MAX_DELAY: Duration = Duration::from_millis(500);

const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

fn run(task: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), task);
}

/// Starts an upstream that reports when a request arrives and when a connection is closed.
fn start(answer: &'static str) -> (SocketAddr, mpsc::Receiver<(&'static str, Instant)>) {
    let (tx, rx) = mpsc::channel();
    (serve_connections(move |stream| serve(stream, answer, &tx)), rx)
}

fn serve(mut stream: TcpStream, answer: &str, tx: &mpsc::Sender<(&'static str, Instant)>) {
    let mut buf = [0; 4096];
    while stream.read(&mut buf).is_ok_and(|read| read > 0) {
        // Sending fails if the test has ended.
        let _ = tx.send(("request", Instant::now()));
        let _ = stream.write_all(answer.as_bytes());
    }
    let _ = tx.send(("closed", Instant::now()));
}

async fn connect(pool: &Rc<Pool>, address: SocketAddr) -> Connection {
    let opened = pool.checkout(&"engine-1".into(), address, 4).await;
    opened.unwrap_or_else(|err| panic!("no connection: {err:?}"))
}

fn request() -> Request<SegmentBody> {
    Request::new(Segments::from(Bytes::from_static(b"prompt")).body())
}

/// Guards against an upstream that keeps processing the request of a caller that has disconnected,
/// until an overloaded entry gets to closing the connection.
#[test]
fn a_connection_that_is_dropped_is_closed_at_once() {
    let (address, rx) = start(ANSWER);
    run(async move {
        let pool = Rc::new(Pool::default());
        let connection = connect(&pool, address).await;
        let dropped = Instant::now();
        drop(connection);
        thread::sleep(BUSY);
        let (event, at) = rx.recv_timeout(BUSY).expect("a closed connection");
        assert_eq!(event, "closed");
        assert!(at - dropped < MAX_DELAY, "closed after {:?}", at - dropped);
    });
}

/// Guards against a request that is placed on an upstream, waits for another turn of the executor
/// to be written, and reaches the upstream after its caller has disconnected.
#[test]
fn a_request_is_written_in_the_turn_that_sends_it() {
    let (address, rx) = start(ANSWER);
    run(async move {
        let pool = Rc::new(Pool::default());
        let mut connection = connect(&pool, address).await;
        let sending = connection.sender.try_send_request(request());
        let sent = Instant::now();
        let mut answer = std::pin::pin!(connection.drive(sending));
        let mut is_first = true;
        let busy = std::future::poll_fn(|cx| {
            let polled = answer.as_mut().poll(cx);
            if std::mem::take(&mut is_first) {
                thread::sleep(BUSY);
            }
            polled
        });
        assert!(busy.await.is_ok_and(|response| response.status().is_success()));
        let (event, at) = rx.recv_timeout(BUSY).expect("a request");
        assert_eq!(event, "request");
        assert!(at - sent < MAX_DELAY, "sent after {:?}", at - sent);
    });
}

/// Guards against a new connection for each request although the previous one is idle.
#[test]
fn a_connection_whose_answer_was_read_is_used_again() {
    let (address, rx) = start(ANSWER);
    run(async move {
        let pool = Rc::new(Pool::default());
        for _ in 0..3 {
            let mut connection = connect(&pool, address).await;
            let sending = connection.sender.try_send_request(request());
            let response = connection.drive(sending).await.expect("an answer");
            let body = connection.drive(response.into_body().collect()).await.expect("a body");
            assert_eq!(body.to_bytes(), "ok");
            pool.checkin(connection);
        }
        let events: Vec<_> = rx.try_iter().map(|(event, _)| event).collect();
        assert_eq!(events, ["request"; 3]);
    });
}

/// Guards against reuse of a connection on which the upstream sent more bytes than the answer: they
/// would be parsed as the answer to the next request.
#[test]
fn a_connection_with_bytes_beyond_its_answer_is_not_used_again() {
    let (address, rx) =
        start("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n");
    run(async move {
        let pool = Rc::new(Pool::default());
        let mut connection = connect(&pool, address).await;
        let sending = connection.sender.try_send_request(request());
        let response = connection.drive(sending).await.expect("an answer");
        connection.drive(response.into_body().collect()).await.expect("a body");
        pool.checkin(connection);
        let again = connect(&pool, address).await;
        drop(again);
        let events = std::iter::from_fn(|| rx.recv_timeout(BUSY).ok());
        let closed = events.take(3).filter(|(event, _)| *event == "closed").count();
        assert_eq!(closed, 2, "the first connection was reused");
    });
}
