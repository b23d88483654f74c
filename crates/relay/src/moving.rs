//! Moves a stream to another engine: the sequence of calls.
//!
//! A [`Mover`] watches whether the endpoint of its stream leaves. If [`evacuation`] says so, it has the run
//! copied to a target while events go on, then stopped and the rest copied. Once the stream has closed, the
//! request goes to the target, or to the source if the target fails. Until the run has stopped, each failure
//! leaves the stream where it is. Calls run in tasks of their own, so that events are forwarded meanwhile; a
//! copy that is not used is released when it is dropped.

mod calls;
mod continuation;

use {
    self::calls::{HeldCopy, copy_call, failure_label},
    crate::{
        assignment::Assignment,
        crash,
        dialect::{Copied, CopyCall, CopyOutcome},
        endpoint::Endpoint,
        evacuation::{self, Decision, MAX_MOVES, Reason, Stream, Target},
        fleet::Fleet,
        placement::Candidate,
        proxy_state::ProxyState,
        run::Attempts,
        serve::Job,
    },
    agate_quarantine::{Decision as Suspicion, EndpointHash, Work},
    agate_view::{Entry, table::Name},
    std::{
        pin::pin,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore, watch},
        task::JoinHandle,
        time::sleep_until,
    },
};

/// Time after which a decision that waits is made again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time from the success of the call that stops the run until its stream closes.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// Moves of one instance.
pub struct Moves {
    /// Bounds the moves at once.
    permits: Arc<Semaphore>,
    /// Incarnations whose entries say that they are leaving.
    leaving: watch::Sender<Vec<EndpointHash>>,
}

impl Default for Moves {
    fn default() -> Self {
        let permits = Arc::new(Semaphore::new(MAX_MOVES));
        Self { permits, leaving: watch::Sender::default() }
    }
}

impl Moves {
    /// Tells the streams which endpoints leave, if that changed. One look at the entries serves all streams.
    pub fn on_entries(&self, entries: &[Entry]) {
        let leaving: Vec<_> =
            entries.iter().filter(|e| e.leaving).map(crash::incarnation_hash).collect();
        self.leaving.send_if_modified(|known| {
            let changed = *known != leaving;
            *known = leaving;
            changed
        });
    }
}

/// A copy at its target.
struct TargetCopy {
    /// Counts the copy in the load of the target.
    target: Assignment,
    held: HeldCopy,
    _permit: OwnedSemaphorePermit,
    begun: Instant,
}

/// A run that was stopped.
pub struct Stopped {
    copy: TargetCopy,
    /// Whether the target has all of its memory; otherwise only the source does.
    whole: bool,
}

