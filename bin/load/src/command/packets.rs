//! Packets a second through one balancer on loopback.

use std::net::SocketAddrV4;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use api::{Announcement, MemberState, Role, Scope};
use etherparse::PacketBuilder;
use rpc::{Client, Key};
use tokio::net::UdpSocket;
use units::{Incarnation, Slots, Weight};
use watcher::{HeartbeatPayload, Watcher, WatcherSettings};

use crate::cli::Packets;
use crate::error::LoadError;

/// Longest run in seconds.
const MAX_SECONDS: u64 = 60;

/// Longest wait for the balancer to know the agent.
const READY: Duration = Duration::from_secs(15);

/// Packets sent before the sender looks at the time.
const BATCH: usize = 64;

/// Announces an agent, floods the balancer with packets of open flows and counts what arrives.
///
/// # Errors
/// When a socket can't be opened or the balancer never sends anything.
pub async fn run(flags: Packets) -> Result<ExitCode, LoadError> {
    let usage = |what: &str, message: String| LoadError::Usage {
        what: what.into(),
        message: message.into(),
    };
    let key = Key::read(&flags.key).map_err(|e| usage("--key", e.to_string()))?;
    let sink = UdpSocket::bind("127.0.0.1:0")
        .await
        .map_err(LoadError::io("open the sink"))?;
    let address = match sink.local_addr() {
        Ok(std::net::SocketAddr::V4(address)) => address,
        _ => return Err(usage("sink", "no IPv4 address".into())),
    };
    let _agent = announce(&flags, key, address)?;
    let packets = segments(&flags);
    let source = UdpSocket::bind("127.0.0.1:0")
        .await
        .map_err(LoadError::io("open the source"))?;
    source
        .connect(flags.balancer)
        .await
        .map_err(LoadError::io("connect to the balancer"))?;
    wait_until_ready(&source, &sink, &packets[0]).await?;

    let received = Arc::new(AtomicU64::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let counter = tokio::spawn(count(sink, Arc::clone(&received), Arc::clone(&stop)));
    let seconds = flags.seconds.unwrap_or(5).min(MAX_SECONDS);
    let start = Instant::now();
    let sent = flood(&source, &packets, Duration::from_secs(seconds), flags.rate).await;
    let spent = start.elapsed().as_secs_f64();
    tokio::time::sleep(Duration::from_millis(200)).await;
    stop.store(true, Ordering::Release);
    counter.abort();
    let got = received.load(Ordering::Acquire);
    println!(
        "flows {} sent/s {:.0} through/s {:.0} share {:.3}",
        packets.len(),
        sent as f64 / spent,
        got as f64 / spent,
        got as f64 / sent.max(1) as f64
    );
    Ok(ExitCode::SUCCESS)
}

fn announce(flags: &Packets, key: Key, address: SocketAddrV4) -> Result<Watcher, LoadError> {
    let name = |e: units::NameError| LoadError::Usage {
        what: "name".into(),
        message: e.to_string().into(),
    };
    let service: units::ServiceName = flags.service.parse().map_err(name)?;
    let settings = WatcherSettings {
        control: Arc::new(watcher::Replicas::new(vec![flags.control])),
        incarnation: Incarnation(1),
        ..WatcherSettings::new(
            "packet-sink".parse().map_err(name)?,
            Role::Agent,
            "dc-1".parse().map_err(name)?,
            Scope::Service(service.clone()),
        )
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let beat = move || HeartbeatPayload {
        flows: 0,
        backend: Some(Announcement {
            service: service.clone(),
            packets: address,
            http: address,
            slots: Slots(1),
            weight: Weight(100),
            state: Some(MemberState::Serving),
        }),
    };
    Ok(Watcher::start(settings, Client::new(key), log, beat))
}

/// One packet without SYN per flow, with the payload of a small request.
fn segments(flags: &Packets) -> Vec<Vec<u8>> {
    let flows = flags.flows.unwrap_or(1_000).max(1);
    let build = |n: usize| {
        let caller = std::net::Ipv4Addr::from(0x0B00_0000 + (n >> 14) as u32).octets();
        let port = 1024 + (n & 0x3FFF) as u16;
        let ip = PacketBuilder::ipv4(caller, flags.address.ip().octets(), 64);
        let tcp = ip.tcp(port, flags.address.port(), 7, 4096).ack(8);
        let payload = [0; 200];
        let mut out = Vec::with_capacity(tcp.size(payload.len()));
        tcp.write(&mut out, &payload)
            .map(|()| out)
            .unwrap_or_default()
    };
    (0..flows).map(build).collect()
}

async fn wait_until_ready(
    source: &UdpSocket,
    sink: &UdpSocket,
    packet: &[u8],
) -> Result<(), LoadError> {
    let mut buffer = [0; wire::MAX_DATAGRAM_BYTES];
    let end = Instant::now() + READY;
    while Instant::now() < end {
        // A refused send means that the balancer is not there yet.
        let _ = source.send(packet).await;
        let answer = tokio::time::timeout(Duration::from_millis(100), sink.recv(&mut buffer)).await;
        if matches!(answer, Ok(Ok(_))) {
            return Ok(());
        }
    }
    let message =
        "no packet came through; do control and the balancer run with this service?".into();
    Err(LoadError::Usage {
        what: "--balancer".into(),
        message,
    })
}

async fn count(sink: UdpSocket, received: Arc<AtomicU64>, stop: Arc<AtomicBool>) {
    let mut buffer = [0; wire::MAX_DATAGRAM_BYTES];
    while !stop.load(Ordering::Acquire) {
        if sink.readable().await.is_err() {
            return;
        }
        while sink.try_recv(&mut buffer).is_ok() {
            received.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Sends for a time at a rate per second, or as fast as the socket takes packets.
async fn flood(source: &UdpSocket, packets: &[Vec<u8>], span: Duration, rate: Option<u64>) -> u64 {
    let start = Instant::now();
    let mut sent = 0;
    let mut next = 0;
    while start.elapsed() < span {
        let due = rate.map(|rate| (rate as f64 * start.elapsed().as_secs_f64()) as u64);
        for _ in 0..BATCH {
            if due.is_some_and(|due| sent >= due) {
                break;
            }
            if source.try_send(&packets[next % packets.len()]).is_ok() {
                sent += 1;
                next += 1;
            }
        }
        tokio::task::yield_now().await;
    }
    sent
}
