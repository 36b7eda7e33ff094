//! A connection that fails if its peer sends much before it has said who it is.
//!
//! Messages between instances may be long, but a stranger's must not take memory before they are
//! authenticated.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The number of bytes that may be read before the peer has been greeted; a handshake and a greeting
/// have some hundred.
const MAX_LEN: usize = 8 << 10;

/// A connection of which few bytes are read until its peer has been authenticated.
pub(super) struct GreetingStream {
    stream: TcpStream,
    read: AtomicUsize,
    is_greeted: Arc<AtomicBool>,
}

impl GreetingStream {
    /// Wraps a new connection; returns what is to be set once its peer has been authenticated.
    pub(super) fn new(stream: TcpStream) -> (GreetingStream, Arc<AtomicBool>) {
        let is_greeted: Arc<AtomicBool> = Arc::default();
        let read = AtomicUsize::new(0);
        (GreetingStream { stream, read, is_greeted: is_greeted.clone() }, is_greeted)
    }
}

impl AsyncRead for GreetingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_greeted.load(Ordering::Relaxed) {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        if self.read.load(Ordering::Relaxed) >= MAX_LEN {
            let err = io::Error::new(io::ErrorKind::InvalidData, "the peer sent no greeting");
            return Poll::Ready(Err(err));
        }
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.read.fetch_add(buf.filled().len() - filled, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GreetingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
