//! Closing a connection without losing its last response.
//!
//! If a socket is closed while it has unread bytes, the kernel resets the connection, and the reset
//! can overtake the response: a caller that sent too much would see a connection error instead of the
//! reason. So what still arrives is read and dropped for a while.

use std::time::Duration;

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// For how long what still arrives is read.
const LINGER: Duration = Duration::from_secs(1);
/// The size of the buffer for what is dropped, in bytes.
const BUF_LEN: usize = 16 << 10;
/// The pause after each such buffer: dropping takes no more than a small part of the processor.
const PAUSE: Duration = Duration::from_millis(1);

/// Tells the peer that nothing more is sent, and drops what it still sends.
pub(super) async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_ok() {
        discard(stream).await;
    }
}

/// Reads and drops what arrives, until the peer closes the connection or the time is over.
pub(super) async fn discard(mut stream: impl AsyncRead + Unpin) {
    let mut buf = vec![0; BUF_LEN];
    let reading = async {
        while let Ok(1..) = stream.read(&mut buf).await {
            sleep(PAUSE).await;
        }
    };
    // The bytes are dropped, so that neither an error nor a timeout matters.
    let _ = timeout(LINGER, reading).await;
}
