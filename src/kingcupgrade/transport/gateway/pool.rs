//! Connections to upstreams.
//!
//! An upstream accepts a limited number of connections from the whole fleet and answers one
//! request at a time on each. A connection goes back into the pool only after its answer was read
//! whole and nothing else arrived: bytes that nobody asked for would be taken for the next answer.

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

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

use crate::core::UpstreamName;

/// How long connecting may take: within a region it takes a few milliseconds, and a lost first
/// packet is repeated only after a second, by when another upstream has long answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection idle for longer is not used again, unless the upstream keeps it for shorter:
/// upstreams close idle connections, and a request that crosses the close has an unknown fate.
const MAX_IDLE: Duration = Duration::from_millis(4_000);
/// The part of the idle time that an upstream states during which its connection is used.
const IDLE_PART: f64 = 0.6;

/// An open connection, moved on by the task that uses it.
///
/// With a task of its own each answer's bytes would wait for two turns of the processor, that task's
/// and its caller's, and a connection that is dropped would stay open for one more. Where turns are
/// late that is half a second in which an upstream works for a caller who has left.
pub struct Connection {
    /// Sends one request at a time; what it sends is written by [`Connection::drive`].
    pub sender: SendRequest<Full<Bytes>>,
    /// `None` once it is closed.
    driver: Option<Driver>,
    key: UpstreamName,
    pool: Rc<Pool>,
    /// How long the upstream keeps it while it is idle.
    pub keep_alive: Option<Duration>,
}

type Driver = Pin<Box<dyn Future<Output = ()>>>;

impl Connection {
    /// Writes and reads as far as that is possible now.
    pub fn poll_drive(&mut self, cx: &mut Context<'_>) {
        if let Some(driver) = &mut self.driver
            && driver.as_mut().poll(cx).is_ready()
        {
            self.driver = None;
        }
    }

    /// Polls something that the connection brings, moving it on if it isn't there yet.
    pub fn poll_for<T>(
        &mut self,
        cx: &mut Context<'_>,
        mut poll: impl FnMut(&mut Context<'_>) -> Poll<T>,
    ) -> Poll<T> {
        // Were the task registered here, moving the connection on would wake it for nothing.
        if let Poll::Ready(ready) = poll(&mut Context::from_waker(Waker::noop())) {
            return Poll::Ready(ready);
        }
        self.poll_drive(cx);
        poll(cx)
    }

    /// Awaits something that the connection brings.
    pub async fn drive<F: Future>(&mut self, future: F) -> F::Output {
        let mut future = pin!(future);
        poll_fn(|cx| self.poll_for(cx, |cx| future.as_mut().poll(cx))).await
    }

    /// Tells whether it can send; one that the upstream has closed meanwhile can't.
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

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoConnection {
    /// As many as allowed are open and in use.
    Full,
    /// The upstream can't be reached.
    Unreachable,
}

/// The connections of one entry.
#[derive(Default)]
pub struct Pool {
    slots: RefCell<HashMap<UpstreamName, Slot>>,
}

impl Pool {
    /// Returns a connection to an upstream, a kept one if there is one.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub async fn checkout(
        self: &Rc<Pool>,
        upstream: &UpstreamName,
        address: SocketAddr,
        most: usize,
    ) -> Result<Connection, NoConnection> {
        if let Some(connection) = self.take_idle(upstream) {
            return Ok(connection);
        }
        self.open(upstream, address, most).await
    }

    fn take_idle(&self, upstream: &UpstreamName) -> Option<Connection> {
        loop {
            let mut idle = self.slots.borrow_mut().get_mut(upstream)?.idle.pop()?;
            let stated = idle.connection.keep_alive.map(|keep| keep.mul_f64(IDLE_PART));
            let most = stated.map_or(MAX_IDLE, |stated| stated.min(MAX_IDLE));
            if idle.since.elapsed() <= most && idle.connection.is_ready() {
                return Some(idle.connection);
            }
            // Dropped outside of the borrow: closing it counts in the slot.
            drop(idle);
        }
    }

    /// Opens a connection.
    async fn open(
        self: &Rc<Pool>,
        upstream: &UpstreamName,
        address: SocketAddr,
        most: usize,
    ) -> Result<Connection, NoConnection> {
        {
            let mut slots = self.slots.borrow_mut();
            let slot = slots.entry(upstream.clone()).or_default();
            if slot.open >= most {
                return Err(NoConnection::Full);
            }
            slot.open += 1;
        }
        let guard = OpenGuard { pool: self.clone(), key: upstream.clone(), kept: false };
        let connecting = async {
            let stream = TcpStream::connect(address).await.ok()?;
            // Without it a short request waits for an acknowledgement; it can only be slower.
            let _ = stream.set_nodelay(true);
            // A request that was given up must not arrive later: to an upstream that can't be
            // reached its bytes would be sent again for minutes, unless closing resets.
            stream.set_zero_linger().ok()?;
            let builder = http1::Builder::new();
            builder.handshake::<_, Full<Bytes>>(TokioIo::new(stream)).await.ok()
        };
        let connected = timeout(CONNECT_TIMEOUT, connecting).await;
        let Ok(Some((sender, connection))) = connected else {
            return Err(NoConnection::Unreachable);
        };
        let driver: Driver = Box::pin(async move {
            // An error shows where the answer is awaited; an idle one is dropped by its state.
            let _ = connection.await;
        });
        let (pool, key) = guard.keep();
        Ok(Connection { sender, driver: Some(driver), key, pool, keep_alive: None })
    }

    /// Takes a connection back after its answer was read whole.
    pub fn give_back(&self, mut connection: Connection) {
        if !connection.is_ready() {
            return;
        }
        let key = connection.key.clone();
        let idle = Idle { connection, since: Instant::now() };
        self.slots.borrow_mut().entry(key).or_default().idle.push(idle);
    }

    /// Closes connections that were idle for too long or that the upstream has closed, and those of
    /// upstreams that are gone.
    pub fn sweep(&self, is_listed: impl Fn(&UpstreamName) -> bool) {
        let mut closing = Vec::new();
        {
            let mut slots = self.slots.borrow_mut();
            for (name, slot) in slots.iter_mut() {
                let gone = !is_listed(name);
                let (old, kept) = std::mem::take(&mut slot.idle)
                    .into_iter()
                    .partition(|idle: &Idle| gone || idle.since.elapsed() > MAX_IDLE);
                slot.idle = kept;
                let mut old: Vec<Idle> = old;
                old.extend(slot.idle.extract_if(.., |idle| !idle.connection.is_ready()));
                closing.extend(old);
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

/// Counts a connection as open while it is made.
struct OpenGuard {
    pool: Rc<Pool>,
    key: UpstreamName,
    kept: bool,
}

impl OpenGuard {
    fn keep(mut self) -> (Rc<Pool>, UpstreamName) {
        self.kept = true;
        (self.pool.clone(), self.key.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        if !self.kept {
            self.pool.close(&self.key);
        }
    }
}
