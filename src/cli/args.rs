//! Reads the command line.

use {
    super::{CliError, help_text},
    crate::units::Revision,
    lexopt::{Parser, prelude::*},
    std::{ffi::OsString, net::SocketAddr, path::PathBuf},
};

/// Heads or records that are listed unless asked otherwise.
const DEFAULT_LIST_LIMIT: u32 = 20;
/// Names the keeper when no argument does.
pub const KEEPER_VARIABLE: &str = "GGT_KEEPER";
/// Names the node when no argument does.
pub const NODE_VARIABLE: &str = "GGT_NODE";
/// Holds the operators' key when no file is named.
pub const KEY_VARIABLE: &str = "GGT_OPERATOR_KEY";
/// Names the file with the names of the files of TLS when no argument does.
pub const TLS_VARIABLE: &str = "GGT_TLS";

/// What to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Check a directory of objects.
    Check {
        /// The directory.
        dir: PathBuf,
    },
    /// Publish a directory of objects.
    Publish {
        /// The directory.
        dir: PathBuf,
        /// Who publishes.
        author: String,
        /// Why.
        message: String,
        /// The revision that must be the newest; the one in force unless given.
        expected: Option<Revision>,
    },
    /// Show a revision.
    Show {
        /// The revision; the one in force unless given.
        revision: Option<Revision>,
    },
    /// Show what publishing a directory would change.
    Diff {
        /// The directory.
        dir: PathBuf,
    },
    /// List published revisions.
    History {
        /// How many.
        limit: u32,
    },
    /// List orders and the decisions that they followed from.
    Audit {
        /// How many.
        limit: u32,
    },
    /// Show the state of a keeper's VM.
    Status,
    /// Show the state of nodes again and again.
    Watch {
        /// How often; for ever unless given.
        count: Option<u32>,
    },
    /// Start the planned stop of a keeper's VM.
    Drain,
}

/// A command with its common options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invocation {
    /// What to do.
    pub command: Command,
    /// The keeper to ask.
    pub keeper: Option<SocketAddr>,
    /// The control port of the node to ask, instead of a keeper.
    pub node: Option<SocketAddr>,
    /// The file that holds the operators' key.
    pub key_file: Option<PathBuf>,
    /// The JSON file that names the files of TLS.
    pub tls: Option<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
}

/// What the command line asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParsedArgs {
    /// Run a command.
    Run(Invocation),
    /// Print a help text.
    Help(&'static str),
}

/// Options as they stand on the command line.
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

/// Reads the command line, without the program's name.
///
/// # Errors
///
/// Fails with [`CliError::Usage`] on anything unknown, missing or left over.
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

    /// Refuses options and arguments that the command does not take.
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