enum Phase {
    /// Waits until the endpoint leaves.
    Watching,
    /// Decides again at this time.
    Waiting(Instant),
    Copying(JoinHandle<Result<TargetCopy, &'static str>>),
    Stopping(JoinHandle<Result<Stopped, &'static str>>),
    /// Waits until the stream closes, at most until this time.
    Stopped(Box<Stopped>, Instant),
    /// Leaves the stream where it is.
    Off,
}

/// What happened while a stream waited for its next bytes.
enum Event {
    Decide,
    Copied(Result<TargetCopy, &'static str>),
    Stopped(Result<Stopped, &'static str>),
    /// The run was stopped, but its stream was not closed in time.
    Open,
}

/// Moves one stream.
pub struct Mover {
    state: Arc<ProxyState>,
    job: Arc<Job>,
    source: Arc<Endpoint>,
    leaving: watch::Receiver<Vec<EndpointHash>>,
    phase: Phase,
    tried: Vec<Name>,
    events: u32,
    first: Option<Instant>,
    noticed: Option<Instant>,
}

impl Mover {
    /// Begins to watch `source`, which runs `job`; `None` if streams of its service are not moved.
    pub fn open(state: &Arc<ProxyState>, job: &Arc<Job>, source: &Arc<Endpoint>) -> Option<Self> {
        let engine = job.table.services.get(&job.service)?.engine.as_ref()?;
        if !state.settings.evacuate || !engine.moves || job.info.id.is_empty() {
            return None;
        }
        let mut leaving = state.moves.leaving.subscribe();
        leaving.mark_changed();
        Some(Self {
            state: state.clone(),
            job: job.clone(),
            source: source.clone(),
            leaving,
            phase: Phase::Watching,
            tried: Vec::new(),
            events: 0,
            first: None,
            noticed: None,
        })
    }

    /// Watches another endpoint, at which the stream goes on.
    pub fn follow(&mut self, source: &Arc<Endpoint>) {
        self.source = source.clone();
        self.phase = Phase::Watching;
        self.tried.clear();
        self.noticed = None;
        self.leaving.mark_changed();
    }

    /// Leaves the stream where it is from now on.
    pub fn end(&mut self) {
        self.phase = Phase::Off;
    }

    /// Counts complete events that are forwarded.
    pub fn on_events(&mut self, events: &[u8]) {
        let lines = events.split(|b| *b == b'\n');
        self.events += lines.filter(|l| l.starts_with(b"id:")).count() as u32;
        self.first.get_or_insert_with(Instant::now);
    }

    /// Moves the stream, if need be, until the next `read` of it ends; `None` if the run was stopped and its
    /// stream stays open.
    pub async fn watch<T>(
        &mut self,
        read: impl Future<Output = T>,
        attempts: &mut Attempts,
    ) -> Option<T> {
        let mut read = pin!(read);
        loop {
            let event = tokio::select! {
                biased;
                read = &mut read => return Some(read),
                event = self.wait() => event,
            };
            if self.on_event(event, attempts) {
                return None;
            }
        }
    }

    /// Waits for the next event; may be cancelled and called again.
    async fn wait(&mut self) -> Event {
        match &mut self.phase {
            Phase::Off => std::future::pending().await,
            Phase::Watching => {
                while !self.source.signals.leaving() {
                    if self.leaving.changed().await.is_err() {
                        std::future::pending::<()>().await;
                    }
                    if self.leaving.borrow().contains(&self.source.incarnation) {
                        break;
                    }
                }
                Event::Decide
            }
            Phase::Waiting(until) => {
                sleep_until((*until).into()).await;
                Event::Decide
            }
            Phase::Copying(task) => Event::Copied(task.await.unwrap_or(Err("task"))),
            Phase::Stopping(task) => Event::Stopped(task.await.unwrap_or(Err("task"))),
            Phase::Stopped(_, until) => {
                sleep_until((*until).into()).await;
                Event::Open
            }
        }
    }

    /// Goes on after an event; returns whether the stream counts as closed.
    fn on_event(&mut self, event: Event, attempts: &mut Attempts) -> bool {
        match event {
            Event::Decide => self.decide(),
            Event::Copied(Ok(copy)) => self.stop(copy, attempts),
            Event::Stopped(Ok(stopped)) => {
                self.phase = Phase::Stopped(Box::new(stopped), Instant::now() + CLOSE_TIMEOUT);
            }
            Event::Copied(Err(reason)) | Event::Stopped(Err(reason)) => self.on_failure(reason),
            Event::Open => return true,
        }
        false
    }

    /// What was stopped, if the stream has closed for that reason.
    pub async fn on_closed(&mut self) -> Option<Stopped> {
        match std::mem::replace(&mut self.phase, Phase::Off) {
            Phase::Stopped(stopped, _) => Some(*stopped),
            Phase::Stopping(task) => match task.await.unwrap_or(Err("task")) {
                Ok(stopped) => Some(stopped),
                Err(reason) => {
                    self.on_failure(reason);
                    None
                }
            },
            _ => None,
        }
    }

    fn decide(&mut self) {
        let noticed = *self.noticed.get_or_insert_with(Instant::now);
        let suspected = self.state.quarantine.is_active()
            && self.state.quarantine.check(crash::properties_of(&self.job, Work::Run))
                != Suspicion::Allowed;
        let stream = Stream {
            events: self.events,
            running: self.first.map_or(Duration::ZERO, |first| first.elapsed()),
            max_events: self.job.info.prompt.as_ref().map(|p| p.output),
            noticed: noticed.elapsed(),
            suspected,
            tried: self.tried.len(),
        };
        let moves = MAX_MOVES - self.state.moves.permits.available_permits();
        let sample = self.sample();
        let targets: Vec<Target> = sample.iter().map(|(_, target)| *target).collect();
        let decision = evacuation::decide(&stream, moves, &targets, rand::random());
        let waited = matches!(self.phase, Phase::Waiting(_));
        let (reason, next) = match decision {
            Decision::Move(index) => return self.copy(sample[index].0.clone(), &stream),
            Decision::Wait(reason) => (reason, Phase::Waiting(Instant::now() + RETRY_INTERVAL)),
            Decision::Stay(reason) => (reason, Phase::Off),
        };
        if !waited || matches!(next, Phase::Off) {
            self.count(reason.label());
            self.log_stay(reason, &stream, moves, targets.len());
        }
        self.phase = next;
    }

    fn log_stay(&self, reason: Reason, stream: &Stream, moves: usize, targets: usize) {
        log::info!(
            event = "stream_not_moved", request = self.job.info.id.as_str(),
            endpoint = &*self.source.entry.name, reason = reason.label(), events = stream.events,
            left_ms = stream.left().map(|l| l.as_millis() as u64),
            noticed_ms = stream.noticed.as_millis() as u64, moves, targets;
            "the endpoint is leaving and the stream stays there for now"
        );
    }

    /// Engines that the run may be moved to.
    fn sample(&self) -> Vec<(Arc<Endpoint>, Target)> {
        let leaving = self.leaving.borrow();
        let own = &self.source.entry;
        let target = |(endpoint, candidate): (Arc<Endpoint>, Candidate)| {
            let target = Target {
                fits: endpoint.entry.version == own.version && endpoint.entry.name != own.name,
                same_zone: candidate.same_zone,
                leaving: leaving.contains(&endpoint.incarnation),
                backing_off: candidate.backing_off || candidate.withheld.is_some(),
                healthy: candidate.healthy,
                tried: self.tried.contains(&endpoint.entry.name),
                open: candidate.open + candidate.others_open,
                slots: candidate.slots,
            };
            (endpoint, target)
        };
        let fleet: &Fleet = &self.state.fleet;
        let sample = fleet.decode_sample(&own.service, &own.version, &own.zone, rand::random());
        sample.into_iter().map(target).collect()
    }

    /// Has the run copied to `target` while it goes on.
    fn copy(&mut self, target: Arc<Endpoint>, stream: &Stream) {
        let Ok(permit) = self.state.moves.permits.clone().try_acquire_owned() else {
            self.phase = Phase::Waiting(Instant::now() + RETRY_INTERVAL);
            return;
        };
        self.tried.push(target.entry.name.clone());
        self.count("begun");
        log::info!(
            event = "move_begun", request = self.job.info.id.as_str(),
            endpoint = &*self.source.entry.name, target = &*target.entry.name,
            events = stream.events, left_ms = stream.left().map(|l| l.as_millis() as u64),
            noticed_ms = stream.noticed.as_millis() as u64, tried = stream.tried;
            "moving a stream off an endpoint that is leaving"
        );
        let (state, job, source) = (self.state.clone(), self.job.clone(), self.source.clone());
        let target = Assignment::new(target, 0);
        self.phase = Phase::Copying(tokio::spawn(async move {
            let begun = Instant::now();
            let address = target.endpoint.entry.address;
            let call = CopyCall {
                endpoint: &source.entry.name,
                request: &job.info.id,
                target: address,
                last: false,
            };
            match copy_call(&state, &source, &call).await {
                Some(CopyOutcome::Copied(Copied { handle, .. })) => {
                    let held = HeldCopy { state, source, handle, used: false };
                    Ok(TargetCopy { target, held, _permit: permit, begun })
                }
                outcome => Err(failure_label(outcome.as_ref())),
            }
        }));
    }

    /// Has the run stopped and the rest of it copied, if a permit for the call that goes on is left.
    fn stop(&mut self, mut copy: TargetCopy, attempts: &mut Attempts) {
        let needed = attempts.calls.permits_to_run();
        if !self.state.reserve_permits(&self.job.service, &mut attempts.calls, needed) {
            drop(copy);
            self.phase = Phase::Off;
            return self.log_failure("no_permit");
        }
        let (state, job, source) = (self.state.clone(), self.job.clone(), self.source.clone());
        self.phase = Phase::Stopping(tokio::spawn(async move {
            let address = copy.target.endpoint.entry.address;
            let call = CopyCall {
                endpoint: &source.entry.name,
                request: &job.info.id,
                target: address,
                last: true,
            };
            let (whole, Copied { handle, created }) = match copy_call(&state, &source, &call).await
            {
                Some(CopyOutcome::Copied(copied)) => (true, copied),
                Some(CopyOutcome::Refused(Some(copied))) => (false, copied),
                outcome => return Err(failure_label(outcome.as_ref())),
            };
            log::debug!(event = "run_stopped", request = job.info.id.as_str(), whole, created; "the run was stopped to be moved");
            copy.held.handle = handle;
            Ok(Stopped { copy, whole })
        }));
    }

    /// Tries another target after a failed call, if the run may still be there.
    fn on_failure(&mut self, reason: &'static str) {
        self.log_failure(reason);
        self.phase = match reason {
            "refused" | "busy_run" => Phase::Waiting(Instant::now() + RETRY_INTERVAL),
            _ => Phase::Off,
        };
    }

    fn log_failure(&self, reason: &'static str) {
        self.count(reason);
        log::info!(
            event = "move_failed", request = self.job.info.id.as_str(),
            endpoint = &*self.source.entry.name, target = self.tried.last().map(|t| &**t), reason,
            events = self.events;
            "a stream was not moved"
        );
    }

    fn count(&self, event: &str) {
        self.state.metrics.moves.with_label_values(&[event]).inc();
    }
}
