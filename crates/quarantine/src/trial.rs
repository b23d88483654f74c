//! Guard of one trial of suspects.

use {
    crate::{
        EndpointHash, Fingerprint, hex, property::kind, quarantine::Quarantine, table::TrialEnd,
    },
    std::sync::Arc,
};

/// An open trial. When dropped it ends without a result, unless a response or a crash was recorded.
#[derive(Debug)]
pub struct Trial {
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) prints: Vec<Fingerprint>,
    pub(crate) endpoint: EndpointHash,
    pub(crate) end: TrialEnd,
}

impl Trial {
    /// Suspects on trial.
    pub fn prints(&self) -> &[Fingerprint] {
        &self.prints
    }

    /// Ends the trial of a call that did not run.
    pub fn not_run(mut self) {
        self.end = TrialEnd::NotRun;
    }

    /// Ends the trial of a call whose caller disconnected.
    pub fn abandon(mut self) {
        self.end = TrialEnd::Abandoned;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let Self { endpoint, end, .. } = *self;
        let prints = std::mem::take(&mut self.prints);
        let quarantine = self.quarantine.clone();
        let trials = quarantine.metrics.trials.clone();
        quarantine.save(move |table, now| {
            let open = prints.iter().filter(|p| table.end(**p, endpoint, end, now));
            let ended: Vec<Fingerprint> = open.copied().collect();
            for print in &ended {
                trials.with_label_values(&[end.label(), kind(*print)]).inc();
                log::info!(
                    event = "trial_ended", print = hex(*print).as_str(), of = kind(*print), endpoint,
                    result = end.label();
                    "a trial ended"
                );
            }
            !ended.is_empty()
        });
    }
}
