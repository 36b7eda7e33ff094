//! Structured logs: one JSON object per line on standard output.
//!
//! Each decision about a request or its placement is logged on a line of its own with the reason,
//! so that the routing of a request can be explained afterwards.
//!
//! The reader of the output may stop reading. A full pipe would then block every thread that logs,
//! and with it all callers. A separate thread therefore writes the lines; when its queue is full,
//! further lines are dropped and counted.

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

/// The maximum number of lines waiting to be written. A line takes about 256 bytes, and the queue
/// holds a few seconds of logs at the highest rate.
const QUEUE_LEN: NonZeroUsize = NonZeroUsize::new(2_048).expect("2048 is not zero");
/// How long an exiting process waits for its last lines to be written.
const FINISH_TIMEOUT: Duration = Duration::from_millis(200);

/// Formats log records as JSON lines. Every payload already is a JSON object.
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

/// Directs the logs of this process to standard output as JSON lines.
///
/// # Errors
///
/// Returns an error if the logger cannot be built.
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

/// Writes the queued lines and then a last line before the process exits. Gives up after
/// `FINISH_TIMEOUT` if the output is not read.
///
/// The last line bypasses the queue, because a full queue would drop it.
pub fn finish(name: &str, fields: &impl Serialize) {
    let Ok(empty) = Logger::builder().build() else { return };
    let last = stamp(SystemTime::now(), Level::Info.as_str(), &line(name, fields));
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        // Dropping the last reference to the logger waits until its queue is written.
        drop(spdlog::swap_default_logger(Arc::new(empty)));
        let mut stdout = io::stdout().lock();
        // If standard output is closed, the error cannot be reported anywhere.
        let _ = stdout.write_all(last.as_bytes()).and_then(|()| stdout.flush());
        // The receiver has been dropped if the timeout has passed.
        let _ = tx.send(());
    });
    let _ = rx.recv_timeout(FINISH_TIMEOUT);
}

/// Logs an event with its fields.
pub fn event(name: &str, fields: &impl Serialize) {
    info!("{}", line(name, fields));
}

/// Logs, as a warning, an event that is not expected in normal operation.
pub fn warning(name: &str, fields: &impl Serialize) {
    warn!("{}", line(name, fields));
}

/// Builds a complete line by adding the time and level to a payload, which is a JSON object.
fn stamp(time: SystemTime, level: &str, payload: &str) -> String {
    let unix_ms = time.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let fields = payload.strip_prefix('{').unwrap_or(payload);
    format!("{{\"unix_ms\":{unix_ms},\"level\":\"{level}\",{fields}\n")
}

fn line(name: &str, fields: &impl Serialize) -> String {
    json!({ "event": name, "fields": fields }).to_string()
}
