//! Connections between instances.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
};

use kingcup_support::{engine::EngineConfig, wait_until};
use kingcupgrade::core::Settings;

use crate::support::{PATIENCE, start};

/// Connections that are opened at once.
const CONNECTIONS: usize = 100;
/// Memory that one of them may take at the instance that accepts it, in bytes.
const MAX_MEMORY: u64 = 40 << 10;

/// Connects as another instance does, up to the greeting of the one that accepts.
fn connect(address: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let request = "GET / HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
                   Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("written");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    let mut answer = Vec::new();
    let mut piece = [0; 512];
    // The greeting is a frame behind the head.
    while answer
        .windows(4)
        .position(|end| end == b"\r\n\r\n")
        .is_none_or(|at| answer.len() == at + 4)
    {
        let read = stream.read(&mut piece).expect("an answer");
        assert!(read > 0, "the connection is closed");
        answer.extend_from_slice(&piece[..read]);
    }
    stream
}

/// Guards against an instance of a large fleet whose connections to the others fill its memory, a
/// buffer for each that is far larger than any message.
#[test]
fn a_connection_to_another_instance_takes_little_memory() {
    let world = start(&["north"], 1, &EngineConfig::default()).with_documents();
    let path = world.fleet.settings_path("entry-north-0");
    let text = std::fs::read_to_string(path).expect("settings");
    let address = Settings::parse(&text).expect("valid settings").own().address;
    let memory = || world.fleet.usage("entry-north-0").expect("a running entry").memory;
    let before = memory();
    let held: Vec<TcpStream> = (0..CONNECTIONS).map(|_| connect(address)).collect();
    // What is read by now shows in the memory; none of it is given back.
    let is_read = || memory() > before;
    assert!(wait_until(PATIENCE, is_read), "the connections take no memory at all");
    let taken = memory() - before;
    assert!(taken < MAX_MEMORY * CONNECTIONS as u64, "{taken} bytes for {} of them", held.len());
}
