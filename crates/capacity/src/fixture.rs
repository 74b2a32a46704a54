//! Members, services and packets of any number.

use std::net::{Ipv4Addr, SocketAddrV4};

use api::{Member, MemberState, ServiceView, Table};
use etherparse::PacketBuilder;
use profile::{
    Class, Concurrency, Drain, Health, Keys, Objective, Profile, Protocol, Retry, Service, Tier,
};
use units::{Epoch, Flow, Incarnation, Millis, Region, ServiceId, Slots, Version, Weight};

/// Hosts per address at the design size: 28,000 behind 2,100.
pub const HOSTS_PER_SERVICE: usize = 13;

/// Port of every service.
const PORT: u16 = 80;

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a fixed name is valid")
}

fn address(base: u32, n: usize, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(base + n as u32), port)
}

/// A member.
pub fn member(n: usize) -> Member {
    Member {
        host: name(&format!("backend-{n:06}.dc-{}", n % 13)),
        incarnation: Incarnation(1_796_000_000_000 + n as u64),
        packets: address(0x0A40_0000, n, 7300),
        http: address(0x0A40_0000, n, 7400),
        centre: name(&format!("dc-{}", n % 13)),
        slots: Slots(4),
        weight: Weight(100),
        state: MemberState::Serving,
    }
}

/// Table of a service with members from `first`.
pub fn table(service: usize, epoch: u64, first: usize, hosts: usize) -> Table {
    let members = (first..first + hosts).map(member).collect();
    let service = ServiceId::new(Region(0), service as u32);
    Table {
        service,
        epoch: Epoch(epoch),
        changed: Millis(1_796_000_000_000),
        members,
    }
}

/// A profile like those of the brief's services.
pub fn profile(n: usize) -> Profile {
    let class = |class: &str, path: &str, tier, short| Class {
        name: name(class),
        method: None,
        path: path.into(),
        tier,
        short,
        stream: false,
        idempotent: false,
        deadline_ms: Millis(2_000),
        limit: units::Bytes(1 << 20),
    };
    Profile {
        name: name(&format!("profile-{n}")),
        protocol: Protocol::Http,
        classes: vec![
            class("sign-off", "/sign-offs", Tier::Critical, true),
            class("round", "/rounds", Tier::Normal, true),
            class("bundle", "/", Tier::Bulk, false),
        ],
        concurrency: Concurrency::default(),
        retry: Retry::default(),
        drain: Drain::default(),
        warmup_ms: Millis(10_000),
        idle_ms: Millis(60_000),
        health: Health::default(),
        keys: Keys::default(),
        objectives: vec![Objective {
            class: name("sign-off"),
            latency_ms: Millis(500),
            share: units::Percent::try_from(99.9).unwrap_or_default(),
        }],
    }
}

/// Profiles that the services share.
pub const PROFILES: usize = 500;

/// A service.
pub fn service(n: usize) -> Service {
    Service {
        name: name(&format!("service-{n}")),
        tenant: name(&format!("tenant-{}", n % 100)),
        profile: name(&format!("profile-{}", n % PROFILES)),
        address: Some(address(0x0AC0_0000, n, PORT)),
        region: Region(0),
    }
}

/// Service and profile as nodes hold them.
pub fn view(n: usize) -> ServiceView {
    ServiceView {
        id: ServiceId::new(Region(0), n as u32),
        service: service(n),
        profile: profile(n % PROFILES),
        version: Version(1 + n as u64),
    }
}

/// A flow of service 0.
pub fn flow(n: usize) -> Flow {
    let caller = SocketAddrV4::new(
        Ipv4Addr::from(0x0B00_0000 + (n >> 14) as u32),
        1024 + (n & 0x3FFF) as u16,
    );
    Flow {
        caller,
        service: address(0x0AC0_0000, 0, PORT),
    }
}

/// A segment without payload of a flow.
pub fn packet(flow: Flow, opens: bool) -> Vec<u8> {
    let ip = PacketBuilder::ipv4(flow.caller.ip().octets(), flow.service.ip().octets(), 64);
    let tcp = ip.tcp(flow.caller.port(), flow.service.port(), 7, 4096);
    let tcp = if opens { tcp.syn() } else { tcp.ack(8) };
    let mut out = Vec::with_capacity(tcp.size(0));
    tcp.write(&mut out, &[]).expect("a Vec takes every byte");
    out
}

/// Sizes up to a largest one, each over a factor of ten.
pub fn sizes(smallest: usize, count: u32, divisor: usize) -> Vec<usize> {
    let all = (0..count).map(|power| smallest * 10_usize.pow(power));
    let most = (smallest * 10_usize.pow(count - 1) / divisor).max(smallest * 10);
    all.filter(|size| *size <= most).collect()
}
