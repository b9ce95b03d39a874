//! Runs a command line against a keeper or node.

use {
    super::{
        CliError, Command, EXIT_SUCCESS, Invocation, KEEPER_VARIABLE, KEY_VARIABLE, NODE_VARIABLE,
        NodeClient, OperatorClient, Output, ParsedArgs, TLS_VARIABLE, parse_args, run_local,
        run_node, run_publish, run_read,
    },
    crate::{
        peer::{Credentials, SharedKey},
        security::{Tls, TlsFiles},
    },
    std::{ffi::OsString, io::Write, net::SocketAddr, path::PathBuf},
    tokio::{runtime::Builder, task::LocalSet},
};

/// Runs one `ggt` command line and returns the exit code.
pub fn run(
    args: impl IntoIterator<Item = OsString>,
    results: &mut dyn Write,
    errors: &mut dyn Write,
) -> u8 {
    let mut output = Output {
        results,
        errors,
        json: false,
    };
    let result = match parse_args(args) {
        Ok(ParsedArgs::Help(text)) => output
            .results
            .write_all(text.as_bytes())
            .map_err(Into::into),
        Ok(ParsedArgs::Run(invocation)) => run_invocation(&invocation, &mut output),
        Err(error) => Err(error),
    };
    match result {
        Ok(()) => EXIT_SUCCESS,
        Err(error) => {
            output.print_error(&error);
            error.exit_code()
        }
    }
}

fn run_invocation(invocation: &Invocation, output: &mut Output<'_>) -> Result<(), CliError> {
    output.json = invocation.json;
    if let Command::Check { dir } = &invocation.command {
        return run_local::check(dir, output);
    }
    let runtime = Builder::new_current_thread().enable_all().build()?;
    match find_node(invocation)? {
        Some(node) => {
            let (tls, key) = (find_tls(invocation)?, find_node_key(invocation)?);
            let client = NodeClient::new(node).with_credentials(tls, key);
            runtime.block_on(run_node::run(&invocation.command, client, output))
        }
        None => LocalSet::new().block_on(&runtime, run_with_keeper(invocation, output)),
    }
}

async fn run_with_keeper(invocation: &Invocation, output: &mut Output<'_>) -> Result<(), CliError> {
    // An invalid directory is reported before a connection to the keeper is made.
    let catalog = match &invocation.command {
        Command::Publish { dir, .. } | Command::Diff { dir } => run_local::read_catalog(dir)?,
        _ => Default::default(),
    };
    if matches!(invocation.command, Command::Watch { .. }) {
        return Err(watch_needs_node());
    }
    let keeper = find_keeper(invocation)?;
    let credentials = Credentials {
        key: find_key(invocation)?,
        tls: find_tls(invocation)?,
    };
    let client = OperatorClient::connect(keeper, &credentials).await?;
    match &invocation.command {
        Command::Check { dir } => run_local::check(dir, output),
        Command::Publish {
            author,
            message,
            expected,
            ..
        } => {
            let publication =
                run_publish::prepare(&client, catalog, author, message, *expected).await?;
            run_publish::publish(&client, &publication, output).await
        }
        Command::Diff { .. } => run_publish::diff(&client, &catalog, output).await,
        Command::Show { revision } => run_read::show(&client, *revision, output).await,
        Command::History { limit } => run_read::history(&client, *limit, output).await,
        Command::Audit { limit } => run_read::audit(&client, *limit, output).await,
        Command::Status => run_read::status(&client, output).await,
        Command::Watch { .. } => Err(watch_needs_node()),
        Command::Drain => run_read::drain(&client, output).await,
    }
}

fn watch_needs_node() -> CliError {
    CliError::Usage(format!("name a node by --node or {NODE_VARIABLE}"))
}

/// Returns the control address of the node to connect to, if any.
///
/// `--keeper` takes precedence over the environment variable of the node.
fn find_node(invocation: &Invocation) -> Result<Option<SocketAddr>, CliError> {
    if invocation.node.is_some() || invocation.keeper.is_some() {
        return Ok(invocation.node);
    }
    match std::env::var(NODE_VARIABLE) {
        Ok(text) => match text.parse() {
            Ok(address) => Ok(Some(address)),
            Err(_) => Err(CliError::Usage(format!("{NODE_VARIABLE} is not IP:PORT"))),
        },
        Err(_) => Ok(None),
    }
}

fn find_keeper(invocation: &Invocation) -> Result<SocketAddr, CliError> {
    if let Some(keeper) = invocation.keeper {
        return Ok(keeper);
    }
    let text = std::env::var(KEEPER_VARIABLE)
        .map_err(|_| CliError::Usage(format!("name a keeper by --keeper or {KEEPER_VARIABLE}")))?;
    text.parse()
        .map_err(|_| CliError::Usage(format!("{KEEPER_VARIABLE} is not IP:PORT")))
}

/// Returns the TLS configuration from `--tls` or the environment, if any.
fn find_tls(invocation: &Invocation) -> Result<Option<Tls>, CliError> {
    let named = std::env::var_os(TLS_VARIABLE).map(PathBuf::from);
    let Some(file) = invocation.tls.clone().or(named) else {
        return Ok(None);
    };
    Ok(Some(Tls::load(TlsFiles::read(&file)?)?))
}

/// Returns the key for a node, if one is set; nodes without an operator key need none.
fn find_node_key(invocation: &Invocation) -> Result<Option<SharedKey>, CliError> {
    if invocation.key_file.is_none() && std::env::var_os(KEY_VARIABLE).is_none() {
        return Ok(None);
    }
    find_key(invocation).map(Some)
}

fn find_key(invocation: &Invocation) -> Result<SharedKey, CliError> {
    if let Some(file) = &invocation.key_file {
        let key = std::fs::read_to_string(file).map_err(CliError::KeyFile)?;
        return Ok(SharedKey::new(key.trim()));
    }
    let key = std::env::var(KEY_VARIABLE)
        .map_err(|_| CliError::Usage(format!("give the key by --key-file or {KEY_VARIABLE}")))?;
    Ok(SharedKey::new(key.trim()))
}
