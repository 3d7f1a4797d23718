//! Shows why servers are called through hyper: awc accepts a truncated chunked body as complete,
//! hyper reports an error.

use std::io::Read as _;
use std::io::Write as _;
use std::net;

use zinniastack::edge::router::body;
use zinniastack::edge::router::http_client;

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

async fn is_whole_by_hyper(response: &'static str) -> bool {
    let peer = serve_once(response);
    let request = hyper::Request::builder()
        .uri("/")
        .header("host", "a")
        .body(body::RequestBody::with_nothing())
        .expect("a valid request");
    let client = http_client::HttpClient::new();
    let Ok(mut response) = client.send(peer, request).await else {
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
