//! Proxies between real sockets on loopback.
#![expect(clippy::unwrap_used, reason = "helpers of tests fail by panicking")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use faults::{Link, Links, Plan, TcpProxy, UdpProxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::timeout;

const SHORT: Duration = Duration::from_millis(150);
const LONG: Duration = Duration::from_secs(5);

fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

async fn udp_echo() -> SocketAddr {
    let socket = UdpSocket::bind(any()).await.unwrap();
    let address = socket.local_addr().unwrap();
    tokio::spawn(async move {
        let mut buf = [0; 2_048];
        while let Ok((size, from)) = socket.recv_from(&mut buf).await {
            let _ = socket.send_to(&buf[..size], from).await;
        }
    });
    address
}

async fn tcp_echo() -> SocketAddr {
    let listener = TcpListener::bind(any()).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut input, mut output) = stream.split();
                let _ = tokio::io::copy(&mut input, &mut output).await;
            });
        }
    });
    address
}

async fn udp_pair(plan: Plan, seed: u64) -> (UdpProxy, UdpSocket) {
    let proxy = UdpProxy::start(any(), udp_echo().await, plan, seed)
        .await
        .unwrap();
    let client = UdpSocket::bind(any()).await.unwrap();
    client.connect(proxy.address()).await.unwrap();
    (proxy, client)
}

async fn receive(client: &UdpSocket, within: Duration) -> Option<u8> {
    let mut buf = [0; 16];
    let size = timeout(within, client.recv(&mut buf)).await.ok()?.unwrap();
    assert_eq!(size, 1);
    Some(buf[0])
}

/// Guards against a proxy that changes, drops or reorders without being told to.
#[tokio::test]
async fn udp_passes_everything_by_default() {
    let (proxy, client) = udp_pair(Plan::default(), 1).await;
    for number in 0..100 {
        client.send(&[number]).await.unwrap();
        assert_eq!(receive(&client, LONG).await, Some(number));
    }
    let stats = proxy.stats();
    assert_eq!(
        (stats.received, stats.delivered, stats.clients),
        (200, 200, 1)
    );
}

/// Guards against loss and copies that are not counted or not by seed.
#[tokio::test]
async fn udp_loses_and_copies_by_seed() {
    let plan = Plan {
        loss: 0.3,
        duplicate: 0.2,
        ..Plan::default()
    };
    let mut seen = Vec::new();
    for _ in 0..2 {
        let (proxy, client) = udp_pair(plan, 42).await;
        for number in 0..100 {
            client.send(&[number]).await.unwrap();
        }
        while receive(&client, SHORT).await.is_some() {}
        let stats = proxy.stats();
        assert!(stats.lost > 20 && stats.duplicated > 5, "{stats:?}");
        assert_eq!(
            stats.received - stats.lost + stats.duplicated,
            stats.delivered
        );
        seen.push((stats.received, stats.lost, stats.duplicated));
    }
    assert_eq!(seen[0], seen[1]);
}

/// Guards against a cut that can't be set, works both ways or never ends.
#[tokio::test]
async fn udp_cut_and_healed_at_run_time() {
    let (proxy, client) = udp_pair(Plan::default(), 1).await;
    proxy
        .set(Plan {
            cut: (false, true),
            ..Plan::default()
        })
        .unwrap();
    client.send(&[1]).await.unwrap();
    assert_eq!(receive(&client, SHORT).await, None);
    assert_eq!(proxy.stats().cut, 1);
    proxy.set(Plan::default()).unwrap();
    client.send(&[2]).await.unwrap();
    assert_eq!(receive(&client, LONG).await, Some(2));
}

/// Guards against a freeze that loses instead of holding.
#[tokio::test]
async fn udp_freeze_holds() {
    let (proxy, client) = udp_pair(
        Plan {
            freeze: true,
            ..Plan::default()
        },
        1,
    )
    .await;
    client.send(&[9]).await.unwrap();
    assert_eq!(receive(&client, SHORT).await, None);
    proxy.set(Plan::default()).unwrap();
    assert_eq!(receive(&client, LONG).await, Some(9));
}

