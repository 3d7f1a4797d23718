//! Listening and connecting for the `tarpc` interfaces between entry hosts.

use std::net;
use std::time;

use futures_util::StreamExt as _;
use tarpc::server::Channel as _;

use crate::edge::ports;

/// The codec of a client: decodes responses and encodes requests.
type ClientCodec<Req, Resp> =
    tarpc::tokio_serde::formats::Json<tarpc::Response<Resp>, tarpc::ClientMessage<Req>>;

/// A client's connection.
pub type ClientTransport<Req, Resp> = tarpc::serde_transport::Transport<
    tokio::net::TcpStream,
    tarpc::Response<Resp>,
    tarpc::ClientMessage<Req>,
    ClientCodec<Req, Resp>,
>;

/// Accepts other hosts' connections until the process ends, and serves each in a task of its own.
///
/// # Errors
/// Fails when the address cannot be listened on.
pub async fn listen<S>(
    address: net::SocketAddr,
    max_frame_bytes: usize,
    service: S,
) -> Result<(), ports::PortError>
where
    S: tarpc::server::Serve + Clone + 'static,
    S::Req: serde::de::DeserializeOwned + 'static,
    S::Resp: serde::Serialize + 'static,
{
    let format = tarpc::tokio_serde::formats::Json::default;
    let bound = tarpc::serde_transport::tcp::listen(address, format).await;
    let mut listener = bound.map_err(|e| port_error("listen-peers", address, e.to_string()))?;
    listener.config_mut().max_frame_length(max_frame_bytes);
    actix::spawn(async move {
        while let Some(accepted) = listener.next().await {
            let Ok(transport) = accepted else {
                continue;
            };
            let channel = tarpc::server::BaseChannel::with_defaults(transport);
            let service = service.clone();
            actix::spawn(async move {
                let requests = channel.execute(service);
                requests
                    .for_each_concurrent(None, |response| response)
                    .await;
            });
        }
    });
    Ok(())
}

/// Connects to another host within the time-out `limit`.
///
/// # Errors
/// Fails when no connection can be made in time.
pub async fn connect<Req, Resp>(
    peer: net::SocketAddr,
    max_frame_bytes: usize,
    limit: time::Duration,
) -> Result<ClientTransport<Req, Resp>, ports::PortError>
where
    Req: serde::Serialize,
    Resp: serde::de::DeserializeOwned,
{
    let format: fn() -> ClientCodec<Req, Resp> = tarpc::tokio_serde::formats::Json::default;
    let mut connecting = tarpc::serde_transport::tcp::connect(peer, format);
    connecting.config_mut().max_frame_length(max_frame_bytes);
    match tokio::time::timeout(limit, connecting).await {
        Ok(Ok(transport)) => Ok(transport),
        Ok(Err(e)) => Err(port_error("connect-peer", peer, e.to_string())),
        Err(_) => Err(port_error("connect-peer", peer, "timeout".to_owned())),
    }
}

/// Creates the error of a failed call to another host.
#[must_use]
pub fn port_error(step: &'static str, peer: net::SocketAddr, fault: String) -> ports::PortError {
    ports::PortError {
        step,
        peer: peer.to_string(),
        fault,
    }
}
