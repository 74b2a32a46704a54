//! Callers through the fabric to a service double that stands in for balancer and agent.
#![expect(clippy::unwrap_used, reason = "helpers of tests fail by panicking")]

use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use faults::{Plan, UdpProxy, bind_udp};
use load::backend::{Backend, BackendSettings, Mode};
use load::caller::{Ask, Caller, EchoFlow, HttpFlow, Outcome};
use load::fabric::{Fabric, FabricSettings};
use netstack::{Connection, FlowEnd, StackSettings, stream};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;

const LIMIT: Duration = Duration::from_secs(10);

fn service() -> SocketAddrV4 {
    "10.99.0.1:80".parse().unwrap()
}

/// Accepts every flow and joins it to the backend server.
fn gateway(fabric: SocketAddr, backend: SocketAddr) -> SocketAddr {
    let socket = Arc::new(bind_udp("127.0.0.1:0".parse().unwrap()).unwrap());
    let address = socket.local_addr().unwrap();
    tokio::spawn(async move {
        let mut flows: HashMap<_, mpsc::Sender<Bytes>> = HashMap::new();
        let mut buf = [0; 2_048];
        loop {
            let (size, _) = socket.recv_from(&mut buf).await.unwrap();
            let segment = wire::inspect(&buf[..size]).unwrap();
            let sender = flows.entry(segment.flow).or_insert_with(|| {
                let (sender, receiver) = mpsc::channel(512);
                let settings = StackSettings::default();
                let connection = Connection::accept(&settings, segment.flow, Instant::now(), 9);
                let out = Arc::clone(&socket);
                tokio::spawn(async move {
                    let app = TcpStream::connect(backend).await.unwrap();
                    let send = |packet: &[u8]| {
                        let _ = out.try_send_to(packet, fabric);
                    };
                    stream::drive(connection, receiver, send, app).await
                });
                sender
            });
            let _ = sender.try_send(Bytes::copy_from_slice(&buf[..size]));
        }
    });
    address
}

async fn set_up(mode: Mode) -> (Backend, Fabric, Caller) {
    let settings = BackendSettings {
        mode,
        ..BackendSettings::default()
    };
    let backend = Backend::start(settings).await.unwrap();
    let fabric = Fabric::start(FabricSettings::default()).unwrap();
    let gateway = gateway(fabric.address().unwrap(), backend.address());
    fabric.set_balancers(vec![gateway.into()]);
    let caller = Caller::new(fabric.clone(), 200, 7);
    (backend, fabric, caller)
}

/// Guards against callers that lose or mix bytes, or that call a broken flow kept.
#[tokio::test]
async fn echo_flows_over_a_lossy_link() {
    let (_backend, fabric, caller) = set_up(Mode::Echo).await;
    let target = fabric.balancers()[0].address;
    let plan = Plan {
        loss: 0.02,
        reorder: 0.05,
        duplicate: 0.02,
        ..Plan::default()
    };
    let proxy = UdpProxy::start("127.0.0.1:0".parse().unwrap(), target, plan, 3)
        .await
        .unwrap();
    fabric.set_balancers(vec![proxy.address().into()]);
    let mut flows: Vec<_> = (0..50)
        .map(|_| EchoFlow::start(&caller, service(), Duration::from_millis(20)))
        .collect();
    for flow in &mut flows {
        assert!(flow.established(LIMIT).await);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let finishing: tokio::task::JoinSet<_> = flows.into_iter().map(EchoFlow::finish).collect();
    for report in finishing.join_all().await {
        let report = report.unwrap();
        assert!(report.is_kept(), "{report:?}");
    }
    assert!(proxy.stats().lost > 0);
}

/// Guards against a report that calls a flow kept although the backend server crashed.
#[tokio::test]
async fn crash_is_seen() {
    let (mut backend, _fabric, caller) = set_up(Mode::Echo).await;
    let mut flow = EchoFlow::start(&caller, service(), Duration::from_millis(20));
    assert!(flow.established(LIMIT).await);
    backend.crash();
    // A crash at the very moment of the wish to end can't be told from an orderly end.
    let over = async {
        while !flow.is_over() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(LIMIT, over).await.unwrap();
    let report = flow.finish().await.unwrap();
    assert!(!report.is_kept(), "{report:?}");
}

/// Guards against answers that are taken without a check.
#[tokio::test]
async fn answers_are_checked() {
    let (backend, _fabric, caller) = set_up(Mode::Http).await;
    let mut flow = HttpFlow::open(&caller, service()).await.unwrap();
    let ask = Ask {
        size: 50_000,
        ..Ask::get("id-1", "/a")
    };
    assert_eq!(flow.ask(&ask).await.0, Outcome::Complete);
    let ask = Ask::post("id-2", "/a", vec![7; 40_000]);
    assert_eq!(flow.ask(&ask).await.0, Outcome::Complete);
    assert_eq!(flow.board(5, LIMIT).await, (5, Outcome::Complete));
    backend.set(|behaviour| behaviour.die = 1);
    let ask = Ask {
        size: 50_000,
        ..Ask::get("id-3", "/a")
    };
    assert_eq!(flow.ask(&ask).await.0, Outcome::Truncated);
    let mut flow = HttpFlow::open(&caller, service()).await.unwrap();
    backend.set(|behaviour| behaviour.shed = 1.0);
    assert_eq!(flow.ask(&Ask::get("id-4", "/a")).await.0, Outcome::Shed);
    assert_eq!(flow.close(LIMIT).await, Some(FlowEnd::Closed));
}
