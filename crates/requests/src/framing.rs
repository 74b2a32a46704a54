//! Request boundaries in the byte stream of a connection.
//!
//! If a head has both `Transfer-Encoding` and `Content-Length`, hyper uses the
//! former and doesn't report the conflict. A sender that goes by the other
//! header could then smuggle a second request, so such a request is rejected
//! and its connection closed. The boundaries also show how long a head has been
//! incomplete.

/// Largest number of headers in a request; the same limit as in hyper.
const MAX_HEADERS: usize = 100;

/// Parser state: what the next byte belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ParserState {
    Idle,
    Head,
    FixedBody(u64),
    ChunkSize {
        size: u64,
        extension: bool,
    },
    ChunkData(u64),
    Trailer {
        line_empty: bool,
    },
    /// The request is invalid or its head too long; hyper rejects it.
    Invalid,
}

/// Tracks the request boundaries of one connection.
#[derive(Debug)]
pub(crate) struct Framing {
    state: ParserState,
    head: Vec<u8>,
    max_head_bytes: usize,
    conflicting_lengths: bool,
}

impl Framing {
    pub(crate) fn new(max_head_bytes: usize) -> Self {
        Self {
            state: ParserState::Idle,
            head: Vec::new(),
            max_head_bytes,
            conflicting_lengths: false,
        }
    }

    /// Whether a request head had conflicting lengths.
    pub(crate) fn has_conflicting_lengths(&self) -> bool {
        self.conflicting_lengths
    }

    /// Whether a request head is incomplete.
    pub(crate) fn in_head(&self) -> bool {
        self.state == ParserState::Head
    }

    pub(crate) fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.state != ParserState::Invalid {
            let consumed = self.step(bytes);
            bytes = &bytes[consumed..];
        }
    }

    /// Consumes at least one byte and returns how many.
    fn step(&mut self, bytes: &[u8]) -> usize {
        match self.state {
            ParserState::Idle | ParserState::Head => return self.feed_head(bytes),
            ParserState::FixedBody(remaining) => {
                let consumed = remaining.min(bytes.len() as u64);
                self.state = match remaining - consumed {
                    0 => ParserState::Idle,
                    remaining => ParserState::FixedBody(remaining),
                };
                return consumed as usize;
            }
            // Includes the line break after the data.
            ParserState::ChunkData(remaining) => {
                let consumed = remaining.min(bytes.len() as u64);
                self.state = match remaining - consumed {
                    0 => ParserState::ChunkSize {
                        size: 0,
                        extension: false,
                    },
                    remaining => ParserState::ChunkData(remaining),
                };
                return consumed as usize;
            }
            ParserState::ChunkSize { size, extension } => {
                self.state = chunk_size(bytes[0], size, extension);
            }
            ParserState::Trailer { line_empty } => {
                self.state = match (bytes[0], line_empty) {
                    (b'\n', true) => ParserState::Idle,
                    (b'\n', false) => ParserState::Trailer { line_empty: true },
                    (b'\r', _) => ParserState::Trailer { line_empty },
                    _ => ParserState::Trailer { line_empty: false },
                };
            }
            ParserState::Invalid => return bytes.len(),
        }
        1
    }

    fn feed_head(&mut self, bytes: &[u8]) -> usize {
        // Empty lines are allowed before a request.
        if self.state == ParserState::Idle && matches!(bytes[0], b'\r' | b'\n') {
            return 1;
        }
        self.state = ParserState::Head;
        let old_length = self.head.len();
        self.head.extend_from_slice(bytes);
        let Some(end) = head_end(&self.head, old_length.saturating_sub(3)) else {
            if self.head.len() > self.max_head_bytes {
                self.state = ParserState::Invalid;
                self.head = Vec::new();
            }
            return bytes.len();
        };
        let head = std::mem::take(&mut self.head);
        self.state = self.parse_head(&head[..end]);
        end - old_length
    }

    fn parse_head(&mut self, head: &[u8]) -> ParserState {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        if !matches!(request.parse(head), Ok(httparse::Status::Complete(_))) {
            return ParserState::Invalid;
        }
        let mut length = None;
        let mut chunked = false;
        for header in request.headers.iter() {
            if header.name.eq_ignore_ascii_case("transfer-encoding") {
                chunked = true;
            } else if header.name.eq_ignore_ascii_case("content-length") {
                let value = std::str::from_utf8(header.value).unwrap_or("");
                let Ok(value) = value.trim().parse::<u64>() else {
                    return ParserState::Invalid;
                };
                self.conflicting_lengths |= length.is_some_and(|length| length != value);
                length = Some(value);
            }
        }
        self.conflicting_lengths |= chunked && length.is_some();
        match (chunked, length) {
            (true, _) => ParserState::ChunkSize {
                size: 0,
                extension: false,
            },
            (false, None | Some(0)) => ParserState::Idle,
            (false, Some(length)) => ParserState::FixedBody(length),
        }
    }
}

fn chunk_size(byte: u8, size: u64, extension: bool) -> ParserState {
    match byte {
        b'\n' if size == 0 => ParserState::Trailer { line_empty: true },
        b'\n' => ParserState::ChunkData(size.saturating_add(2)),
        b'\r' => ParserState::ChunkSize { size, extension },
        _ if extension => ParserState::ChunkSize { size, extension },
        b';' | b' ' | b'\t' => ParserState::ChunkSize {
            size,
            extension: true,
        },
        _ => match char::from(byte).to_digit(16) {
            Some(digit) if size < 1 << 56 => ParserState::ChunkSize {
                size: size * 16 + u64::from(digit),
                extension,
            },
            _ => ParserState::Invalid,
        },
    }
}

/// Returns the index after the empty line that ends the head, searching from `from`.
fn head_end(head: &[u8], from: usize) -> Option<usize> {
    (from..head.len()).find_map(|at| {
        let rest = &head[at..];
        if rest.starts_with(b"\n\r\n") {
            Some(at + 3)
        } else if rest.starts_with(b"\n\n") {
            Some(at + 2)
        } else {
            None
        }
    })
}
