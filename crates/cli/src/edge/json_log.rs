//! Writes log lines as JSON to standard output from a separate thread.
//!
//! The process must never block on the reader of its log. Lines go into a bounded queue; lines that
//! do not fit or exceed the rate limit are dropped, and the number of dropped lines is written once
//! there is room.

use {
    eyre::{Result, WrapErr},
    flexi_logger::{DeferredNow, Logger, LoggerHandle, writers::LogWriter},
    log::{Level, Record, kv},
    serde_json::{Map, Value},
    std::{
        io::{self, Write},
        sync::{
            Mutex,
            atomic::{AtomicU64, Ordering::Relaxed},
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Maximum number of lines waiting for the writer.
const QUEUE_CAPACITY: usize = 2048;
/// Lines per second above which lines of level info and below are dropped.
const MAX_RATE: u32 = 150;
/// Pause of the writer after a batch, so that lines are written in batches.
const BATCH_PAUSE: Duration = Duration::from_millis(100);

/// Starts logging; the handle can change the level later.
///
/// Errors: the level is malformed, the thread cannot be started, or a logger was already started.
pub fn open(level: &str) -> Result<LoggerHandle> {
    let (sender, receiver) = sync_channel(QUEUE_CAPACITY);
    thread::Builder::new()
        .name("log".into())
        .spawn(move || run_writer(&receiver))
        .wrap_err("starting the log thread")?;
    let writer =
        JsonWriter { sender, dropped: AtomicU64::new(0), rate: Mutex::new(RateLimit::new()) };
    Logger::try_with_str(level)
        .wrap_err("reading log.level")?
        .log_to_writer(Box::new(writer))
        .start()
        .wrap_err("starting the logger")
}

enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

struct JsonWriter {
    sender: SyncSender<Message>,
    dropped: AtomicU64,
    rate: Mutex<RateLimit>,
}

struct RateLimit {
    second: Instant,
    lines: u32,
}

impl RateLimit {
    fn new() -> Self {
        Self { second: Instant::now(), lines: 0 }
    }

    fn admits(&mut self) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            *self = Self::new();
        }
        self.lines += 1;
        self.lines <= MAX_RATE
    }
}

impl LogWriter for JsonWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let urgent = record.level() <= Level::Warn;
        let admitted = urgent || self.rate.lock().is_ok_and(|mut r| r.admits());
        let sent = admitted && {
            let mut line = Map::new();
            line.insert("at".into(), now.now().timestamp_millis().into());
            line.insert("level".into(), record.level().as_str().into());
            let dropped = self.dropped.load(Relaxed);
            if dropped > 0 {
                line.insert("dropped".into(), dropped.into());
            }
            let _ = record.key_values().visit(&mut FieldVisitor(&mut line));
            line.insert("text".into(), record.args().to_string().into());
            let mut bytes = serde_json::to_vec(&Value::Object(line))?;
            bytes.push(b'\n');
            let sent = self.sender.try_send(Message::Line(bytes)).is_ok();
            if sent {
                self.dropped.fetch_sub(dropped, Relaxed);
            }
            sent
        };
        if !sent {
            self.dropped.fetch_add(1, Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (done, written) = sync_channel(1);
        if self.sender.try_send(Message::Flush(done)).is_ok() {
            // A stalled reader must not delay the end of the process.
            let _ = written.recv_timeout(Duration::from_millis(300));
        }
        Ok(())
    }
}

struct FieldVisitor<'a>(&'a mut Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let json = if let Some(n) = value.to_u64() {
            n.into()
        } else if let Some(b) = value.to_bool() {
            b.into()
        } else {
            let text = value.to_string();
            if text == "None" { return Ok(()) } else { text.into() }
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

/// Writes lines until the sender is dropped.
fn run_writer(lines: &Receiver<Message>) {
    let mut out = io::stdout();
    let mut batch = Vec::new();
    while let Ok(first) = lines.recv() {
        let mut flushed = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                Message::Line(bytes) => batch.extend_from_slice(&bytes),
                Message::Flush(done) => flushed.push(done),
            }
            next = lines.try_recv().ok();
        }
        // If standard output is closed, there is nowhere to report the error.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        batch.clear();
        for done in flushed {
            let _ = done.send(());
        }
        thread::sleep(BATCH_PAUSE);
    }
}
