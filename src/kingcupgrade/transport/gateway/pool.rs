//! Connection pool for upstreams.
//!
//! An upstream accepts a limited number of connections from the whole fleet and serves one request
//! at a time on each. A connection is returned to the pool only after its response has been read to
//! the end and no further bytes have arrived: unsolicited bytes would be taken for the response to
//! the next request.

use std::{
    cell::RefCell,
    collections::HashMap,
    future::{Future, poll_fn},
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

use super::bounded_stream::{BoundedStream, ReadBound};
use crate::{core::UpstreamName, transport::bodies::SegmentBody};

/// The maximum length of the heads of one response, in bytes.
const MAX_HEADS_LEN: usize = 128 << 10;
/// The timeout for connecting. Within a region connecting takes a few milliseconds. A lost SYN is
/// retransmitted only after a second, by when another upstream would have answered long ago.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum time for which a connection may be idle and still be reused; less if the upstream's
/// own keep-alive time is short. Upstreams close idle connections, and if a request crosses with
/// the close, it is unknown whether it ran.
const MAX_IDLE: Duration = Duration::from_millis(4_000);
/// The fraction of an upstream's stated keep-alive time during which a connection is reused.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// An open connection, driven by the task that uses it.
///
/// If the connection were driven by a task of its own, the bytes of each response would wait for
/// two tasks to be scheduled, that one and the caller's, and a dropped connection would stay open
/// until its task is scheduled. On an overloaded entry that takes half a second, during which the
/// upstream works for a caller who has left.
pub struct Connection {
    /// Sends one request at a time; [`Connection::drive`] writes it to the socket.
    pub sender: SendRequest<SegmentBody>,
    /// `None` once the connection is closed.
    driver: Option<Driver>,
    key: UpstreamName,
    pool: Rc<Pool>,
    /// How long the upstream keeps the connection open while it is idle, if stated.
    pub keep_alive: Option<Duration>,
    heads: ReadBound,
}

type Driver = Pin<Box<dyn Future<Output = ()>>>;

impl Connection {
    /// Writes and reads as much as is possible without blocking.
    pub fn poll_drive(&mut self, cx: &mut Context<'_>) {
        if let Some(driver) = &mut self.driver
            && driver.as_mut().poll(cx).is_ready()
        {
            self.driver = None;
        }
    }

    /// Polls for a value that arrives on the connection, and drives the connection if the value
    /// isn't ready.
    pub fn poll_for<T>(
        &mut self,
        cx: &mut Context<'_>,
        mut poll: impl FnMut(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        // With the real waker, driving the connection below would wake the task needlessly.
        if let Poll::Ready(ready) = poll(&mut Context::from_waker(Waker::noop())) {
            return Poll::Ready(ready);
        }
        self.poll_drive(cx);
        poll(cx)
    }

    /// Drives the connection until a future that depends on it completes.
    pub async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| self.poll_for(cx, |cx| future.as_mut().poll(cx))).await
    }

    /// Waits for the head of the response that a request is answered with. Informational heads may
    /// precede it; all of them together are bounded.
    pub async fn receive_head<F: Future>(&mut self, sending: F) -> F::Output {
        self.heads.set(MAX_HEADS_LEN);
        let received = self.drive(sending).await;
        self.heads.lift();
        received
    }

    /// Returns whether the connection can send a request; it can't once the upstream has closed it.
    fn is_ready(&mut self) -> bool {
        self.poll_drive(&mut Context::from_waker(Waker::noop()));
        self.sender.is_ready()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.pool.close(&self.key);
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
}

#[derive(Default)]
struct Slot {
    idle: Vec<Idle>,
    open: usize,
}

/// Why no connection is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckoutError {
    /// The maximum number of connections is open, and all are in use.
    Full,
    /// Connecting to the upstream failed or timed out.
    Unreachable,
}

/// The pool of an entry's connections to all upstreams.
#[derive(Default)]
pub struct Pool {
    slots: RefCell<HashMap<UpstreamName, Slot>>,
}

impl Pool {
    /// Returns a connection to an upstream: an idle one if possible, otherwise a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if `max_open` connections to the upstream are open already, or if it can't
    /// be connected to.
    pub async fn checkout(
        self: &Rc<Pool>,
        upstream: &UpstreamName,
        address: SocketAddr,
        max_open: usize,
    ) -> Result<Connection, CheckoutError> {
        if let Some(connection) = self.take_idle(upstream) {
            return Ok(connection);
        }
        self.open(upstream, address, max_open).await
    }

