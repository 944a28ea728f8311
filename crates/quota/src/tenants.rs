//! Members and their shares, as the settings name them.
//!
//! Owns their order and their tags: two bytes by which relays name them to each other. Relays with the same names
//! give the same tags, in whatever order their files have them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Most members: with more, a datagram a second would take too long to name them all.
pub const MOST: usize = 200;

/// A member's short name between relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Tag(pub [u8; 2]);

/// A member and its share of the whole tier.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Open connections over all relays that are within its share; no limit without it.
    pub connections: Option<f64>,
    /// Arrivals a second over all relays that are within its share; no limit without it.
    pub per_s: Option<f64>,
}

/// What is wrong with the members of the settings.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum TenantsError {
    /// Two have the same name.
    #[error("member {0:?} is named twice")]
    Twice(String),
    /// There are more than [`MOST`].
    #[error("{0} members are named, and shares are counted for {MOST} at the most")]
    TooMany(usize),
    /// One has no name.
    #[error("member {0} has no name")]
    Nameless(usize),
}

impl TenantsError {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            TenantsError::Twice(_) => "give each member one entry under realms, with all of its share",
            TenantsError::TooMany(_) => "leave [shares] out, or name small members' shares as one member's",
            TenantsError::Nameless(_) => "give the entry a name, as clients state it in their first line",
        }
    }
}

/// The members of a tier.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenants {
    /// By position, each with its tag.
    all: Vec<(Tenant, Tag)>,
    names: BTreeMap<String, usize>,
}

impl Tenants {
    /// Gives the members their tags.
    ///
    /// # Errors
    /// Where a name is missing or stands twice, or there are too many.
    pub fn new(members: Vec<Tenant>) -> Result<Self, TenantsError> {
        if members.len() > MOST {
            return Err(TenantsError::TooMany(members.len()));
        }
        let mut names = BTreeMap::new();
        for (i, member) in members.iter().enumerate() {
            if member.name.is_empty() {
                return Err(TenantsError::Nameless(i));
            }
            if names.insert(member.name.clone(), i).is_some() {
                return Err(TenantsError::Twice(member.name.clone()));
            }
        }
        // In order of their names, so that two with the same hash find the same ways out of it at every relay.
        let mut taken = BTreeSet::new();
        let mut tags = vec![Tag([0; 2]); members.len()];
        for (name, at) in &names {
            let free = (0..).map(|salt| tag(name, salt)).find(|tag| !taken.contains(tag));
            tags[*at] = free.unwrap_or(Tag([0; 2]));
            taken.insert(tags[*at]);
        }
        Ok(Tenants { all: members.into_iter().zip(tags).collect(), names })
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The position of a member.
    pub fn position(&self, name: &str) -> Option<usize> {
        self.names.get(name).copied()
    }

    /// A member by its position.
    pub fn get(&self, at: usize) -> Option<&Tenant> {
        self.all.get(at).map(|(member, _)| member)
    }

    /// Tags by position.
    pub fn tags(&self) -> impl Iterator<Item = Tag> {
        self.all.iter().map(|(_, tag)| *tag)
    }
}

fn tag(name: &str, salt: u64) -> Tag {
    let [a, b, ..] = xxh3_64_with_seed(name.as_bytes(), salt).to_le_bytes();
    Tag([a, b])
}
