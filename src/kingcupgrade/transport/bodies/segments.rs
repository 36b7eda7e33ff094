//! Bytes of a body in buffers of its own.
//!
//! A frame that the HTTP library hands over is a view of the connection's read buffer, and keeps all
//! of that alive. A body in many small chunks would take many times its length.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};

/// The size in bytes of the first buffer of a body whose length is not known; each further one is as
/// large as what there is already.
const MIN_BUFFER_LEN: usize = 1 << 10;
/// The size of the largest buffer, in bytes.
const MAX_BUFFER_LEN: usize = 32 << 10;

/// A body that is being read.
#[derive(Debug, Default)]
pub(crate) struct SegmentBuffer {
    segments: Vec<Bytes>,
    last: Vec<u8>,
    len: usize,
    /// The length of the whole body, if known.
    whole_len: Option<u64>,
}

impl SegmentBuffer {
    pub(crate) fn new(whole_len: Option<u64>) -> SegmentBuffer {
        SegmentBuffer { whole_len, ..SegmentBuffer::default() }
    }

    /// Returns the number of bytes read.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the size of the buffer to be added before further bytes are pushed, or 0 if the last
    /// one has room.
    pub(crate) fn needed(&self) -> usize {
        if self.last.len() < self.last.capacity() {
            return 0;
        }
        let left = self.whole_len.map(|len| (len as usize).saturating_sub(self.len));
        match left {
            Some(left) if left > 0 => left.min(MAX_BUFFER_LEN),
            _ => self.len.clamp(MIN_BUFFER_LEN, MAX_BUFFER_LEN),
        }
    }

    /// Adds a buffer of this size.
    pub(crate) fn grow(&mut self, size: usize) {
        let full = std::mem::replace(&mut self.last, Vec::with_capacity(size));
        if !full.is_empty() {
            self.segments.push(full.into());
        }
    }

    /// Moves as many bytes into the last buffer as it has room for.
    pub(crate) fn push(&mut self, data: &mut Bytes) {
        let room = self.last.capacity() - self.last.len();
        let count = room.min(data.len());
        self.last.extend_from_slice(&data[..count]);
        data.advance(count);
        self.len += count;
    }

    /// Returns the body as far as it was read.
    pub(crate) fn finish(mut self) -> Segments {
        if !self.last.is_empty() {
            self.segments.push(self.last.into());
        }
        Segments { parts: self.segments.into(), len: self.len }
    }
}

/// A body in memory; clones share the bytes.
#[derive(Clone, Debug, Default)]
pub struct Segments {
    parts: Arc<[Bytes]>,
    len: usize,
}

impl Segments {
    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// Returns the error of the body.
    pub(crate) async fn collect<B: Body<Data = Bytes> + Unpin>(
        mut body: B,
    ) -> Result<Segments, B::Error> {
        let mut buffer = SegmentBuffer::new(body.size_hint().exact());
        while let Some(frame) = body.frame().await {
            let Ok(mut data) = frame?.into_data() else { continue };
            while !data.is_empty() {
                match buffer.needed() {
                    0 => buffer.push(&mut data),
                    size => buffer.grow(size),
                }
            }
        }
        Ok(buffer.finish())
    }

    /// Returns the length of the body, in bytes.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the bytes in order, in slices of any length.
    pub(crate) fn parts(&self) -> impl Iterator<Item = &[u8]> {
        self.parts.iter().map(|part| &part[..])
    }

    /// Returns the bytes in one buffer.
    pub(crate) fn to_vec(&self) -> Vec<u8> {
        self.parts().collect::<Vec<_>>().concat()
    }

    /// Returns a body that sends the bytes.
    pub fn body(&self) -> SegmentBody {
        SegmentBody { segments: self.clone(), next: 0, left: self.len }
    }
}

impl From<Bytes> for Segments {
    fn from(bytes: Bytes) -> Segments {
        let len = bytes.len();
        let parts = if bytes.is_empty() { Vec::new() } else { vec![bytes] };
        Segments { parts: parts.into(), len }
    }
}

/// A body that is sent from memory.
#[derive(Debug)]
pub struct SegmentBody {
    segments: Segments,
    next: usize,
    /// The number of bytes that were not taken yet.
    left: usize,
}

impl Body for SegmentBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = self.get_mut();
        let Some(part) = this.segments.parts.get(this.next).cloned() else {
            return Poll::Ready(None);
        };
        this.next += 1;
        this.left -= part.len();
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
