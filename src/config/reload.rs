//! What a configuration that was read anew may change under a running relay.

use super::errors::{ConfigError, Fault, config_error};
use super::file::WHOLE_FILE;
use super::{Config, Rtmp, Snmp};
use crate::policy::api::Settings;

impl Config {
    /// Gives a newly read configuration back if its files are whole beside those in force: nothing that
    /// they said is left out, and they don't end within a line. Cut short, a TOML file may well read as a
    /// valid one.
    ///
    /// # Errors
    ///
    /// A fault for each key that is missing and for each file that was cut.
    pub fn whole(&self, new: Config) -> Result<Config, Vec<ConfigError>> {
        let mut faults = Vec::new();
        for (old, new) in self.written.iter().zip(&new.written) {
            let missing = old.keys.difference(&new.keys);
            faults.extend(missing.map(|key| config_error(&new.file, key, Fault::Lacking)));
            if old.is_terminated && !new.is_terminated {
                faults.push(config_error(&new.file, WHOLE_FILE, Fault::Cut));
            }
        }
        if faults.is_empty() { Ok(new) } else { Err(faults) }
    }

    /// Takes what a newly read configuration may change under a running relay; names the keys that differ
    /// but are taken at the next start only.
    ///
    /// Taken are `settings`, where to ask and whom to believe: `discovery`, `peers`,
    /// `limits.first_line_ms`, `rtmp.class`, `rtmp.give_up_ms`, `rtmp.trusted` and `snmp.community`; what a
    /// connection began with holds to its end. Not taken are the addresses listened on, since clients and
    /// peers would still use the old ones, the name, the store, and the process's own limit of descriptors.
    /// `known` and `seed` are for a start: the list held is newer than any in the file.
    pub fn reload(&mut self, new: Config) -> Vec<&'static str> {
        let deferred = self.keys_of_next_start(&new);
        self.discovery = new.discovery;
        self.peers = new.peers;
        self.limits.first_line = new.limits.first_line;
        let affinity_limits = std::mem::take(&mut self.settings.affinity_limits);
        self.settings = Settings { affinity_limits, ..new.settings };
        self.classes = new.classes;
        self.tenants = new.tenants;
        self.groups = new.groups;
        self.written = new.written;
        if let Some((running, new)) = self.rtmp.as_mut().zip(new.rtmp) {
            running.settings = new.settings;
            running.trusted = new.trusted;
        }
        if let Some((running, new)) = self.snmp.as_mut().zip(new.snmp) {
            running.community = new.community;
        }
        deferred
    }

    /// Keys that differ and are not taken while the relay runs.
    fn keys_of_next_start(&self, new: &Config) -> Vec<&'static str> {
        let rtmp_listen = |rtmp: &Option<Rtmp>| rtmp.as_ref().map(|rtmp| rtmp.listen);
        let snmp_listen = |snmp: &Option<Snmp>| snmp.as_ref().map(|snmp| snmp.listen);
        let differs = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("ops", self.ops != new.ops),
            ("handover", self.handover != new.handover),
            ("peer_listen", self.peer_listen != new.peer_listen),
            ("state", self.state != new.state),
            ("forms", self.forms != new.forms),
            ("maintenance", self.maintenance != new.maintenance),
            ("limits.sockets", self.limits.sockets != new.limits.sockets),
            ("rtmp.listen", rtmp_listen(&self.rtmp) != rtmp_listen(&new.rtmp)),
            ("snmp.listen", snmp_listen(&self.snmp) != snmp_listen(&new.snmp)),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }
}
