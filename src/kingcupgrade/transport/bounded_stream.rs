//! A connection that fails if too much arrives before what is awaited.
//!
//! The HTTP library bounds the head of a response, but not the number of informational heads before it:
//! an upstream that sends them without end would keep the process busy until the request's deadline. A
//! message between instances may be long, but must not take memory before its sender is
//! authenticated.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The value that stands for no bound.
const UNBOUNDED: usize = usize::MAX;

/// How many bytes may still be read from a connection; shared with its stream.
#[derive(Clone, Debug)]
pub(super) struct ReadBound(Arc<AtomicUsize>);

impl ReadBound {
    /// Creates a bound of this many bytes.
    pub(super) fn new(bytes: usize) -> ReadBound {
        ReadBound(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Creates a bound that is not in force.
    pub(super) fn lifted() -> ReadBound {
        ReadBound::new(UNBOUNDED)
    }

    /// Has reading fail once this many more bytes have been read.
    pub(super) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Takes the bound out of force.
    pub(super) fn lift(&self) {
        self.set(UNBOUNDED);
    }

    fn left(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn on_read(&self, bytes: usize) {
        let left = self.left();
        if left != UNBOUNDED {
            self.set(left.saturating_sub(bytes));
        }
    }
}

/// A connection of which a bounded number of bytes is read.
pub(super) struct BoundedStream {
    pub(super) stream: TcpStream,
    pub(super) bound: ReadBound,
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.bound.left() == 0 {
            let err = io::Error::new(io::ErrorKind::InvalidData, "too much was sent");
            return Poll::Ready(Err(err));
        }
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.bound.on_read(buf.filled().len() - filled);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
