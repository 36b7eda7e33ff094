//! A TCP proxy that injects network faults.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::listen;

/// How often the state of faults is checked while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct Faults {
    /// Holds back data to the target; connections stay open.
    cut_to_target: AtomicBool,
    /// Holds back data from the target; connections stay open.
    cut_from_target: AtomicBool,
    /// The delay added to each chunk of data.
    delay_ms: AtomicU64,
    /// A flag for each connection that stalls it permanently.
    stalled: Mutex<Vec<Arc<AtomicBool>>>,
    /// Closes the listener, as if the target's process were gone.
    down: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
}

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    address: SocketAddr,
    faults: Arc<Faults>,
}

impl Proxy {
    /// Starts a proxy that forwards to `target`.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port is free.
    pub fn start(target: SocketAddr) -> Proxy {
        let listener = listen();
        let address = listener.local_addr().expect("a bound listener has an address");
        let proxy = Proxy { address, faults: Arc::default() };
        let accepting = proxy.clone();
        thread::spawn(move || accepting.accept_all(listener, target));
        proxy
    }

    /// Accepts connections while the target is up.
    ///
    /// While it is down the listener is closed, so that the host refuses connections.
    fn accept_all(&self, listener: TcpListener, target: SocketAddr) {
        let mut open = Some(listener);
        loop {
            if self.faults.down.load(Ordering::SeqCst) {
                open = None;
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            if open.is_none() {
                open = TcpListener::bind(self.address).ok();
            }
            let Some(listener) = &open else { continue };
            let _ = listener.set_nonblocking(true);
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    self.connect(stream, target);
                }
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
    }

    /// Refuses new connections from now on, or accepts them again.
    pub fn set_down(&self, down: bool) {
        self.faults.down.store(down, Ordering::SeqCst);
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds back data in both directions without closing connections, or forwards it again,
    /// including the data held back.
    pub fn cut(&self, cut: bool) {
        self.cut_to_target(cut);
        self.faults.cut_from_target.store(cut, Ordering::SeqCst);
    }

    /// Holds back data to the target, or forwards it again.
    pub fn cut_to_target(&self, cut: bool) {
        self.faults.cut_to_target.store(cut, Ordering::SeqCst);
    }

    /// Sets the delay of each chunk of data.
    pub fn delay(&self, delay: Duration) {
        self.faults.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Stalls the currently open connections permanently; new ones work.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn stall_open_connections(&self) {
        for stalled in self.faults.stalled.lock().expect("proxy state").drain(..) {
            stalled.store(true, Ordering::SeqCst);
        }
    }

    /// Shuts down the currently open connections.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn close_open_connections(&self) {
        for stream in self.faults.streams.lock().expect("proxy state").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn connect(&self, client: TcpStream, target: SocketAddr) {
        let Ok(server) = TcpStream::connect(target) else { return };
        let stalled = Arc::new(AtomicBool::new(false));
        self.faults.stalled.lock().expect("proxy state").push(stalled.clone());
        for stream in [&client, &server] {
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                self.faults.streams.lock().expect("proxy state").push(copy);
            }
        }
        let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let request_side =
            Forwarder { faults: self.faults.clone(), stalled: stalled.clone(), to_target: true };
        let response_side = Forwarder { faults: self.faults.clone(), stalled, to_target: false };
        thread::spawn(move || request_side.run(client, server));
        thread::spawn(move || response_side.run(server_copy, client_copy));
    }
}

/// Forwards the data of one direction of a connection.
struct Forwarder {
    faults: Arc<Faults>,
    stalled: Arc<AtomicBool>,
    to_target: bool,
}

impl Forwarder {
    fn run(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = [0; 16 << 10];
        loop {
            let count = match from.read(&mut buf) {
                Ok(0) => break,
                Ok(count) => count,
                Err(err) if err.kind() == ErrorKind::Interrupted => continue,
                Err(_) => break,
            };
            self.wait();
            if to.write_all(&buf[..count]).is_err() {
                break;
            }
        }
        self.wait();
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }

    /// Waits while a fault holds back the connection, then for the delay.
    ///
    /// It is called before closing as well, so that a cut also hides the end of the connection.
    fn wait(&self) {
        let cut =
            if self.to_target { &self.faults.cut_to_target } else { &self.faults.cut_from_target };
        while cut.load(Ordering::SeqCst) || self.stalled.load(Ordering::SeqCst) {
            thread::sleep(POLL_INTERVAL);
        }
        thread::sleep(Duration::from_millis(self.faults.delay_ms.load(Ordering::SeqCst)));
    }
}
