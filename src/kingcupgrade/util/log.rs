//! Structured logs: one JSON object a line on standard error.
//!
//! A decision about a request or a placement gets a line of its own with its reason, so that the
//! question "why did this request go there" has an answer after the fact.

use std::sync::Arc;

use serde::Serialize;
use serde_json::json;
use spdlog::{
    Logger,
    formatter::{Formatter, FormatterContext},
    prelude::*,
    sink::{StdStream, StdStreamSink},
};

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
        let unix_ms = record.time().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let level = record.level().as_str();
        let payload = record.payload();
        dest.push_str(&format!("{{\"unix_ms\":{},\"level\":\"{level}\",", unix_ms.as_millis()));
        dest.push_str(payload.strip_prefix('{').unwrap_or(payload));
        dest.push('\n');
        Ok(())
    }
}

/// Directs this process's logs to standard error as JSON lines.
///
/// # Errors
///
/// Returns an error if the logger can't be built.
pub fn init() -> anyhow::Result<()> {
    let sink =
        StdStreamSink::builder().std_stream(StdStream::Stderr).formatter(JsonLines).build_arc()?;
    let logger =
        Logger::builder().sink(sink).flush_level_filter(spdlog::LevelFilter::All).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Logs something that happened, with its fields.
pub fn event(name: &str, fields: &impl Serialize) {
    info!("{}", line(name, fields));
}

/// Logs something that should not happen.
pub fn warning(name: &str, fields: &impl Serialize) {
    warn!("{}", line(name, fields));
}

fn line(name: &str, fields: &impl Serialize) -> String {
    json!({ "event": name, "fields": fields }).to_string()
}
