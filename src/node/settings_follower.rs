//! Reloads the settings file when it changes and applies the settings that need no restart.

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

/// The interval between checks of the file.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// The settings that take effect while a node runs.
const RUNTIME_FIELDS: [&str; 16] = [
    "bounds.budget_window_s",
    "bounds.ceiling_window_s",
    "bounds.fail_closed",
    "bounds.grace_s",
    "bounds.quota_overage",
    "bounds.quota_slack",
    "bounds.quota_window_s",
    "bounds.retry_budget_ratio",
    "bounds.retry_budget_slack",
    "bounds.revoke_ms",
    "gossip_keys",
    "link_mbps",
    "log_format",
    "log_level",
    "log_levels",
    "operator_keys",
];

/// The settings that a leader's term keeps to its end; a change applies to the next term.
const TERM_FIELDS: [&str; 4] = [
    "bounds.fencing_enforced",
    "bounds.lease_min_ms",
    "bounds.lease_ms",
    "bounds.thaw_slack_ms",
];

/// The result of a check of the settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsChange {
    /// The content of the file has not changed since the last check.
    Unchanged,
    /// The file has valid new content.
    Loaded {
        /// The changed fields that now apply.
        applied: Vec<String>,
        /// The changed fields that apply from the next lease and the next leader's term on.
        from_next_term: Vec<String>,
        /// The fields that differ from those at the start of the process and need a restart.
        need_restart: Vec<String>,
    },
    /// The file cannot be read or is invalid; the previous settings stay active.
    Invalid(String),
}

/// Follows the settings file of a node.
pub struct SettingsFollower {
    path: PathBuf,
    initial: NodeSettings,
    current: NodeSettings,
    last_content: Option<Result<Vec<u8>, io::ErrorKind>>,
    apply: Box<dyn Fn(&NodeSettings) + Send>,
}

impl std::fmt::Debug for SettingsFollower {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SettingsFollower")
    }
}

impl SettingsFollower {
    /// Creates a follower of a file with the active `settings`; `apply` receives changed ones.
    pub fn new(
        path: &Path,
        settings: NodeSettings,
        apply: impl Fn(&NodeSettings) + Send + 'static,
    ) -> Self {
        Self {
            path: path.to_owned(),
            initial: settings.clone(),
            current: settings,
            last_content: None,
            apply: Box::new(apply),
        }
    }

    /// Checks the file periodically and on each notification; never returns.
    pub async fn run(mut self, reload: Arc<Notify>) {
        loop {
            let change = self.check_file();
            log_change(&self.path, &change);
            tokio::select! {
                () = reload.notified() => {}
                () = time::sleep(FILE_POLL_INTERVAL) => {}
            }
        }
    }

    /// Reads the file and applies changed settings.
    pub fn check_file(&mut self) -> SettingsChange {
        let content = fs::read(&self.path).map_err(|cause| cause.kind());
        if self.last_content.as_ref() == Some(&content) {
            return SettingsChange::Unchanged;
        }
        let read = match &content {
            Ok(bytes) => NodeSettings::parse(&self.path, bytes).map_err(|cause| cause.to_string()),
            Err(kind) => Err(format!("the settings file {}: {kind}", self.path.display())),
        };
        self.last_content = Some(content);
        match read {
            Ok(settings) => self.apply_settings(settings),
            Err(cause) => SettingsChange::Invalid(cause),
        }
    }

    fn apply_settings(&mut self, settings: NodeSettings) -> SettingsChange {
        let applies_at_runtime = |field: &String| RUNTIME_FIELDS.contains(&field.as_str());
        let applies_from_next_term = |field: &String| TERM_FIELDS.contains(&field.as_str());
        let mut applied = changed_fields(&self.current, &settings);
        let mut from_next_term = applied.clone();
        applied.retain(applies_at_runtime);
        from_next_term.retain(applies_from_next_term);
        let mut need_restart = changed_fields(&self.initial, &settings);
        need_restart.retain(|field| !applies_at_runtime(field) && !applies_from_next_term(field));
        self.current = settings;
        if !applied.is_empty() || !from_next_term.is_empty() {
            (self.apply)(&self.current);
        }
        SettingsChange::Loaded {
            applied,
            from_next_term,
            need_restart,
        }
    }
}

/// Returns the names of the fields that differ, with each field of `bounds` on its own.
fn changed_fields(before: &NodeSettings, after: &NodeSettings) -> Vec<String> {
    let (before, after) = (flatten_fields(before), flatten_fields(after));
    let pairs = before.iter().zip(&after);
    let changed = pairs.filter(|(before, after)| before != after);
    changed.map(|(before, _)| before.0.clone()).collect()
}

fn flatten_fields(settings: &NodeSettings) -> Vec<(String, Value)> {
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
        SettingsChange::Unchanged => {}
        SettingsChange::Loaded {
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
        SettingsChange::Invalid(cause) => {
            log::error!(
                file:% = path.display();
                "node: the changed settings cannot be used, those before stay in force: {cause}"
            );
        }
    }
}
