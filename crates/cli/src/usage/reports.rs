//! Reports of sealed usage windows to the platform, and their metrics.

use {
    crate::settings::Settings,
    agate_native::{
        http::Http,
        usage::{self, Error, Report, Row},
    },
    agate_usage::{runner::ReportError, sealed::Sealed},
    prometheus::{IntCounter, IntCounterVec, Opts, Registry},
    std::time::Duration,
};

/// Metrics of usage reports.
#[derive(Clone)]
pub struct ReportMetrics {
    /// Reports sent, by result.
    pub sent: IntCounterVec,
    /// Rows of earlier windows in accepted reports.
    pub late: IntCounter,
}

impl ReportMetrics {
    /// Registers the metrics; the counter of each result starts at zero.
    pub fn open(registry: &Registry) -> Self {
        let opts = Opts::new("agatetrack_usage_reports_total", "Usage reports sent, by result");
        let sent = IntCounterVec::new(opts, &["result"]).expect("metric names are valid");
        let late = IntCounter::new("agatetrack_usage_late_total", "Usage rows reported late");
        let late = late.expect("metric names are valid");
        registry.register(Box::new(sent.clone())).expect("metric names are distinct");
        registry.register(Box::new(late.clone())).expect("metric names are distinct");
        for result in ["taken", "refused", "failed"] {
            sent.with_label_values(&[result]);
        }
        Self { sent, late }
    }
}

/// Client of the platform's usage interface.
#[derive(Clone)]
pub struct ReportSender {
    http: Http,
    window: Duration,
    metrics: ReportMetrics,
}

impl ReportSender {
    /// Creates the client; no connection is made yet.
    pub fn open(settings: &Settings, metrics: ReportMetrics) -> Self {
        Self { http: Http::open(settings.platform), window: settings.usage.window, metrics }
    }

    /// Sends one sealed window; the same record always produces the same report.
    ///
    /// Errors: the platform rejects the report because it conflicts with an earlier one, or the
    /// call fails.
    pub async fn send(self, sealed: Sealed) -> Result<(), ReportError> {
        let result = usage::report(&self.http, &self.report(&sealed)).await;
        let label = match &result {
            Ok(()) => "taken",
            Err(Error::Conflict { .. }) => "refused",
            Err(Error::Failed { .. }) => "failed",
        };
        self.metrics.sent.with_label_values(&[label]).inc();
        let peer = self.http.peer().to_string();
        result.map_err(|e| match e {
            Error::Conflict { .. } => ReportError::Rejected { peer },
            Error::Failed { cause, .. } => ReportError::Failed { peer, cause },
        })?;
        let late = sealed.rows.iter().filter(|r| r.key.window < sealed.window).count();
        self.metrics.late.inc_by(late as u64);
        Ok(())
    }

    fn report<'a>(&self, sealed: &'a Sealed) -> Report<'a> {
        let length = self.window.as_millis() as u64;
        let rows = sealed.rows.iter().map(|r| Row {
            window_ms: r.key.window * length,
            organisation: &r.key.org,
            model: &r.key.model,
            requests: r.figures.requests,
            prompt: r.figures.prompt,
            output: r.figures.output,
        });
        Report {
            window: sealed.window * length,
            shard: sealed.shard,
            figures: rows.collect(),
            token: format!("{}-{}", sealed.shard, sealed.window),
        }
    }
}
