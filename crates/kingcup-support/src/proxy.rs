//! A proxy for TCP connections that injects faults.

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

/// How often a waiting connection looks whether its fault has ended.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct Faults {
    /// Nothing passes towards the target; connections stay open.
    cut_forth: AtomicBool,
    /// Nothing passes from the target; connections stay open.
    cut_back: AtomicBool,
    /// Added to each piece that passes.
    delay_ms: AtomicU64,
    /// Each connection's own fault: it stands still for good.
    frozen: Mutex<Vec<Arc<AtomicBool>>>,
    /// Nothing listens, as when the target's process is gone.
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
    /// Starts a proxy before `target`.
    ///
    /// # Panics
    ///
    /// Panics if it can't listen.
    pub fn start(target: SocketAddr) -> Proxy {
        let listener = listen();
        let address = listener.local_addr().expect("a bound listener has an address");
        let proxy = Proxy { address, faults: Arc::default() };
        let accepting = proxy.clone();
        thread::spawn(move || accepting.accept_all(listener, target));
        proxy
    }

    /// Accepts while the target is up; refuses connections as its machine would while it is down.
    fn accept_all(&self, listener: TcpListener, target: SocketAddr) {
        let mut open = Some(listener);
        loop {
            if self.faults.down.load(Ordering::SeqCst) {
                open = None;
                thread::sleep(LOOK_INTERVAL);
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
                Err(_) => thread::sleep(LOOK_INTERVAL),
            }
        }
    }

    /// Lets connections be refused from now on, or accepted again.
    pub fn set_down(&self, down: bool) {
        self.faults.down.store(down, Ordering::SeqCst);
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets nothing pass in either direction from now on, without closing anything; or lets all
    /// pass again, what was held back included.
    pub fn cut(&self, cut: bool) {
        self.cut_forth(cut);
        self.faults.cut_back.store(cut, Ordering::SeqCst);
    }

    /// Lets nothing pass towards the target.
    pub fn cut_forth(&self, cut: bool) {
        self.faults.cut_forth.store(cut, Ordering::SeqCst);
    }

    /// Delays each piece.
    pub fn delay(&self, delay: Duration) {
        self.faults.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Lets the connections open now stand still for good, while new ones work.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn freeze_open(&self) {
        for frozen in self.faults.frozen.lock().expect("proxy state").drain(..) {
            frozen.store(true, Ordering::SeqCst);
        }
    }

    /// Breaks the connections open now.
    ///
    /// # Panics
    ///
    /// Panics if one of its threads panicked.
    pub fn reset_open(&self) {
        for stream in self.faults.streams.lock().expect("proxy state").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn connect(&self, near: TcpStream, target: SocketAddr) {
        let Ok(far) = TcpStream::connect(target) else { return };
        let frozen = Arc::new(AtomicBool::new(false));
        self.faults.frozen.lock().expect("proxy state").push(frozen.clone());
        for stream in [&near, &far] {
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                self.faults.streams.lock().expect("proxy state").push(copy);
            }
        }
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { return };
        let forth = Pump { faults: self.faults.clone(), frozen: frozen.clone(), is_forth: true };
        let back = Pump { faults: self.faults.clone(), frozen, is_forth: false };
        thread::spawn(move || forth.run(near, far));
        thread::spawn(move || back.run(far_copy, near_copy));
    }
}

/// One direction of one connection.
struct Pump {
    faults: Arc<Faults>,
    frozen: Arc<AtomicBool>,
    is_forth: bool,
}

impl Pump {
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

    /// Waits while a fault holds the connection back; a cut hides its end as well.
    fn wait(&self) {
        let cut = if self.is_forth { &self.faults.cut_forth } else { &self.faults.cut_back };
        while cut.load(Ordering::SeqCst) || self.frozen.load(Ordering::SeqCst) {
            thread::sleep(LOOK_INTERVAL);
        }
        thread::sleep(Duration::from_millis(self.faults.delay_ms.load(Ordering::SeqCst)));
    }
}
