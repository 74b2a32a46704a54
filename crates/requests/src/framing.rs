//! Boundaries of requests in the bytes of a connection.
//!
//! hyper takes `Transfer-Encoding` when a head also has `Content-Length` and
//! doesn't tell. A sender that counts by the other header would then smuggle a
//! second request, so such a connection is refused. The boundaries also tell
//! how long a head has been incomplete.

/// Most headers of a request; hyper's own limit.
const MAX_HEADERS: usize = 100;

/// Where the next byte belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Idle,
    Head,
    Fixed(u64),
    ChunkSize {
        size: u64,
        extension: bool,
    },
    ChunkData(u64),
    Trailer {
        empty: bool,
    },
    /// Not valid or too long; hyper refuses it.
    Lost,
}

/// Follows the requests of one connection.
#[derive(Debug)]
pub(crate) struct Framing {
    part: Part,
    head: Vec<u8>,
    max_head_bytes: usize,
    conflict: bool,
}

impl Framing {
    pub(crate) fn new(max_head_bytes: usize) -> Self {
        Self {
            part: Part::Idle,
            head: Vec::new(),
            max_head_bytes,
            conflict: false,
        }
    }

    /// Whether a head came with two lengths.
    pub(crate) fn is_conflict(&self) -> bool {
        self.conflict
    }

    /// Whether a head has begun and not ended.
    pub(crate) fn in_head(&self) -> bool {
        self.part == Part::Head
    }

    pub(crate) fn feed(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && self.part != Part::Lost {
            let used = self.step(bytes);
            bytes = &bytes[used..];
        }
    }

    /// Consumes at least one byte.
    fn step(&mut self, bytes: &[u8]) -> usize {
        match self.part {
            Part::Idle | Part::Head => return self.feed_head(bytes),
            Part::Fixed(left) => {
                let used = left.min(bytes.len() as u64);
                self.part = match left - used {
                    0 => Part::Idle,
                    left => Part::Fixed(left),
                };
                return used as usize;
            }
            // The line break after the data counts as data.
            Part::ChunkData(left) => {
                let used = left.min(bytes.len() as u64);
                self.part = match left - used {
                    0 => Part::ChunkSize {
                        size: 0,
                        extension: false,
                    },
                    left => Part::ChunkData(left),
                };
                return used as usize;
            }
            Part::ChunkSize { size, extension } => {
                self.part = chunk_size(bytes[0], size, extension);
            }
            Part::Trailer { empty } => {
                self.part = match (bytes[0], empty) {
                    (b'\n', true) => Part::Idle,
                    (b'\n', false) => Part::Trailer { empty: true },
                    (b'\r', _) => Part::Trailer { empty },
                    _ => Part::Trailer { empty: false },
                };
            }
            Part::Lost => return bytes.len(),
        }
        1
    }

    fn feed_head(&mut self, bytes: &[u8]) -> usize {
        // Empty lines may stand before a request.
        if self.part == Part::Idle && matches!(bytes[0], b'\r' | b'\n') {
            return 1;
        }
        self.part = Part::Head;
        let known = self.head.len();
        self.head.extend_from_slice(bytes);
        let Some(end) = head_end(&self.head, known.saturating_sub(3)) else {
            if self.head.len() > self.max_head_bytes {
                self.part = Part::Lost;
                self.head = Vec::new();
            }
            return bytes.len();
        };
        let head = std::mem::take(&mut self.head);
        self.part = self.body_part(&head[..end]);
        end - known
    }

    fn body_part(&mut self, head: &[u8]) -> Part {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        if !matches!(request.parse(head), Ok(httparse::Status::Complete(_))) {
            return Part::Lost;
        }
        let mut length = None;
        let mut chunked = false;
        for header in request.headers.iter() {
            if header.name.eq_ignore_ascii_case("transfer-encoding") {
                chunked = true;
            } else if header.name.eq_ignore_ascii_case("content-length") {
                let value = std::str::from_utf8(header.value).unwrap_or("");
                let Ok(value) = value.trim().parse::<u64>() else {
                    return Part::Lost;
                };
                self.conflict |= length.is_some_and(|length| length != value);
                length = Some(value);
            }
        }
        self.conflict |= chunked && length.is_some();
        match (chunked, length) {
            (true, _) => Part::ChunkSize {
                size: 0,
                extension: false,
            },
            (false, None | Some(0)) => Part::Idle,
            (false, Some(length)) => Part::Fixed(length),
        }
    }
}

fn chunk_size(byte: u8, size: u64, extension: bool) -> Part {
    match byte {
        b'\n' if size == 0 => Part::Trailer { empty: true },
        b'\n' => Part::ChunkData(size.saturating_add(2)),
        b'\r' => Part::ChunkSize { size, extension },
        _ if extension => Part::ChunkSize { size, extension },
        b';' | b' ' | b'\t' => Part::ChunkSize {
            size,
            extension: true,
        },
        _ => match char::from(byte).to_digit(16) {
            Some(digit) if size < 1 << 56 => Part::ChunkSize {
                size: size * 16 + u64::from(digit),
                extension,
            },
            _ => Part::Lost,
        },
    }
}

/// Index after the empty line, searched from `from`.
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