/// Guards against reordering that never changes the order.
#[tokio::test]
async fn udp_reorders() {
    let (_proxy, client) = udp_pair(
        Plan {
            reorder: 0.3,
            ..Plan::default()
        },
        3,
    )
    .await;
    for number in 0..50 {
        client.send(&[number]).await.unwrap();
    }
    let mut order = Vec::new();
    while let Some(number) = receive(&client, SHORT).await {
        order.push(number);
    }
    assert_eq!(order.len(), 50);
    assert!(!order.is_sorted(), "{order:?}");
}

/// Guards against TCP bytes that are lost, repeated or reordered: a stream never is.
#[tokio::test]
async fn tcp_keeps_order_under_delay_and_loss() {
    let plan = Plan {
        loss: 0.05,
        delay_ms: 1,
        jitter_ms: 5,
        ..Plan::default()
    };
    let proxy = TcpProxy::start(any(), tcp_echo().await, plan, 5)
        .await
        .unwrap();
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    let sent: Vec<u8> = (0..200_000_u32).map(|n| (n % 251) as u8).collect();
    let (mut input, mut output) = stream.split();
    let write = async {
        output.write_all(&sent).await.unwrap();
        output.shutdown().await.unwrap();
    };
    let mut got = Vec::new();
    let (_, read) = tokio::join!(write, timeout(LONG * 4, input.read_to_end(&mut got)));
    read.unwrap().unwrap();
    assert_eq!(got, sent);
}

/// Guards against a TCP cut that closes the connection instead of holding the bytes.
#[tokio::test]
async fn tcp_cut_holds_then_delivers() {
    let proxy = TcpProxy::start(any(), tcp_echo().await, Plan::partition(), 5)
        .await
        .unwrap();
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    stream.write_all(b"a").await.unwrap();
    let mut buf = [0; 1];
    assert!(timeout(SHORT, stream.read_exact(&mut buf)).await.is_err());
    proxy.set(Plan::default()).unwrap();
    timeout(LONG, stream.read_exact(&mut buf))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(&buf, b"a");
    assert!(proxy.stats().cut > 0);
}

/// Guards against a sever that leaves a connection open, and a delay that is not applied.
#[tokio::test]
async fn tcp_delays_and_severs() {
    let plan = Plan {
        delay_ms: 40,
        ..Plan::default()
    };
    let proxy = TcpProxy::start(any(), tcp_echo().await, plan, 5)
        .await
        .unwrap();
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    let begin = Instant::now();
    stream.write_all(b"a").await.unwrap();
    let mut buf = [0; 1];
    stream.read_exact(&mut buf).await.unwrap();
    assert!(begin.elapsed() >= Duration::from_millis(80));
    proxy.sever();
    let end = timeout(LONG, stream.read(&mut buf)).await.unwrap();
    assert!(matches!(end, Ok(0) | Err(_)));
}

/// Guards against a limit that counts each connection of a link by itself.
#[tokio::test]
async fn tcp_connections_share_the_speed_of_a_link() {
    let link = Link::with_kbps(800);
    let links = Links {
        back: Some(link.clone()),
        ..Links::default()
    };
    let proxy = TcpProxy::start_on(links, any(), tcp_echo().await, Plan::default(), 5)
        .await
        .unwrap();
    let begin = Instant::now();
    let mut copies = JoinSet::new();
    for _ in 0..4 {
        let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
        copies.spawn(async move {
            stream.write_all(&[7; 10_000]).await.unwrap();
            stream.read_exact(&mut [0; 10_000]).await.unwrap();
        });
    }
    timeout(LONG, copies.join_all()).await.unwrap();
    assert!(begin.elapsed() >= Duration::from_millis(399));
    assert_eq!(link.carried(), 40_000);
}
