//! Decides which keys of a newly read configuration a running relay applies.

use super::errors::{ConfigError, Fault, config_error};
use super::file::WHOLE_FILE;
use super::{Config, Rtmp, Snmp};
use crate::policy::api::Settings;

impl Config {
    /// Returns a newly read configuration if its files are complete compared with those in force: they have
    /// all keys of the files in force, and don't end in the middle of a line. The check is necessary because
    /// a truncated TOML file may still be valid.
    ///
    /// # Errors
    ///
    /// A fault for each key that is missing, and for each file that ends in the middle of a line.
    pub fn reject_truncated(&self, new: Config) -> Result<Config, Vec<ConfigError>> {
        let mut faults = Vec::new();
        for (old, new) in self.file_keys.iter().zip(&new.file_keys) {
            let missing = old.keys.difference(&new.keys);
            faults.extend(missing.map(|key| config_error(&new.file, key, Fault::MissingOnReload)));
            if old.is_terminated && !new.is_terminated {
                faults.push(config_error(&new.file, WHOLE_FILE, Fault::Truncated));
            }
        }
        if faults.is_empty() { Ok(new) } else { Err(faults) }
    }

    /// Applies the keys of a newly read configuration that may change while the relay runs. Returns the keys
    /// that differ but take effect at the next start only.
    ///
    /// Applied are `settings`, `discovery`, `peers`, `limits.first_line_ms`, `rtmp.class`,
    /// `rtmp.give_up_ms`, `rtmp.trusted` and `snmp.community`; a connection keeps the values that it began
    /// with. Not applied are the listening addresses, since clients and peers would still use the old ones,
    /// the name, the store, and the process's own limit of descriptors. `known` and `seed` matter at a start
    /// only: the endpoint list that the relay holds is newer than any list in the file.
    pub fn reload(&mut self, new: Config) -> Vec<&'static str> {
        let deferred = self.deferred_keys(&new);
        self.discovery = new.discovery;
        self.peers = new.peers;
        self.limits.first_line_timeout = new.limits.first_line_timeout;
        let affinity_limits = std::mem::take(&mut self.settings.affinity_limits);
        self.settings = Settings { affinity_limits, ..new.settings };
        self.classes = new.classes;
        self.tenants = new.tenants;
        self.groups_share_work = new.groups_share_work;
        self.file_keys = new.file_keys;
        if let Some((running, new)) = self.rtmp.as_mut().zip(new.rtmp) {
            running.settings = new.settings;
            running.trusted = new.trusted;
        }
        if let Some((running, new)) = self.snmp.as_mut().zip(new.snmp) {
            running.community = new.community;
        }
        deferred
    }

    /// Keys that differ from `new` and take effect at the next start only.
    fn deferred_keys(&self, new: &Config) -> Vec<&'static str> {
        let rtmp_listen = |rtmp: &Option<Rtmp>| rtmp.as_ref().map(|rtmp| rtmp.listen);
        let snmp_listen = |snmp: &Option<Snmp>| snmp.as_ref().map(|snmp| snmp.listen);
        let differs = [
            ("name", self.name != new.name),
            ("listen", self.listen != new.listen),
            ("ops", self.ops != new.ops),
            ("handover", self.handover_folder != new.handover_folder),
            ("peer_listen", self.peer_listen != new.peer_listen),
            ("state", self.state != new.state),
            ("forms", self.schema_versions != new.schema_versions),
            ("maintenance", self.maintenance != new.maintenance),
            ("limits.sockets", self.limits.sockets != new.limits.sockets),
            ("rtmp.listen", rtmp_listen(&self.rtmp) != rtmp_listen(&new.rtmp)),
            ("snmp.listen", snmp_listen(&self.snmp) != snmp_listen(&new.snmp)),
        ];
        differs.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }
}
