//! Connections from operators, and what the record held before each was opened.
//!
//! A connection may wait in the kernel's queue while the process is suspended, and the control
//! thread may be the first to run afterwards. What the record holds when a connection is accepted
//! is therefore not what its operator could know.

use std::io;

use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

use super::fleet::FleetHandle;
use crate::core::Millis;

/// The interval at which the known index is read while no operator connects.
const REFRESH: Millis = Millis(100);

/// A connection from an operator.
pub(super) struct OperatorConnection {
    pub(super) stream: TcpStream,
    /// An index of the record that this instance knew before the connection was opened.
    pub(super) known_index: u64,
}

/// The connections that operators open.
pub(super) struct Arrivals {
    listener: TcpListener,
    fleet: FleetHandle,
    /// The known index before the kernel last had no connection waiting.
    known_index: u64,
}

impl Arrivals {
    /// Takes connections from a listener.
    pub(super) fn new(listener: TcpListener, fleet: FleetHandle) -> Arrivals {
        Arrivals { listener, fleet, known_index: 0 }
    }

    /// Waits for the next connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the kernel can't accept it; further ones may be accepted later.
    pub(super) async fn next(&mut self) -> io::Result<OperatorConnection> {
        loop {
            // Read first: a connection that is opened after this was not there before it.
            let known_index = self.fleet.known_index();
            if let Some(stream) = self.accept_waiting()? {
                return Ok(self.connection(stream));
            }
            self.known_index = known_index;
            if let Ok(accepted) = timeout(REFRESH.as_duration(), self.listener.accept()).await {
                return Ok(self.connection(accepted?.0));
            }
        }
    }

    /// Accepts a connection that waits in the kernel. The runtime would say that none does until it
    /// has asked the kernel for events again.
    fn accept_waiting(&self) -> io::Result<Option<TcpStream>> {
        match SockRef::from(&self.listener).accept() {
            Ok((socket, _)) => {
                socket.set_nonblocking(true)?;
                TcpStream::from_std(socket.into()).map(Some)
            }
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(err) => Err(err),
        }
    }

    fn connection(&self, stream: TcpStream) -> OperatorConnection {
        OperatorConnection { stream, known_index: self.known_index }
    }
}
