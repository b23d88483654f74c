//! Messages between instances.

use {
    crate::{
        EndpointHash, QUOTA_WINDOWS, QuotaKey, Round,
        clocks::{Clock, Vote},
    },
    agate_admit::org_share::{ServiceReport, ServiceTotals, truncate},
    agate_quarantine::suspicion::Observation,
    agate_version::homes,
    agate_view::{
        Entry,
        roster::{Digest, EndpointName},
    },
    serde::{Deserialize, Serialize},
    std::cmp::Reverse,
};

/// Load of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Hash of the endpoint's name.
    pub endpoint: EndpointHash,
    /// Open requests at the endpoint.
    pub open: u32,
    /// Prompt tokens of requests that have no first token yet.
    pub tokens: u32,
}

/// Engine capacity that callers demand of one service, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Hash of the service's name.
    pub service: u32,
    /// Engines that the demand would keep busy with prefill, in thousandths.
    pub reading: u32,
    /// Slots that the demand would keep busy with decoding, in thousandths.
    pub slots: u32,
}

/// Requests for a service some of whose endpoints limit their rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rate {
    /// Hash of the service's name.
    pub service: u32,
    /// Requests that callers make, in thousandths per second.
    pub requests: u32,
}

/// Report of one instance, or in a response the sum over all other instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Load by endpoint; endpoints without load are left out.
    pub loads: Vec<Load>,
    /// Demand by service.
    pub demands: Vec<Demand>,
    /// Endpoints that are about to change and refuse new work until then.
    pub changing: Vec<EndpointHash>,
    /// Name of the instance that holds the leader lease, if known.
    pub holder: Option<String>,
    /// Requests by service; services without rate-limited endpoints are left out.
    pub rates: Vec<Rate>,
    /// Number of instances whose reports are in the sum.
    pub instances: u32,
}

/// Loads in one message; together with the other fields they fit into a datagram.
const MAX_LOADS: usize = 96;
/// Services with rates in one message.
const MAX_RATES: usize = 32;

impl LoadReport {
    /// Keeps the highest loads and rates that fit into a message. The receiver treats the endpoints
    /// that are left out as idle, which is least wrong for the smallest loads, and divides the rate
    /// limits of the services that are left out evenly.
    pub fn truncate(mut self) -> Self {
        if self.loads.len() > MAX_LOADS {
            self.loads.select_nth_unstable_by_key(MAX_LOADS, load_order);
            self.loads.truncate(MAX_LOADS);
        }
        if self.rates.len() > MAX_RATES {
            self.rates.sort_unstable_by_key(|r| (Reverse(r.requests), r.service));
            self.rates.truncate(MAX_RATES);
        }
        self
    }

    /// Drops the smaller half of the loads, or half of `changing` if there are no loads. Returns
    /// `false` if nothing is left to drop.
    pub fn shorten(&mut self) -> bool {
        if self.loads.is_empty() && self.changing.is_empty() {
            return false;
        }
        if self.loads.is_empty() {
            self.changing.truncate(self.changing.len() / 2);
        }
        self.loads.sort_unstable_by_key(load_order);
        self.loads.truncate(self.loads.len() / 2);
        true
    }
}

fn load_order(load: &Load) -> Reverse<(u32, u32, EndpointHash)> {
    Reverse((load.tokens, load.open, load.endpoint))
}

/// What an instance knows of requests that crash endpoints.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    /// Revision of the stored record of suspects; zero if there is none.
    pub revision: u64,
    /// Recent signs, which the record may not contain yet.
    pub signs: Vec<Observation>,
}

/// Request of an instance to a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Incarnation of the sender.
    pub from: String,
    /// Number of the request.
    pub round: Round,
    /// Digest of the endpoint entries that the sender knows.
    pub roster: u64,
    /// What the sender knows of requests that crash endpoints.
    pub suspects: Suspects,
    /// The sender's clock; `None` until it has measured the coordinator's.
    pub clock: Option<Vote>,
    /// Report of the sender.
    pub figures: LoadReport,
    /// Version of the configuration that the sender has in force; zero before the first.
    pub in_force: u64,
}

/// Version that a coordinator knows, and how long ago it was confirmed to be current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionAge {
    /// Revision of the configuration or digest of the endpoint entries.
    pub version: u64,
    /// Age of the confirmation in microseconds.
    pub age: u64,
}

/// Response of a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// Number of the request.
    pub round: Round,
    /// Version of the configuration; `None` if unknown.
    pub config: Option<VersionAge>,
    /// The coordinator's clock.
    pub clock: Option<Clock>,
    /// What the coordinator knows of requests that crash endpoints.
    pub suspects: Suspects,
    /// Version of the endpoint entries; `None` if the coordinator cannot confirm one.
    pub roster: Option<VersionAge>,
    /// Sum of the reports of all other instances.
    pub figures: LoadReport,
    /// Version of the configuration that the coordinator has in force; zero before the first.
    pub in_force: u64,
}

/// One message of a full set of endpoint entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entries {
    /// Digest of the full set.
    pub digest: u64,
    /// Index of this message, from zero.
    pub part: u32,
    /// Number of messages of the set.
    pub parts: u32,
    /// Entries in this message.
    pub entries: Vec<Entry>,
}

