//! Decides whether what a server sent can be a response at all, before anything it states is believed.

/// The lowest final status. Lower ones announce a final response, or end HTTP on the connection.
pub const MIN_FINAL_STATUS: u16 = 200;
/// The highest status that HTTP defines a class for.
pub const MAX_FINAL_STATUS: u16 = 599;

/// Reports whether a response with this status may be the final one to a request. Any other is a failed
/// attempt with an unknown outcome, also where its headers state that nothing ran.
#[must_use]
pub const fn is_final_status(status: u16) -> bool {
    MIN_FINAL_STATUS <= status && status <= MAX_FINAL_STATUS
}

/// How far a request has been written to its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestProgress {
    /// No request is under way, or nothing of it was written.
    #[default]
    Unsent,
    /// A part was written, and more of it follows.
    Writing,
    /// All was passed to the system, which may not have delivered all of it.
    Written,
}

/// What to do at the end of a server's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOfInput {
    /// Take it for the end of the connection.
    Take,
    /// Wait until the request has been written: if the server has closed the connection, it responds with a
    /// reset to what is written.
    AwaitRequest,
    /// Wait until the server has acknowledged the request or has reset the connection.
    AwaitAcknowledgement,
}

impl RequestProgress {
    /// Decides about the end of a server's bytes. A response without a length is complete only if the server
    /// closed the connection in order, which is known once it has the whole request.
    #[must_use]
    pub const fn end_of_input(self) -> EndOfInput {
        match self {
            Self::Unsent => EndOfInput::Take,
            Self::Writing => EndOfInput::AwaitRequest,
            Self::Written => EndOfInput::AwaitAcknowledgement,
        }
    }
}
