//! One trial of a suspect.

use {
    crate::{EndpointHash, Print, hex, quarantine::Quarantine, table::End},
    std::sync::Arc,
};

/// A trial under way. Unless the request is answered or the endpoint's crash shows, it ends without a
/// result when this is dropped.
#[derive(Debug)]
pub struct Trial {
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) print: Print,
    pub(crate) endpoint: EndpointHash,
    pub(crate) end: End,
}

impl Trial {
    /// Ends the trial of a call of which nothing ran.
    pub fn unrun(mut self) {
        self.end = End::Unrun;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let Self { print, endpoint, end, .. } = *self;
        let label = if end == End::Unrun { "unrun" } else { "unresolved" };
        let quarantine = self.quarantine.clone();
        let trials = quarantine.meter.trials.clone();
        quarantine.keep(move |table, now| {
            let ended = table.end(print, endpoint, end, now);
            if ended {
                trials.with_label_values(&[label]).inc();
                log::info!(event = "trial_ended", print = hex(print).as_str(), endpoint, result = label; "a trial ended");
            }
            ended
        });
    }
}
