use std::{
    fs::File,
    io::{BufRead, BufReader},
    path::{Path, PathBuf},
};

use anyhow::Context;
use serde_json::Value;

/// Events that end a request's story: one of them is the reason for what its caller saw.
const DECIDING_EVENTS: [&str; 3] = ["refused", "broken-off", "answer-of-another-request"];

/// A line of a log that names a request.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// When it was written, by the wall clock of its process, in milliseconds since 1970.
    pub unix_ms: u64,
    /// The log it stands in.
    pub log: PathBuf,
    /// What happened.
    pub event: String,
    /// The rest, as it was written.
    pub fields: Value,
}

/// What the logs of all processes say of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Explanation {
    /// The lines that name it, in the order of their times.
    pub lines: Vec<LogLine>,
    /// The place among them of the line that decided what its caller saw, if one did.
    pub deciding: Option<usize>,
    /// Lines that can't be read, in all logs.
    pub unreadable: usize,
}

/// Joins the lines of several logs that name a request.
///
/// Clocks of processes differ, so lines of two processes may stand in the wrong order by as much.
///
/// # Errors
///
/// Returns an error if a log can't be opened or read.
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
    // Whatever a collector puts before the line is passed over.
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
    if names(&fields, request) {
        explanation.lines.push(LogLine { unix_ms, log: log.to_owned(), event, fields });
    }
}

/// Tells whether a text somewhere in a value is the request's id.
fn names(value: &Value, request: &str) -> bool {
    match value {
        Value::String(text) => text == request,
        Value::Array(values) => values.iter().any(|value| names(value, request)),
        Value::Object(fields) => fields.values().any(|value| names(value, request)),
        _ => false,
    }
}
