//! Help texts of `ggt` and its commands.

/// Help text of the whole program.
const OVERVIEW_HELP: &str = "\
Usage: ggt COMMAND [OPTION]...

Commands:
  check DIR      check a directory of objects
  publish DIR    publish a directory of objects
  show           show a published configuration
  diff DIR       show what publishing a directory would change
  history        list published revisions
  audit          list orders and the decisions that they followed from
  status         show the state of a VM, and of all nodes of a platform
  watch          show the state of a platform's nodes again every second
  drain          start the planned stop of a VM

Options of every command:
  --json         print JSON
  --help         print the help of a command

Options of every command but check:
  --keeper IP:PORT   the keeper's operator address [environment: GGT_KEEPER]
  --key-file FILE    the operators' key [environment, the key itself: GGT_OPERATOR_KEY]
  --tls FILE         a JSON file that names the files of TLS [environment: GGT_TLS]

Option of status, watch, show, history, audit and drain on a platform, instead of --keeper:
  --node IP:PORT     the control port of any node [environment: GGT_NODE]

Exit codes: 0 done, 1 refused or failed, 2 wrong command line.
";

const CHECK_HELP: &str = "\
Usage: ggt check DIR [--json]

Checks every *.json file of DIR as one configuration, without a keeper. Prints all faults at once,
each with its file, object and field.

Exit codes: 0 no faults, 1 faults, 2 wrong command line.
";

const PUBLISH_HELP: &str = "\
Usage: ggt publish DIR --author NAME --message TEXT [--expect REVISION] [--json]

Checks DIR and publishes it whole as the next revision. With --expect, the newest revision must be
the given one; otherwise it must still be the one that the keeper has in force at the start.

Exit codes: 0 published, 1 refused, overtaken by another operator, or outcome unknown (then look for
the printed publish id in ggt history), 2 wrong command line.
";

const SHOW_HELP: &str = "\
Usage: ggt show [--revision REVISION] [--json]

Prints the configuration in force, or an older revision. A node has only the one in force. The
objects of the newest 8 revisions and
the records of the newest 256 are kept.
";

const DIFF_HELP: &str = "\
Usage: ggt diff DIR [--json]

Prints what publishing DIR would change: + added, - removed, ~ changed.
";

const HISTORY_HELP: &str = "\
Usage: ggt history [--limit NUMBER] [--json]

Lists published revisions, newest first [limit: 20]. A node lists the newest 64 versions that it put
in force, newest last.
";

const AUDIT_HELP: &str = "\
Usage: ggt audit [--limit NUMBER] [--json]

Lists orders to model engines and the decisions that they followed from, newest last [limit: 20].
A node lists its newest 256 events: orders with the load that they follow from, changes of the
leader, of the configuration and of the settings.
";

const STATUS_HELP: &str = "\
Usage: ggt status [--json]

Prints what the keeper knows: the revision in force, members and runners. A node is asked for all
other nodes too: the version in force on each, who leads with which fencing token, what waits and
what was refused, and what each runner holds.
";

const WATCH_HELP: &str = "\
Usage: ggt watch --node IP:PORT [--count NUMBER] [--json]

Prints what ggt status prints, again every second; with --json, one object a line.
";

const DRAIN_HELP: &str = "\
Usage: ggt drain [--json]

Starts the planned stop of the VM of the keeper or node: no request in flight is cut.
";

/// Returns the help text of a command, or of the whole program for any other name.
pub fn help_text(command: &str) -> &'static str {
    match command {
        "check" => CHECK_HELP,
        "publish" => PUBLISH_HELP,
        "show" => SHOW_HELP,
        "diff" => DIFF_HELP,
        "history" => HISTORY_HELP,
        "audit" => AUDIT_HELP,
        "status" => STATUS_HELP,
        "watch" => WATCH_HELP,
        "drain" => DRAIN_HELP,
        _ => OVERVIEW_HELP,
    }
}
