//! What relays report to each other of tenants' usage: one datagram each, of at most 256 bytes of plain text.
//!
//! A report is postcard in base64 behind a prefix of its own, which relays that do not count usage ignore
//! as they do any kind that they do not know. What is malformed or too long is no report.

use serde::{Deserialize, Serialize};

use crate::tenants::TenantTag;

/// First character of an encoded report.
pub const KIND: char = 'm';
/// Most rows of a report: each takes 8 bytes at most, and what precedes them 16.
pub const MAX_ROWS: usize = 20;
/// The greatest value in a row: what a varint of three bytes holds.
const MAX_ROW_VALUE: u32 = (1 << 21) - 1;
/// The row of this tag is of no tenant: its connections are the relays that find endpoints short of capacity.
/// Relays that do not know it keep it like a tenant that they have no name for.
pub(crate) const SCARCITY_TAG: TenantTag = TenantTag([0, 0]);
/// Arrivals are encoded in tenths a second.
const ARRIVAL_UNITS: f64 = 10.0;

/// A tenant's usage.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Open connections.
    pub connections: f64,
    /// Arrivals a second.
    pub per_s: f64,
}

/// A value as a row can hold it.
pub(crate) fn limited(value: f64) -> u32 {
    (value.round().max(0.0) as u32).min(MAX_ROW_VALUE)
}

/// A tenant's usage as it is encoded: of one relay or of many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The tenant.
    pub tenant: TenantTag,
    /// Its open connections.
    pub connections: u32,
    /// Its arrivals, in tenths a second.
    pub arrivals_tenths_per_s: u32,
}

impl UsageRow {
    /// A row, with values rounded and limited to what it can hold.
    pub fn new(tenant: TenantTag, usage: Usage) -> UsageRow {
        UsageRow {
            tenant,
            connections: limited(usage.connections),
            arrivals_tenths_per_s: limited(usage.per_s * ARRIVAL_UNITS),
        }
    }

    /// The usage.
    pub fn usage(&self) -> Usage {
        Usage {
            connections: f64::from(self.connections),
            per_s: f64::from(self.arrivals_tenths_per_s) / ARRIVAL_UNITS,
        }
    }
}

/// One tenant's row of a request for a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequestRow {
    /// The tenant.
    pub tenant: TenantTag,
    /// The sender's open connections.
    pub open: u32,
    /// Connections that it wants besides.
    pub wanted: u32,
}

/// One tenant's row of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRow {
    /// The tenant.
    pub tenant: TenantTag,
    /// Connections that the receiver may have open, in all.
    pub ceiling: u32,
}

/// A report. `incarnation` grows with each start of its sender, `sequence` with each report of that
/// incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageReport {
    /// The sender's own usage.
    Local {
        /// The sender's incarnation.
        incarnation: u64,
        /// The report's number.
        sequence: u32,
        /// Usage by tenant; tenants without a row keep what was last reported.
        rows: Vec<UsageRow>,
    },
    /// The usage of all relays but the receiver, as far as the sender knows.
    Aggregate {
        /// The sender's incarnation.
        incarnation: u64,
        /// The report's number.
        sequence: u32,
        /// Number of relays whose usage is included, the sender among them.
        reporters: u16,
        /// Sums by tenant.
        rows: Vec<UsageRow>,
    },
    /// The sender wants more connections than its own knowledge allows, of the cluster's coordinator.
    GrantRequest {
        /// The sender's incarnation.
        incarnation: u64,
        /// The report's number.
        sequence: u32,
        /// What is wanted by tenant.
        rows: Vec<GrantRequestRow>,
    },
    /// The coordinator's answer to a request.
    Grant {
        /// The number of the request.
        sequence: u32,
        /// What is granted by tenant.
        rows: Vec<GrantRow>,
    },
}

impl UsageReport {
    /// The report as text; `None` where it would be too long, which none with at most [`MAX_ROWS`] rows is.
    ///
    /// ```
    /// use sandgw_quota::tenants::TenantTag;
    /// use sandgw_quota::usage_gossip::{Usage, UsageReport, UsageRow};
    /// let rows = vec![UsageRow::new(TenantTag([1, 2]), Usage { connections: 3.0, per_s: 0.5 })];
    /// let report = UsageReport::Local { incarnation: 17, sequence: 1, rows };
    /// assert_eq!(UsageReport::decode(&report.encode().unwrap()), Some(report));
    /// ```
    pub fn encode(&self) -> Option<String> {
        sandgw_datagram::binary::encode(KIND, self)
    }

    /// Reads a report; `None` of what is none.
    pub fn decode(text: &str) -> Option<UsageReport> {
        sandgw_datagram::binary::decode(KIND, text)
    }
}
