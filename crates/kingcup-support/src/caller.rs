//! A caller of a fleet.

use std::{
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::engine::Prompt;

/// How long a caller waits.
const PATIENCE: Duration = Duration::from_secs(60);

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status, zero if there was no answer.
    pub status: u16,
    /// The numbered result, zero if there was none.
    pub code: u16,
    /// The outcome header.
    pub outcome: String,
    /// When to come back, in seconds.
    pub retry_after: Option<u64>,
    /// The body, as far as it came.
    pub body: String,
    /// Whether the body ended as it should.
    pub is_whole: bool,
    /// Time to the first event or to the whole answer.
    pub first: Duration,
}

impl Answer {
    fn none() -> Answer {
        Answer {
            status: 0,
            code: 0,
            outcome: String::new(),
            retry_after: None,
            body: String::new(),
            is_whole: false,
            first: Duration::ZERO,
        }
    }

    /// Tells whether it is the whole answer to `prompt` and of nothing else.
    pub fn answers(&self, prompt: &Prompt) -> bool {
        let expected = (0..prompt.tokens).map(|n| format!("data: {} {n}\n\n", prompt.id));
        self.is_whole && self.body == expected.collect::<String>()
    }

    /// Tells whether it holds events of another prompt.
    pub fn is_crossed(&self, prompt: &Prompt) -> bool {
        let mut events = self.body.lines().filter_map(|line| line.strip_prefix("data: "));
        events.any(|event| !event.starts_with('{') && event.split(' ').next() != Some(&prompt.id))
    }
}

/// A caller with a token.
#[derive(Clone, Debug)]
pub struct Caller {
    token: String,
    agent: ureq::Agent,
}

impl Caller {
    /// Makes a caller.
    pub fn new(token: &str) -> Caller {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(PATIENCE))
            .max_idle_connections(0)
            .http_status_as_error(false)
            .build();
        Caller { token: token.to_owned(), agent: ureq::Agent::new_with_config(config) }
    }

    /// Asks an engine's service and reads the answer to its end.
    ///
    /// # Panics
    ///
    /// Never: a prompt is plain data.
    pub fn prompt(&self, entry: SocketAddr, service: &str, prompt: &Prompt) -> Answer {
        let body = serde_json::to_string(prompt).expect("a prompt is plain data");
        self.post(entry, &format!("/{service}/generate"), &body, None)
    }

    /// Sends a request and reads the answer to its end.
    pub fn post(&self, entry: SocketAddr, path: &str, body: &str, key: Option<&str>) -> Answer {
        self.post_with(entry, path, body, key, |_| true)
    }

    /// Sends a request and reads the answer line by line while `go_on` holds; then hangs up.
    pub fn post_with(
        &self,
        entry: SocketAddr,
        path: &str,
        body: &str,
        key: Option<&str>,
        mut go_on: impl FnMut(&str) -> bool,
    ) -> Answer {
        let start = Instant::now();
        let mut request = self
            .agent
            .post(format!("http://{entry}{path}"))
            .header("Authorization", format!("Bearer {}", self.token));
        if let Some(key) = key {
            request = request.header("Idempotency-Key", key);
        }
        let Ok(mut response) = request.send(body) else { return Answer::none() };
        let header = |name: &str| {
            let value = response.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let mut answer = Answer {
            status: response.status().as_u16(),
            code: header("kingcup-code").parse().unwrap_or(0),
            outcome: header("kingcup-outcome"),
            retry_after: header("retry-after").parse().ok(),
            ..Answer::none()
        };
        let mut reader = BufReader::new(response.body_mut().as_reader());
        loop {
            let mut line = String::new();
            match reader.read_line(&mut line) {
                Ok(0) => {
                    answer.is_whole = !answer.body.contains("event: error");
                    break;
                }
                Ok(_) => {}
                Err(_) => break,
            }
            if answer.first.is_zero() {
                answer.first = start.elapsed();
            }
            answer.body.push_str(&line);
            if !go_on(&line) {
                break;
            }
        }
        answer
    }

    /// Reads a page, as of an operator address.
    pub fn get(&self, address: SocketAddr, path: &str) -> Option<String> {
        let mut response = self.agent.get(format!("http://{address}{path}")).call().ok()?;
        let mut text = String::new();
        response.body_mut().as_reader().read_to_string(&mut text).ok()?;
        Some(text)
    }
}
