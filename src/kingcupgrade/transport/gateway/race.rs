//! Attempts at one stream of which the first to deliver is kept.
//!
//! Silence alone doesn't show that an upstream hangs: an engine that runs out of memory pauses in
//! the middle of an answer and then goes on. Neither does a request that was sent to another
//! upstream, or the head of an answer, show that the stream goes on there: that upstream may turn
//! the request away late, break off, or be silent itself. So a silent attempt ends only once another
//! one has delivered what the caller is waiting for.

use std::{
    cell::Cell,
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use super::{
    adapter::PlatformAdapter,
    request::{AttemptGuard, Fetched, ProxiedRequest},
    source::{Delivery, Interruption, Source},
};
use crate::{
    coordination::traffic::SendEnd,
    core::{Code, UpstreamName},
};

/// Obtains a response.
pub(super) type Fetching<E> = Pin<Box<dyn Future<Output = Fetched<E>>>>;

/// An attempt whose upstream has been silent since the request was sent.
pub(super) struct SilentSend {
    pub(super) upstream: UpstreamName,
    /// How the attempt ends if it is dropped.
    pub(super) end_on_drop: Rc<Cell<SendEnd>>,
}

/// Why a response is being obtained.
pub(super) enum Purpose {
    /// It is the answer to an attempt that has been silent so far.
    Silent(SilentSend),
    /// It is to take the place of a silent one; whether an upstream has the request.
    Replacement(Rc<Cell<bool>>),
    /// The stream was interrupted and is to go on.
    Resumption,
}

/// One of the attempts at a stream; dropping it cancels it.
pub(super) enum Contender<E: PlatformAdapter> {
    /// No head has arrived yet.
    Fetching {
        response: Fetching<E>,
        purpose: Purpose,
    },
    Reading {
        source: Source<E>,
        is_silent: bool,
    },
}

/// What became of a race since it was last polled.
pub(super) enum Progress<E: PlatformAdapter> {
    /// The head of another answer has arrived.
    Answered,
    /// An attempt has delivered; the others have ended.
    Delivered(Delivery),
    /// The last attempt has failed, and none is left.
    Failed(Failure<E>),
}

/// Why an attempt brings nothing more.
enum Setback {
    Interrupted(Interruption),
    NotObtained(Code),
}

/// How an attempt failed.
pub(super) enum Failure<E: PlatformAdapter> {
    /// The upstream's answer ended early; the attempt remains to be ended.
    Interrupted(Interruption, AttemptGuard<E>),
    /// No upstream takes the request in place of another one.
    NotReplaced,
    /// No upstream resumes the stream.
    NotResumed,
}

impl<E: PlatformAdapter> Failure<E> {
    /// Ends the attempt where another one goes on.
    fn settle(self) {
        match self {
            Failure::Interrupted(Interruption::Closed, attempt) => {
                tokio::task::spawn_local(attempt.end_closed());
            }
            Failure::Interrupted(Interruption::EventTooLong(_), attempt) => {
                attempt.end(SendEnd::Broken);
            }
            Failure::NotReplaced | Failure::NotResumed => {}
        }
    }
}

impl<E: PlatformAdapter> Contender<E> {
    pub(super) fn reading(source: Source<E>) -> Contender<E> {
        Contender::Reading { source, is_silent: false }
    }

    /// Returns the upstream that has the request, if that is known.
    fn upstream(&self) -> Option<UpstreamName> {
        match self {
            Contender::Fetching { purpose: Purpose::Silent(silent), .. } => {
                Some(silent.upstream.clone())
            }
            Contender::Fetching { .. } => None,
            Contender::Reading { source, .. } => source.upstream(),
        }
    }

    /// Returns what obtains the response, if its head has not arrived.
    pub(super) fn into_fetching(self) -> Option<Fetching<E>> {
        match self {
            Contender::Fetching { response, .. } => Some(response),
            Contender::Reading { .. } => None,
        }
    }

    /// Returns how the attempt failed, and logs it if it was to take the place of a silent one.
    fn fail(self, request: &ProxiedRequest<E>, setback: Setback) -> Failure<E> {
        match (self, setback) {
            (Contender::Reading { source, .. }, Setback::Interrupted(interruption)) => {
                Failure::Interrupted(interruption, source.into_attempt())
            }
            (Contender::Fetching { purpose: Purpose::Resumption, .. }, _) => Failure::NotResumed,
            (Contender::Fetching { purpose, .. }, Setback::NotObtained(code)) => {
                if matches!(purpose, Purpose::Replacement(is_sent) if is_sent.get()) {
                    request.log_failed_replacement(code);
                }
                Failure::NotReplaced
            }
            _ => Failure::NotReplaced,
        }
    }

    /// Ends the attempt because another one has delivered.
    pub(super) fn give_way(self, request: &ProxiedRequest<E>) {
        match self {
            Contender::Fetching { purpose: Purpose::Silent(silent), response } => {
                silent.end_on_drop.set(SendEnd::Broken);
                drop(response);
                request.on_replaced(Some(silent.upstream), false);
            }
            Contender::Reading { source, is_silent: true } => {
                request.on_replaced(source.upstream(), true);
                source.into_attempt().end(SendEnd::Broken);
            }
            Contender::Fetching { .. } | Contender::Reading { .. } => {}
        }
    }
}

/// The attempts at a stream that are under way, first the one that has delivered, if one has; never empty
/// while it is polled.
pub(super) struct Race<E: PlatformAdapter> {
    request: Rc<ProxiedRequest<E>>,
    contenders: Vec<Contender<E>>,
}

impl<E: PlatformAdapter> Race<E> {
    pub(super) fn new(request: Rc<ProxiedRequest<E>>, contenders: Vec<Contender<E>>) -> Race<E> {
        Race { request, contenders }
    }

    /// Returns the only attempt's source, if its head has arrived.
    pub(super) fn source(&self) -> Option<&Source<E>> {
        match self.contenders.as_slice() {
            [Contender::Reading { source, .. }] => Some(source),
            _ => None,
        }
    }

    /// Returns the only attempt's source, if its head has arrived.
    pub(super) fn into_source(mut self) -> Option<Source<E>> {
        match self.contenders.pop() {
            Some(Contender::Reading { source, .. }) if self.contenders.is_empty() => Some(source),
            _ => None,
        }
    }

    /// Looks for an upstream that takes the place of those that are silent, unless one is being
    /// looked for or that is not permitted.
    pub(super) fn replace_silent(&mut self, last_event: Option<u64>) {
        let is_fetching = |contender: &Contender<E>| match contender {
            Contender::Fetching { purpose, .. } => !matches!(purpose, Purpose::Silent(_)),
            Contender::Reading { .. } => false,
        };
        if self.contenders.iter().any(is_fetching) || !self.request.may_replace() {
            return;
        }
        for contender in &mut self.contenders {
            if let Contender::Reading { is_silent, .. } = contender {
                *is_silent = true;
            }
        }
        let silent = self.contenders.iter().filter_map(Contender::upstream).collect();
        let is_sent: Rc<Cell<bool>> = Rc::default();
        let response = self.request.fetch_replacement(silent, last_event, is_sent.clone());
        let purpose = Purpose::Replacement(is_sent);
        self.contenders.push(Contender::Fetching { response, purpose });
    }

    /// Cancels all attempts but the first.
    pub(super) fn keep_first(&mut self) {
        self.contenders.truncate(1);
    }

    /// Polls all attempts; not to be polled again after the last one has failed.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Progress<E>> {
        let mut index = 0;
        while index < self.contenders.len() {
            match self.poll_one(index, cx) {
                Poll::Pending => index += 1,
                Poll::Ready(Ok(progress)) => return Poll::Ready(progress),
                Poll::Ready(Err(setback)) => {
                    let failure = self.contenders.remove(index).fail(&self.request, setback);
                    if self.contenders.is_empty() {
                        return Poll::Ready(Progress::Failed(failure));
                    }
                    failure.settle();
                }
            }
        }
        Poll::Pending
    }

    fn poll_one(
        &mut self,
        index: usize,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Progress<E>, Setback>> {
        match &mut self.contenders[index] {
            Contender::Fetching { response, .. } => {
                let fetched = ready!(response.as_mut().poll(cx));
                Poll::Ready(self.on_fetched(index, fetched).map(|()| Progress::Answered))
            }
            Contender::Reading { source, .. } => {
                let delivery = ready!(source.poll_next(cx)).map_err(Setback::Interrupted)?;
                self.keep(index);
                Poll::Ready(Ok(Progress::Delivered(delivery)))
            }
        }
    }

    /// Goes on with a response whose head has arrived, and with the attempts beside it.
    fn on_fetched(&mut self, index: usize, fetched: Fetched<E>) -> Result<(), Setback> {
        let response = fetched.map_err(|(code, _)| Setback::NotObtained(code))?;
        if !response.head.status.is_success() {
            response.attempt.end(SendEnd::Failed);
            self.contenders.extend(response.rivals);
            return Err(Setback::NotObtained(Code::AnswerBroken));
        }
        let (_, source, rivals) = response.into_source();
        self.contenders[index] = Contender::reading(source);
        self.contenders.extend(rivals);
        Ok(())
    }

    /// Ends all attempts but one, which has delivered.
    fn keep(&mut self, index: usize) {
        self.contenders.swap(0, index);
        if let Contender::Reading { is_silent, .. } = &mut self.contenders[0] {
            *is_silent = false;
        }
        for other in self.contenders.drain(1..) {
            other.give_way(&self.request);
        }
    }
}
