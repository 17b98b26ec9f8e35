//! Runs the command that the command line names.

use std::future::Future;
use std::process::ExitCode;

use eyre::WrapErr;
use monoio::{LegacyDriver, RuntimeBuilder};

use crate::logs::{self, LogSettings};
use crate::operator::{self, exit};
use crate::options;
use crate::options::args::{Command, StandIn};
use crate::standin::{platform, worker};
use crate::utils::signals;
use crate::{cell, daemon, demo, proto, rpc, trace};

/// Runs a command, and returns the exit code of the process.
pub fn run(command: Command) -> ExitCode {
    let result = match &command {
        Command::Check { files } => return check_files(files),
        Command::Entry { config } => return run_entry(config),
        Command::Serve { config } => return run_serve(config),
        Command::StandIn(stand_in) => run_stand_in(stand_in.clone()),
        Command::Demo(options) => demo::run(options),
        Command::Trace { json, id, files } => print_spans(*json, id, files),
        Command::Explain { json, id, files } => print_events(*json, id, files),
        _ => return run_operator_command(&command),
    };
    finish(result)
}

/// Prints an error, if any, and returns the exit code.
fn finish(result: eyre::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("willowpoint: {e:#}");
            ExitCode::from(exit::USAGE)
        }
    }
}

/// Runs a future to its end on a new runtime of this thread, which uses epoll.
pub fn block_on<F: Future>(future: F) -> eyre::Result<F::Output> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .wrap_err("cannot start the runtime")?;
    Ok(runtime.block_on(future))
}

fn check_files(files: &[String]) -> ExitCode {
    let mut code = exit::DONE;
    for name in files {
        match options::check_file(name) {
            Ok(()) => println!("{name}: ok"),
            Err(findings) => {
                code = exit::REFUSED;
                findings.iter().for_each(|f| println!("{f}"));
            }
        }
    }
    ExitCode::from(code)
}

/// Prints the findings in the settings of a daemon, which then does not start.
fn report_findings(findings: &[options::Finding]) -> ExitCode {
    findings.iter().for_each(|f| eprintln!("{f}"));
    ExitCode::from(exit::REFUSED)
}

fn run_entry(name: &str) -> ExitCode {
    let settings = match options::entry::load(name) {
        Ok(settings) => settings,
        Err(findings) => return report_findings(&findings),
    };
    let start = || {
        logs::init(&settings.logs, &settings.name)?;
        signals::install_handlers();
        block_on(crate::entry::run(
            settings,
            crate::entry::StopFlag::default(),
        ))?
    };
    finish(start())
}

fn run_serve(name: &str) -> ExitCode {
    let settings = match options::daemon::load(name) {
        Ok(settings) => settings,
        Err(findings) => return report_findings(&findings),
    };
    let start = || {
        logs::init(&settings.logs, &settings.name)?;
        signals::install_handlers();
        block_on(daemon::run(settings, name))?
    };
    finish(start())
}

fn run_stand_in(stand_in: StandIn) -> eyre::Result<()> {
    logs::init(&LogSettings::default(), "stand-in")?;
    block_on(async {
        match stand_in {
            StandIn::Platform { rpc, writes, reads } => {
                let rates = platform::Rates { writes, reads };
                platform::serve(platform::Platform::new(rates), rpc).await
            }
            StandIn::Worker { .. } => run_stand_in_worker(stand_in).await,
        }
    })?
}

async fn run_stand_in_worker(stand_in: StandIn) -> eyre::Result<()> {
    let StandIn::Worker {
        name,
        hall,
        rack,
        http,
        rpc,
        platform,
        slots,
        connections,
        cores,
        memory,
        accelerators,
        service,
        unfenced,
    } = stand_in
    else {
        return Ok(());
    };
    if let Some(platform) = platform {
        let entry = proto::DirectoryEntry {
            name,
            hall,
            rack,
            http: http.to_string(),
            rpc: rpc.to_string(),
            leaving: false,
        };
        register_worker(platform, entry).await?;
    }
    let options = worker::Options {
        http,
        rpc,
        shape: cell::Shape {
            slots,
            connections,
            cores,
            memory,
            accelerators,
        },
        service_time: service,
        fencing: !unfenced,
    };
    worker::serve(options).await
}

/// Longest duration of an attempt to register with the platform's stand-in, in milliseconds, and
/// number of retries.
const REGISTER: (u64, u32) = (1_000, 20);

/// Adds a worker to the directory of the platform's stand-in.
async fn register_worker(
    platform: std::net::SocketAddr,
    entry: proto::DirectoryEntry,
) -> eyre::Result<()> {
    use crate::proto::platform_faults_client::PlatformFaultsClient;
    let channel = rpc::client::Channel::new(platform);
    let mut retries = 0;
    loop {
        let entry = entry.clone();
        let call = |c| async move { PlatformFaultsClient::new(c).register(entry).await };
        match channel.call(REGISTER.0, call).await {
            Ok(_) => return Ok(()),
            Err(e) if retries == REGISTER.1 => {
                return Err(e).wrap_err("cannot register the worker with the platform");
            }
            Err(_) => retries += 1,
        }
        monoio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
}

fn run_operator_command(command: &Command) -> ExitCode {
    match block_on(operator::run(command)) {
        Ok((text, exit::DONE)) => {
            print!("{text}");
            ExitCode::from(exit::DONE)
        }
        Ok((text, code)) => {
            eprint!("{text}");
            ExitCode::from(code)
        }
        Err(e) => finish(Err(e)),
    }
}

fn print_spans(json: bool, id: &str, files: &[String]) -> eyre::Result<()> {
    let text = read_all(files)?;
    let spans = trace::find_spans(text.lines(), id);
    if spans.is_empty() {
        return Err(eyre::eyre!("no span of trace {id} found"));
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&spans)?);
        return Ok(());
    }
    for span in &spans {
        let trace::Span {
            span,
            parent,
            name,
            micros,
            verdict,
            ..
        } = span;
        println!("{span} after {parent}  {name:9} {micros:>9} us  {verdict}");
    }
    Ok(())
}

/// Returns the concatenated text of files, or standard input if there are none.
fn read_all(files: &[String]) -> eyre::Result<String> {
    if files.is_empty() {
        return std::io::read_to_string(std::io::stdin()).wrap_err("cannot read standard input");
    }
    let mut text = String::new();
    for name in files {
        let part = std::fs::read_to_string(name).wrap_err_with(|| format!("cannot read {name}"))?;
        text.push_str(&part);
    }
    Ok(text)
}

fn print_events(json: bool, id: &str, files: &[String]) -> eyre::Result<()> {
    let text = read_all(files)?;
    let events = crate::explain::find_events(text.lines(), id);
    if events.is_empty() {
        return Err(eyre::eyre!("no event of {id} found"));
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&events)?);
        return Ok(());
    }
    for event in &events {
        let crate::explain::LoggedEvent {
            time,
            node,
            event,
            inputs,
        } = event;
        println!("{time} {node:24} {event:18} {inputs}");
    }
    Ok(())
}
