//! The inputs and outputs of an entry.

use std::net::SocketAddr;

use crate::{
    coordination::decision::Decision,
    core::{Code, Instance, Millis, Organisation, RequestDigest, Service, UpstreamName},
    protocol::dispatch::DispatchMessage,
};

/// Identifies a request within this process.
pub type RequestId = u64;

/// A newly received request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request's ID.
    pub id: RequestId,
    /// Identifies it among the attempts of its caller.
    pub digest: RequestDigest,
    /// The called service.
    pub service: Service,
    /// The calling organisation.
    pub organisation: Organisation,
    /// The size of the request body, in bytes.
    pub bytes: usize,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether its request key must be claimed before it is sent.
    pub needs_claim: bool,
}

/// How an attempt at a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer was received.
    Completed,
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The upstream reported that it did not run the request.
    Refused,
    /// The request was sent, and the upstream closed the connection before the end of its answer.
    Disconnected,
    /// The request was sent, and its answer is invalid.
    Broken,
    /// The request was sent, and the upstream has been silent for too long; it may still run it.
    Silent,
    /// Like `Broken`, but part of an answer that can't be resumed has already reached the caller.
    BrokenForGood,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// The caller disconnected.
    HungUp,
}

/// An action requested by the entry.
#[derive(Clone, Debug)]
pub enum EntryOutput {
    /// Send a message to an instance.
    Send(Instance, DispatchMessage),
    /// Claim the request's key and pass the result to
    /// [`EntryMachine::on_claimed`](super::EntryMachine::on_claimed).
    Claim(RequestId),
    /// Send the request to an upstream.
    Start {
        /// The request.
        id: RequestId,
        /// The upstream.
        upstream: UpstreamName,
        /// The address it listens on.
        address: SocketAddr,
    },
    /// Answer the caller with an error, since the request was refused or has finally failed.
    GiveUp {
        /// The request.
        id: RequestId,
        /// The reason.
        code: Code,
        /// How long the caller should wait before it retries.
        retry_after: Millis,
    },
    /// Log a decision.
    Decided(Decision),
}
