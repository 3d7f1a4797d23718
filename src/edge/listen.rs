//! Runs HTTP servers beside each other on one thread's reactor.

/// Starts a server and returns what stops it.
#[must_use]
pub fn spawn(server: actix_web::dev::Server) -> actix_web::dev::ServerHandle {
    let handle = server.handle();
    actix::spawn(server);
    handle
}
