//! HTTP client for discovery: fetches a snapshot or opens a watch that streams changes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::discovery::endpoint_list::{EndpointList, ListError, ListReader};

/// An error that fails a call to discovery or ends a watch.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// The TCP connection could not be established.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The HTTP exchange failed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The response status was not 200.
    #[error("unexpected response status {0}")]
    Status(StatusCode),
    /// The body was not a valid endpoint list.
    #[error(transparent)]
    List(#[from] ListError),
    /// No data arrived before the timeout.
    #[error("no data before the timeout")]
    TimedOut,
    /// Discovery ended the response.
    #[error("response ended")]
    Ended,
}

/// Fetches the complete endpoint list. The timeout applies separately to the response head and to each chunk
/// of the body.
pub(super) async fn fetch_snapshot(
    address: SocketAddr, response_timeout: Duration,
) -> Result<EndpointList, WatchError> {
    let mut body = get(address, "/api/targets", response_timeout).await?;
    let mut reader = ListReader::default();
    while let Some(chunk) = next_chunk(&mut body, response_timeout).await? {
        if let Some(list) = reader.push(&chunk)?.pop() {
            return Ok(list);
        }
    }
    Err(WatchError::Ended)
}

/// Opens a watch for all changes after `version`. The response body is a stream of lists.
pub(super) async fn open_watch(
    address: SocketAddr, version: u64, response_timeout: Duration,
) -> Result<Incoming, WatchError> {
    get(address, &format!("/api/targets?follow=1&since={version}"), response_timeout).await
}

/// Returns the next chunk of a body, or `None` at its end.
pub(super) async fn next_chunk(
    body: &mut Incoming, time_limit: Duration,
) -> Result<Option<Bytes>, WatchError> {
    match timeout(time_limit, body.frame()).await {
        Err(_) => Err(WatchError::TimedOut),
        Ok(None) => Ok(None),
        Ok(Some(frame)) => Ok(Some(frame?.into_data().unwrap_or_default())),
    }
}

/// Sends a request on a new connection and returns the response body.
async fn get(address: SocketAddr, path: &str, time_limit: Duration) -> Result<Incoming, WatchError> {
    let exchange = async {
        let socket = TcpStream::connect(address).await.map_err(WatchError::Connect)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await?;
        // The task ends when the response body has been read or is dropped.
        spawn_local(connection);
        let request = Request::get(path).header("host", address.to_string()).body(Empty::<Bytes>::new());
        let Ok(request) = request else { return Err(WatchError::Ended) };
        let response = sender.send_request(request).await?;
        match response.status() {
            StatusCode::OK => Ok(response.into_body()),
            other => Err(WatchError::Status(other)),
        }
    };
    timeout(time_limit, exchange).await.unwrap_or(Err(WatchError::TimedOut))
}
