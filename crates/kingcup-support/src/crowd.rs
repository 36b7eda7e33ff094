//! Callers that send requests without their ends, and hold on to their connections.

use std::{
    fs,
    io::{self, Read, Write},
    net::{IpAddr, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::wait_until;

/// The number of threads that all connections of a crowd share.
const THREADS: usize = 16;
/// If nothing was written or read for this long, nothing more will be.
const QUIET: Duration = Duration::from_secs(15);
/// The time between two bytes of a trickle.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);
/// How long a caller waits for each answer to its greeting.
const GREETING_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after a round in which nothing could be written or read.
const PAUSE: Duration = Duration::from_millis(5);

/// The state of a listener in the kernel's table of sockets.
const LISTENING: &str = "0A";

/// What a caller does when its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterClose {
    /// It stays away.
    Leave,
    /// It connects and sends the same again.
    ComeAgain,
}

/// Callers that send the same bytes on a connection each, and keep it open.
///
/// Dropping the crowd closes its connections.
pub struct Crowd {
    state: Arc<State>,
    count: usize,
    threads: Vec<JoinHandle<()>>,
}

struct State {
    address: SocketAddr,
    script: Script,
    after_close: AfterClose,
    is_over: AtomicBool,
    /// The callers that have sent all they will, or were cut off once.
    settled: AtomicUsize,
    /// How often a caller was cut off.
    cut_off: AtomicUsize,
    /// How often a caller has connected, written or been cut off.
    steps: AtomicUsize,
}

/// What a caller exchanges with the process before it sends the rest.
pub type Greeting = Arc<dyn Fn(&mut TcpStream) -> io::Result<()> + Send + Sync>;

/// What each caller of a crowd sends.
#[derive(Clone, Default)]
pub struct Script {
    /// What it does once it has connected.
    pub greeting: Option<Greeting>,
    /// What it sends at once.
    pub bytes: Vec<u8>,
    /// What it sends after that, a byte at a time.
    pub trickle: Vec<u8>,
    /// Whether it leaves unread what it is sent.
    pub ignores_answers: bool,
}

impl Crowd {
    /// Starts `count` callers, each of which sends `bytes` to the address.
    pub fn start(
        address: SocketAddr,
        count: usize,
        bytes: Vec<u8>,
        after_close: AfterClose,
    ) -> Crowd {
        Crowd::play(address, count, Script { bytes, ..Script::default() }, after_close)
    }

    /// Starts `count` callers, each of which sends what the script says to the address.
    pub fn play(
        address: SocketAddr,
        count: usize,
        script: Script,
        after_close: AfterClose,
    ) -> Crowd {
        let state = Arc::new(State {
            address,
            script,
            after_close,
            is_over: AtomicBool::new(false),
            settled: AtomicUsize::new(0),
            cut_off: AtomicUsize::new(0),
            steps: AtomicUsize::new(0),
        });
        let threads = (0..THREADS).map(|thread| {
            let of_thread = (0..count).skip(thread).step_by(THREADS).count();
            let state = state.clone();
            thread::spawn(move || run(&state, of_thread))
        });
        let threads = threads.collect();
        Crowd { state, count, threads }
    }

    /// Waits until the callers have sent all they will, each of them on one connection at least, and
    /// the process has read what it will of that; returns whether that was so within the timeout.
    pub fn wait_until_settled(&self, timeout: Duration) -> bool {
        let mut last = (0, 0);
        let mut changed = Instant::now();
        wait_until(timeout, || {
            let unread = unread_bytes(self.state.address);
            let now = (unread, self.state.steps.load(Ordering::SeqCst));
            if now != last {
                (last, changed) = (now, Instant::now());
            }
            let is_done = match self.state.after_close {
                AfterClose::Leave => unread == 0,
                AfterClose::ComeAgain => self.state.cut_off.load(Ordering::SeqCst) >= self.count,
            };
            let is_sent = self.state.settled.load(Ordering::SeqCst) == self.count;
            (is_sent && is_done) || changed.elapsed() > QUIET
        })
    }
}

/// Returns how many bytes the kernel holds that were sent to an address and not read there.
fn unread_bytes(address: SocketAddr) -> u64 {
    let address = table_address(address);
    let held = |socket: &Socket| match socket {
        socket if socket.local == address => socket.received,
        socket if socket.remote == address => socket.unsent,
        _ => 0,
    };
    sockets().iter().map(held).sum()
}

/// Returns how many bytes have arrived at an address and were not read there.
pub fn received_bytes(address: SocketAddr) -> u64 {
    let address = table_address(address);
    let sockets = sockets();
    let local = sockets.iter().filter(|socket| socket.local == address);
    local.map(|socket| socket.received).sum()
}

/// A connection in the kernel's table of sockets.
struct Socket {
    local: String,
    remote: String,
    /// The bytes that were written and have not arrived.
    unsent: u64,
    /// The bytes that have arrived and were not read.
    received: u64,
}

fn sockets() -> Vec<Socket> {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    table.lines().filter_map(Socket::parse).collect()
}

impl Socket {
    /// Parses a line of the table; returns `None` for a listener and for the table's head.
    fn parse(line: &str) -> Option<Socket> {
        let mut fields = line.split_whitespace().skip(1);
        let (local, remote) = (fields.next()?.to_owned(), fields.next()?.to_owned());
        if fields.next()? == LISTENING {
            return None;
        }
        let (unsent, received) = fields.next()?.split_once(':')?;
        let number = |text| u64::from_str_radix(text, 16).ok();
        Some(Socket { local, remote, unsent: number(unsent)?, received: number(received)? })
    }
}

/// Returns an address as the kernel's table of sockets writes it.
fn table_address(address: SocketAddr) -> String {
    match address.ip() {
        IpAddr::V4(ip) => format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port()),
        // The table has addresses of the other kind only.
        IpAddr::V6(_) => String::new(),
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.state.is_over.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            // It panics only with the test.
            let _ = thread.join();
        }
    }
}

