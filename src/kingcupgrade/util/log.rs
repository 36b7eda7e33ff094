//! Structured logs: one JSON object a line on standard output.
//!
//! A decision about a request or a placement gets a line of its own with its reason, so that the
//! question "why did this request go there" has an answer after the fact.
//!
//! Whoever reads the output may stop reading. A full pipe would then hold up whoever logs, and with
//! them every caller, so lines are written by a thread of their own, and dropped and counted once
//! too many wait.

use std::{
    io::{self, Write},
    num::NonZeroUsize,
    sync::{Arc, mpsc},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use metrics::counter;
use serde::Serialize;
use serde_json::json;
use spdlog::{
    Logger, ThreadPool,
    formatter::{Formatter, FormatterContext},
    prelude::*,
    sink::{AsyncPoolSink, OverflowPolicy, StdStream, StdStreamSink},
};

/// Lines that may wait to be written, a quarter of a kilobyte each: some seconds of the most that is
/// logged.
const QUEUE_LEN: NonZeroUsize = NonZeroUsize::new(2_048).expect("more than none");
/// How long a process that ends waits for its last lines to be written.
const FINISH_TIMEOUT: Duration = Duration::from_millis(200);

/// Writes the payload as it is; every payload is a JSON object already.
#[derive(Clone)]
struct JsonLines;

impl Formatter for JsonLines {
    fn format(
        &self,
        record: &spdlog::Record<'_>,
        dest: &mut spdlog::StringBuf,
        _cx: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        dest.push_str(&stamp(record.time(), record.level().as_str(), record.payload()));
        Ok(())
    }
}

/// Directs this process's logs to standard output as JSON lines.
///
/// # Errors
///
/// Returns an error if the logger can't be built.
pub fn init() -> anyhow::Result<()> {
    let lines =
        StdStreamSink::builder().std_stream(StdStream::Stdout).formatter(JsonLines).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(lines)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .thread_pool(ThreadPool::builder().capacity(QUEUE_LEN).build_arc()?)
        .error_handler(|_err| counter!("kingcup_log_lines_dropped").increment(1))
        .build_arc()?;
    let logger = Logger::builder().sink(sink).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Writes what still waits and then a last line, before the process ends; gives up if nobody reads.
///
/// The last line doesn't go by the queue, which drops lines when it is full.
pub fn finish(name: &str, fields: &impl Serialize) {
    let Ok(empty) = Logger::builder().build() else { return };
    let last = stamp(SystemTime::now(), Level::Info.as_str(), &line(name, fields));
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        // The last owner of the queue waits for it to be written.
        drop(spdlog::swap_default_logger(Arc::new(empty)));
        let mut stdout = io::stdout().lock();
        // A process whose output is closed has nobody to tell.
        let _ = stdout.write_all(last.as_bytes()).and_then(|()| stdout.flush());
        // Nobody waits for it after the timeout.
        let _ = tx.send(());
    });
    let _ = rx.recv_timeout(FINISH_TIMEOUT);
}

/// Logs something that happened, with its fields.
pub fn event(name: &str, fields: &impl Serialize) {
    info!("{}", line(name, fields));
}

/// Logs something that should not happen.
pub fn warning(name: &str, fields: &impl Serialize) {
    warn!("{}", line(name, fields));
}

/// Makes a whole line of a payload, which is a JSON object.
fn stamp(time: SystemTime, level: &str, payload: &str) -> String {
    let unix_ms = time.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let fields = payload.strip_prefix('{').unwrap_or(payload);
    format!("{{\"unix_ms\":{unix_ms},\"level\":\"{level}\",{fields}\n")
}

fn line(name: &str, fields: &impl Serialize) -> String {
    json!({ "event": name, "fields": fields }).to_string()
}
