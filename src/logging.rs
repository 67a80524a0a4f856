//! Logging: one line of key=value pairs for each event, to standard error, standard output or a
//! file.

mod quota;

use std::fmt::{Display, Write};
use std::io::{self, Write as _};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FileSpec, FlexiLoggerError, Logger, LoggerHandle};
use log::{Level, Record};

pub use quota::LineQuota;

/// Destination of the log lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogTarget {
    /// Standard error.
    Stderr,
    /// This file; lines are appended.
    File(std::path::PathBuf),
}

/// Starts logging at `level` (`error`, `warn`, `info`, `debug` or `trace`); logging ends when the
/// handle is dropped.
pub fn open(level: &str, target: &LogTarget) -> Result<LoggerHandle, FlexiLoggerError> {
    let logger = Logger::try_with_str(level)?.use_utc().format(write_line);
    let logger = match target {
        LogTarget::Stderr => logger.log_to_stderr(),
        LogTarget::File(path) => logger.append().log_to_file(FileSpec::try_from(path)?),
    };
    logger.start()
}

/// Size of the unflushed lines, in bytes, from which on further lines are dropped.
const BUFFER_MAX_BYTES: usize = 192 * 1_024;
/// Most bytes of one write to standard output, which a pipe accepts atomically.
const WRITE_MAX_BYTES: usize = 4_096;
/// Most flushed chunks that wait for standard output.
const CHUNKS_MAX_COUNT: usize = 8;

/// Unflushed lines, and the number of dropped ones.
#[derive(Default)]
struct BufferedLines {
    text: Vec<u8>,
    dropped_count: u64,
}

/// Buffers lines until they are flushed; when full, it drops and counts them.
#[derive(Clone, Default)]
struct LineBuffer {
    lines: Arc<Mutex<BufferedLines>>,
}

impl LogWriter for LineBuffer {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.text.len() >= BUFFER_MAX_BYTES {
            lines.dropped_count += 1;
            return Ok(());
        }
        write_line(&mut lines.text, now, record)?;
        lines.text.push(b'\n');
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// A log on standard output that never blocks the threads that log.
pub struct BufferedLog {
    _logger: LoggerHandle,
    buffer: LineBuffer,
    chunks: flume::Sender<Vec<u8>>,
    writer: thread::JoinHandle<()>,
}

impl BufferedLog {
    /// Starts logging at `level`; lines are written by [`flush`](Self::flush).
    pub fn open(level: &str) -> Result<Self, FlexiLoggerError> {
        let buffer = LineBuffer::default();
        let logger = Logger::try_with_str(level)?
            .use_utc()
            .log_to_writer(Box::new(buffer.clone()))
            .start()?;
        let (chunks, received) = flume::bounded::<Vec<u8>>(CHUNKS_MAX_COUNT);
        let writer = thread::spawn(move || {
            for chunk in received {
                let mut out = io::stdout().lock();
                for part in chunk.chunks(WRITE_MAX_BYTES) {
                    // If standard output is closed, there is nowhere to report it.
                    let _ = out.write_all(part).and_then(|()| out.flush());
                }
            }
        });
        Ok(Self {
            _logger: logger,
            buffer,
            chunks,
            writer,
        })
    }

    /// Writes the flushed lines and ends the log.
    pub fn close(self) {
        drop(self.chunks);
        // If the writer thread panicked, there is nothing left to write.
        let _ = self.writer.join();
    }

    /// Passes the buffered lines to the writer thread; drops and counts them if its queue is full.
    pub fn flush(&self) {
        let mut lines = self
            .buffer
            .lines
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if lines.text.is_empty() {
            return;
        }
        let mut text = std::mem::take(&mut lines.text);
        if lines.dropped_count > 0 {
            let event = Event::new("log_lines_dropped").with("count", lines.dropped_count);
            text.extend(event.line().as_bytes());
            text.push(b'\n');
        }
        let lines_count = text.iter().filter(|byte| **byte == b'\n').count();
        match self.chunks.try_send(text) {
            Ok(()) => lines.dropped_count = 0,
            Err(_) => lines.dropped_count += u64::try_from(lines_count).unwrap_or(u64::MAX),
        }
    }
}

/// A log event: one line of key=value pairs.
///
/// ```
/// use hawthornladder::logging::Event;
///
/// let event = Event::new("key_withdrawn").with("key", "ab12").with("reason", "asked for");
/// assert_eq!(event.line(), r#"event=key_withdrawn key=ab12 reason="asked for""#);
/// event.info();
/// ```
#[derive(Clone, Debug)]
pub struct Event {
    line: String,
}

impl Event {
    /// Returns the event `name`, which is in snake_case, without further pairs.
    pub fn new(name: &str) -> Self {
        Self {
            line: format!("event={name}"),
        }
    }

    /// Adds a pair; a value that is not one plain word is quoted.
    pub fn with(mut self, key: &str, value: impl Display) -> Self {
        let start = self.line.len();
        // Writing to a `String` does not fail.
        let _ = write!(self.line, " {key}={value}");
        let value_start = start + key.len() + 2;
        if needs_quotes(&self.line[value_start..]) {
            let quoted = format!("{:?}", &self.line[value_start..]);
            self.line.replace_range(value_start.., &quoted);
        }
        self
    }

    /// Returns the log line.
    pub fn line(&self) -> &str {
        &self.line
    }

    /// Logs at the level for faults that require an operator.
    pub fn error(&self) {
        self.log(Level::Error);
    }

    /// Logs at the level for faults that the process handles itself.
    pub fn warn(&self) {
        self.log(Level::Warn);
    }

    /// Logs at the level for changes of state.
    pub fn info(&self) {
        self.log(Level::Info);
    }

    /// Logs at the level for single requests.
    pub fn debug(&self) {
        self.log(Level::Debug);
    }

    fn log(&self, level: Level) {
        log::log!(level, "{}", self.line);
    }
}

fn needs_quotes(value: &str) -> bool {
    let is_plain = |character: char| !character.is_control() && !character.is_whitespace();
    value.is_empty()
        || !value
            .chars()
            .all(|character| is_plain(character) && !"\"=\\".contains(character))
}

/// Writes one line. A line of a library is wrapped in a `library` event.
fn write_line(
    writer: &mut dyn io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> io::Result<()> {
    let text = record.args().to_string();
    let line = match text.starts_with("event=") {
        true => text,
        false => {
            Event::new("library")
                .with("target", record.target())
                .with("text", text)
                .line
        }
    };
    let level = record.level().as_str().to_ascii_lowercase();
    write!(writer, "at={} level={level} {line}", now.format_rfc3339())
}
