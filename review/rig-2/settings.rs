//! The settings that a relay gets in its configuration, with the names of the wire page. The figures are those
//! of a small deployment.

/// The settings of a small deployment. Each case changes what it needs.
#[derive(Clone)]
pub struct Settings {
    /// `on_request` or `pushed`.
    pub discovery: &'static str,
    /// `pass` or `proxy`.
    pub mode: &'static str,
    pub relays: usize,
    pub zones: &'static [&'static str],
    /// Name, aim and longest wait (both in ms), and aim of a message in ms.
    pub classes: &'static [(&'static str, u32, u32, u32)],
    /// Empty where there are no tenants.
    pub tenants: &'static [&'static str],
    pub ask_every_ms: u32,
    pub stop_sending_ms: u32,
    pub cold_from: f64,
    pub warm_within_ms: u32,
    pub tip_multiple: f64,
    pub fall_ms: u32,
    pub connect_timeout_ms: u32,
    pub max_attempts: u32,
    pub park_ms: u32,
}

impl Settings {
    /// As at `manila-subs`: the list is asked for, packets pass through, one class, seven tenants.
    pub fn manila() -> Settings {
        Settings {
            discovery: "on_request",
            mode: "pass",
            relays: 4,
            zones: &["pasig-hall", "makati-hall", "quezon-hall", "taguig-hall"],
            classes: &[("subtitle-stream", 500, 3000, 150)],
            tenants: &[
                "luzon-tv",
                "bisaya-films",
                "ilocano-media",
                "mindanao-vid",
                "bicol-stream",
                "waray-studio",
                "pampanga-docs",
            ],
            ask_every_ms: 10_000,
            stop_sending_ms: 1000,
            cold_from: 0.31,
            warm_within_ms: 8600,
            tip_multiple: 3.0,
            fall_ms: 1000,
            connect_timeout_ms: 200,
            max_attempts: 5,
            park_ms: 7400,
        }
    }

    /// As at `dar-live`: lists are pushed to an agent on each relay's machine, packets pass through, three
    /// classes, no tenants.
    pub fn dar() -> Settings {
        Settings {
            discovery: "pushed",
            mode: "pass",
            relays: 3,
            zones: &["dar-kariakoo", "dar-mikocheni"],
            classes: &[
                ("recipe-view", 800, 3200, 60),
                ("saved-list", 500, 2000, 60),
                ("cook-mode", 300, 1800, 60),
            ],
            tenants: &[],
            ask_every_ms: 10_000,
            stop_sending_ms: 250,
            cold_from: 0.31,
            warm_within_ms: 8900,
            tip_multiple: 2.5,
            fall_ms: 3000,
            connect_timeout_ms: 250,
            max_attempts: 4,
            park_ms: 7400,
        }
    }

    /// The settings of relay number `me`, as JSON.
    pub fn to_json(&self, me: usize) -> String {
        let quoted = |names: &[&str]| names.iter().map(|n| format!("\"{n}\"")).collect::<Vec<_>>().join(",");
        let lane = |(name, aim, limit, _): &(&str, u32, u32, u32)| {
            format!(
                "{{\"aimMs\":{aim}.0,\"group\":\"all\",\"hardLimitMs\":{limit}.0,\"lateValue\":0.0,\
                 \"name\":\"{name}\",\"semantics\":\"safe\",\"stream\":true,\"windowMs\":5000.0,\"worth\":1.0}}"
            )
        };
        let lanes = self.classes.iter().map(lane).collect::<Vec<_>>().join(",");
        let message_aims =
            self.classes.iter().map(|class| format!("{}.0", class.3)).collect::<Vec<_>>().join(",");
        let fraction = 1.0 / self.tenants.len().max(1) as f64;
        let realm =
            |name: &&str| format!("{{\"fraction\":{fraction:.4},\"name\":\"{name}\",\"quotaPerS\":3.0}}");
        let realms = self.tenants.iter().map(realm).collect::<Vec<_>>().join(",");
        format!(
            "{{\"azs\":[{zones}],\"clients\":{{\"marksRetry\":true}},\"discovery\":\"{discovery}\",\
             \"domain\":{{\"groups\":true,\"messageAimMs\":[{message_aims}],\"mode\":\"{mode}\",\
             \"parkMs\":{park}.0,\"tellsDelay\":true,\"tellsLoad\":false}},\"kinds\":[\"large\",\"small\"],\
             \"lanes\":[{lanes}],\"limits\":{{\"cancel\":true,\"connIdleMs\":30000.0,\
             \"connectTimeoutMs\":{connect}.0,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":800000,\
             \"maxAttempts\":{attempts},\"maxRetryAfterMs\":1500.0,\"openCap\":1000000,\"peerMessages\":true,\
             \"probing\":false,\"retryAfter\":true,\"secondCopies\":false,\"streamsPerConn\":1}},\
             \"locality\":\"{zone}\",\"me\":{me},\"nInstances\":{relays},\"overShareWorth\":0.05,\
             \"realms\":[{realms}],\"report\":{{\"names\":[],\"via\":\"none\"}},\"resolutionMs\":2.0,\
             \"rules\":{{\"answerSlackMs\":8.0,\"askEveryMs\":{ask}.0,\"coldFrom\":{cold},\"fallMs\":{fall}.0,\
             \"stopSendingWithinMs\":{stop}.0,\"tipMultiple\":{tip:.1},\"warmWithinMs\":{warm}.0}},\
             \"serviceType\":\"conn\",\"tier\":0,\"tiers\":[\"streamers\"],\"weights\":\"nominal\",\
             \"worthBy\":\"request\"}}",
            zones = quoted(self.zones),
            discovery = self.discovery,
            mode = self.mode,
            park = self.park_ms,
            connect = self.connect_timeout_ms,
            attempts = self.max_attempts,
            zone = self.zones[me % self.zones.len()],
            relays = self.relays,
            ask = self.ask_every_ms,
            cold = self.cold_from,
            fall = self.fall_ms,
            stop = self.stop_sending_ms,
            tip = self.tip_multiple,
            warm = self.warm_within_ms,
        )
    }
}
