//! Text form of the report of an open-loop run.

use {
    super::{LoadReport, Percentiles, ReasonCounts},
    std::fmt,
};

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}, {} s", self.seed, self.duration_s)?;
        writeln!(
            f,
            "sent {}, answered {}, within targets {}, per accelerator {:.1} ({} accelerators)",
            self.sent,
            self.answered,
            self.attained,
            self.attainment_per_accelerator,
            self.accelerators
        )?;
        writeln!(
            f,
            "moves {}: loads {}, unloads {}, role changes {}; adapter loads {}; overcommits {}",
            self.moves.total(),
            self.moves.model_loads,
            self.moves.model_unloads,
            self.moves.role_changes,
            self.moves.adapter_loads,
            self.moves.overcommits
        )?;
        write_reasons(f, "refused, not run", &self.refusals)?;
        write_reasons(f, "failed", &self.failures)?;
        write_reasons(f, "wrong", &self.wrong)?;
        for class in &self.classes {
            writeln!(
                f,
                "{}: sent {}, answered {}, within targets {}, tokens {}",
                class.name, class.sent, class.answered, class.attained, class.tokens
            )?;
            write_times(f, "first token", &class.first_token)?;
            write_times(f, "between tokens", &class.between_tokens)?;
        }
        Ok(())
    }
}

fn write_reasons(f: &mut fmt::Formatter<'_>, title: &str, reasons: &ReasonCounts) -> fmt::Result {
    write!(f, "{title} {}", reasons.total())?;
    for (index, count) in reasons.0.iter().enumerate() {
        let separator = if index == 0 { ": " } else { ", " };
        write!(f, "{separator}{} {}", count.reason, count.count)?;
    }
    writeln!(f)
}

fn write_times(f: &mut fmt::Formatter<'_>, title: &str, times: &Percentiles) -> fmt::Result {
    if times.count == 0 {
        return Ok(());
    }
    writeln!(
        f,
        "  {title}: 50th {:.3} ms, 95th {:.3} ms, 99th {:.3} ms, most {:.3} ms",
        times.p50_ms, times.p95_ms, times.p99_ms, times.max_ms
    )
}
