//! Tests the HTTP client towards a shard owner whose responses are truncated, doubled, meant for
//! another request, malformed or missing. A caller must never get a part of a response or the
//! response to another request.

use std::net;
use std::sync;
use std::time;

use actix_web::web;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use zinniastack::configuration;
use zinniastack::contract;
use zinniastack::edge::exchange;
use zinniastack::table;

/// What a test owner does with a connection after it has read the head of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerBehaviour {
    /// Sends a complete response.
    Whole,
    /// Sends a response with the id of another request.
    WrongId,
    /// Sends a response without a request id.
    WithoutId,
    /// Sends two responses, so that the second one is pending when the next request is sent.
    TwoAnswers,
    /// Closes the connection within the body.
    Short,
    /// Closes the connection within the last chunk.
    ShortChunk,
    /// Closes the connection before the empty chunk that ends the body.
    NoLastChunk,
    /// Sends a complete chunked body, which is refused as well: the HTTP library also accepts a
    /// truncated chunked body as complete.
    Chunked,
    /// Sends no length and closes the connection, so that a truncated body cannot be detected.
    NoLength,
    /// Closes the connection within the head of the response.
    HalfHead,
    /// Closes the connection without a response.
    NoAnswer,
    /// Closes the connection before it has read anything.
    ClosedUnread,
    /// Refuses the request as not run.
    Refusing,
    /// Refuses the request as not run, with an unknown reason.
    UnknownReason,
    /// Sends something other than HTTP.
    Garbage,
}

fn response_text(behaviour: OwnerBehaviour) -> String {
    let ok = |id: &str| {
        format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\ncontent-length: 4\r\n\r\ndone",
            contract::REQUEST_ID_HEADER
        )
    };
    let chunked = |text: &str| {
        let id = contract::REQUEST_ID_HEADER;
        format!("HTTP/1.1 200 OK\r\n{id}: r1\r\ntransfer-encoding: chunked\r\n\r\n{text}")
    };
    let refused = |reason: &str| {
        let id = contract::REQUEST_ID_HEADER;
        let outcome = contract::OUTCOME_HEADER;
        let header = contract::REASON_HEADER;
        format!(
            "HTTP/1.1 503 Busy\r\n{id}: r1\r\n{outcome}: not-run\r\n{header}: {reason}\r\ncontent-length: 0\r\n\r\n"
        )
    };
    match behaviour {
        OwnerBehaviour::Whole => ok("r1"),
        OwnerBehaviour::WrongId => ok("r2"),
        OwnerBehaviour::WithoutId => "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone".into(),
        OwnerBehaviour::TwoAnswers => ok("r1") + &ok("r1"),
        OwnerBehaviour::Short => ok("r1").replace("done", "do"),
        OwnerBehaviour::ShortChunk => chunked("4\r\ndo"),
        OwnerBehaviour::NoLastChunk => chunked("4\r\ndone\r\n"),
        OwnerBehaviour::Chunked => chunked("4\r\ndone\r\n0\r\n\r\n"),
        OwnerBehaviour::NoLength => {
            let id = contract::REQUEST_ID_HEADER;
            format!("HTTP/1.1 200 OK\r\n{id}: r1\r\nconnection: close\r\n\r\ndone")
        }
        OwnerBehaviour::HalfHead => "HTTP/1.1 200 OK\r\ncontent-".into(),
        OwnerBehaviour::NoAnswer | OwnerBehaviour::ClosedUnread => String::new(),
        OwnerBehaviour::Refusing => refused("wrong-fence"),
        OwnerBehaviour::UnknownReason => refused("out-of-spite"),
        OwnerBehaviour::Garbage => "220 mail ready\r\n\r\n".into(),
    }
}

async fn start_owner(behaviour: OwnerBehaviour) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    actix::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            actix::spawn(serve(stream, behaviour));
        }
    });
    address
}

async fn serve(mut stream: tokio::net::TcpStream, behaviour: OwnerBehaviour) {
    if behaviour == OwnerBehaviour::ClosedUnread {
        return;
    }
    if !read_head(&mut stream).await {
        return;
    }
    let _ = stream.write_all(response_text(behaviour).as_bytes()).await;
    if matches!(
        behaviour,
        OwnerBehaviour::Whole | OwnerBehaviour::TwoAnswers
    ) {
        tokio::time::sleep(time::Duration::from_secs(5)).await;
    }
}

// Reads the head of a request; reports whether there was one.
async fn read_head(stream: &mut tokio::net::TcpStream) -> bool {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return false,
        }
    }
    true
}

struct OwnerEdge {
    client: exchange::OwnerClient,
    route: table::ShardRoute,
}

impl OwnerEdge {
    fn new(address: net::SocketAddr) -> Self {
        let server = configuration::ServerSpec {
            name: "s1".parse().expect("a valid name"),
            service: "stock".parse().expect("a valid name"),
            domain: "north".parse().expect("a valid name"),
            address,
            fences: configuration::FenceMode::Checked,
            slots: 6,
            connections: 130,
            withdrawn: None,
        };
        Self {
            client: exchange::OwnerClient::new(1),
            route: table::ShardRoute {
                server: sync::Arc::new(server),
                fence: "5.h1.7.1".parse().expect("a valid fence"),
            },
        }
    }

