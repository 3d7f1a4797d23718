//! Runs several HTTP servers on the runtime of one thread.

/// Starts a server and returns the handle that stops it.
#[must_use]
pub fn spawn(server: actix_web::dev::Server) -> actix_web::dev::ServerHandle {
    let handle = server.handle();
    actix::spawn(server);
    handle
}
