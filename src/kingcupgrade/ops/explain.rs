use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
};

use anyhow::Context;
use serde_json::Value;

/// The events that determine the answer which the caller of a request received.
const DECIDING_EVENTS: [&str; 3] = ["refused", "broken-off", "answer-of-another-request"];

/// A log line that mentions a request.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// The wall clock of the process when it wrote the line, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The log file that contains the line.
    pub log: PathBuf,
    /// The name of the event.
    pub event: String,
    /// The fields of the event.
    pub fields: Value,
}

/// All log lines of one request, from the logs of all processes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Explanation {
    /// The lines that mention the request, ordered by time.
    pub lines: Vec<LogLine>,
    /// The index in `lines` of the event that determined the answer to the caller, if there is one.
    pub deciding: Option<usize>,
    /// The number of lines in all logs that could not be parsed.
    pub unreadable: usize,
}

/// Collects the lines that mention a request from several logs.
///
/// Lines are ordered by the wall clocks of their processes. Lines of two processes may therefore be
/// out of order by the difference between the clocks.
///
/// # Errors
///
/// Returns an error if a log cannot be opened or read.
pub fn explain(
    request: &str,
    logs: impl IntoIterator<Item = impl AsRef<Path>>,
) -> anyhow::Result<Explanation> {
    let mut explanation = Explanation::default();
    for path in logs {
        let path = path.as_ref();
        let file = File::open(path).with_context(|| path.display().to_string())?;
        for line in BufReader::new(file).split(b'\n') {
            let line = line.with_context(|| path.display().to_string())?;
            read_line(request, path, &line, &mut explanation);
        }
    }
    explanation.lines.sort_by_key(|line| line.unix_ms);
    let decides = |line: &LogLine| DECIDING_EVENTS.contains(&line.event.as_str());
    explanation.deciding = explanation.lines.iter().rposition(decides);
    Ok(explanation)
}

fn read_line(request: &str, log: &Path, line: &[u8], explanation: &mut Explanation) {
    let text = String::from_utf8_lossy(line);
    // Log collectors may add a prefix to the JSON object; it is skipped.
    let Some(start) = text.find('{') else {
        explanation.unreadable += usize::from(!text.trim().is_empty());
        return;
    };
    let Ok(mut value) = serde_json::from_str::<Value>(&text[start..]) else {
        explanation.unreadable += 1;
        return;
    };
    let (Some(unix_ms), Some(event)) = (value["unix_ms"].as_u64(), value["event"].as_str()) else {
        explanation.unreadable += 1;
        return;
    };
    let event = event.to_owned();
    let fields = value["fields"].take();
    if mentions(&fields, request) {
        explanation.lines.push(LogLine { unix_ms, log: log.to_owned(), event, fields });
    }
}

/// Returns whether any string in `value` equals the request's id.
fn mentions(value: &Value, request: &str) -> bool {
    match value {
        Value::String(text) => text == request,
        Value::Array(values) => values.iter().any(|value| mentions(value, request)),
        Value::Object(fields) => fields.values().any(|value| mentions(value, request)),
        _ => false,
    }
}
