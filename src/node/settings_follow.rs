//! Reads the settings again when the file changes, and applies what can change while a node runs.

use {
    super::NodeSettings,
    serde_json::Value,
    std::{
        fs, io,
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::Notify, time},
};

/// The pause between two looks at the file.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The settings that take effect while a node runs.
const LIVE_FIELDS: [&str; 10] = [
    "bounds.budget_window_s",
    "bounds.ceiling_window_s",
    "bounds.grace_s",
    "bounds.retry_budget_ratio",
    "bounds.retry_budget_slack",
    "gossip_keys",
    "log_format",
    "log_level",
    "log_levels",
    "operator_keys",
];

/// The settings that a term of the leader begins under and keeps to its end.
const TERM_FIELDS: [&str; 4] = [
    "bounds.fencing_enforced",
    "bounds.lease_min_ms",
    "bounds.lease_ms",
    "bounds.thaw_slack_ms",
];

/// What became of a change of the settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsChange {
    /// The file has the content that was last seen.
    Same,
    /// It can be used.
    Read {
        /// The fields that are in force from now on.
        applied: Vec<String>,
        /// The fields that are in force from the next lease and the next term of the leader on.
        from_next_term: Vec<String>,
        /// The fields that differ from those of the start and need another one.
        need_restart: Vec<String>,
    },
    /// It cannot be used, and the settings before stay in force.
    Broken(String),
}

/// Follows the settings file of a node.
pub struct SettingsFollower {
    path: PathBuf,
    started: NodeSettings,
    current: NodeSettings,
    seen: Option<Result<Vec<u8>, io::ErrorKind>>,
    apply: Box<dyn Fn(&NodeSettings) + Send>,
}

impl std::fmt::Debug for SettingsFollower {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SettingsFollower")
    }
}

impl SettingsFollower {
    /// Follows a file whose settings are in force; `apply` gets those that take their place.
    pub fn new(
        path: &Path,
        settings: NodeSettings,
        apply: impl Fn(&NodeSettings) + Send + 'static,
    ) -> Self {
        Self {
            path: path.to_owned(),
            started: settings.clone(),
            current: settings,
            seen: None,
            apply: Box::new(apply),
        }
    }

    /// Looks at the file from time to time, and at once when told to; never ends.
    pub async fn run(mut self, look_now: Arc<Notify>) {
        loop {
            let change = self.look();
            log_change(&self.path, &change);
            tokio::select! {
                () = look_now.notified() => {}
                () = time::sleep(POLL_INTERVAL) => {}
            }
        }
    }

    /// Looks at the file, and applies what changed.
    pub fn look(&mut self) -> SettingsChange {
        let content = fs::read(&self.path).map_err(|cause| cause.kind());
        if self.seen.as_ref() == Some(&content) {
            return SettingsChange::Same;
        }
        let read = match &content {
            Ok(bytes) => NodeSettings::parse(&self.path, bytes).map_err(|cause| cause.to_string()),
            Err(kind) => Err(format!("the settings file {}: {kind}", self.path.display())),
        };
        self.seen = Some(content);
        match read {
            Ok(settings) => self.take(settings),
            Err(cause) => SettingsChange::Broken(cause),
        }
    }

    fn take(&mut self, settings: NodeSettings) -> SettingsChange {
        let is_live = |field: &String| LIVE_FIELDS.contains(&field.as_str());
        let is_of_term = |field: &String| TERM_FIELDS.contains(&field.as_str());
        let mut applied = differing(&self.current, &settings);
        let mut from_next_term = applied.clone();
        applied.retain(is_live);
        from_next_term.retain(is_of_term);
        let mut need_restart = differing(&self.started, &settings);
        need_restart.retain(|field| !is_live(field) && !is_of_term(field));
        self.current = settings;
        if !applied.is_empty() || !from_next_term.is_empty() {
            (self.apply)(&self.current);
        }
        SettingsChange::Read {
            applied,
            from_next_term,
            need_restart,
        }
    }
}

/// Returns the fields that differ; those of the bounds one by one.
fn differing(before: &NodeSettings, after: &NodeSettings) -> Vec<String> {
    let (before, after) = (fields(before), fields(after));
    let pairs = before.iter().zip(&after);
    let differing = pairs.filter(|(before, after)| before != after);
    differing.map(|(before, _)| before.0.clone()).collect()
}

fn fields(settings: &NodeSettings) -> Vec<(String, Value)> {
    let Ok(Value::Object(all)) = serde_json::to_value(settings) else {
        return Vec::new();
    };
    let mut fields = Vec::new();
    for (name, value) in all {
        match value {
            Value::Object(inner) if name == "bounds" => {
                let inner = inner.into_iter();
                fields.extend(inner.map(|(field, value)| (format!("{name}.{field}"), value)));
            }
            value => fields.push((name, value)),
        }
    }
    fields
}

fn log_change(path: &Path, change: &SettingsChange) {
    match change {
        SettingsChange::Same => {}
        SettingsChange::Read {
            applied,
            from_next_term,
            need_restart,
        } => {
            if !applied.is_empty() {
                let applied = applied.join(" ");
                log::info!(fields:% = applied; "node: changed settings are in force: {applied}");
            }
            if !from_next_term.is_empty() {
                let fields = from_next_term.join(" ");
                log::info!(
                    fields:% = fields;
                    "node: changed settings are in force from the next term on: {fields}"
                );
            }
            if !need_restart.is_empty() {
                let fields = need_restart.join(" ");
                log::warn!(fields:% = fields; "node: changed settings need a restart: {fields}");
            }
        }
        SettingsChange::Broken(cause) => {
            log::error!(
                file:% = path.display();
                "node: the changed settings cannot be used, those before stay in force: {cause}"
            );
        }
    }
}