    fn take_idle(&self, upstream: &UpstreamName) -> Option<Connection> {
        loop {
            let mut idle = self.slots.borrow_mut().get_mut(upstream)?.idle.pop()?;
            let stated = idle.connection.keep_alive.map(|keep| keep.mul_f64(KEEP_ALIVE_FRACTION));
            let max_idle = stated.map_or(MAX_IDLE, |stated| stated.min(MAX_IDLE));
            if idle.since.elapsed() <= max_idle && idle.connection.is_ready() {
                return Some(idle.connection);
            }
            // Dropped while `slots` is not borrowed: dropping a connection borrows it mutably.
            drop(idle);
        }
    }

    async fn open(
        self: &Rc<Pool>,
        upstream: &UpstreamName,
        address: SocketAddr,
        max_open: usize,
    ) -> Result<Connection, CheckoutError> {
        {
            let mut slots = self.slots.borrow_mut();
            let slot = slots.entry(upstream.clone()).or_default();
            if slot.open >= max_open {
                return Err(CheckoutError::Full);
            }
            slot.open += 1;
        }
        let guard = OpenGuard { pool: self.clone(), key: upstream.clone(), is_kept: false };
        let heads = ReadBound::default();
        let connecting = async {
            let stream = TcpStream::connect(address).await.ok()?;
            // Nagle's algorithm would hold back a short request until the peer acknowledges earlier
            // data. A failure costs latency only.
            let _ = stream.set_nodelay(true);
            // Closing must reset the connection. Otherwise the kernel would retransmit an abandoned
            // request to an unreachable upstream for minutes, and it could still arrive.
            stream.set_zero_linger().ok()?;
            let stream = BoundedStream { stream, bound: heads.clone() };
            let builder = http1::Builder::new();
            builder.handshake::<_, SegmentBody>(TokioIo::new(stream)).await.ok()
        };
        let connected = timeout(CONNECT_TIMEOUT, connecting).await;
        let Ok(Some((sender, connection))) = connected else {
            return Err(CheckoutError::Unreachable);
        };
        let driver: Driver = Box::pin(async move {
            // The task that awaits the response receives the error as well; an idle connection is
            // dropped because it is no longer ready.
            let _ = connection.await;
        });
        let (pool, key) = guard.keep();
        Ok(Connection { sender, driver: Some(driver), key, pool, keep_alive: None, heads })
    }

    /// Returns a connection to the pool after its response has been read to the end.
    pub fn checkin(&self, mut connection: Connection) {
        if !connection.is_ready() {
            return;
        }
        let key = connection.key.clone();
        let idle = Idle { connection, since: Instant::now() };
        self.slots.borrow_mut().entry(key).or_default().idle.push(idle);
    }

    /// Closes the idle connections that have expired, that the upstream has closed, or whose
    /// upstream is no longer listed.
    pub fn sweep(&self, is_listed: impl Fn(&UpstreamName) -> bool) {
        let mut closing = Vec::new();
        {
            let mut slots = self.slots.borrow_mut();
            for (name, slot) in slots.iter_mut() {
                let is_delisted = !is_listed(name);
                let (expired, kept) = std::mem::take(&mut slot.idle)
                    .into_iter()
                    .partition(|idle: &Idle| is_delisted || idle.since.elapsed() > MAX_IDLE);
                slot.idle = kept;
                let mut expired: Vec<Idle> = expired;
                expired.extend(slot.idle.extract_if(.., |idle| !idle.connection.is_ready()));
                closing.extend(expired);
            }
            slots.retain(|_, slot| slot.open > 0);
        }
        drop(closing);
    }

    fn close(&self, key: &UpstreamName) {
        if let Some(slot) = self.slots.borrow_mut().get_mut(key) {
            slot.open = slot.open.saturating_sub(1);
        }
    }
}

/// Counts a connection as open while it is being established, and undoes that if it fails.
struct OpenGuard {
    pool: Rc<Pool>,
    key: UpstreamName,
    is_kept: bool,
}

impl OpenGuard {
    fn keep(mut self) -> (Rc<Pool>, UpstreamName) {
        self.is_kept = true;
        (self.pool.clone(), self.key.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        if !self.is_kept {
            self.pool.close(&self.key);
        }
    }
}
