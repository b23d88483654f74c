//! Streams whose versions this instance remembers, and what instances tell each other of them.

use {
    crate::{
        StreamId,
        begun::Begun,
        detours::Detour,
        homes::{self, CHUNK_STREAMS, Message, Row},
    },
    agate_core::Mono,
    agate_view::{clock, peers::Peer, roster::Version, table::Name},
    indexmap::IndexMap,
    std::{
        net::SocketAddr,
        pin::pin,
        sync::{Arc, Mutex, MutexGuard, OnceLock},
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// Time for which the homes of a stream are waited for.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of times that they are asked.
const ASKS: u32 = 2;

/// What the homes of a stream answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The version that began it.
    Version(Version),
    /// All but one at least answer that they do not know the stream.
    NotKnown,
    /// Too few would know the stream if it had begun elsewhere: others have started since.
    Forgotten,
    /// Too few answer.
    Silence,
}

/// Sends a message to another instance.
type SendFn = dyn Fn(Message, SocketAddr) + Send + Sync;
/// Present instances.
type PeersFn = dyn Fn() -> Arc<Vec<Peer>> + Send + Sync;

/// Contact to the other instances.
struct Contact {
    own: SocketAddr,
    peers: Box<PeersFn>,
    send: Box<SendFn>,
}

/// A question to the homes of a stream.
#[derive(Default)]
struct Question {
    /// Answers that the stream is not known, with the detours whose streams may have been forgotten.
    denials: Vec<Vec<Detour>>,
    /// Number of requests that wait for answers.
    waiting: usize,
}

/// Versions of streams that this instance forwards or is a home of.
#[derive(Default)]
pub struct KnownStreams {
    begun: Mutex<Begun>,
    asked: Mutex<IndexMap<StreamId, Question>>,
    /// Notified when an answer has come.
    told: Notify,
    contact: OnceLock<Contact>,
}

impl KnownStreams {
    /// Sets how other instances are reached; `own` is the address of this one.
    pub fn connect(
        &self,
        own: SocketAddr,
        peers: impl Fn() -> Arc<Vec<Peer>> + Send + Sync + 'static,
        send: impl Fn(Message, SocketAddr) + Send + Sync + 'static,
    ) {
        let contact = Contact { own, peers: Box::new(peers), send: Box::new(send) };
        if self.contact.set(contact).is_err() {
            log::debug!("the contact to other instances was set already");
        }
    }

    fn begun(&self) -> MutexGuard<'_, Begun> {
        self.begun.lock().expect("lock of the begun streams is not poisoned")
    }

    fn asked(&self) -> MutexGuard<'_, IndexMap<StreamId, Question>> {
        self.asked.lock().expect("lock of the asked streams is not poisoned")
    }

    /// Remembers the version of a stream that this instance forwards.
    pub fn add(&self, stream: StreamId, service: &Name, version: &Version, now: Mono) {
        self.begun().add(stream, service.clone(), version.clone(), now);
    }

    /// Version of a stream; `None` if it is not remembered.
    pub fn get(&self, stream: StreamId) -> Option<Version> {
        self.begun().get(stream).map(|(_, version)| version.clone())
    }

    /// Tells the homes of the remembered streams of `service` for which `moved` is true.
    pub fn tell_moved(&self, service: &Name, moved: impl Fn(StreamId, &Version) -> bool) {
        let begun = self.begun();
        let row = |(stream, version): (StreamId, &Version)| Row {
            stream,
            service: service.clone(),
            version: version.clone(),
        };
        let rows = begun.of_service(service).filter(|(s, v)| moved(*s, v)).map(row).collect();
        drop(begun);
        self.tell(rows);
    }

    /// Tells the homes of streams which versions began them.
    pub fn tell(&self, rows: Vec<Row>) {
        let Some(Contact { own, peers, send }) = self.contact.get() else { return };
        let peers = peers();
        let mut by_home: IndexMap<SocketAddr, Vec<Row>> = IndexMap::new();
        for row in rows {
            for home in homes::homes(row.stream, &peers).into_iter().filter(|h| h != own) {
                by_home.entry(home).or_default().push(row.clone());
            }
        }
        for (home, rows) in by_home {
            rows.chunks(CHUNK_STREAMS).for_each(|c| send(Message::Begun(c.to_vec()), home));
        }
    }

    /// Applies a message of another instance; returns the answer, if there is one. This instance may have
    /// forgotten streams of the detours `forgotten`; `None` if it cannot tell.
    pub fn receive(&self, message: Message, forgotten: Option<&[Detour]>) -> Option<Message> {
        match message {
            Message::Begun(rows) => {
                let mut begun = self.begun();
                for Row { stream, service, version } in rows {
                    begun.add(stream, service, version, clock::now());
                }
                drop(begun);
                self.told.notify_waiters();
                None
            }
            Message::Asked(stream) => {
                let found = self.begun().get(stream).cloned();
                let row = |(service, version)| Row { stream, service, version };
                match (found, forgotten) {
                    (Some(found), _) => Some(Message::Begun(vec![row(found)])),
                    (None, Some([])) => Some(Message::NotKnown(stream)),
                    (None, Some(detours)) => Some(Message::Forgotten(stream, detours.to_vec())),
                    (None, None) => None,
                }
            }
            Message::NotKnown(stream) => self.on_denial(stream, Vec::new()),
            Message::Forgotten(stream, detours) => self.on_denial(stream, detours),
        }
    }

    fn on_denial(&self, stream: StreamId, forgotten: Vec<Detour>) -> Option<Message> {
        if let Some(question) = self.asked().get_mut(&stream) {
            question.denials.push(forgotten);
        }
        self.told.notify_waiters();
        None
    }

    /// Asks the homes of a stream which version began it. `may_be` tells whether the stream may be of one of
    /// some detours, `forgotten` are those whose streams this instance may have forgotten.
    pub async fn ask(
        &self,
        stream: StreamId,
        may_be: impl Fn(&[Detour]) -> bool,
        forgotten: &[Detour],
    ) -> Answer {
        let Some(Contact { own, peers, send }) = self.contact.get() else { return Answer::Silence };
        let peers = peers();
        let mut homes = homes::asked_homes(stream, &peers);
        let asked = homes.len();
        homes.retain(|home| home != own);
        let own_forgot = homes.len() < asked && may_be(forgotten);
        if homes.is_empty() {
            return match (peers.is_empty(), own_forgot) {
                (true, _) => Answer::Silence,
                (_, true) => Answer::Forgotten,
                (_, false) => Answer::NotKnown,
            };
        }
        let _question = self.begin_question(stream);
        let (mut denied, mut forgot) = (false, own_forgot);
        let mut version = None;
        for _ in 0..ASKS {
            homes.iter().for_each(|home| send(Message::Asked(stream), *home));
            let answered = timeout(ASK_TIMEOUT / ASKS, self.answers(stream, homes.len())).await;
            // All but one, as the last one in rank need not have been told.
            let needed = homes.len() - usize::from(!own_forgot && homes.len() > 1);
            if let Some(question) = self.asked().get(&stream) {
                let sound = question.denials.iter().filter(|d| !may_be(d)).count();
                denied |= sound >= needed;
                forgot |= sound < question.denials.len();
            }
            if let Ok(answer) = answered {
                version = answer;
                break;
            }
            // The next answers are counted anew, unless another request counts them too.
            if let Some(question) = self.asked().get_mut(&stream).filter(|q| q.waiting == 1) {
                question.denials.clear();
            }
        }
        match version {
            Some(version) => Answer::Version(version),
            None if denied => Answer::NotKnown,
            None if forgot => Answer::Forgotten,
            None => Answer::Silence,
        }
    }

    fn begin_question(&self, stream: StreamId) -> OpenQuestion<'_> {
        self.asked().entry(stream).or_default().waiting += 1;
        OpenQuestion { streams: self, stream }
    }

    /// Waits until the version of a stream is told; `None` if none of `homes` knows it.
    async fn answers(&self, stream: StreamId, homes: usize) -> Option<Version> {
        loop {
            let mut told = pin!(self.told.notified());
            told.as_mut().enable();
            let known = self.get(stream);
            let denied = self.asked().get(&stream).is_some_and(|q| q.denials.len() >= homes);
            if known.is_some() || denied {
                return known;
            }
            told.await;
        }
    }
}

/// A request that waits for answers on a stream, until dropped.
struct OpenQuestion<'a> {
    streams: &'a KnownStreams,
    stream: StreamId,
}

impl Drop for OpenQuestion<'_> {
    fn drop(&mut self) {
        let mut asked = self.streams.asked();
        let Some(question) = asked.get_mut(&self.stream) else { return };
        question.waiting -= 1;
        if question.waiting == 0 {
            asked.swap_remove(&self.stream);
        }
    }
}
