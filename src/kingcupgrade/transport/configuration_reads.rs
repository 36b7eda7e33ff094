//! Reads of the complete configuration that operators share.
//!
//! A configuration has some megabytes, and a control instance that does not lead the record gets it
//! from the one that does. If each operator had a read and a copy of its own, a few that ask at once
//! and don't read the answers would take the memory of both.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
};

use bytes::Bytes;
use tokio::sync::oneshot;

use super::fleet::FleetHandle;
use crate::{
    core::{Millis, code::CodedError},
    protocol::record::{Command, Reply, StoredConfiguration},
};

/// The number of reads at a time; beyond it, those who ask share the next one. One may be lost with an
/// instance that led the record, so that others must not wait for it.
const MAX_READS: usize = 4;

/// What came of a read.
#[derive(Clone, Debug)]
pub(super) enum ConfigurationRead {
    /// The configuration, as the operator sent it.
    Found(Bytes),
    /// There is none yet.
    Missing,
    /// The record refused to tell.
    Refused(CodedError),
    /// The record did not respond.
    Unanswered,
}

/// Reads the configuration for all operators that ask.
pub(super) struct ConfigurationReads {
    fleet: FleetHandle,
    timeout: Millis,
    /// The operators that have asked since the last read began.
    waiting: RefCell<Vec<oneshot::Sender<ConfigurationRead>>>,
    /// The last text that was read.
    last: RefCell<Bytes>,
    reading: Cell<usize>,
}

/// The text of a configuration as bytes, which share its memory.
struct Text(Arc<str>);

impl AsRef<[u8]> for Text {
    fn as_ref(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl ConfigurationReads {
    pub(super) fn new(fleet: FleetHandle, timeout: Millis) -> Rc<ConfigurationReads> {
        Rc::new(ConfigurationReads {
            fleet,
            timeout,
            waiting: RefCell::default(),
            last: RefCell::default(),
            reading: Cell::new(0),
        })
    }

    /// Returns the result of a read that begins after this call.
    pub(super) async fn read(self: &Rc<ConfigurationReads>) -> ConfigurationRead {
        let (tx, rx) = oneshot::channel();
        self.waiting.borrow_mut().push(tx);
        if self.reading.get() < MAX_READS {
            self.reading.set(self.reading.get() + 1);
            tokio::task::spawn_local(self.clone().run());
        }
        rx.await.unwrap_or(ConfigurationRead::Unanswered)
    }

    /// Reads until nobody waits.
    async fn run(self: Rc<ConfigurationReads>) {
        loop {
            let waiting = self.waiting.take();
            if waiting.is_empty() {
                break;
            }
            let reply = self.fleet.submit(Command::Read, self.timeout).await;
            let read = self.result_of(reply);
            for tx in waiting {
                // An operator may have left meanwhile.
                let _ = tx.send(read.clone());
            }
        }
        self.reading.set(self.reading.get() - 1);
    }

    fn result_of(&self, reply: Option<Reply>) -> ConfigurationRead {
        match reply {
            Some(Reply::Configuration(Some(stored))) => {
                ConfigurationRead::Found(self.shared(stored))
            }
            Some(Reply::Configuration(None)) => ConfigurationRead::Missing,
            Some(Reply::Refused(err)) => ConfigurationRead::Refused(err),
            _ => ConfigurationRead::Unanswered,
        }
    }

    /// Returns the text that was read before if it is the same: a reply from another instance has a
    /// copy of its own.
    fn shared(&self, stored: StoredConfiguration) -> Bytes {
        let mut last = self.last.borrow_mut();
        if *last != stored.text.as_bytes() {
            *last = Bytes::from_owner(Text(stored.text));
        }
        last.clone()
    }
}
