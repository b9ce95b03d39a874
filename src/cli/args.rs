//! Parses the command line of `ggt`.

use {
    super::{CliError, help_text},
    crate::units::Revision,
    lexopt::{Parser, prelude::*},
    std::{ffi::OsString, net::SocketAddr, path::PathBuf},
};

/// Number of heads or records listed without `--limit`.
const DEFAULT_LIST_LIMIT: u32 = 20;
/// Environment variable with the keeper's address, used without `--keeper`.
pub const KEEPER_VARIABLE: &str = "GGT_KEEPER";
/// Environment variable with the node's control address, used without `--node`.
pub const NODE_VARIABLE: &str = "GGT_NODE";
/// Environment variable with the operators' key, used without `--key-file`.
pub const KEY_VARIABLE: &str = "GGT_OPERATOR_KEY";
/// Environment variable with the path of the TLS file, used without `--tls`.
pub const TLS_VARIABLE: &str = "GGT_TLS";

/// A command with its own options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Checks a directory of objects.
    Check {
        /// The directory with the object files.
        dir: PathBuf,
    },
    /// Publishes a directory of objects.
    Publish {
        /// The directory with the object files.
        dir: PathBuf,
        /// The author to record.
        author: String,
        /// The reason for the change to record.
        message: String,
        /// The revision that must be the newest; the one in force if absent.
        expected: Option<Revision>,
    },
    /// Shows a revision.
    Show {
        /// The revision to show; the one in force if absent.
        revision: Option<Revision>,
    },
    /// Shows what publishing a directory would change.
    Diff {
        /// The directory with the object files.
        dir: PathBuf,
    },
    /// Lists published revisions.
    History {
        /// The maximum number of entries.
        limit: u32,
    },
    /// Lists orders and the decisions that caused them.
    Audit {
        /// The maximum number of entries.
        limit: u32,
    },
    /// Shows the state of a keeper's VM, or of all nodes of a platform.
    Status,
    /// Shows the state of all nodes of a platform periodically.
    Watch {
        /// The number of times to show the state; unlimited if absent.
        count: Option<u32>,
    },
    /// Starts the planned stop of the VM of a keeper or node.
    Drain,
}

/// A command with the options that all commands share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invocation {
    /// The command to run.
    pub command: Command,
    /// The operator address of the keeper to connect to.
    pub keeper: Option<SocketAddr>,
    /// The control address of the node to connect to instead of a keeper.
    pub node: Option<SocketAddr>,
    /// The file with the operators' key.
    pub key_file: Option<PathBuf>,
    /// The JSON file with the paths of the TLS certificate, key and authority files.
    pub tls: Option<PathBuf>,
    /// Whether to print results as JSON.
    pub json: bool,
}

/// The result of parsing the command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParsedArgs {
    /// A command to run.
    Run(Invocation),
    /// A help text to print.
    Help(&'static str),
}

/// Arguments and options before they are checked against the command.
#[derive(Default)]
struct Options {
    positional: Vec<String>,
    keeper: Option<SocketAddr>,
    node: Option<SocketAddr>,
    count: Option<u32>,
    key_file: Option<PathBuf>,
    tls: Option<PathBuf>,
    json: bool,
    help: bool,
    author: Option<String>,
    message: Option<String>,
    expected: Option<Revision>,
    revision: Option<Revision>,
    limit: Option<u32>,
}

