//! Reports of tenants' usage between relays: one datagram each, of at most 256 bytes of plain text.
//!
//! A report is encoded with postcard and base64, behind a prefix of its own. Relays that do not count usage
//! ignore it, as they ignore every kind of datagram that they do not know. Malformed or oversized text is not
//! accepted as a report.

use serde::{Deserialize, Serialize};

use crate::tenants::TenantTag;

/// First character of an encoded report.
pub const KIND: char = 'm';
/// Maximum number of rows in a report: each row takes at most 8 bytes, and the fields before the rows 16.
pub const MAX_ROWS: usize = 20;
/// The greatest value in a row: the largest that a varint of three bytes holds.
const MAX_ROW_VALUE: u32 = (1 << 21) - 1;
/// The row with this tag belongs to no tenant: its number of connections is the number of relays that find
/// endpoints short of capacity. Relays that do not know this tag treat the row as that of a tenant whose name
/// they do not know.
pub(crate) const SCARCITY_TAG: TenantTag = TenantTag([0, 0]);
/// Rates are encoded in tenths of an arrival per second.
const TENTHS_PER_ARRIVAL: f64 = 10.0;

/// A tenant's usage.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Open connections.
    pub connections: f64,
    /// Arrivals per second.
    pub per_s: f64,
}

/// Rounds a value and limits it to what a row can hold.
pub(crate) fn to_row_value(value: f64) -> u32 {
    (value.round().max(0.0) as u32).min(MAX_ROW_VALUE)
}

/// A tenant's usage as it is encoded: of one relay, or summed over several.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRow {
    /// The tenant.
    pub tenant: TenantTag,
    /// The tenant's open connections.
    pub connections: u32,
    /// The tenant's arrivals, in tenths per second.
    pub arrivals_tenths_per_s: u32,
}

impl UsageRow {
    /// Creates a row, with values rounded and limited to what a row can hold.
    pub fn new(tenant: TenantTag, usage: Usage) -> UsageRow {
        UsageRow {
            tenant,
            connections: to_row_value(usage.connections),
            arrivals_tenths_per_s: to_row_value(usage.per_s * TENTHS_PER_ARRIVAL),
        }
    }

    /// The usage in ordinary units.
    pub fn usage(&self) -> Usage {
        Usage {
            connections: f64::from(self.connections),
            per_s: f64::from(self.arrivals_tenths_per_s) / TENTHS_PER_ARRIVAL,
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
    /// Connections that the sender wants in addition.
    pub wanted: u32,
}

/// One tenant's row of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRow {
    /// The tenant.
    pub tenant: TenantTag,
    /// The total number of connections that the receiver may have open.
    pub ceiling: u32,
}

/// A report from one relay to another. `incarnation` grows with each start of the sender, `sequence` with
/// each report of that incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UsageReport {
    /// The sender's own usage.
    Local {
        /// The sender's incarnation.
        incarnation: u64,
        /// The report's sequence number.
        sequence: u32,
        /// Usage by tenant; a tenant without a row keeps the usage that was last reported.
        rows: Vec<UsageRow>,
    },
    /// The usage of all relays except the receiver, as far as the sender knows.
    Aggregate {
        /// The sender's incarnation.
        incarnation: u64,
        /// The report's sequence number.
        sequence: u32,
        /// Number of relays whose usage is included, the sender among them.
        reporters: u16,
        /// Sums by tenant.
        rows: Vec<UsageRow>,
    },
    /// Asks the cluster's coordinator for more connections than the sender may admit by itself.
    GrantRequest {
        /// The sender's incarnation.
        incarnation: u64,
        /// The report's sequence number.
        sequence: u32,
        /// The wanted connections, by tenant.
        rows: Vec<GrantRequestRow>,
    },
    /// The coordinator's answer to a request.
    Grant {
        /// The request's sequence number.
        sequence: u32,
        /// The granted connections, by tenant.
        rows: Vec<GrantRow>,
    },
}

impl UsageReport {
    /// Encodes the report as text; `None` if the text would be too long, which never happens with at most
    /// [`MAX_ROWS`] rows.
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

    /// Decodes a report; `None` if the text is not a valid report.
    pub fn decode(text: &str) -> Option<UsageReport> {
        sandgw_datagram::binary::decode(KIND, text)
    }
}
