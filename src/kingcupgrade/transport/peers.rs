//! Connections between instances.
//!
//! Every instance connects to those that it sends messages to, and receives messages on the
//! connections that it accepts, so each connection carries messages in one direction only. No
//! messages are stored for an unreachable peer: all protocols above tolerate lost messages, and a
//! stale message delivered late would only mislead.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

use futures_util::{SinkExt, StreamExt};
use metrics::counter;
use tokio::{
    net::{TcpListener, TcpStream},
    runtime,
    sync::mpsc as queue,
    time::timeout,
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{Message as Packet, protocol::WebSocketConfig},
};

use super::{
    Event,
    bounded_stream::{BoundedStream, ReadBound},
    connection_limit::{ConnectionLimit, Place},
    listen::retry_while_in_use,
};
use crate::{
    coordination::node::Input,
    core::{Instance, Settings},
    protocol::{
        Message,
        frame::{Channel, FrameError, MAX_FRAME_LEN, NONCE_LEN, Payload},
    },
    util::{log, process, random},
};

/// The maximum number of messages queued for a peer.
const QUEUE_LEN: usize = 4_096;
/// The timeout for connecting. A host without power doesn't respond at all, and once it is back
/// only a new attempt reaches it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The timeout for connecting and the handshake together.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1_000);
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
/// A connection is closed if no messages are written for this long.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

/// The number of bytes that are read before a peer is authenticated; a handshake and a greeting have some
/// hundred.
const MAX_GREETING_LEN: usize = 8 << 10;
/// The number of connections whose peers have not been authenticated yet. Those of the fleet are within
/// milliseconds.
const MAX_STRANGERS: usize = 64;

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
            move || runtime.block_on(accept_all(listener, cfg))
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

async fn accept_all(listener: TcpListener, cfg: PeerConfig) {
    let limit = ConnectionLimit::new("instances", MAX_STRANGERS);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(place) = limit.admit().await else { continue };
                let receiving = tokio::spawn(receive_all(stream, cfg.clone(), place.clone()));
                place.set_task(receiving.abort_handle());
            }
            // The process is probably out of file descriptors; a pause lets some be closed.
            Err(_) => tokio::time::sleep(DIAL_PAUSE).await,
        }
    }
}

/// Receives messages from a peer until the connection ends or a frame fails authentication.
async fn receive_all(stream: TcpStream, cfg: PeerConfig, place: Arc<Place>) {
    let _ = stream.set_nodelay(true);
    let bound = ReadBound::new(MAX_GREETING_LEN);
    let stream = BoundedStream { stream, bound: bound.clone() };
    let accepted = timeout(DIAL_TIMEOUT, accept_async_with_config(stream, Some(config()))).await;
    let Ok(Ok(mut socket)) = accepted else { return };
    let Ok(nonce) = random::bytes::<NONCE_LEN>() else { return };
    if socket.send(Packet::Binary(nonce.to_vec().into())).await.is_err() {
        return;
    }
    let mut channel = Channel::new(&cfg.fleet_key, nonce);
    let mut from = None;
    let mut limit = DIAL_TIMEOUT;
    while let Ok(Some(Ok(packet))) = timeout(limit, socket.next()).await {
        let Packet::Binary(frame) = packet else { continue };
        counter!("kingcup_peer_bytes_received").increment(frame.len() as u64);
        if let Err(err) = receive(&mut channel, &mut from, &frame, &cfg.sink) {
            counter!("kingcup_peer_frames_refused").increment(1);
            log::warning("frame-refused", &format!("{err:?}"));
            return;
        }
        // The peer has been authenticated: it is one of the fleet.
        bound.lift();
        limit = IDLE_LIMIT;
        place.leave();
    }
}

/// Authenticates a frame and passes its message on. The first frame of a connection contains no
/// message but the sender's name.
fn receive(
    channel: &mut Channel,
    from: &mut Option<Instance>,
    frame: &[u8],
    sink: &PeerSink,
) -> Result<(), FrameError> {
    let Some(from) = from else {
        *from = Some(channel.open_greeting(frame)?);
        return Ok(());
    };
    let message = channel.open(frame)?;
    sink(PeerEvent::Received(from.clone(), Box::new(message)));
    Ok(())
}

/// Maintains the connection to a peer and writes the queued messages.
struct Dialer {
    peer: Instance,
    address: SocketAddr,
    cfg: PeerConfig,
}

type Socket = WebSocketStream<TcpStream>;

impl Dialer {
    async fn run(self, mut rx: queue::Receiver<Payload>) {
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
