//! The rules as properties of whole relays: several of them with their load balancers, endpoints and
//! clients in virtual time, over runs of events drawn from fixed seeds. Endpoints drain, go, crash and come
//! back cold; relays are killed and start anew, one or most of them; clients surge and leave in bursts;
//! lists come late, whole, in changes or not at all; a relay is short of descriptors for a while. Then all
//! faults end, and the run has to come to rest. Every test looks at one rule over the same runs.
//!
//! [`world`] has the relays, endpoints and clients, and the modules beside it what happens to them;
//! [`checks`] has the rules, [`runs`] the runs, and [`guarantees`] the tests.

mod attempts;
mod checks;
mod clients;
mod discovery;
mod endpoint_list;
mod faults;
mod guarantees;
mod internals;
mod runs;
mod timeline;
mod world;
