//! Prints results and errors as text or JSON.

use {
    super::CliError,
    crate::{
        config::{ConfigFault, Head},
        engine::Action,
        fleet::{AuditEvent, AuditRecord},
    },
    jiff::Timestamp,
    serde_json::{Value, json},
    std::io::Write,
};

/// Where and in which format a command prints.
pub struct Output<'a> {
    /// Receives results.
    pub results: &'a mut dyn Write,
    /// Receives error messages.
    pub errors: &'a mut dyn Write,
    /// Whether results are printed as JSON.
    pub json: bool,
}

impl Output<'_> {
    /// Prints one result as text or JSON.
    ///
    /// # Errors
    ///
    /// Fails if the output cannot be written.
    pub fn print(&mut self, text: impl FnOnce() -> String, json: &Value) -> Result<(), CliError> {
        if self.json {
            writeln!(self.results, "{json}")?;
        } else {
            writeln!(self.results, "{}", text())?;
        }
        Ok(())
    }

    /// Prints an error. The faults of a configuration are printed one per line, or as JSON.
    pub fn print_error(&mut self, error: &CliError) {
        // If the error output is closed, the exit code alone reports the failure.
        let _ = match error {
            CliError::Faults(faults) if self.json => {
                let faults: Vec<Value> = faults.iter().map(fault_json).collect();
                writeln!(self.results, "{}", json!({"ok": false, "faults": faults}))
            }
            CliError::Refused(faults) if self.json => {
                let refused = json!({"outcome": "refused", "faults": faults});
                writeln!(self.results, "{refused}")
            }
            CliError::Faults(faults) => faults
                .iter()
                .try_for_each(|fault| writeln!(self.errors, "{fault}"))
                .and_then(|()| writeln!(self.errors, "ggt: {error}")),
            CliError::Usage(_) => writeln!(self.errors, "ggt: {error}; see ggt --help"),
            _ => writeln!(self.errors, "ggt: {error}"),
        };
    }
}

fn fault_json(fault: &ConfigFault) -> Value {
    json!({
        "file": fault.source.file,
        "position": fault.source.position,
        "object": fault.object,
        "field": fault.field,
        "problem": fault.problem,
    })
}

/// Formats the head of a revision for the terminal.
pub fn describe_head(head: &Head) -> String {
    format!(
        "revision {}  {}  by {}  publish id {}\n    {}",
        head.revision,
        describe_time(head.published_at_ms),
        head.author,
        head.publish_id,
        head.message
    )
}

/// Formats a Unix time as RFC 3339 in UTC.
pub(super) fn describe_time(unix_ms: u64) -> String {
    let timestamp = i64::try_from(unix_ms).map(Timestamp::from_millisecond);
    match timestamp {
        Ok(Ok(timestamp)) => timestamp.to_string(),
        _ => format!("{unix_ms} ms"),
    }
}

/// Formats an audit record as one line.
pub fn describe_audit(record: &AuditRecord) -> String {
    let event = match record.event {
        AuditEvent::Reserved => "reserved",
        AuditEvent::Settled => "settled",
    };
    let action = match &record.action {
        Action::LoadModel { model, version, .. } => format!("load {model} version {version}"),
        Action::UnloadModel { model } => format!("unload {model}"),
        Action::LoadAdapter { adapter, .. } => format!("load adapter {adapter}"),
        Action::UnloadAdapter { adapter } => format!("unload adapter {adapter}"),
        Action::ChangeRole { role } => format!("change role to {role:?}"),
    };
    let decision = record.decision.as_deref().unwrap_or("-");
    format!(
        "{} {} epoch {} by {}: {event} {action} ({decision}, order {})",
        describe_time(record.at_ms),
        record.runner,
        record.epoch,
        record.vm,
        record.order
    )
}
