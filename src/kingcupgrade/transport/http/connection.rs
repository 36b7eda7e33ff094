//! A single connection: serves its requests in sequence, and sends a coded refusal if a request
//! head can't be parsed.

use std::{future::poll_fn, sync::Arc, time::Duration};

use hyper::{Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, sync::oneshot::error::RecvError};

use super::{
    Handler,
    intake::{BodyPolicy, Intake, RequestHead},
    request::{DisconnectGuard, Request},
    response::{ResponseBody, ServerResponse},
    stream::CallerStream,
};
use crate::{
    core::{Code, Millis, code::CodedError},
    transport::{
        bodies::{BodyError, BodyLimits, HeldBody},
        connection_limit::Place,
        head_watch::{HeadLimits, HeadWatch},
        linger::linger,
    },
};

/// The size of the read buffer of a connection, in bytes; a longer request head is refused.
const MAX_BUF_LEN: usize = 36 << 10;
/// The timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// The retry delay sent when there is no memory for a request.
const RETRY_AFTER_MEMORY: Millis = Millis(1_000);

/// Serves the requests of a connection until it ends.
pub(super) async fn serve_all(
    stream: TcpStream,
    intake: Intake,
    place: Arc<Place>,
    serve: Handler,
) {
    // Nagle's algorithm would hold back an event until the previous one is acknowledged. A failure
    // costs latency only.
    let _ = stream.set_nodelay(true);
    let head = Arc::new(HeadWatch::new(HeadLimits {
        bodies: intake.bodies.clone(),
        len: MAX_BUF_LEN,
        timeout: intake.head_timeout,
    }));
    let filtered = CallerStream::new(stream, head.clone(), intake.write_timeout);
    let on_refusal = intake.on_refusal;
    let service = service_fn(move |request| {
        let answering = head.complete();
        let response = serve_one(request, intake.clone(), place.clone(), serve.clone());
        Box::pin(async { Ok::<_, RecvError>(response.await?.map(|b| b.answered_as(answering))) })
    });
    let mut connection = http1::Builder::new()
        .max_buf_size(MAX_BUF_LEN)
        .serve_connection(TokioIo::new(filtered), service);
    let ended = poll_fn(|cx| connection.poll_without_shutdown(cx)).await;
    let mut stream = connection.into_parts().io.into_inner();
    let refused = ended.err().and_then(|err| stream.refused_head(&err));
    if let Some(err) = refused {
        on_refusal(err.code);
        stream.write_last(&refusal(&err).to_bytes()).await;
    }
    if let Some(stream) = stream.into_read() {
        linger(stream).await;
    }
}

/// Builds the response to a request that was not taken in.
fn refusal(err: &CodedError) -> ServerResponse {
    let retry_after = if err.code == Code::TooBusy { RETRY_AFTER_MEMORY } else { Millis::ZERO };
    ServerResponse::refusal(err, retry_after)
}

/// Passes a request to the server's handler and waits for the response.
async fn serve_one(
    request: hyper::Request<Incoming>,
    intake: Intake,
    place: Arc<Place>,
    serve: Handler,
) -> Result<Response<ResponseBody>, RecvError> {
    let (head, body) = request.into_parts();
    let head = RequestHead(head);
    let body = match read_body(&intake, &head, body).await {
        Ok(body) => body,
        Err(err) => {
            (intake.on_refusal)(err.code);
            return Ok(refusal(&err).into_complete());
        }
    };
    let (request, receiver) = Request::new(head, body);
    let mut watch = DisconnectGuard::new(receiver.on_disconnect, place.serve());
    serve(request);
    let response = receiver.response.await;
    match response {
        Ok(response) => Ok(response.map(|body| body.watched_by(watch))),
        Err(err) => {
            watch.disarm();
            Err(err)
        }
    }
}

/// Reads the body of a request, as far as its head permits.
async fn read_body(
    intake: &Intake,
    head: &RequestHead,
    body: Incoming,
) -> Result<HeldBody, CodedError> {
    let BodyPolicy { holder, max_len } = (intake.body)(head)?;
    let limits = BodyLimits { holder, max_len, timeout: BODY_TIMEOUT };
    let refusal = |err| match err {
        BodyError::TooLong => CodedError::new(
            Code::BodyTooLarge,
            format!("the request body may have at most {max_len} bytes"),
        ),
        BodyError::NoRoom => CodedError::new(Code::TooBusy, "no memory is left for the body"),
        BodyError::TooSlow => CodedError::new(Code::BodyTimeout, ""),
        BodyError::Broken(detail) => CodedError::new(Code::BadRequest, detail),
    };
    intake.bodies.read(body, limits).await.map_err(refusal)
}
