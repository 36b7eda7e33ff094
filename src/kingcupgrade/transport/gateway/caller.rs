//! A caller's connection, and whether the caller has left.
//!
//! hyper learns that a caller has left when the runtime polls the socket. On an entry with more work
//! than processor time that is late: a queued request gets its turn first, and is sent to an
//! upstream for nobody. The kernel knows at once.

use std::{
    cell::RefCell,
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A caller's connection, for the server that reads and writes it.
pub struct CallerStream {
    stream: Rc<RefCell<TcpStream>>,
    /// Bytes that were read before, and that the server has not got yet.
    pending: Bytes,
}

/// Tells whether a caller has left.
#[derive(Clone)]
pub struct Caller(Rc<RefCell<TcpStream>>);

impl CallerStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> CallerStream {
        CallerStream::with_pending(stream, Bytes::new())
    }

    /// Wraps a connection of which these bytes were read already.
    pub fn with_pending(stream: TcpStream, pending: Bytes) -> CallerStream {
        CallerStream { stream: Rc::new(RefCell::new(stream)), pending }
    }

    /// Returns what tells whether the caller has left.
    pub fn caller(&self) -> Caller {
        Caller(self.stream.clone())
    }

    fn poll<T>(&self, poll: impl FnOnce(Pin<&mut TcpStream>) -> T) -> T {
        poll(Pin::new(&mut *self.stream.borrow_mut()))
    }
}

impl Caller {
    /// Returns whether the caller has closed its connection, as far as that has arrived here.
    ///
    /// If it has sent more requests before, that can't be told.
    pub fn has_left(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.0.borrow()).peek(&mut byte) {
            Ok(count) => count == 0,
            Err(err) => {
                matches!(err.kind(), io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe)
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.pending.is_empty() {
            let len = self.pending.len().min(buf.remaining());
            buf.put_slice(&self.pending.split_to(len));
            return Poll::Ready(Ok(()));
        }
        self.poll(|stream| stream.poll_read(cx, buf))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll(|stream| stream.poll_write(cx, buf))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll(|stream| stream.poll_shutdown(cx))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll(|stream| stream.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }
}
