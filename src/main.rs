//! The `hawthornladder` program.

mod cmd;

use std::process::ExitCode;

use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    cmd::configure_error_reports();
    let matches = cmd::make_command().get_matches();
    let exit = cmd::execute(&matches).unwrap_or_else(|report| {
        eprintln!("error: {report:?}");
        report.current_context().exit()
    });
    exit.into()
}