/// Change of one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// The endpoint was added or its entry changed.
    Put(Entry),
    /// The endpoint was removed.
    Remove(EndpointName),
}

/// One message of an incremental update of the endpoint entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Digest of the set to which the update applies.
    pub from: Digest,
    /// Digest of the set after the update.
    pub digest: Digest,
    /// Index of this message, from zero.
    pub part: u32,
    /// Number of messages of the update.
    pub parts: u32,
    /// Changes in this message.
    pub rows: Vec<Change>,
}

/// One message of a usage round: counts of one window. A count replaces an earlier one and is not
/// added to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Incarnation of the sender.
    pub from: String,
    /// Number of the usage round.
    pub round: Round,
    /// Number of the window.
    pub window: u64,
    /// Number of requests by organisation.
    pub rows: Vec<(String, u64)>,
}

/// Use of one organisation's quota, in thousandths of the quota's unit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRow {
    /// Hash of the organisation's name and the quota's unit.
    pub key: QuotaKey,
    /// Weight admitted in the last eighth, quarter, half and whole of the quota window.
    pub sums: [u64; QUOTA_WINDOWS],
    /// Weight requested in the last eighth of the quota window.
    pub asked: u64,
    /// Weight of instances that are no longer heard, for each window; in totals the most that an
    /// instance knows.
    pub missing: Option<[u64; QUOTA_WINDOWS]>,
}

/// Quota use of one instance, or a part of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Incarnation of the sender.
    pub from: String,
    /// Number of the request that it accompanies.
    pub round: Round,
    /// Parts of the windows for which the sender has run, in thousandths.
    pub members: [u32; QUOTA_WINDOWS],
    /// Rows of organisations. A row replaces an earlier one of the sender.
    pub rows: Vec<QuotaRow>,
}

/// Response to a [`QuotaReport`]: sums over all other instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaTotals {
    /// Number of the request.
    pub round: Round,
    /// Number of instances in the sums.
    pub instances: u32,
    /// Sum of their [`QuotaReport::members`], of those in contact.
    pub members: [u32; QUOTA_WINDOWS],
    /// Sums for the organisations in the report, and for those with the most requests.
    pub rows: Vec<QuotaRow>,
}

/// Work of the organisations of one instance, for a coordinator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareReport {
    /// Incarnation of the sender.
    pub from: String,
    /// Number of the report; increases within one incarnation.
    pub round: Round,
    /// Services with requests.
    pub services: Vec<ServiceReport>,
}

impl ShareReport {
    fn shorten(&mut self) -> bool {
        let rows = |services: &[ServiceReport]| services.iter().map(|s| s.rows.len()).sum();
        let before: usize = rows(&self.services);
        truncate(&mut self.services, before / 2);
        rows(&self.services) < before
    }
}

/// Shares of organisations over all instances, from a coordinator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareTotals {
    /// Number of the report.
    pub round: Round,
    /// Services of which something is limited.
    pub services: Vec<ServiceTotals>,
}

impl ShareTotals {
    fn shorten(&mut self) -> bool {
        let longest = self.services.iter_mut().max_by_key(|s| s.rows.len());
        let Some(service) = longest.filter(|s| !s.rows.is_empty()) else { return false };
        service.rows.truncate(service.rows.len() / 2);
        true
    }
}

impl Message {
    /// Drops the least important data so that the message fits into a datagram. Returns `false` if
    /// nothing can be dropped.
    pub fn shorten(&mut self) -> bool {
        match self {
            Self::Request(request) => request.figures.shorten(),
            Self::Response(response) => response.figures.shorten(),
            Self::QuotaReport(QuotaReport { rows, .. })
            | Self::QuotaTotals(QuotaTotals { rows, .. }) => {
                let dropped = !rows.is_empty();
                rows.truncate(rows.len() / 2);
                dropped
            }
            Self::ShareReport(report) => report.shorten(),
            Self::ShareTotals(totals) => totals.shorten(),
            _ => false,
        }
    }
}

/// Message between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Request to a coordinator.
    #[serde(rename = "Question")]
    Request(Request),
    /// Response of a coordinator.
    #[serde(rename = "State")]
    Response(Response),
    /// Full set of endpoint entries, for an instance whose set the coordinator does not remember.
    Entries(Entries),
    /// Usage counts for a coordinator.
    Usage(Usage),
    /// End of a usage round; acknowledged with [`Message::UsageAck`] if all its messages arrived.
    UsageEnd {
        /// Number of the round.
        round: Round,
        /// Number of [`Usage`] messages in the round.
        parts: u32,
        /// Incarnation of the sender.
        from: String,
    },
    /// Acknowledges a usage round of which all messages arrived.
    #[serde(rename = "Noted")]
    UsageAck {
        /// Number of the round.
        round: Round,
    },
    /// Incremental update of the endpoint entries that the receiver already has.
    Changes(Changes),
    /// Software versions of streams.
    Streams(homes::Message),
    /// Use of organisations' quotas.
    QuotaReport(QuotaReport),
    /// Sums of the use of organisations' quotas.
    QuotaTotals(QuotaTotals),
    /// Work of organisations for a coordinator.
    ShareReport(ShareReport),
    /// Shares of organisations, in answer to a report.
    ShareTotals(ShareTotals),
}
