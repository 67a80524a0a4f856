//! Logs: one line of key=value pairs for each event, to the standard error or to a file.

use std::fmt::{Display, Write};
use std::io::{self, Write as _};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FileSpec, FlexiLoggerError, Logger, LoggerHandle};
use log::{Level, Record};

/// Where the log lines go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogTarget {
    /// To the standard error.
    Stderr,
    /// To the end of this file.
    File(std::path::PathBuf),
}

/// Starts logging at `level` (`error`, `warn`, `info`, `debug` or `trace`); it ends when the handle
/// is dropped.
pub fn open(level: &str, target: &LogTarget) -> Result<LoggerHandle, FlexiLoggerError> {
    let logger = Logger::try_with_str(level)?.use_utc().format(write_line);
    let logger = match target {
        LogTarget::Stderr => logger.log_to_stderr(),
        LogTarget::File(path) => logger.append().log_to_file(FileSpec::try_from(path)?),
    };
    logger.start()
}

/// Most bytes of log lines that wait for the next flush.
const BUFFER_MAX_BYTES: usize = 192 * 1_024;
/// Bytes of one write to the standard output, which a pipe takes whole.
const PIECE_BYTES: usize = 4_096;
/// Flushed buffers that may wait for the standard output.
const CHUNKS_MAX: usize = 8;

/// Lines that wait for the next flush, and how many were dropped.
#[derive(Default)]
struct Lines {
    text: Vec<u8>,
    dropped_count: u64,
}

/// Keeps lines until they are flushed; beyond its bound it drops and counts them.
#[derive(Clone, Default)]
struct LineBuffer {
    lines: Arc<Mutex<Lines>>,
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

/// Log lines on the standard output that never make their writer wait.
pub struct BufferedLog {
    _logger: LoggerHandle,
    buffer: LineBuffer,
    chunks: flume::Sender<Vec<u8>>,
    writer: thread::JoinHandle<()>,
}

impl BufferedLog {
    /// Starts logging at `level`; lines go out with [`flush`](Self::flush).
    pub fn open(level: &str) -> Result<Self, FlexiLoggerError> {
        let buffer = LineBuffer::default();
        let logger = Logger::try_with_str(level)?
            .use_utc()
            .log_to_writer(Box::new(buffer.clone()))
            .start()?;
        let (chunks, received) = flume::bounded::<Vec<u8>>(CHUNKS_MAX);
        let writer = thread::spawn(move || {
            for chunk in received {
                let mut out = io::stdout().lock();
                for piece in chunk.chunks(PIECE_BYTES) {
                    // Nobody is left to tell when the standard output is closed.
                    let _ = out.write_all(piece).and_then(|()| out.flush());
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

    /// Writes out what was flushed, and ends.
    pub fn close(self) {
        drop(self.chunks);
        // A writer that panicked has nothing left to write.
        let _ = self.writer.join();
    }

    /// Hands the lines so far to the thread that writes them; drops and counts them if it is behind.
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

/// One event, as a line of key=value pairs.
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
    /// Begins the event `name`, in snake_case.
    pub fn new(name: &str) -> Self {
        Self {
            line: format!("event={name}"),
        }
    }

    /// Adds a pair; the value is quoted where it would not read back as one word.
    pub fn with(mut self, key: &str, value: impl Display) -> Self {
        let start = self.line.len();
        // Writing to a string does not fail.
        let _ = write!(self.line, " {key}={value}");
        let value_start = start + key.len() + 2;
        if needs_quotes(&self.line[value_start..]) {
            let quoted = format!("{:?}", &self.line[value_start..]);
            self.line.replace_range(value_start.., &quoted);
        }
        self
    }

    /// Returns the line.
    pub fn line(&self) -> &str {
        &self.line
    }

    /// Logs the event at the level of faults that need an operator.
    pub fn error(&self) {
        self.log(Level::Error);
    }

    /// Logs the event at the level of faults that the entry handles itself.
    pub fn warn(&self) {
        self.log(Level::Warn);
    }

    /// Logs the event at the level of changes of state.
    pub fn info(&self) {
        self.log(Level::Info);
    }

    /// Logs the event at the level of single requests.
    pub fn debug(&self) {
        self.log(Level::Debug);
    }

    fn log(&self, level: Level) {
        log::log!(level, "{}", self.line);
    }
}

fn needs_quotes(value: &str) -> bool {
    let is_plain = |letter: char| !letter.is_control() && !letter.is_whitespace();
    value.is_empty()
        || !value
            .chars()
            .all(|letter| is_plain(letter) && !"\"=\\".contains(letter))
}

/// Writes one line; lines of libraries become an event of their own.
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
