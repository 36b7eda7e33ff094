//! A connection to an upstream that fails if too much arrives before the head of a response.
//!
//! The HTTP library bounds the head, but not the number of informational heads before it: an upstream
//! that sends them without end would keep the process busy until the request's deadline.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// How many bytes may still be read from a connection, if that is bounded; shared with its stream.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadBound(Rc<Cell<Option<usize>>>);

impl ReadBound {
    /// Has reading fail once this many more bytes have been read.
    pub(super) fn set(&self, bytes: usize) {
        self.0.set(Some(bytes));
    }

    /// Takes the bound out of force.
    pub(super) fn lift(&self) {
        self.0.set(None);
    }

    fn is_reached(&self) -> bool {
        self.0.get() == Some(0)
    }

    fn on_read(&self, bytes: usize) {
        self.0.set(self.0.get().map(|left| left.saturating_sub(bytes)));
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
        if self.bound.is_reached() {
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
