//! Callers and operators that don't behave, against real processes of `kingcupd`.
//!
//! Cargo runs the binaries of tests one after the other, and the tests here wait for each other: each
//! is about the memory of a process, so nothing else may run beside it.

mod kingcupd;
