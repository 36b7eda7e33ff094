//! Bounds what responses take in memory that are read to the end before they are forwarded.

use std::{
    cell::Cell,
    error::Error,
    fmt,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

/// The maximum length in bytes of a response that is not streamed; a longer one is treated as
/// broken rather than held in memory.
const MAX_RESPONSE_LEN: usize = 16 << 20;
/// The maximum of all incomplete responses together, in bytes. Beyond it, long ones are treated as
/// broken.
const MAX_TOTAL: usize = 32 << 20;
/// A response up to this length in bytes is never a long one.
const SHORT_LEN: usize = 256 << 10;

/// The bytes of all responses that are not complete yet.
#[derive(Debug, Default)]
pub(super) struct CollectedBytes(Cell<usize>);

/// The error of a response that is too long to be held in memory.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponseTooLong;

impl fmt::Display for ResponseTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response is too long to be held in memory")
    }
}

impl Error for ResponseTooLong {}

/// The body of a response that is read to the end; it fails once it is too long.
pub(super) struct CollectedBody<B> {
    body: B,
    all: Rc<CollectedBytes>,
    len: usize,
}

impl<B> CollectedBody<B> {
    pub(super) fn new(body: B, all: Rc<CollectedBytes>) -> CollectedBody<B> {
        CollectedBody { body, all, len: 0 }
    }

    fn count(&mut self, len: usize) -> Result<(), ResponseTooLong> {
        self.len += len;
        let total = self.all.0.get() + len;
        self.all.0.set(total);
        let has_room = self.len <= SHORT_LEN || total <= MAX_TOTAL;
        if has_room && self.len <= MAX_RESPONSE_LEN { Ok(()) } else { Err(ResponseTooLong) }
    }
}

impl<B> Drop for CollectedBody<B> {
    fn drop(&mut self) {
        self.all.0.set(self.all.0.get() - self.len);
    }
}

impl<B> Body for CollectedBody<B>
where
    B: Body<Data = Bytes, Error = Box<dyn Error + Send + Sync>> + Unpin,
{
    type Data = Bytes;
    type Error = Box<dyn Error + Send + Sync>;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let this = self.get_mut();
        let frame = ready!(Pin::new(&mut this.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && let Err(err) = this.count(frame.data_ref().map_or(0, Bytes::len))
        {
            return Poll::Ready(Some(Err(err.into())));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
