//! Connections of other instances, on which messages are received.
//!
//! Whoever reaches the port may connect, and where the fleet has no key of its own, greet as any
//! instance. So the connections are limited, those of strangers and those that have been greeted on
//! each by themselves, and so is the memory for messages that are not complete.

use std::{sync::Arc, time::Duration};

use futures_util::{SinkExt, StreamExt};
use metrics::counter;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_tungstenite::{accept_async_with_config, tungstenite::Message as Packet};

use super::{DIAL_TIMEOUT, IDLE_LIMIT, PeerConfig, PeerEvent, config, stream::PeerStream};
use crate::{
    coordination::memory::MemoryBudget,
    core::{Instance, clock::Clock},
    protocol::frame::{Channel, FrameError, NONCE_LEN},
    transport::{
        bodies::Bodies,
        connection_limit::{ConnectionLimit, Place},
    },
    util::{log, random},
};

/// The number of connections whose peers have not been authenticated yet. Those of the fleet are within
/// milliseconds.
const MAX_STRANGERS: usize = 64;
/// The pause after a failed accept: the process is probably out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(200);

/// Accepts connections and receives the messages of all peers.
#[derive(Clone)]
pub(super) struct Receiver {
    cfg: PeerConfig,
    strangers: ConnectionLimit,
    greeted: ConnectionLimit,
    /// The messages that are not complete.
    messages: Arc<Bodies>,
}

impl Receiver {
    pub(super) fn new(cfg: PeerConfig) -> Receiver {
        let budget = MemoryBudget::for_bodies(cfg.limits.message_memory);
        Receiver {
            strangers: ConnectionLimit::new("instances", MAX_STRANGERS),
            greeted: ConnectionLimit::new("greeted-instances", cfg.limits.connections),
            messages: Bodies::new(Clock::start(), budget, 1.0),
            cfg,
        }
    }

    pub(super) async fn accept_all(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let receiver = self.clone();
                    let spawn = |place| tokio::spawn(receiver.receive_all(stream, place));
                    self.strangers.serve(spawn).await;
                }
                Err(err) => {
                    log::warning("accept-failed", &err.to_string());
                    self.greeted.close_one();
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Receives messages from a peer until the connection ends or a frame fails authentication.
    async fn receive_all(self, stream: TcpStream, place: Arc<Place>) {
        let _ = stream.set_nodelay(true);
        let stream = PeerStream::new(stream, self.messages.clone());
        let accepted =
            timeout(DIAL_TIMEOUT, accept_async_with_config(stream, Some(config()))).await;
        let Ok(Ok(mut socket)) = accepted else { return };
        let Ok(nonce) = random::bytes::<NONCE_LEN>() else { return };
        if socket.send(Packet::Binary(nonce.to_vec().into())).await.is_err() {
            return;
        }
        let mut channel = Channel::new(&self.cfg.fleet_key, nonce);
        let Ok(Some(Ok(greeting))) = timeout(DIAL_TIMEOUT, socket.next()).await else { return };
        let greeted = channel.open_greeting(&greeting.into_data());
        let Some(from) = self.accepted(greeted) else { return };
        socket.get_mut().on_greeted();
        let Some(place) = place.move_to(&self.greeted).await else { return };
        while let Ok(Some(Ok(packet))) = timeout(IDLE_LIMIT, socket.next()).await {
            place.renew();
            // Others may arrive between the parts of a message.
            let Packet::Binary(frame) = packet else { continue };
            socket.get_mut().on_message();
            if self.receive(&mut channel, &from, &frame).is_none() {
                return;
            }
        }
    }

    /// Authenticates a frame and passes its message on.
    fn receive(&self, channel: &mut Channel, from: &Instance, frame: &[u8]) -> Option<()> {
        counter!("kingcup_peer_bytes_received").increment(frame.len() as u64);
        let message = self.accepted(channel.open(frame))?;
        (self.cfg.sink)(PeerEvent::Received(from.clone(), Box::new(message)));
        Some(())
    }

    /// Returns what a frame holds, or logs why it is refused.
    fn accepted<T>(&self, opened: Result<T, FrameError>) -> Option<T> {
        let refused = |err: &FrameError| {
            counter!("kingcup_peer_frames_refused").increment(1);
            log::warning("frame-refused", &format!("{err:?}"));
        };
        opened.inspect_err(refused).ok()
    }
}
