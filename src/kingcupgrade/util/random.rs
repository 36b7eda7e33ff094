//! Random bytes from the operating system.

use std::{fs::File, io, io::Read};

/// Returns `N` random bytes.
///
/// # Errors
///
/// Returns an error if the operating system's source of random bytes cannot be read.
pub fn bytes<const N: usize>() -> io::Result<[u8; N]> {
    let mut buf = [0; N];
    File::open("/dev/urandom")?.read_exact(&mut buf)?;
    Ok(buf)
}

/// Returns a random number.
///
/// # Errors
///
/// Returns an error if the operating system's source of random bytes cannot be read.
pub fn number() -> io::Result<u64> {
    bytes().map(u64::from_le_bytes)
}
