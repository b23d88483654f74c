//! An engine's stream that never completes an event is aborted within limited time and memory.

use {
    agate_flow::{
        header::RESPONSE_MARKERS,
        token::{MAX_EVENT_BYTES, TokenStream},
    },
    agate_transport::{
        exchange::{TimeLimits, send},
        link::Pool,
        proof::{Grant, Retryable},
    },
    bytes::Bytes,
    http::Request,
    http_body_util::Full,
    rstest::rstest,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering::SeqCst},
        },
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        time::{sleep, timeout},
    },
};

/// Longest wait of the reader for an event.
const LIMIT: Duration = Duration::from_millis(300);
/// Bytes that the buffers of the operating system may hold beyond the reader's limit.
const OS_BUFFERS: usize = 16 << 20;

/// An engine sends one event or comments without end, either fast or one piece at a time. A reader
/// without a limit would wait or buffer forever.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unterminated_event(
    #[values("data: d\n", ": comment\n\n", "x")] unit: &'static str,
    #[values(None, Some(Duration::from_millis(20)))] pause: Option<Duration>,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let pool = Arc::new(Pool::new(listener.local_addr().expect("an address")));
    let taken = Arc::<AtomicUsize>::default();
    let taking = taken.clone();
    tokio::spawn(async move {
        let (mut io, _) = listener.accept().await.expect("a connection");
        let mut buffer = [0; 4 << 10];
        let _ = io.read(&mut buffer).await;
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
        io.write_all(head.as_bytes()).await.expect("a head");
        let piece = if pause.is_some() { unit.to_owned() } else { unit.repeat(1_000) };
        while io.write_all(piece.as_bytes()).await.is_ok() {
            taking.fetch_add(piece.len(), SeqCst);
            if let Some(pause) = pause {
                sleep(pause).await;
            }
        }
    });
    let request = Request::new(Full::new(Bytes::from("x")));
    let grant = Grant::Again(Retryable::generation());
    let time_limits = TimeLimits { fresh: LIMIT, reused: LIMIT, max_idle: LIMIT, abandon: false };
    let response =
        send(&pool, request, "x", &RESPONSE_MARKERS, grant, time_limits).await.expect("a head");
    let mut tokens = TokenStream::open(response, 0, LIMIT, LIMIT);
    let begun = Instant::now();
    let next = timeout(10 * LIMIT, tokens.next()).await.expect("an end");
    let failure = next.expect_err("no event comes");
    assert!(begun.elapsed() < 4 * LIMIT, "{failure} after {:?}", begun.elapsed());
    drop(tokens);
    assert!(taken.load(SeqCst) < MAX_EVENT_BYTES + OS_BUFFERS, "{} bytes", taken.load(SeqCst));
}
