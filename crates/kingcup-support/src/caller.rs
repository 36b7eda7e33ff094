//! An HTTP client that calls a fleet's entries as an organisation.

use std::{
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::engine::Prompt;

/// The total timeout of a request, including reading the body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The response to a request, as far as it was received.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status, or zero if no response head was received.
    pub status: u16,
    /// The `kingcup-code` header, or zero if it is missing.
    pub code: u16,
    /// The `kingcup-outcome` header, or an empty string if it is missing.
    pub outcome: String,
    /// The `retry-after` header, in seconds.
    pub retry_after: Option<u64>,
    /// The body received before the end, an error or an early disconnect.
    pub body: String,
    /// Whether the body was read to its end and contains no `error` event.
    pub is_complete: bool,
    /// Time from sending the request to the first line of the body; zero if there was none.
    pub time_to_first_line: Duration,
}

impl Response {
    fn none() -> Response {
        Response {
            status: 0,
            code: 0,
            outcome: String::new(),
            retry_after: None,
            body: String::new(),
            is_complete: false,
            time_to_first_line: Duration::ZERO,
        }
    }

    /// Returns whether the body is complete and consists of exactly the events of `prompt`.
    pub fn is_complete_for(&self, prompt: &Prompt) -> bool {
        let expected = (0..prompt.tokens).map(|n| format!("data: {} {n}\n\n", prompt.id));
        self.is_complete && self.body == expected.collect::<String>()
    }

    /// Returns whether the body contains events of another prompt.
    pub fn contains_other_prompt(&self, prompt: &Prompt) -> bool {
        let mut events = self.body.lines().filter_map(|line| line.strip_prefix("data: "));
        events.any(|event| !event.starts_with('{') && event.split(' ').next() != Some(&prompt.id))
    }
}

/// An HTTP client with an organisation's bearer token.
#[derive(Clone, Debug)]
pub struct Caller {
    token: String,
    agent: ureq::Agent,
}

impl Caller {
    /// Creates a client that opens a new connection for each request.
    pub fn new(token: &str) -> Caller {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .max_idle_connections(0)
            .http_status_as_error(false)
            .build();
        Caller { token: token.to_owned(), agent: ureq::Agent::new_with_config(config) }
    }

    /// Sends a prompt to a service of model engines and reads the whole response.
    ///
    /// # Panics
    ///
    /// Never: serializing a [`Prompt`] can't fail.
    pub fn prompt(&self, entry: SocketAddr, service: &str, prompt: &Prompt) -> Response {
        let body = serde_json::to_string(prompt).expect("a prompt can be serialized");
        self.post(entry, &format!("/{service}/generate"), &body, None)
    }

    /// Sends a POST request and reads the whole response.
    pub fn post(&self, entry: SocketAddr, path: &str, body: &str, key: Option<&str>) -> Response {
        self.post_with(entry, path, body, key, |_| true)
    }

    /// Sends a POST request and reads the response line by line.
    ///
    /// Disconnects once `keep_reading` returns false for a line.
    pub fn post_with(
        &self,
        entry: SocketAddr,
        path: &str,
        body: &str,
        key: Option<&str>,
        mut keep_reading: impl FnMut(&str) -> bool,
    ) -> Response {
        let start = Instant::now();
        let mut request = self
            .agent
            .post(format!("http://{entry}{path}"))
            .header("Authorization", format!("Bearer {}", self.token));
        if let Some(key) = key {
            request = request.header("Idempotency-Key", key);
        }
        let Ok(mut http_response) = request.send(body) else { return Response::none() };
        let header = |name: &str| {
            let value = http_response.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let mut response = Response {
            status: http_response.status().as_u16(),
            code: header("kingcup-code").parse().unwrap_or(0),
            outcome: header("kingcup-outcome"),
            retry_after: header("retry-after").parse().ok(),
            ..Response::none()
        };
        let mut reader = BufReader::new(http_response.body_mut().as_reader());
        loop {
            let mut line = String::new();
            match reader.read_line(&mut line) {
                Ok(0) => {
                    response.is_complete = !response.body.contains("event: error");
                    break;
                }
                Ok(_) => {}
                Err(_) => break,
            }
            if response.time_to_first_line.is_zero() {
                response.time_to_first_line = start.elapsed();
            }
            response.body.push_str(&line);
            if !keep_reading(&line) {
                break;
            }
        }
        response
    }

    /// Fetches a page with GET, such as `/metrics` of an operator address.
    pub fn get(&self, address: SocketAddr, path: &str) -> Option<String> {
        let mut http_response = self.agent.get(format!("http://{address}{path}")).call().ok()?;
        let mut text = String::new();
        http_response.body_mut().as_reader().read_to_string(&mut text).ok()?;
        Some(text)
    }
}
