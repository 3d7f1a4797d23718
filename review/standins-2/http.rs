//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net;

/// The largest head of a message, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// The size of one read, in bytes.
const READ_BYTES: usize = 64 << 10;

/// The head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct MessageHead {
    /// The first line.
    pub first_line: String,
    /// The names of the headers in lower case, and their values.
    pub headers: Vec<(String, String)>,
}

impl MessageHead {
    fn new(text: &str) -> Self {
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        Self {
            first_line,
            headers: headers.collect(),
        }
    }

    /// Returns the value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut named = self.headers.iter().filter(|(known, _)| known == name);
        named.next().map(|(_, value)| value.as_str())
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response, 0 where there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the stated length of the body.
    pub fn content_length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }

    /// Reports whether the body is sent in chunks.
    pub fn is_chunked(&self) -> bool {
        let encoding = self.header("transfer-encoding");
        encoding.is_some_and(|encoding| encoding.eq_ignore_ascii_case("chunked"))
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    /// The socket.
    pub stream: net::TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    /// Creates a connection of a socket.
    pub fn new(stream: net::TcpStream) -> Self {
        // Fails only on a socket that is closed already.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = vec![0; READ_BYTES];
        let count = self.stream.read(&mut chunk)?;
        self.ahead.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a head; `None` where the peer has closed the connection before one began.
    pub fn read_head(&mut self) -> io::Result<Option<MessageHead>> {
        loop {
            let end = self.ahead.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            if let Some(end) = end {
                let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 4);
                return Ok(Some(MessageHead::new(&text)));
            }
            if self.ahead.len() > MAX_HEAD_BYTES {
                return Err(io::Error::from(io::ErrorKind::InvalidData));
            }
            if self.fill()? == 0 {
                if self.ahead.is_empty() {
                    return Ok(None);
                }
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
            }
        }
    }

    /// Reads exactly `length` bytes.
    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            if self.fill()? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
            }
        }
        Ok(self.ahead.drain(..length).collect())
    }

    /// Reads and drops up to `length` bytes in one read; returns how many there were, 0 at the end.
    pub fn skip_some(&mut self, length: usize) -> io::Result<usize> {
        if self.ahead.is_empty() {
            let mut chunk = vec![0; length.min(READ_BYTES)];
            return self.stream.read(&mut chunk);
        }
        let count = self.ahead.len().min(length);
        self.ahead.drain(..count);
        Ok(count)
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            let end = self.ahead.windows(2).position(|bytes| bytes == b"\r\n");
            if let Some(end) = end {
                let line = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
            }
        }
    }

    fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.read_line()?;
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.read_exact(size)?;
        self.read_exact(2)?;
        Ok(chunk)
    }

    /// Reads the body that a head announces.
    pub fn read_body(&mut self, head: &MessageHead) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.read_exact(head.content_length().unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let chunk = self.read_chunk()?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a response with a body of known length.
    pub fn respond(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n{headers}\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}

/// Returns the value of a parameter in the query of a target.
pub fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut named = pairs.filter(|(known, _)| *known == name);
    named.next().map(|(_, value)| value)
}
