//! The blocking interface to a request for the thread that serves it.

use hyper::Response;
use tokio::sync::oneshot;

use super::{
    intake::RequestHead,
    response::{ResponseBody, ResponseStream, ServerResponse},
};
use crate::{
    core::{Code, code::CodedError},
    transport::{
        bodies::{BodyMemory, HeldBody},
        connection_limit::Serving,
    },
};

/// A caller's request.
pub struct Request {
    head: RequestHead,
    body: HeldBody,
    responder: Responder,
    on_disconnect: oneshot::Sender<DisconnectAction>,
}

/// The action to be run if the caller disconnects before the response has ended.
pub(super) type DisconnectAction = Box<dyn FnOnce() + Send>;

/// Runs a request's action when its caller disconnects: hyper then drops the future that waits for
/// the response, or the response's body, and with it this value.
pub(super) struct DisconnectGuard {
    action: Option<oneshot::Receiver<DisconnectAction>>,
    /// Keeps the connection's place meanwhile.
    _serving: Serving,
}

impl DisconnectGuard {
    pub(super) fn new(
        action: oneshot::Receiver<DisconnectAction>,
        serving: Serving,
    ) -> DisconnectGuard {
        DisconnectGuard { action: Some(action), _serving: serving }
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
    pub(super) fn new(head: RequestHead, body: HeldBody) -> (Request, ResponseReceiver) {
        let (tx, response) = oneshot::channel();
        let (action_tx, on_disconnect) = oneshot::channel();
        let responder = Responder { tx, memory: None };
        let request = Request { head, body, responder, on_disconnect: action_tx };
        (request, ResponseReceiver { response, on_disconnect })
    }

    /// Returns the head.
    pub fn head(&self) -> &RequestHead {
        &self.head
    }

    /// Returns the method.
    pub fn method(&self) -> &str {
        self.head.method()
    }

    /// Returns the path and query.
    pub fn url(&self) -> &str {
        self.head.url()
    }

    /// Returns the value of a header if it is present and consists of visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name)
    }

    /// Returns the headers whose values consist of visible ASCII.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &str)> {
        self.head.headers()
    }

    /// Takes the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body exceeds `limit` bytes.
    pub fn take_body(&mut self, limit: usize) -> Result<Vec<u8>, CodedError> {
        if self.body.segments().len() > limit {
            let detail = format!("the request body may have at most {limit} bytes");
            return Err(CodedError::new(Code::BodyTooLarge, detail));
        }
        let (segments, memory) = std::mem::take(&mut self.body).into_parts();
        self.responder.memory = memory;
        Ok(segments.to_vec())
    }

    /// Takes the body as text.
    ///
    /// # Errors
    ///
    /// Returns an error if the body exceeds `limit` bytes or is not valid UTF-8.
    pub fn take_text(&mut self, limit: usize) -> Result<String, CodedError> {
        let body = self.take_body(limit)?;
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
    /// The memory of the request's body, which may have to be sent again until the response ends.
    memory: Option<BodyMemory>,
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
        let (stream, response) = head.into_stream(self.memory);
        let _ = self.tx.send(response);
        stream
    }
}
