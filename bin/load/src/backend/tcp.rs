//! TCP echo.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::Shared;

/// Size of a piece in bytes.
const PIECE: usize = 16 << 10;

/// Returns every byte until the caller closes its side, then closes the other.
pub(super) async fn echo(mut stream: TcpStream, shared: &Shared) {
    shared.record.connected();
    let mut buf = vec![0; PIECE];
    while let Ok(size) = stream.read(&mut buf).await {
        if size == 0 {
            break;
        }
        shared.record.echoed(size);
        if stream.write_all(&buf[..size]).await.is_err() {
            return;
        }
    }
    let _ = stream.shutdown().await;
}
