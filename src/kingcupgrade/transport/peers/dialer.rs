//! The connection to a peer, on which messages are sent.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures_util::{SinkExt, StreamExt};
use metrics::counter;
use tokio::{net::TcpStream, sync::mpsc as queue, time::timeout};
use tokio_tungstenite::{
    WebSocketStream, client_async_with_config, tungstenite::Message as Packet,
};

use super::{DIAL_TIMEOUT, IDLE_LIMIT, PeerConfig, PeerEvent, config};
use crate::{
    core::Instance,
    protocol::frame::{Channel, NONCE_LEN, Payload},
    util::log,
};

/// The timeout for connecting. A host without power doesn't respond at all, and once it is back
/// only a new attempt reaches it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause after a failed dial.
const DIAL_PAUSE: Duration = Duration::from_millis(200);
/// How long after a message a ping is sent. Its pong then confirms all messages written before it.
const PING_DELAY: Duration = Duration::from_millis(400);
/// The interval of pings while no messages are written.
const IDLE_PING_INTERVAL: Duration = Duration::from_millis(2_000);
/// A connection is replaced if the peer sends nothing for this long while a confirmation is due.
///
/// A device between the two ends may have lost the connection's state. The connection then stays
/// open but silent indefinitely, whereas a new one works at once.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_300);

/// Maintains the connection to a peer and writes the queued messages.
pub(super) struct Dialer {
    pub(super) peer: Instance,
    pub(super) address: SocketAddr,
    pub(super) cfg: PeerConfig,
}

type Socket = WebSocketStream<TcpStream>;

impl Dialer {
    pub(super) async fn run(self, mut rx: queue::Receiver<Payload>) {
        while let Some(first) = rx.recv().await {
            match timeout(DIAL_TIMEOUT, self.dial()).await {
                Ok(Ok((socket, channel))) => self.write(socket, channel, first, &mut rx).await,
                failed => {
                    let refused = matches!(failed, Ok(Err(err)) if is_refusal(&err));
                    self.report_failure(refused);
                    tokio::time::sleep(DIAL_PAUSE).await;
                    while rx.try_recv().is_ok() {
                        counter!("kingcup_peer_messages_dropped").increment(1);
                    }
                }
            }
        }
    }

    fn report_failure(&self, refused: bool) {
        let instance = self.peer.clone();
        (self.cfg.sink)(PeerEvent::DialFailed { instance, refused });
    }

    async fn dial(&self) -> anyhow::Result<(Socket, Channel)> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await??;
        stream.set_nodelay(true)?;
        let url = format!("ws://{}/", self.address);
        let (mut socket, _) = client_async_with_config(url, stream, Some(config())).await?;
        let first = socket.next().await;
        let Some(Ok(Packet::Binary(nonce))) = first else {
            anyhow::bail!("the peer sent no nonce")
        };
        let nonce: [u8; NONCE_LEN] = nonce.as_ref().try_into()?;
        let mut channel = Channel::new(&self.cfg.fleet_key, nonce);
        let greeting = channel.seal_greeting(&self.cfg.instance);
        socket.send(Packet::Binary(greeting.into())).await?;
        Ok((socket, channel))
    }

    /// Writes messages until the connection has been idle for too long, fails, or is silent.
    async fn write(
        &self,
        mut socket: Socket,
        mut channel: Channel,
        first: Payload,
        rx: &mut queue::Receiver<Payload>,
    ) {
        let mut next = Some(first);
        let mut written = Instant::now();
        // Since when there is unconfirmed data and nothing has been received from the peer.
        let mut unconfirmed = None;
        let mut ping = written + PING_DELAY;
        let mut pinged: Option<Instant> = None;
        loop {
            if let Some(payload) = next.take() {
                let frame = channel.seal_payload(payload.bytes());
                let kind = payload.kind();
                counter!("kingcup_peer_bytes_sent", "kind" => kind).increment(frame.len() as u64);
                counter!("kingcup_peer_messages_sent", "kind" => kind).increment(1);
                written = Instant::now();
                unconfirmed.get_or_insert(written);
                if pinged.is_none() {
                    ping = ping.min(written + PING_DELAY);
                }
                if !send(&mut socket, Packet::Binary(frame.into())).await {
                    return;
                }
            }
            let due = unconfirmed
                .filter(|_| pinged.is_some())
                .map_or(ping, |since| since + SILENCE_LIMIT);
            tokio::select! {
                message = rx.recv() => match message {
                    Some(message) => next = Some(message),
                    None => return,
                },
                packet = socket.next() => match packet {
                    Some(Ok(_)) => {
                        let now = Instant::now();
                        if let Some(pinged) = pinged {
                            let event = PeerEvent::RoundTrip(self.peer.clone(), now - pinged);
                            (self.cfg.sink)(event);
                        }
                        // A pong doesn't confirm messages that were written after its ping.
                        let is_all = pinged.is_none_or(|pinged| written <= pinged);
                        unconfirmed = (!is_all).then_some(now);
                        ping = now + if is_all { IDLE_PING_INTERVAL } else { PING_DELAY };
                        pinged = None;
                    }
                    Some(Err(_)) | None => return,
                },
                () = tokio::time::sleep_until(due.into()) => {
                    if pinged.is_some() {
                        counter!("kingcup_peer_connections_replaced").increment(1);
                        log::warning("connection-silent", &self.address);
                        return;
                    }
                    if written.elapsed() > IDLE_LIMIT {
                        return;
                    }
                    let now = Instant::now();
                    pinged = Some(now);
                    unconfirmed.get_or_insert(now);
                    if !send(&mut socket, Packet::Ping(Vec::new().into())).await {
                        return;
                    }
                }
            }
        }
    }
}

/// Returns whether the peer's host refused the connection because nothing listens on the port.
fn is_refusal(err: &anyhow::Error) -> bool {
    let err = err.downcast_ref::<std::io::Error>();
    err.is_some_and(|err| err.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Sends a packet; returns false if the connection has failed or the write timed out.
async fn send(socket: &mut Socket, packet: Packet) -> bool {
    matches!(timeout(SILENCE_LIMIT, socket.send(packet)).await, Ok(Ok(())))
}
