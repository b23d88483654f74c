//! Log lines as JSON on standard output, written by a thread of its own.
//!
//! A process must never wait for whoever reads its log. Lines go into a bounded queue; what does not
//! fit, or exceeds the rate, is dropped and counted, and the count is written once there is room.

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

/// Lines that wait for the writer.
const QUEUE: usize = 2048;
/// Lines a second beyond which those of level info and below are dropped.
const RATE: u32 = 150;
/// Pause of the writer after a batch, so that lines are written together.
const BATCH_PAUSE: Duration = Duration::from_millis(100);

/// Starts logging; the handle changes the level later.
pub fn open(level: &str) -> Result<LoggerHandle> {
    let (sender, receiver) = sync_channel(QUEUE);
    thread::Builder::new()
        .name("log".into())
        .spawn(move || write(&receiver))
        .wrap_err("starting the thread of the log")?;
    let writer = Lines { sender, dropped: AtomicU64::new(0), rate: Mutex::new(Rate::new()) };
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

struct Lines {
    sender: SyncSender<Message>,
    dropped: AtomicU64,
    rate: Mutex<Rate>,
}

struct Rate {
    second: Instant,
    lines: u32,
}

impl Rate {
    fn new() -> Self {
        Self { second: Instant::now(), lines: 0 }
    }

    fn admits(&mut self) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            *self = Self::new();
        }
        self.lines += 1;
        self.lines <= RATE
    }
}

impl LogWriter for Lines {
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
            let _ = record.key_values().visit(&mut Fields(&mut line));
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
            // A reader that does not read must not hold up the end of the process.
            let _ = written.recv_timeout(Duration::from_millis(300));
        }
        Ok(())
    }
}

struct Fields<'a>(&'a mut Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
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

/// Writes lines until their sender is gone.
fn write(lines: &Receiver<Message>) {
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
        // Nobody reads any more: there is nowhere to say so.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        batch.clear();
        for done in flushed {
            let _ = done.send(());
        }
        thread::sleep(BATCH_PAUSE);
    }
}
