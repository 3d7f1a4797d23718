//! What a caller's connection has come to, for requests that were pipelined: those behind a response that
//! closes the connection count as not read, and callers send them again, so no server may get them.

use std::cell;

use actix_web::http;

/// The state of one connection, which its requests share.
#[derive(Debug, Default)]
pub struct CallerConnection {
    is_closing: cell::Cell<bool>,
}

impl CallerConnection {
    /// Creates the state of a new connection.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }
}

/// Adds the state of a connection that the HTTP server has accepted.
pub fn add(data: &mut actix_web::dev::Extensions) {
    data.insert(CallerConnection::new());
}

/// Marks a connection that is refused, so that no server gets a request that has already arrived on it.
pub fn refuse(data: &actix_web::dev::Extensions) {
    if let Some(connection) = data.get::<CallerConnection>() {
        connection.is_closing.set(true);
    }
}

/// Reports whether the connection of this request was refused, or a response before it closes the connection.
#[must_use]
pub fn is_closing(request: &actix_web::HttpRequest) -> bool {
    let connection = request.conn_data::<CallerConnection>();
    connection.is_some_and(|connection| connection.is_closing.get())
}

/// Makes a response close its connection where the caller or the host (`closes`) wants that.
/// The HTTP library does so by the last request that it has decoded, which may be another one.
pub fn finish(
    request: &actix_web::HttpRequest,
    response: &mut actix_web::HttpResponse,
    closes: bool,
) {
    let keeps = request.head().connection_type() == http::ConnectionType::KeepAlive;
    if keeps && !closes && !is_closing(request) {
        return;
    }
    let head = response.head_mut();
    head.set_connection_type(http::ConnectionType::Close);
    if let Some(connection) = request.conn_data::<CallerConnection>() {
        connection.is_closing.set(true);
    }
}
