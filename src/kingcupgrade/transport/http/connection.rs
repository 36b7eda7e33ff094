//! One connection: its requests in turn, and a numbered refusal where a head can't be read.

use std::{
    future::poll_fn,
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use hyper::{Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf},
    net::TcpStream,
    sync::oneshot,
    time,
};

use super::{
    Serve,
    answer::{Answer, AnswerBody},
    request::{HangUpAction, Request},
};
use crate::core::{Code, Millis, code::CodedError};

/// What is read ahead of a connection, in bytes; a head beyond it is refused unread.
const MAX_BUF_LEN: usize = 64 << 10;
/// How long, and how much, a connection that is closed is still read.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_LEN: u64 = 4 << 20;

/// Serves the requests of a connection until it ends.
pub(super) async fn serve_all(stream: TcpStream, serve: Serve) {
    // Without it an event waits for the one before to be acknowledged; it can only be slower.
    let _ = stream.set_nodelay(true);
    let gate = Gate { stream, swallowed: false };
    let service = service_fn(move |request| Box::pin(serve_one(request, serve.clone())));
    let mut connection = http1::Builder::new()
        .max_buf_size(MAX_BUF_LEN)
        .serve_connection(TokioIo::new(gate), service);
    let ended = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
    let Gate { mut stream, swallowed } = connection.into_parts().io.into_inner();
    if let (true, Err(err)) = (swallowed, ended) {
        let code = if err.is_parse_too_large() { Code::HeadTooLarge } else { Code::BadRequest };
        let refusal = Answer::refusal(&CodedError::new(code, err.to_string()), Millis::ZERO);
        // A caller that is gone needs no word of it.
        let _ = stream.write_all(&refusal.to_bytes()).await;
    }
    linger(stream).await;
}

/// Closes a connection without losing its last answer.
///
/// A connection closed with bytes unread is reset, and the reset can overtake the answer: a
/// caller who sent too much would see a broken connection instead of the reason.
async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut sink = tokio::io::sink();
    let mut rest = stream.take(LINGER_LEN);
    let reading = tokio::io::copy(&mut rest, &mut sink);
    // Whatever comes is not looked at.
    let _ = time::timeout(LINGER, reading).await;
}

/// Hands a request on and waits for its answer.
async fn serve_one(
    request: hyper::Request<Incoming>,
    serve: Serve,
) -> Result<Response<AnswerBody>, oneshot::error::RecvError> {
    let (request, pending) = Request::new(request);
    let watch = HangUpWatch { action: Some(pending.hung_up) };
    serve(request);
    let answer = pending.answer.await;
    watch.disarm();
    answer
}

/// Does what a request wants done if its caller hangs up: the library then drops the future that
/// waits for the answer, and this with it.
struct HangUpWatch {
    action: Option<oneshot::Receiver<HangUpAction>>,
}

impl HangUpWatch {
    fn disarm(mut self) {
        self.action = None;
    }
}

impl Drop for HangUpWatch {
    fn drop(&mut self) {
        let action = self.action.take().and_then(|mut action| action.try_recv().ok());
        if let Some(action) = action {
            action();
        }
    }
}

/// A connection that holds back the refusals the library writes by itself.
///
/// They have no number. The library writes one as the last thing on a connection, with a status of
/// 4xx and without a content type, which every answer of this project has.
struct Gate {
    stream: TcpStream,
    swallowed: bool,
}

fn is_bare_refusal(buf: &[u8]) -> bool {
    let is_refusal = buf.starts_with(b"HTTP/1.1 4") || buf.starts_with(b"HTTP/1.0 4");
    let name = b"content-type";
    is_refusal && !buf.windows(name.len()).any(|part| part.eq_ignore_ascii_case(name))
}

impl AsyncRead for Gate {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Gate {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if is_bare_refusal(buf) {
            self.swallowed = true;
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
