//! Following the platform's list of upstreams.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use super::{Gateway, edge::Edge};
use crate::{coordination::traffic::ListedUpstream, util::log};

/// How often the list is read. It lags by most of a second by itself, and an upstream that leaves
/// must get nothing new a few seconds after it is listed so.
const INTERVAL: Duration = Duration::from_millis(900);
/// The pause after the list could not be read.
const PAUSE: Duration = Duration::from_millis(400);
/// How long reading a page may take.
const TIMEOUT: Duration = Duration::from_millis(800);
/// Pages of one reading at most.
const MAX_PAGES: usize = 1_000;

type Sender = SendRequest<Full<Bytes>>;

/// Reads the list again and again.
pub(super) async fn follow<E: Edge>(gateway: Rc<Gateway<E>>) {
    let mut sender = None;
    let mut is_reachable = true;
    loop {
        match read_whole(&gateway, &mut sender).await {
            Ok(listing) => {
                if !is_reachable {
                    log::event("listing-back", &listing.len());
                }
                is_reachable = true;
                gateway.traffic.borrow_mut().set_listing(gateway.now(), listing);
                gateway.poll_waiting();
                sleep(INTERVAL).await;
            }
            Err(err) => {
                if is_reachable {
                    log::warning("listing-unreadable", &format!("{err:#}"));
                }
                is_reachable = false;
                sender = None;
                sleep(PAUSE).await;
            }
        }
    }
}

async fn read_whole<E: Edge>(
    gateway: &Gateway<E>,
    sender: &mut Option<Sender>,
) -> anyhow::Result<Vec<ListedUpstream>> {
    let mut listing = Vec::new();
    let mut page = None;
    for _ in 0..MAX_PAGES {
        let path = gateway.edge.listing_path(page.as_deref());
        let body = timeout(TIMEOUT, read_page(gateway, sender, &path)).await??;
        let read = gateway.edge.decode_listing(&body)?;
        if read.unreadable > 0 {
            log::warning("listing-entries-unreadable", &read.unreadable);
        }
        listing.extend(read.upstreams);
        page = read.next;
        if page.is_none() {
            break;
        }
    }
    Ok(listing)
}

async fn read_page<E: Edge>(
    gateway: &Gateway<E>,
    kept: &mut Option<Sender>,
    path: &str,
) -> anyhow::Result<Bytes> {
    let address = gateway
        .settings
        .listing_address
        .ok_or_else(|| anyhow::anyhow!("the settings name no list of upstreams"))?;
    let mut sender = match kept.take().filter(SendRequest::is_ready) {
        Some(sender) => sender,
        None => {
            let stream = TcpStream::connect(address).await?;
            let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
            tokio::task::spawn_local(async move {
                // An error shows where the answer is awaited.
                let _ = connection.await;
            });
            sender
        }
    };
    let request = Request::get(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    anyhow::ensure!(status.is_success(), "the list of upstreams answers {status}");
    *kept = Some(sender);
    Ok(body)
}
