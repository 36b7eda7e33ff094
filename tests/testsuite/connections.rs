//! Connections to upstreams, in an entry whose processor is behind.
//!
//! What is done in one turn of the processor must reach the upstream in that turn: the thread that
//! stands still right after it plays a processor that has hundreds of other tasks to do first.

use std::{
    future::Future,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    rc::Rc,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use kingcupgrade::transport::gateway::pool::{Connection, Pool};
use tokio::task::LocalSet;

/// How long the processor is busy with others.
const BUSY: Duration = Duration::from_millis(1_500);
/// What must have happened meanwhile has happened by then.
const SOON: Duration = Duration::from_millis(500);

const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

fn run(task: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), task);
}

/// An upstream; tells when its caller's request came, and when the connection was closed.
fn start(answer: &'static str) -> (SocketAddr, mpsc::Receiver<(&'static str, Instant)>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let tx = tx.clone();
            thread::spawn(move || serve(stream, answer, &tx));
        }
    });
    (address, rx)
}

fn serve(mut stream: TcpStream, answer: &str, tx: &mpsc::Sender<(&'static str, Instant)>) {
    let mut piece = [0; 4096];
    while stream.read(&mut piece).is_ok_and(|read| read > 0) {
        // The test may have ended.
        let _ = tx.send(("request", Instant::now()));
        let _ = stream.write_all(answer.as_bytes());
    }
    let _ = tx.send(("closed", Instant::now()));
}

async fn connect(pool: &Rc<Pool>, address: SocketAddr) -> Connection {
    let opened = pool.checkout(&"engine-1".into(), address, 4).await;
    opened.unwrap_or_else(|err| panic!("no connection: {err:?}"))
}

fn request() -> Request<Full<Bytes>> {
    Request::new(Full::new(Bytes::from_static(b"prompt")))
}

/// Guards against an upstream that works on for a caller who has left, until a busy entry comes
/// round to closing the connection.
#[test]
fn a_connection_that_is_dropped_is_closed_at_once() {
    let (address, rx) = start(ANSWER);
    run(async move {
        let pool = Rc::new(Pool::default());
        let connection = connect(&pool, address).await;
        let dropped = Instant::now();
        drop(connection);
        thread::sleep(BUSY);
        let (what, at) = rx.recv_timeout(BUSY).expect("a closed connection");
        assert_eq!(what, "closed");
        assert!(at - dropped < SOON, "closed after {:?}", at - dropped);
    });
}

/// Guards against a request that waits for another turn after it was decided on, and reaches its
/// upstream when its caller has left.
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
        let (what, at) = rx.recv_timeout(BUSY).expect("a request");
        assert_eq!(what, "request");
        assert!(at - sent < SOON, "sent after {:?}", at - sent);
    });
}

/// Guards against a connection that is made anew for each request though the one before is free.
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
        let events: Vec<_> = rx.try_iter().map(|(what, _)| what).collect();
        assert_eq!(events, ["request"; 3]);
    });
}

/// Guards against a request that is sent on a connection with bytes on it that nobody asked for: they
/// would be taken for its answer.
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
        let closed = events.take(3).filter(|(what, _)| *what == "closed").count();
        assert_eq!(closed, 2, "the first connection was kept");
    });
}
