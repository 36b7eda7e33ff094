//! Connections between instances.
//!
//! Every instance connects to those that it sends messages to, and receives messages on the
//! connections that it accepts, so each connection carries messages in one direction only. No
//! messages are stored for an unreachable peer: all protocols above tolerate lost messages, and a
//! stale message delivered late would only mislead.

mod dialer;
mod limits;
mod receiver;
mod stream;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, mpsc},
    time::Duration,
};

use metrics::counter;
use tokio::{net::TcpListener, runtime, sync::mpsc as queue};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

pub use self::limits::PeerLimits;
use self::{dialer::Dialer, receiver::Receiver};
use super::{Event, listen::retry_while_in_use};
use crate::{
    coordination::node::Input,
    core::{Instance, Settings},
    protocol::{
        Message,
        frame::{MAX_FRAME_LEN, Payload},
    },
    util::process,
};

/// The maximum number of messages queued for a peer.
const QUEUE_LEN: usize = 4_096;
/// The timeout for connecting and the handshake together.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A connection is closed if no messages are written for this long.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// The size of the read buffer. tungstenite fills a buffer of this size with zeros before each read
/// and keeps one per connection; most messages are shorter.
const READ_BUF_LEN: usize = 8 << 10;

/// An event of the connections to and from other instances.
#[derive(Debug)]
pub enum PeerEvent {
    /// A message arrived from an authenticated instance.
    Received(Instance, Box<Message>),
    /// An instance could not be dialled.
    DialFailed {
        /// The instance.
        instance: Instance,
        /// Whether the connection was refused, because no process listens on the port. Otherwise
        /// the attempt failed without such a response.
        refused: bool,
    },
    /// A ping to an instance was answered after this long.
    RoundTrip(Instance, Duration),
}

/// The receiver of events; called on the thread that drives the connections, so it must not block.
pub type PeerSink = Arc<dyn Fn(PeerEvent) + Send + Sync>;
/// Returns the address on which an instance listens, if it is known.
pub type AddressBook = Arc<dyn Fn(&Instance) -> Option<SocketAddr> + Send + Sync>;

/// The configuration of an instance's connections to its peers.
#[derive(Clone)]
pub struct PeerConfig {
    /// The name of this instance.
    pub instance: Instance,
    /// The address on which this instance listens.
    pub address: SocketAddr,
    /// The secret shared by all instances.
    pub fleet_key: Arc<str>,
    /// The addresses of the other instances.
    pub addresses: AddressBook,
    /// What the connections of other instances may take.
    pub limits: PeerLimits,
    /// The receiver of events.
    pub sink: PeerSink,
}

impl PeerConfig {
    /// Creates the configuration for an instance whose settings list the others. Events go to its
    /// control thread.
    pub fn of(settings: &Arc<Settings>, tx: mpsc::Sender<Event>) -> PeerConfig {
        let listed = settings.clone();
        let sink = move |event| {
            let input = match event {
                PeerEvent::Received(from, message) => Input::Received(from, *message),
                PeerEvent::DialFailed { instance, refused } => {
                    Input::DialFailed { instance, refused }
                }
                PeerEvent::RoundTrip(..) => return,
            };
            // Sending fails only while the process exits, after the control thread has ended.
            let _ = tx.send(Event::Input(input));
        };
        PeerConfig {
            instance: settings.instance.clone(),
            address: settings.own_peer().address,
            fleet_key: settings.fleet_key.as_str().into(),
            addresses: Arc::new(move |instance| listed.peer(instance).map(|peer| peer.address)),
            limits: PeerLimits::among(settings.peers.len()),
            sink: Arc::new(sink),
        }
    }
}

/// Sends messages to the other instances.
#[derive(Clone)]
pub struct Peers {
    queues: Arc<Mutex<BTreeMap<Instance, queue::Sender<Payload>>>>,
    handle: runtime::Handle,
    cfg: PeerConfig,
}

impl Peers {
    /// Listens on this instance's address, and starts the thread that drives all connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub fn start(cfg: PeerConfig) -> anyhow::Result<Peers> {
        // Bound with the standard library because the current thread may be in another runtime.
        let bind = || std::net::TcpListener::bind(cfg.address);
        let listener = retry_while_in_use(cfg.address, bind)?;
        listener.set_nonblocking(true)?;
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let listener = {
            let _entered = runtime.enter();
            TcpListener::from_std(listener)?
        };
        let handle = runtime.handle().clone();
        process::spawn_essential("peers", {
            let cfg = cfg.clone();
            move || runtime.block_on(Receiver::new(cfg).accept_all(listener))
        })?;
        Ok(Peers { queues: Arc::default(), handle, cfg })
    }

    /// Queues a message for a peer. The message is dropped if the queue is full or the peer's
    /// address is unknown.
    pub fn send(&self, to: &Instance, message: &Message) {
        self.send_payload(to, Payload::new(message));
    }

    /// Queues a message for several peers, serializing it only once.
    pub fn send_all(&self, to: &[Instance], message: &Message) {
        let payload = Payload::new(message);
        for peer in to {
            self.send_payload(peer, payload.clone());
        }
    }

    fn send_payload(&self, to: &Instance, payload: Payload) {
        let mut queues = self.queues.lock().expect("no thread panics holding the queues");
        let tx = match queues.get(to) {
            Some(tx) => tx,
            None => {
                let Some(address) = (self.cfg.addresses)(to) else { return };
                let (tx, rx) = queue::channel(QUEUE_LEN);
                let dialer = Dialer { peer: to.clone(), address, cfg: self.cfg.clone() };
                self.handle.spawn(dialer.run(rx));
                queues.entry(to.clone()).or_insert(tx)
            }
        };
        if tx.try_send(payload).is_err() {
            counter!("kingcup_peer_messages_dropped").increment(1);
        }
    }
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_LEN))
        .max_frame_size(Some(MAX_FRAME_LEN))
        .read_buffer_size(READ_BUF_LEN)
}