/// Parses the command line without the program's name.
///
/// # Errors
///
/// Returns [`CliError::Usage`] if an argument is unknown, missing, invalid or not accepted by the
/// command.
pub fn parse_args(args: impl IntoIterator<Item = OsString>) -> Result<ParsedArgs, CliError> {
    let mut parser = Parser::from_args(args);
    let mut options = Options::default();
    while let Some(arg) = parser.next().map_err(usage)? {
        match arg {
            Short('h') | Long("help") => options.help = true,
            Long("json") => options.json = true,
            Long("keeper") => options.keeper = Some(value(&mut parser)?),
            Long("node") => options.node = Some(value(&mut parser)?),
            Long("count") => options.count = Some(value(&mut parser)?),
            Long("key-file") => options.key_file = Some(value(&mut parser)?),
            Long("tls") => options.tls = Some(value(&mut parser)?),
            Long("author") => options.author = Some(value(&mut parser)?),
            Long("message") => options.message = Some(value(&mut parser)?),
            Long("expect") => options.expected = Some(value(&mut parser)?),
            Long("revision") => options.revision = Some(value(&mut parser)?),
            Long("limit") => options.limit = Some(value(&mut parser)?),
            Value(text) => options.positional.push(text.string().map_err(usage)?),
            other => return Err(usage(other.unexpected())),
        }
    }
    options.into_parsed_args()
}

fn usage(cause: lexopt::Error) -> CliError {
    CliError::Usage(cause.to_string())
}

fn value<T: std::str::FromStr>(parser: &mut Parser) -> Result<T, CliError>
where
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    let text = parser.value().map_err(usage)?;
    text.parse().map_err(usage)
}

impl Options {
    fn into_parsed_args(mut self) -> Result<ParsedArgs, CliError> {
        if self.positional.is_empty() {
            if self.help {
                return Ok(ParsedArgs::Help(help_text("")));
            }
            return Err(CliError::Usage("a command is missing".to_owned()));
        }
        let name = self.positional.remove(0);
        if self.help {
            return Ok(ParsedArgs::Help(help_text(&name)));
        }
        let invocation = Invocation {
            command: self.parse_command(&name)?,
            keeper: self.keeper,
            node: self.node,
            key_file: self.key_file.take(),
            tls: self.tls.take(),
            json: self.json,
        };
        self.reject_unused_options(&name)?;
        Ok(ParsedArgs::Run(invocation))
    }

    fn parse_command(&mut self, name: &str) -> Result<Command, CliError> {
        Ok(match name {
            "check" => Command::Check {
                dir: self.parse_dir()?,
            },
            "publish" => Command::Publish {
                dir: self.parse_dir()?,
                author: required(self.author.take(), "--author")?,
                message: required(self.message.take(), "--message")?,
                expected: self.expected.take(),
            },
            "show" => Command::Show {
                revision: self.revision.take(),
            },
            "diff" => Command::Diff {
                dir: self.parse_dir()?,
            },
            "history" => Command::History {
                limit: self.limit.take().unwrap_or(DEFAULT_LIST_LIMIT),
            },
            "audit" => Command::Audit {
                limit: self.limit.take().unwrap_or(DEFAULT_LIST_LIMIT),
            },
            "status" => Command::Status,
            "watch" => Command::Watch {
                count: self.count.take(),
            },
            "drain" => Command::Drain,
            other => return Err(CliError::Usage(format!("there is no command {other:?}"))),
        })
    }

    fn parse_dir(&mut self) -> Result<PathBuf, CliError> {
        if self.positional.is_empty() {
            return Err(CliError::Usage("the directory is missing".to_owned()));
        }
        Ok(self.positional.remove(0).into())
    }

    /// Rejects options and arguments that the command does not accept.
    fn reject_unused_options(&self, command: &str) -> Result<(), CliError> {
        let unused = [
            (self.author.is_some(), "--author"),
            (self.message.is_some(), "--message"),
            (self.expected.is_some(), "--expect"),
            (self.revision.is_some(), "--revision"),
            (self.limit.is_some(), "--limit"),
            (self.count.is_some(), "--count"),
            (!self.positional.is_empty(), "so many arguments"),
        ];
        match unused.into_iter().find(|(given, _)| *given) {
            Some((_, option)) => Err(CliError::Usage(format!("{command} does not take {option}"))),
            None => Ok(()),
        }
    }
}

fn required<T>(value: Option<T>, option: &str) -> Result<T, CliError> {
    value.ok_or_else(|| CliError::Usage(format!("{option} is missing")))
}
