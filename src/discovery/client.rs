//! The HTTP calls to discovery: one snapshot, or a watch that streams what changes.

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

/// Why a call to discovery failed, or a watch was lost.
#[derive(Debug, thiserror::Error)]
pub(super) enum WatchError {
    /// No connection could be made.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The HTTP exchange failed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The response has a status other than 200.
    #[error("answered {0}")]
    Status(StatusCode),
    /// The body is not an endpoint list.
    #[error(transparent)]
    List(#[from] ListError),
    /// Nothing arrived before the timeout.
    #[error("silent")]
    Silent,
    /// Discovery ended the response.
    #[error("ended")]
    Ended,
}

/// Fetches the complete endpoint list. Discovery has `response_timeout` to answer, and again for each part of
/// the body.
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

/// Opens a watch on everything that changed after `version`; its body streams lists.
pub(super) async fn open_watch(
    address: SocketAddr, version: u64, response_timeout: Duration,
) -> Result<Incoming, WatchError> {
    get(address, &format!("/api/targets?follow=1&since={version}"), response_timeout).await
}

/// The next part of a body, or none at its end.
pub(super) async fn next_chunk(body: &mut Incoming, within: Duration) -> Result<Option<Bytes>, WatchError> {
    match timeout(within, body.frame()).await {
        Err(_) => Err(WatchError::Silent),
        Ok(None) => Ok(None),
        Ok(Some(frame)) => Ok(Some(frame?.into_data().unwrap_or_default())),
    }
}

/// Sends a request on a connection of its own and gives the body of the response.
async fn get(address: SocketAddr, path: &str, within: Duration) -> Result<Incoming, WatchError> {
    let exchange = async {
        let socket = TcpStream::connect(address).await.map_err(WatchError::Connect)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(socket)).await?;
        // The task ends with the response body, or when that is dropped.
        spawn_local(connection);
        let request = Request::get(path).header("host", address.to_string()).body(Empty::<Bytes>::new());
        let Ok(request) = request else { return Err(WatchError::Ended) };
        let response = sender.send_request(request).await?;
        match response.status() {
            StatusCode::OK => Ok(response.into_body()),
            other => Err(WatchError::Status(other)),
        }
    };
    timeout(within, exchange).await.unwrap_or(Err(WatchError::Silent))
}
