//! A request as the thread sees it that serves it.

use std::{future::poll_fn, pin::Pin, time::Duration};

use hyper::{
    Response,
    body::{Body, Incoming},
    http::request::Parts,
};
use tokio::{runtime, sync::oneshot, time};

use super::answer::{Answer, AnswerBody, AnswerStream};
use crate::core::{Code, code::CodedError};

/// How long a caller may take to send a body.
const BODY_PATIENCE: Duration = Duration::from_secs(30);

/// A caller's request.
pub struct Request {
    head: Parts,
    body: Incoming,
    answer: PendingAnswer,
    hung_up: oneshot::Sender<HangUpAction>,
    connections: runtime::Handle,
}

/// What is done when the caller hangs up before its answer begins.
pub(super) type HangUpAction = Box<dyn FnOnce() + Send>;

/// The connection's ends of a request.
pub(super) struct Pending {
    pub(super) answer: oneshot::Receiver<Response<AnswerBody>>,
    pub(super) hung_up: oneshot::Receiver<HangUpAction>,
}

impl Request {
    pub(super) fn new(request: hyper::Request<Incoming>) -> (Request, Pending) {
        let (head, body) = request.into_parts();
        let (tx, answer) = oneshot::channel();
        let (action_tx, hung_up) = oneshot::channel();
        let connections = runtime::Handle::current();
        let answer_tx = PendingAnswer { tx };
        let request = Request { head, body, answer: answer_tx, hung_up: action_tx, connections };
        (request, Pending { answer, hung_up })
    }

    /// Returns the method.
    pub fn method(&self) -> &str {
        self.head.method.as_str()
    }

    /// Returns path and query.
    pub fn url(&self) -> &str {
        self.head.uri.path_and_query().map_or("/", |url| url.as_str())
    }

    /// Returns a header that is plain text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the headers that are plain text.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &str)> {
        let headers = self.head.headers.iter();
        headers.filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)))
    }

    /// Reads the body.
    ///
    /// # Errors
    ///
    /// Returns an error if it has more than `limit` bytes, breaks off, or takes too long.
    pub fn read_body(&mut self, limit: usize) -> Result<Vec<u8>, CodedError> {
        let body = &mut self.body;
        let reading = async { time::timeout(BODY_PATIENCE, collect(body, limit)).await };
        let too_slow = |_| CodedError::new(Code::BadRequest, "the body took too long");
        self.connections.block_on(reading).map_err(too_slow)?
    }

    /// Reads a body of text.
    ///
    /// # Errors
    ///
    /// Returns an error if the body can't be read or is no UTF-8.
    pub fn read_text(&mut self, limit: usize) -> Result<String, CodedError> {
        let body = self.read_body(limit)?;
        String::from_utf8(body).map_err(|err| CodedError::new(Code::BadRequest, err.to_string()))
    }

    /// Has `action` done if the caller hangs up before its answer begins.
    pub fn on_hang_up(self, action: impl FnOnce() + Send + 'static) -> PendingAnswer {
        // A caller who is gone already lets the action be dropped here, undone; the thread that
        // serves the request finds out when it answers.
        let _ = self.hung_up.send(Box::new(action));
        self.answer
    }

    /// Answers with a whole answer.
    pub fn respond(self, answer: Answer) {
        self.answer.respond(answer);
    }

    /// Begins an answer whose body comes in pieces.
    pub fn stream(self, head: Answer) -> AnswerStream {
        self.answer.stream(head)
    }
}

/// An answer that has not begun.
pub struct PendingAnswer {
    tx: oneshot::Sender<Response<AnswerBody>>,
}

impl PendingAnswer {
    /// Answers with a whole answer.
    pub fn respond(self, answer: Answer) {
        // A caller that is gone needs no answer; one that must know asks again under its key.
        let _ = self.tx.send(answer.into_whole());
    }

    /// Begins an answer whose body comes in pieces. A caller that is gone shows at the first one.
    pub fn stream(self, head: Answer) -> AnswerStream {
        let (stream, response) = head.into_stream();
        let _ = self.tx.send(response);
        stream
    }
}

async fn collect(body: &mut Incoming, limit: usize) -> Result<Vec<u8>, CodedError> {
    let too_large = || CodedError::new(Code::BodyTooLarge, format!("at most {limit} bytes"));
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
