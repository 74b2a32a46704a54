//! Connections with byte streams. Guards against a truncated stream that looks complete, and
//! against data loss when one direction is closed early.

use std::time::Duration;

use bytes::Bytes;
use netstack::pipe::{self, Pipe};
use netstack::{Connection, FlowEnd, StackSettings, State, stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use units::Flow;

const TIME_LIMIT: Duration = Duration::from_secs(60);

fn flow() -> Flow {
    "10.0.0.1:4000>10.9.0.1:80".parse().expect("a flow")
}

type DriveTask = JoinHandle<FlowEnd>;

/// Both ends of a connection over a link without faults.
struct Ends {
    caller: Pipe,
    service: Pipe,
    caller_end: DriveTask,
    service_end: DriveTask,
    /// Keeps the link to the service open after the caller has stopped.
    link: mpsc::Sender<Bytes>,
}

fn spawn(
    connection: Connection,
    to: mpsc::Sender<Bytes>,
    from: mpsc::Receiver<Bytes>,
) -> (Pipe, DriveTask) {
    let (outer, inner) = pipe::pair(8 << 10);
    let send = move |packet: &[u8]| {
        // A full queue drops the packet, as a network link does.
        let _ = to.try_send(Bytes::copy_from_slice(packet));
    };
    (
        outer,
        tokio::spawn(stream::drive(connection, from, send, inner)),
    )
}

fn connect() -> Ends {
    let settings = StackSettings::default();
    let now = Instant::now();
    let (to_service, at_service) = mpsc::channel(64);
    let (to_caller, at_caller) = mpsc::channel(64);
    let caller = Connection::connect(&settings, flow(), now, 1);
    let service = Connection::accept(&settings, flow(), now, 2);
    let link = to_service.clone();
    let (caller, caller_end) = spawn(caller, to_service, at_caller);
    let (service, service_end) = spawn(service, to_caller, at_service);
    Ends {
        caller,
        service,
        caller_end,
        service_end,
        link,
    }
}

async fn end(task: DriveTask) -> FlowEnd {
    timeout(TIME_LIMIT, task)
        .await
        .expect("an end in time")
        .expect("an end")
}

/// Guards against a half-close that ends both directions.
#[tokio::test(start_paused = true)]
async fn each_direction_closes_independently() {
    let mut ends = connect();
    ends.caller.write_all(b"request").await.expect("a send");
    ends.caller.shutdown().await.expect("a close");
    let mut request = Vec::new();
    ends.service
        .read_to_end(&mut request)
        .await
        .expect("an orderly end");
    assert_eq!(request, b"request");
    sleep(Duration::from_secs(300)).await;
    let response = vec![7; 200_000];
    let (mut service, sent) = (ends.service, response.clone());
    tokio::spawn(async move {
        service.write_all(&sent).await.expect("a send");
        service.shutdown().await.expect("a close");
        service
    });
    let mut got = Vec::new();
    ends.caller
        .read_to_end(&mut got)
        .await
        .expect("an orderly end");
    assert!(got == response);
    assert_eq!(end(ends.caller_end).await, FlowEnd::Closed);
    assert_eq!(end(ends.service_end).await, FlowEnd::Closed);
}

/// Guards against FIN from an application that was dropped in the middle of its response.
#[tokio::test(start_paused = true)]
async fn dropped_application_sends_a_reset() {
    let mut ends = connect();
    ends.service.write_all(b"half").await.expect("a send");
    let mut half = [0; 4];
    ends.caller.read_exact(&mut half).await.expect("data");
    drop(ends.service);
    let rest = ends.caller.read_to_end(&mut Vec::new()).await;
    assert!(rest.is_err(), "a truncated stream looks complete");
    assert_eq!(end(ends.service_end).await, FlowEnd::Aborted);
    assert_eq!(end(ends.caller_end).await, FlowEnd::Reset);
}

/// Guards against an orderly end at the backend server after the caller's RST.
#[tokio::test]
async fn reset_reaches_a_local_connection_as_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let app = TcpStream::connect(address).await.expect("a connection");
    let (mut backend, _) = listener.accept().await.expect("a connection");
    let settings = StackSettings::default();
    let now = Instant::now();
    let (to_service, at_service) = mpsc::channel(64);
    let (to_caller, at_caller) = mpsc::channel(64);
    let (mut caller, _end) = spawn(
        Connection::connect(&settings, flow(), now, 1),
        to_service,
        at_caller,
    );
    let service = Connection::accept(&settings, flow(), now, 2);
    let send = move |packet: &[u8]| {
        let _ = to_caller.try_send(Bytes::copy_from_slice(packet));
    };
    let driven = tokio::spawn(stream::drive(service, at_service, send, app));
    caller.write_all(b"half a request").await.expect("a send");
    let mut half = [0; 14];
    backend.read_exact(&mut half).await.expect("data");
    drop(caller);
    assert_eq!(end(driven).await, FlowEnd::Reset);
    assert!(backend.read_to_end(&mut Vec::new()).await.is_err());
}

/// Guards against connections that stay open after their peer is lost, and against RST to a caller
/// whose handshake another agent completed.
#[tokio::test(start_paused = true)]
async fn lost_peers_time_out() {
    let mut ends = connect();
    ends.caller.write_all(b"x").await.expect("a send");
    ends.service.read_exact(&mut [0]).await.expect("data");
    // Keep-alive probes keep an idle connection open.
    sleep(Duration::from_secs(600)).await;
    assert!(!ends.service_end.is_finished());
    ends.caller_end.abort();
    assert!(!ends.link.is_closed());
    assert_eq!(
        timeout(Duration::from_secs(100), ends.service_end)
            .await
            .expect("in time")
            .expect("an end"),
        FlowEnd::TimedOut
    );

    let now = Instant::now();
    let settings = StackSettings::default();
    let mut caller = Connection::connect(&settings, flow(), now, 1);
    let mut service = Connection::accept(&settings, flow(), now, 2);
    let mut syn = Vec::new();
    caller.poll(now, &mut syn);
    service.receive(now, &syn[0]);
    let mut sent = Vec::new();
    let mut time = now;
    while !matches!(service.state(), State::Ended(_)) && time < now + TIME_LIMIT {
        time += Duration::from_millis(100);
        service.poll(time, &mut sent);
    }
    assert_eq!(service.state(), State::Ended(FlowEnd::TimedOut));
    let resets = sent.iter().filter(|packet| packet[33] & 4 != 0).count();
    assert!(sent.len() > 2 && resets == 0, "SYN-ACKs only");
}

/// Guards against RST from an agent that aborts a half-open flow that another agent owns.
#[tokio::test(start_paused = true)]
async fn half_open_service_side_ends_without_a_reset() {
    let now = Instant::now();
    let settings = StackSettings::default();
    let mut caller = Connection::connect(&settings, flow(), now, 1);
    let mut service = Connection::accept(&settings, flow(), now, 2);
    let mut sent = Vec::new();
    caller.poll(now, &mut sent);
    service.receive(now, &sent[0]);
    sent.clear();
    service.poll(now, &mut sent);
    service.abort();
    service.poll(now, &mut sent);
    assert_eq!((sent.len(), sent[0][33]), (1, 0x12), "a SYN-ACK only");
    assert_eq!(service.state(), State::Ended(FlowEnd::Aborted));
}