/// Drives this many callers until the crowd is over.
fn run(state: &State, count: usize) {
    let mut callers: Vec<Caller> = (0..count).map(|_| Caller::new()).collect();
    while !state.is_over.load(Ordering::SeqCst) {
        let mut has_progress = false;
        for caller in &mut callers {
            let is_step = caller.step(state);
            state.steps.fetch_add(usize::from(is_step), Ordering::SeqCst);
            has_progress |= is_step;
        }
        if !has_progress {
            thread::sleep(PAUSE);
        }
    }
}

impl State {
    /// Connects and exchanges greetings.
    fn connect(&self) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT)?;
        if let Some(greet) = &self.script.greeting {
            stream.set_read_timeout(Some(GREETING_TIMEOUT))?;
            greet(&mut stream)?;
        }
        stream.set_nonblocking(true)?;
        Ok(stream)
    }
}

struct Caller {
    /// `None` before it has connected, and after it was cut off.
    stream: Option<TcpStream>,
    has_left: bool,
    sent: usize,
    /// When it last wrote.
    written: Instant,
    is_settled: bool,
}

impl Caller {
    fn new() -> Caller {
        let written = Instant::now();
        Caller { stream: None, has_left: false, sent: 0, written, is_settled: false }
    }

    /// Connects, writes and reads as far as that is possible; returns whether anything was.
    fn step(&mut self, state: &State) -> bool {
        if self.has_left {
            return false;
        }
        let Some(stream) = &mut self.stream else { return self.connect(state) };
        let Script { bytes, trickle, .. } = &state.script;
        let rest = bytes.get(self.sent..).filter(|rest| !rest.is_empty());
        let next = rest.or_else(|| {
            let at = self.sent - bytes.len();
            trickle.get(at..=at).filter(|_| self.written.elapsed() > TRICKLE_INTERVAL)
        });
        let written = match next {
            Some(next) => stream.write(next),
            None => Err(io::ErrorKind::WouldBlock.into()),
        };
        let read = match state.script.ignores_answers {
            true => Err(io::ErrorKind::WouldBlock.into()),
            false => stream.read(&mut [0; 1_024]),
        };
        let is_open = |done: &io::Result<usize>| match done {
            Ok(count) => *count > 0,
            Err(err) => err.kind() == io::ErrorKind::WouldBlock,
        };
        if !is_open(&written) || !is_open(&read) {
            self.on_closed(state);
            return true;
        }
        let len = written.unwrap_or(0);
        self.sent += len;
        if len > 0 {
            self.written = Instant::now();
        }
        if self.sent >= bytes.len() {
            self.settle(state);
        }
        len > 0
    }

    fn connect(&mut self, state: &State) -> bool {
        let Ok(stream) = state.connect() else {
            self.settle(state);
            return false;
        };
        self.stream = Some(stream);
        self.sent = 0;
        true
    }

    fn on_closed(&mut self, state: &State) {
        self.stream = None;
        self.has_left = state.after_close == AfterClose::Leave;
        state.cut_off.fetch_add(1, Ordering::SeqCst);
        self.settle(state);
    }

    fn settle(&mut self, state: &State) {
        if !std::mem::replace(&mut self.is_settled, true) {
            state.settled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Returns a request whose body is announced with this length, and ends after `sent` bytes.
pub fn announced_body(head: &str, len: usize, sent: usize) -> Vec<u8> {
    let mut bytes = format!("{head}Content-Length: {len}\r\n\r\n").into_bytes();
    bytes.resize(bytes.len() + sent, b'x');
    bytes
}

/// Returns a request whose body has this length in chunks of `chunk_len` bytes, without the last one.
pub fn chunked_body(head: &str, len: usize, chunk_len: usize) -> Vec<u8> {
    let mut bytes = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    let chunk = format!("{chunk_len:x}\r\n{}\r\n", "x".repeat(chunk_len));
    bytes.extend(chunk.as_bytes().repeat(len / chunk_len));
    bytes
}

/// Returns a request of this length whose head does not end.
pub fn unended_head(head: &str, len: usize) -> Vec<u8> {
    let mut bytes = format!("{head}X-Long: ").into_bytes();
    bytes.resize(len, b'x');
    bytes
}
