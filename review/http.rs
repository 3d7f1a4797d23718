//! A small HTTP/1.1 server and client over blocking sockets, one thread a connection.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request, or a response where `status` is not 0. Header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub method: String,
    pub target: String,
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn response(status: u16) -> Self {
        Self {
            status,
            ..Self::default()
        }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers
            .insert(name.to_ascii_lowercase(), value.to_string());
        self
    }

    pub fn with_body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// The value of a parameter of the query, percent-decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name);
        values.next().map(|(_, value)| percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = text.get(index + 1..index + 3);
        let value = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[index], value) {
            (b'%', Some(value)) => {
                decoded.push(value);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn bad(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Reads one message; `None` where the connection ended before its first byte.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let words: Vec<&str> = line.trim_end().splitn(3, ' ').collect();
    let mut message = Message::default();
    if words[0].starts_with("HTTP/") {
        message.status = words
            .get(1)
            .and_then(|w| w.parse().ok())
            .ok_or_else(|| bad("status"))?;
    } else {
        message.method = words[0].to_owned();
        message.target = words.get(1).ok_or_else(|| bad("target"))?.to_string();
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(bad("head cut short"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("header"))?;
        message
            .headers
            .insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"));
    if chunked {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(|_| bad("chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| bad("length"))?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(Some(message))
}

/// Writes one message, with its length.
pub fn write_message(stream: &mut TcpStream, message: &Message) -> io::Result<()> {
    let mut bytes = if message.status > 0 {
        format!("HTTP/1.1 {} -\r\n", message.status)
    } else {
        format!("{} {} HTTP/1.1\r\n", message.method, message.target)
    };
    for (name, value) in &message.headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str(&format!("content-length: {}\r\n\r\n", message.body.len()));
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(&message.body);
    stream.write_all(&bytes)
}

/// Answers one request; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(&Message) -> Option<Message> + Send + Sync>;

/// A server that runs in the background.
pub struct Server {
    address: SocketAddr,
    ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

/// Serves `handler` on `address` in the background.
pub fn serve(address: SocketAddr, handler: Handler) -> io::Result<Server> {
    let listener = TcpListener::bind(address)?;
    let server = Server {
        address,
        ended: Arc::default(),
        streams: Arc::default(),
    };
    let (ended, streams) = (Arc::clone(&server.ended), Arc::clone(&server.streams));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if ended.load(Ordering::SeqCst) {
                return;
            }
            streams.lock().unwrap().extend(stream.try_clone());
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(stream, &handler);
            });
        }
    });
    Ok(server)
}

impl Server {
    /// Ends the server as the end of its process does: its port and its connections are closed.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let Some(response) = handler(&request) else {
            return Ok(());
        };
        write_message(&mut writer, &response)?;
    }
    Ok(())
}

/// Sends one request on a connection of its own.
pub fn call(address: SocketAddr, request: &Message, limit: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    write_message(&mut writer, request)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader)?.ok_or_else(|| bad("closed without an answer"))
}

/// A client's connection that is kept open between requests.
pub struct Connection {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Self { writer, reader })
    }

    /// Sends one request and waits for its answer.
    pub fn call(&mut self, request: &Message, limit: Duration) -> io::Result<Message> {
        self.writer.set_read_timeout(Some(limit))?;
        write_message(&mut self.writer, request)?;
        read_message(&mut self.reader)?.ok_or_else(|| bad("closed without an answer"))
    }
}
