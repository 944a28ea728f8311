//! Tenants and their quotas, as the settings name them.
//!
//! [`Tenants`] owns the order of the tenants and their tags. A tag is two bytes that identify a tenant in
//! messages between relays. Relays whose settings have the same names compute the same tags, whatever the
//! order of the names.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::usage_gossip::SCARCITY_TAG;

/// Maximum number of tenants: with more, one datagram per second would take too long to report on all of
/// them.
pub const MAX_TENANTS: usize = 200;

/// Identifies a tenant in messages between relays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TenantTag(pub [u8; 2]);

/// A tenant and its quota over the whole cluster.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// The tenant's name.
    pub name: String,
    /// Quota of open connections over all relays; `None` for no limit.
    pub connections: Option<f64>,
    /// Quota of arrivals per second over all relays; `None` for no limit.
    pub per_s: Option<f64>,
}

/// Why the tenants of the settings are invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum TenantsError {
    /// Two tenants have the same name.
    #[error("tenant {0:?} is named twice")]
    DuplicateName(String),
    /// There are more than [`MAX_TENANTS`] tenants.
    #[error("{0} tenants are named, but quotas are supported for at most {MAX_TENANTS}")]
    TooMany(usize),
    /// The tenant at this index has no name.
    #[error("tenant {0} has no name")]
    MissingName(usize),
}

impl TenantsError {
    /// What an operator can do about the error.
    pub fn help(&self) -> &'static str {
        match self {
            TenantsError::DuplicateName(_) => {
                "give each tenant one entry under realms that states its whole quota"
            }
            TenantsError::TooMany(_) => "leave [shares] out, or combine small tenants' quotas in one entry",
            TenantsError::MissingName(_) => "give the entry the name that clients state in their first line",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
struct TaggedTenant {
    tenant: Tenant,
    tag: TenantTag,
}

/// The tenants of a cluster, in the order of the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenants {
    tenants: Vec<TaggedTenant>,
    index_by_name: BTreeMap<String, usize>,
}

impl Tenants {
    /// Checks the tenants and assigns their tags.
    ///
    /// # Errors
    /// Returns an error if a name is missing or used twice, or if there are more than [`MAX_TENANTS`]
    /// tenants.
    pub fn new(tenants: Vec<Tenant>) -> Result<Self, TenantsError> {
        if tenants.len() > MAX_TENANTS {
            return Err(TenantsError::TooMany(tenants.len()));
        }
        let mut index_by_name = BTreeMap::new();
        for (index, tenant) in tenants.iter().enumerate() {
            if tenant.name.is_empty() {
                return Err(TenantsError::MissingName(index));
            }
            if index_by_name.insert(tenant.name.clone(), index).is_some() {
                return Err(TenantsError::DuplicateName(tenant.name.clone()));
            }
        }
        let tags = unique_tags(&index_by_name);
        let tagged = tenants.into_iter().zip(tags);
        let tenants = tagged.map(|(tenant, tag)| TaggedTenant { tenant, tag }).collect();
        Ok(Tenants { tenants, index_by_name })
    }

    /// The number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether there are no tenants.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// The index of a tenant.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.index_by_name.get(name).copied()
    }

    /// A tenant by its index.
    pub fn get(&self, index: usize) -> Option<&Tenant> {
        self.tenants.get(index).map(|tagged| &tagged.tenant)
    }

    /// The tenants' tags, in the order of their indexes.
    pub fn tags(&self) -> impl Iterator<Item = TenantTag> {
        self.tenants.iter().map(|tagged| tagged.tag)
    }
}

/// Assigns a tag to each tenant, in the order of their indexes. Names are processed in alphabetical order, so
/// that all relays resolve a collision of tags alike.
fn unique_tags(index_by_name: &BTreeMap<String, usize>) -> Vec<TenantTag> {
    let mut taken = BTreeSet::from([SCARCITY_TAG]);
    let mut tags = vec![TenantTag::default(); index_by_name.len()];
    for (name, index) in index_by_name {
        let free = (0..).map(|salt| hash_tag(name, salt)).find(|tag| !taken.contains(tag));
        tags[*index] = free.unwrap_or_default();
        taken.insert(tags[*index]);
    }
    tags
}

fn hash_tag(name: &str, salt: u64) -> TenantTag {
    let [low, high, ..] = xxh3_64_with_seed(name.as_bytes(), salt).to_le_bytes();
    TenantTag([low, high])
}