    async fn send(&self, id: &str) -> Result<web::Bytes, exchange::WorkFailure> {
        let head = actix_web::test::TestRequest::get().uri("/stock/yard-7");
        let head = head.to_http_request();
        let shard = "stock/3".parse().expect("a valid shard");
        let order = exchange::WorkRequest {
            target: exchange::WorkTarget::Owner(&self.route, &shard),
            id: &id.parse().expect("a valid id"),
            head: &head,
            time_left: time::Duration::from_secs(1),
        };
        let body = exchange::WorkBody::Buffered(web::Bytes::new());
        let response = self.client.send(&order, 1, body).await;
        response.map(|response| response.body)
    }
}

async fn expect_response(behaviour: OwnerBehaviour) {
    let edge = OwnerEdge::new(start_owner(behaviour).await);
    assert_eq!(edge.send("r1").await, Ok(web::Bytes::from("done")));
}

async fn expect_broken(behaviour: OwnerBehaviour) {
    let edge = OwnerEdge::new(start_owner(behaviour).await);
    let result = edge.send("r1").await;
    assert!(
        matches!(result, Err(exchange::WorkFailure::Broken(_))),
        "{result:?}"
    );
}

async fn expect_refused() {
    let edge = OwnerEdge::new(start_owner(OwnerBehaviour::Refusing).await);
    let refusal = contract::ServerRefusal::WrongFence;
    assert_eq!(
        edge.send("r1").await,
        Err(exchange::WorkFailure::Refused(refusal))
    );
}

// Guards against a retry that runs and is reported as not run, by a late copy of the refusal of the
// attempt before it. A refused request is sent again on another connection, where the owner refuses it
// anew, so each refusal is that of a connection's first request.
async fn expect_refusals_of_first_requests() {
    let (address, repeats) = start_refusing_owner().await;
    let edge = OwnerEdge::new(address);
    for _ in 0..3 {
        let refusal = contract::ServerRefusal::WrongFence;
        let expected = Err(exchange::WorkFailure::Refused(refusal));
        assert_eq!(edge.send("r1").await, expected);
    }
    let repeats = repeats.load(sync::atomic::Ordering::Relaxed);
    assert_eq!(repeats, 0, "copies of refusals were taken for responses");
}

// Starts an owner that refuses twice; returns its address and the number of copies that it has sent.
async fn start_refusing_owner() -> (net::SocketAddr, sync::Arc<sync::atomic::AtomicUsize>) {
    let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let repeats = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
    let count = sync::Arc::clone(&repeats);
    actix::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = sync::Arc::clone(&count);
            actix::spawn(async move {
                let refusal = response_text(OwnerBehaviour::Refusing);
                let mut is_copy = false;
                while read_head(&mut stream).await {
                    count.fetch_add(usize::from(is_copy), sync::atomic::Ordering::Relaxed);
                    let _ = stream.write_all(refusal.as_bytes()).await;
                    is_copy = true;
                }
            });
        }
    });
    (address, repeats)
}

// A second response that is left on the connection must not be returned for a later request.
async fn expect_no_stale_response() {
    let edge = OwnerEdge::new(start_owner(OwnerBehaviour::TwoAnswers).await);
    for id in ["r1", "r2", "r3"] {
        let result = edge.send(id).await;
        let matches_own_id = result.is_ok();
        assert!(
            !matches_own_id || id == "r1",
            "{id} got the response to another request: {result:?}"
        );
    }
}

async fn expect_not_connected() {
    let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0));
    let address = listener.expect("a port is free").local_addr();
    let edge = OwnerEdge::new(address.expect("the listener has an address"));
    assert_eq!(
        edge.send("r1").await,
        Err(exchange::WorkFailure::NotConnected)
    );
}

macro_rules! owner_cases {
    ($($name:ident: $check:expr;)*) => {$(
        #[test]
        fn $name() {
            actix::System::new().block_on($check);
        }
    )*};
}

owner_cases! {
    whole_answer_is_passed_on: expect_response(OwnerBehaviour::Whole);
    response_with_another_id_is_unknown: expect_broken(OwnerBehaviour::WrongId);
    response_without_id_is_unknown: expect_broken(OwnerBehaviour::WithoutId);
    second_answer_meets_no_other_request: expect_no_stale_response();
    chunked_answer_is_unknown: expect_broken(OwnerBehaviour::Chunked);
    short_chunk_is_unknown: expect_broken(OwnerBehaviour::ShortChunk);
    missing_last_chunk_is_unknown: expect_broken(OwnerBehaviour::NoLastChunk);
    answer_without_length_is_unknown: expect_broken(OwnerBehaviour::NoLength);
    short_body_is_unknown: expect_broken(OwnerBehaviour::Short);
    half_a_head_is_unknown: expect_broken(OwnerBehaviour::HalfHead);
    silence_is_unknown: expect_broken(OwnerBehaviour::NoAnswer);
    close_before_reading_is_unknown: expect_broken(OwnerBehaviour::ClosedUnread);
    garbage_is_unknown: expect_broken(OwnerBehaviour::Garbage);
    refusal_is_not_run: expect_refused();
    late_copy_of_a_refusal_meets_no_retry: expect_refusals_of_first_requests();
    odd_refusal_is_unknown: expect_broken(OwnerBehaviour::UnknownReason);
    nobody_there_is_not_run: expect_not_connected();
}
