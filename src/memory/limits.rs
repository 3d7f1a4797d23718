//! The limits of one process, derived from those of its machine.

/// What a process takes without any request, in bytes; its control state grows with the site.
pub const BASE_BYTES: u64 = 16 << 20;
/// The flat cost of an idle connection with the library's buffers, in bytes.
pub const CONNECTION_BYTES: u64 = 24 << 10;
/// The further cost of a connection from its start, or from the start of a request, until the request has
/// ended, in bytes: the library reads up to 128 KiB ahead, also of a body that it discards, and decodes further
/// requests meanwhile.
pub const READ_AHEAD_BYTES: u64 = 128 << 10;
/// The size from which a body leaves the library's buffer large, in bytes: then the further cost lasts as long as
/// the connection.
pub const KEPT_BUFFER_BODY_BYTES: u64 = 16 << 10;
/// The most that is read at once from a server's connection, in bytes. A response that is streamed is held in
/// pieces of up to this size: read, on its way to the caller's connection, and being written.
pub const SERVER_READ_BYTES: usize = 64 << 10;
/// The flat cost of a body or response that is streamed, in bytes: what was read ahead and decoded,
/// and the buffers towards the other side.
pub const STREAM_BYTES: u64 = 256 << 10;
/// Chunks of a body that are smaller than this count as small, in bytes.
pub const SMALL_CHUNK_BYTES: usize = 1_024;
/// The cost of a small chunk in the library's queue of decoded chunks, in bytes: its entry takes 32,
/// and the queue grows by doubling.
pub const SMALL_CHUNK_COST: u64 = 64;
/// The most chunks that the queue holds: as many as the bytes at which the library stops reading.
pub const MAX_QUEUED_CHUNKS: u64 = 32_768;
/// The descriptors that are reserved for listeners, threads, control calls and the metrics address.
pub const RESERVED_DESCRIPTORS: u64 = 64;
/// The least memory that a process can be limited to, in MiB.
pub const MIN_MEMORY_MB: u64 = 32;
/// The fewest descriptors that a process can be limited to.
pub const MIN_DESCRIPTORS: u64 = 128;
/// The memory of a machine that states none, in MiB.
pub const DEFAULT_MEMORY_MB: u64 = 512;
/// The descriptors of a machine that states none.
pub const DEFAULT_DESCRIPTORS: u64 = 1_024;

/// The limits of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// The bytes that the account may grant.
    pub bytes: u64,
    /// The caller connections that may be open.
    pub connections: u64,
}

impl ProcessLimits {
    /// Derives the limits from a machine's memory, in MiB, and its descriptors. Half of what the
    /// idle process leaves is kept for the allocator and the library's buffers; a quarter of the
    /// descriptors that are not reserved is kept for connections to servers.
    #[must_use]
    pub fn new(memory_mb: u64, descriptors: u64) -> Self {
        let memory = memory_mb.max(MIN_MEMORY_MB) << 20;
        let bytes = (memory - BASE_BYTES) / 2;
        let usable = descriptors.max(MIN_DESCRIPTORS) - RESERVED_DESCRIPTORS;
        Self {
            bytes,
            connections: (usable / 4 * 3).min(bytes / CONNECTION_BYTES),
        }
    }

    /// Sets the number of caller connections.
    #[must_use]
    pub const fn with_connections(mut self, connections: u64) -> Self {
        self.connections = connections;
        self
    }
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self::new(DEFAULT_MEMORY_MB, DEFAULT_DESCRIPTORS)
    }
}
