//! Connections between instances.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
};

use kingcup_support::{engine::EngineConfig, wait_until};
use kingcupgrade::core::Settings;

use crate::support::{TIMEOUT, start};

/// The number of connections that are opened and held open together.
const CONNECTIONS: usize = 100;
/// The memory that each of them may take at the accepting instance, in bytes.
const MAX_MEMORY: u64 = 40 << 10;

/// Connects as a peer does, and reads up to the greeting of the accepting instance.
fn connect(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let request = "GET / HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
                   Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("written");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    let mut answer = Vec::new();
    let mut buf = [0; 512];
    // The greeting is a frame that follows the response head.
    while answer
        .windows(4)
        .position(|end| end == b"\r\n\r\n")
        .is_none_or(|at| answer.len() == at + 4)
    {
        let read = stream.read(&mut buf).expect("an answer");
        assert!(read > 0, "the connection is closed");
        answer.extend_from_slice(&buf[..read]);
    }
    stream
}

/// Guards against peer connections that exhaust an instance's memory in a large fleet, because each
/// one has a buffer far larger than any message.
#[test]
fn a_connection_to_another_instance_takes_little_memory() {
    let harness = start(&["north"], 1, &EngineConfig::default()).with_documents();
    let path = harness.fleet.settings_path("entry-north-0");
    let text = std::fs::read_to_string(path).expect("settings");
    let address = Settings::parse(&text).expect("valid settings").own_peer().address;
    let memory = || harness.fleet.usage("entry-north-0").expect("a running entry").memory;
    let before = memory();
    let connections: Vec<TcpStream> = (0..CONNECTIONS).map(|_| connect(address)).collect();
    // Each connection has received its greeting, so what it takes has been allocated; the process
    // does not return that memory.
    let has_grown = || memory() > before;
    assert!(wait_until(TIMEOUT, has_grown), "the connections take no memory at all");
    let taken = memory() - before;
    assert!(
        taken < MAX_MEMORY * CONNECTIONS as u64,
        "{taken} bytes for {} connections",
        connections.len()
    );
}
