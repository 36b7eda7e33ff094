//! A connection to an upstream that fails if too much arrives before the head of a response.
//!
//! The HTTP library bounds the head, but not the number of informational heads before it: an
//! upstream that sends them without end would keep the process busy until the request's deadline.

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

/// The maximum length of the heads of one response, in bytes.
pub(super) const MAX_HEADS_LEN: usize = 128 << 10;

/// How many bytes may still be read before the head of a response is complete; `None` if no head is
/// awaited.
pub(super) type HeadLeft = Rc<Cell<Option<usize>>>;

pub(super) struct BoundedStream {
    pub(super) stream: TcpStream,
    pub(super) head_left: HeadLeft,
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.head_left.get() == Some(0) {
            let err = io::Error::new(io::ErrorKind::InvalidData, "the response has no end of head");
            return Poll::Ready(Err(err));
        }
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - filled;
        self.head_left.set(self.head_left.get().map(|left| left.saturating_sub(read)));
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
