//! A caller's connection, and whether the caller has left.
//!
//! hyper learns that a caller has left when the runtime polls the socket. On an entry with more work
//! than processor time that is late: a queued request gets its turn first, and is sent to an
//! upstream for nobody. The kernel knows at once.

use std::{
    cell::{Cell, RefCell},
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
};

use super::memory::AnswerBuffer;
use crate::transport::{head_watch::HeadWatch, linger};

/// The size of the kernel's send buffer where the process's memory is limited; callers at a round
/// trip of 10 ms still get more than 6 MB a second.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// The size of the kernel's receive buffer there, which the kernel doubles for its own needs; bodies from
/// callers at a round trip of 10 ms still arrive at more than 3 MB a second.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Has the kernel hold little for each connection of a listener that is accepted from now on.
///
/// What a caller sends while its first request is served is not read. Where the process's memory is
/// limited, it counts.
pub(super) fn limit_receive_buffers(listener: &TcpListener) {
    // A failure costs memory only.
    let _ = SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
}

/// A caller's connection, for the server that reads and writes it.
pub struct CallerStream {
    stream: Rc<RefCell<TcpStream>>,
    /// Bytes that were read before, and that the server has not got yet.
    pending: Bytes,
    head: Arc<HeadWatch>,
    /// Counts what is not written yet, if the process's memory is limited.
    buffer: Option<Rc<AnswerBuffer>>,
    is_discarded: Rc<Cell<bool>>,
}

/// Tells whether a caller has left.
#[derive(Clone)]
pub struct Caller {
    stream: Rc<RefCell<TcpStream>>,
    head: Arc<HeadWatch>,
    buffer: Option<Rc<AnswerBuffer>>,
    /// Whether a request was refused that has not been read to its end.
    is_discarded: Rc<Cell<bool>>,
}

impl CallerStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> CallerStream {
        CallerStream::with_pending(stream, Bytes::new(), None, HeadWatch::default())
    }

    /// Wraps a connection of which `pending` was read already; `buffer` counts what is not written
    /// yet, if the process's memory is limited, and `head` limits the heads of requests.
    pub(super) fn with_pending(
        stream: TcpStream,
        pending: Bytes,
        buffer: Option<Rc<AnswerBuffer>>,
        head: HeadWatch,
    ) -> CallerStream {
        if buffer.is_some() {
            // The kernel would buffer some megabytes for each caller that does not read. A failure
            // costs memory only.
            let _ = SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
        }
        let is_discarded = Rc::default();
        let (stream, head) = (Rc::new(RefCell::new(stream)), Arc::new(head));
        CallerStream { stream, pending, head, buffer, is_discarded }
    }

    /// Returns what tells whether the caller has left.
    pub fn caller(&self) -> Caller {
        Caller {
            stream: self.stream.clone(),
            head: self.head.clone(),
            buffer: self.buffer.clone(),
            is_discarded: self.is_discarded.clone(),
        }
    }

    fn poll<T>(&self, poll: impl FnOnce(Pin<&mut TcpStream>) -> T) -> T {
        poll(Pin::new(&mut *self.stream.borrow_mut()))
    }

    fn on_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let (Some(buffer), Poll::Ready(Ok(len))) = (&self.buffer, &written) {
            buffer.on_written(*len);
        }
        written
    }
}

impl Caller {
    /// Returns whether the caller has closed its connection, as far as that has arrived here.
    ///
    /// If it has sent more requests before, that can't be told.
    pub fn has_left(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(&*self.stream.borrow()).peek(&mut byte) {
            Ok(count) => count == 0,
            Err(err) => {
                matches!(err.kind(), io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe)
            }
        }
    }

    /// Returns what is buffered for the caller; `None` if that is not counted.
    pub(super) fn buffer(&self) -> Option<&Rc<AnswerBuffer>> {
        self.buffer.as_ref()
    }

    /// Returns what limits the heads of the caller's requests.
    pub(super) fn head(&self) -> &Arc<HeadWatch> {
        &self.head
    }

    /// Writes as much of a last answer as is possible without waiting, unless part of an earlier answer
    /// may not have been written.
    pub(super) fn write_last(&self, bytes: &[u8]) {
        if self.buffer.as_ref().is_none_or(|buffer| buffer.has_bytes()) {
            return;
        }
        // An error means that the caller has left.
        let _ = self.stream.borrow().try_write(bytes);
    }

    /// Has what the caller still sends read and dropped before the connection is closed.
    pub(super) fn discard_on_close(&self) {
        self.is_discarded.set(true);
    }

    pub(super) fn is_discarded_on_close(&self) -> bool {
        self.is_discarded.get()
    }

    /// Reads and drops what the caller sends, for some time at most.
    pub(super) async fn discard(&self) {
        linger::discard(SharedStream(&self.stream)).await;
    }

    /// Has the connection reset when it is closed, so that the kernel drops what the caller has not
    /// read.
    pub(super) fn reset_on_close(&self) {
        // If it fails, the kernel keeps the bytes until the caller reads or leaves.
        let _ = self.stream.borrow().set_zero_linger();
    }
}

/// Reads a connection that others hold, too.
struct SharedStream<'a>(&'a RefCell<TcpStream>);

impl AsyncRead for SharedStream<'_> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(cx, buf)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let CallerStream { stream, pending, head, .. } = &mut *self;
        head.poll_read(cx, buf, |cx, buf| {
            if pending.is_empty() {
                return Pin::new(&mut *stream.borrow_mut()).poll_read(cx, buf);
            }
            let len = pending.len().min(buf.remaining());
            buf.put_slice(&pending.split_to(len));
            Poll::Ready(Ok(()))
        })
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.on_written(self.poll(|stream| stream.poll_write(cx, buf)))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Some(buffer) = &self.buffer {
            // The server flushes only when it has written all it had.
            buffer.on_flushed();
        }
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
        self.on_written(self.poll(|stream| stream.poll_write_vectored(cx, bufs)))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }
}
