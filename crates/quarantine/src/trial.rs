//! Guard of one trial of a suspect.

use {
    crate::{EndpointHash, Fingerprint, hex, quarantine::Quarantine, table::TrialEnd},
    std::sync::Arc,
};

/// An open trial. When dropped it ends without a result, unless a response or a crash was recorded.
#[derive(Debug)]
pub struct Trial {
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) endpoint: EndpointHash,
    pub(crate) end: TrialEnd,
}

impl Trial {
    /// Ends the trial of a call that did not run.
    pub fn not_run(mut self) {
        self.end = TrialEnd::NotRun;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let Self { fingerprint, endpoint, end, .. } = *self;
        let label = if end == TrialEnd::NotRun { "unrun" } else { "unresolved" };
        let quarantine = self.quarantine.clone();
        let trials = quarantine.metrics.trials.clone();
        quarantine.save(move |table, now| {
            let ended = table.end(fingerprint, endpoint, end, now);
            if ended {
                trials.with_label_values(&[label]).inc();
                log::info!(event = "trial_ended", print = hex(fingerprint).as_str(), endpoint, result = label; "a trial ended");
            }
            ended
        });
    }
}
