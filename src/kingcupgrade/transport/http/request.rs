//! The blocking interface to a request for the thread that serves it.

use std::{future::poll_fn, pin::Pin, time::Duration};

use hyper::{
    Response,
    body::{Body, Incoming},
    http::request::Parts,
};
use tokio::{runtime, sync::oneshot, time};

use super::response::{ResponseBody, ResponseStream, ServerResponse};
use crate::core::{Code, code::CodedError};

/// The timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// A caller's request.
pub struct Request {
    head: Parts,
    body: Incoming,
    responder: Responder,
    on_disconnect: oneshot::Sender<DisconnectAction>,
    connections: runtime::Handle,
}

/// The action to be run if the caller disconnects before the response has ended.
pub(super) type DisconnectAction = Box<dyn FnOnce() + Send>;

/// Runs a request's action when its caller disconnects: hyper then drops the future that waits for
/// the response, or the response's body, and with it this value.
pub(super) struct DisconnectGuard {
    action: Option<oneshot::Receiver<DisconnectAction>>,
}

impl DisconnectGuard {
    pub(super) fn new(action: oneshot::Receiver<DisconnectAction>) -> DisconnectGuard {
        DisconnectGuard { action: Some(action) }
    }

    /// Ends the watch: the response has ended, or is cut off by this side.
    pub(super) fn disarm(&mut self) {
        self.action = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        let Some(mut action) = self.action.take() else { return };
        // Closed first: an action that is registered after this is run by the thread that does so.
        action.close();
        if let Ok(action) = action.try_recv() {
            action();
        }
    }
}

/// The receiving ends of a request's channels, held by the task of its connection.
pub(super) struct ResponseReceiver {
    pub(super) response: oneshot::Receiver<Response<ResponseBody>>,
    pub(super) on_disconnect: oneshot::Receiver<DisconnectAction>,
}

impl Request {
    pub(super) fn new(request: hyper::Request<Incoming>) -> (Request, ResponseReceiver) {
        let (head, body) = request.into_parts();
        let (tx, response) = oneshot::channel();
        let (action_tx, on_disconnect) = oneshot::channel();
        let connections = runtime::Handle::current();
        let responder = Responder { tx };
        let request = Request { head, body, responder, on_disconnect: action_tx, connections };
        (request, ResponseReceiver { response, on_disconnect })
    }

    /// Returns the method.
    pub fn method(&self) -> &str {
        self.head.method.as_str()
    }

    /// Returns the path and query.
    pub fn url(&self) -> &str {
        self.head.uri.path_and_query().map_or("/", |url| url.as_str())
    }

    /// Returns the value of a header if it is present and consists of visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the headers whose values consist of visible ASCII.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &str)> {
        let headers = self.head.headers.iter();
        headers.filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)))
    }

    /// Reads the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body exceeds `limit` bytes, is incomplete, or doesn't arrive in
    /// time.
    pub fn read_body(&mut self, limit: usize) -> Result<Vec<u8>, CodedError> {
        let body = &mut self.body;
        let reading = async { time::timeout(BODY_TIMEOUT, collect(body, limit)).await };
        let too_slow = |_| CodedError::new(Code::BadRequest, "timed out reading the request body");
        self.connections.block_on(reading).map_err(too_slow)?
    }

    /// Reads the body as text.
    ///
    /// # Errors
    ///
    /// Returns an error if the body can't be read or is not valid UTF-8.
    pub fn read_text(&mut self, limit: usize) -> Result<String, CodedError> {
        let body = self.read_body(limit)?;
        String::from_utf8(body).map_err(|err| CodedError::new(Code::BadRequest, err.to_string()))
    }

    /// Registers an action to be run if the caller disconnects before the response has ended. If the
    /// caller has already disconnected, it is run at once.
    pub fn on_disconnect(self, action: impl FnOnce() + Send + 'static) -> Responder {
        if let Err(action) = self.on_disconnect.send(Box::new(action)) {
            action();
        }
        self.responder
    }

    /// Sends a complete response.
    pub fn respond(self, response: ServerResponse) {
        self.responder.respond(response);
    }

    /// Begins a response whose body is streamed.
    pub fn stream(self, head: ServerResponse) -> ResponseStream {
        self.responder.stream(head)
    }
}

/// A handle for sending the response to a request.
pub struct Responder {
    tx: oneshot::Sender<Response<ResponseBody>>,
}

impl Responder {
    /// Sends a complete response.
    pub fn respond(self, response: ServerResponse) {
        // Sending fails if the caller has disconnected; it can retry with its idempotency key if it
        // needs the response.
        let _ = self.tx.send(response.into_complete());
    }

    /// Begins a response whose body is streamed. If the caller has disconnected, the first write
    /// fails.
    pub fn stream(self, head: ServerResponse) -> ResponseStream {
        let (stream, response) = head.into_stream();
        let _ = self.tx.send(response);
        stream
    }
}

async fn collect(body: &mut Incoming, limit: usize) -> Result<Vec<u8>, CodedError> {
    let too_large = || {
        CodedError::new(
            Code::BodyTooLarge,
            format!("the request body may have at most {limit} bytes"),
        )
    };
    if body.size_hint().lower() > limit as u64 {
        return Err(too_large());
    }
    let mut bytes = Vec::new();
    while let Some(frame) = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await {
        let frame = frame.map_err(|err| CodedError::new(Code::BadRequest, err.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > limit {
            return Err(too_large());
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}
