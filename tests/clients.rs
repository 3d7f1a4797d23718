//! Shows why servers are called through hyper: awc accepts a truncated chunked body as complete,
//! hyper reports an error.

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::time;

use zinniastack::edge::router::body;
use zinniastack::edge::router::http_client;

/// Upper bound of a response without end; it only ends a hung test.
const MAX_WAIT: time::Duration = time::Duration::from_mins(1);
const CUT_CHUNKS: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n";
const CUT_LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nwhole";
const NO_LENGTH: &str = "HTTP/1.1 200 OK\r\n\r\nwhole";
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

// Accepts one connection, sends `response` and closes the connection.
fn serve_once(response: &'static str) -> net::SocketAddr {
    let listener = net::TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        let mut request = [0; 1_024];
        let read = stream
            .read(&mut request)
            .expect("the client sends a request");
        assert!(read > 0);
        stream
            .write_all(response.as_bytes())
            .expect("the response is sent");
    });
    address
}

fn empty_request() -> hyper::Request<body::RequestBody> {
    hyper::Request::builder()
        .uri("/")
        .header("host", "a")
        .body(body::RequestBody::with_nothing())
        .expect("a valid request")
}

async fn is_whole_by_hyper(response: &'static str) -> bool {
    let peer = serve_once(response);
    let client = http_client::HttpClient::new();
    let Ok(mut response) = client.send(peer, empty_request()).await else {
        return false;
    };
    response.body.read_whole(1_000).await.is_ok()
}

async fn is_whole_by_awc(response: &'static str) -> bool {
    let peer = serve_once(response);
    let sent = awc::Client::default()
        .get(format!("http://{peer}/"))
        .send()
        .await;
    let Ok(mut response) = sent else {
        return false;
    };
    response.body().await.is_ok()
}

// Accepts one connection and sends `start`, then `part` again and again until the client closes.
fn serve_endlessly(start: &'static str, part: &'static str) -> net::SocketAddr {
    let listener = net::TcpListener::bind(("127.0.0.1", 0)).expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        let mut sent = stream.write_all(start.as_bytes());
        while sent.is_ok() {
            sent = stream.write_all(part.as_bytes());
        }
    });
    address
}

// Whether the client gives up an endless response before `MAX_WAIT`.
async fn ends(start: &'static str, part: &'static str) -> bool {
    let peer = serve_endlessly(start, part);
    let client = http_client::HttpClient::new();
    let exchange = async {
        let mut response = client.send(peer, empty_request()).await?;
        response.body.read_whole(100_000).await
    };
    let ended = tokio::time::timeout(MAX_WAIT, exchange).await;
    ended.is_ok_and(|response| response.is_err())
}

macro_rules! client_cases {
    ($($name:ident: $check:ident($response:expr) => $whole:literal;)*) => {$(
        #[actix_web::test]
        async fn $name() {
            assert_eq!($check($response).await, $whole);
        }
    )*};
}

client_cases! {
    hyper_takes_a_whole_body: is_whole_by_hyper(WHOLE) => true;
    hyper_takes_a_body_that_ends_with_its_connection: is_whole_by_hyper(NO_LENGTH) => true;
    hyper_refuses_cut_chunks: is_whole_by_hyper(CUT_CHUNKS) => false;
    hyper_refuses_a_cut_length: is_whole_by_hyper(CUT_LENGTH) => false;
    awc_takes_a_cut_body_for_whole: is_whole_by_awc(CUT_CHUNKS) => true;
}

macro_rules! endless_cases {
    ($($name:ident: $start:expr, $part:expr;)*) => {$(
        // Guards against bytes without end that occupy a host for as long as it reads them.
        #[actix_web::test]
        async fn $name() {
            assert!(ends($start, $part).await, "the client reads on");
        }
    )*};
}

endless_cases! {
    ends_a_line_without_end: "HTTP/1.1 200 OK\r\nx: ", "xxxxxxxxxxxxxxxx";
    ends_a_head_without_end: "HTTP/1.1 200 OK\r\n", "x: y\r\n";
    ends_bytes_that_are_no_response: "", "xxxxxxxxxxxxxxxx";
    ends_chunks_without_end: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n";
    ends_a_body_without_length_or_end: "HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxxxxxxxxxx";
}
