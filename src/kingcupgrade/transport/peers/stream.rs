//! A connection from another instance, of which no more is read than there is memory for.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::READ_BUF_LEN;
use crate::transport::bodies::{Bodies, BodyError, BodyMemory};

/// The number of bytes that are read before a peer has greeted; a handshake and a greeting have some
/// hundred.
const MAX_GREETING_LEN: usize = 8 << 10;
/// The length up to which a message is not counted: what one read brings.
const UNCOUNTED_LEN: usize = READ_BUF_LEN;

/// A connection whose incomplete messages are counted.
pub(super) struct PeerStream {
    stream: TcpStream,
    messages: Arc<Bodies>,
    is_greeted: bool,
    /// The bytes that have been read since the last complete message.
    unfinished: usize,
    /// The memory of a long message.
    memory: Option<BodyMemory>,
}

impl PeerStream {
    /// Wraps a connection; `messages` is the memory that all connections share.
    pub(super) fn new(stream: TcpStream, messages: Arc<Bodies>) -> PeerStream {
        PeerStream { stream, messages, is_greeted: false, unfinished: 0, memory: None }
    }

    /// Records that the peer has greeted.
    pub(super) fn on_greeted(&mut self) {
        self.is_greeted = true;
        self.on_message();
    }

    /// Records that a message is complete.
    pub(super) fn on_message(&mut self) {
        self.unfinished = 0;
        self.memory = None;
    }

    fn on_read(&mut self, len: usize) -> io::Result<()> {
        self.unfinished += len;
        if !self.is_greeted {
            return match self.unfinished > MAX_GREETING_LEN {
                true => Err(io::Error::new(io::ErrorKind::InvalidData, "a greeting too long")),
                false => Ok(()),
            };
        }
        if self.unfinished <= UNCOUNTED_LEN {
            return Ok(());
        }
        let memory = self.memory.get_or_insert_with(|| self.messages.begin(None));
        memory.on_bytes(len as u64);
        memory.extend(len as u64).map_err(given_up)
    }

    /// Waits until the message is given up for others.
    fn poll_given_up(&self, cx: &mut Context<'_>) -> Poll<io::Error> {
        match &self.memory {
            Some(memory) => memory.poll_given_up(cx).map(|()| given_up(BodyError::TooSlow)),
            None => Poll::Pending,
        }
    }
}

fn given_up(err: BodyError) -> io::Error {
    io::Error::other(format!("a message was given up: {err:?}"))
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Pending => self.poll_given_up(cx).map(Err),
            Poll::Ready(read) => {
                let len = buf.filled().len() - filled;
                Poll::Ready(read.and_then(|()| self.on_read(len)))
            }
        }
    }
}

impl AsyncWrite for PeerStream {
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
