//! Measures CPU time and memory of connections; run it in release mode as `connections [COUNT]...`.
//!
//! Prints, for each number of open connection pairs, the time to open a pair,
//! the time per packet and the resident memory per connection.

use std::hint::black_box;
use std::time::Instant as Clock;

use netstack::{Connection, StackSettings};
use tokio::time::Instant;
use units::Flow;

/// Minimum number of packets in the packet measurement.
const MIN_PACKETS: usize = 200_000;

/// Resident memory in bytes; the second field of `statm` counts pages of 4 KiB.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|text| text.parse().ok());
    pages.unwrap_or(0) * 4096
}

fn flow(number: usize) -> Flow {
    let (high, low) = (number / 50_000, number % 50_000);
    let caller = std::net::Ipv4Addr::new(10, 0, 1, high as u8);
    Flow {
        caller: std::net::SocketAddrV4::new(caller, low as u16 + 1024),
        service: std::net::SocketAddrV4::new(std::net::Ipv4Addr::new(10, 9, 0, 1), 80),
    }
}

/// Exchanges packets until neither side has any to send; returns their number.
fn exchange(now: Instant, a: &mut Connection, b: &mut Connection) -> usize {
    let mut total = 0;
    loop {
        let (mut from_a, mut from_b) = (Vec::new(), Vec::new());
        a.poll(now, &mut from_a);
        b.poll(now, &mut from_b);
        if from_a.is_empty() && from_b.is_empty() {
            return total;
        }
        total += from_a.len() + from_b.len();
        from_a.iter().for_each(|packet| b.receive(now, packet));
        from_b.iter().for_each(|packet| a.receive(now, packet));
    }
}

fn measure(count: usize) {
    let settings = StackSettings::default();
    let now = Instant::now();
    let before = resident_bytes();
    let pair = |number: usize| {
        let seed = number as u64;
        let mut caller = Connection::connect(&settings, flow(number), now, seed);
        let mut service = Connection::accept(&settings, flow(number), now, !seed);
        exchange(now, &mut caller, &mut service);
        (caller, service)
    };
    let start = Clock::now();
    let mut pairs: Vec<(Connection, Connection)> = (0..count).map(pair).collect();
    let open_time = start.elapsed() / count as u32;
    // Reuses the memory of dropped connections, as a long-running process does.
    let start = Clock::now();
    for (number, slot) in pairs.iter_mut().enumerate() {
        *slot = pair(number);
    }
    let reopen_time = start.elapsed() / count as u32;
    let idle_bytes = (resident_bytes() - before) / count / 2;

    let body = [1; 1000];
    let mut buffer = [0; 2000];
    let mut packets = 0;
    let start = Clock::now();
    while packets < MIN_PACKETS {
        for (caller, service) in &mut pairs {
            caller.write(&body);
            packets += exchange(now, caller, service);
            black_box(service.read(&mut buffer));
            service.write(&body);
            packets += exchange(now, service, caller);
            black_box(caller.read(&mut buffer));
        }
    }
    let packet_time = start.elapsed() / packets as u32;
    let used_bytes = (resident_bytes() - before) / count / 2;
    println!(
        "{count:>7} pairs: {open_time:.1?} to open a pair, {reopen_time:.1?} to replace one, \
         {packet_time:>9.2?} per packet, {idle_bytes} resident bytes per side when idle, \
         {used_bytes} after use"
    );
}

fn main() {
    let counts: Vec<usize> = std::env::args().skip(1).flat_map(|a| a.parse()).collect();
    let counts = if counts.is_empty() {
        vec![100, 1_000, 10_000]
    } else {
        counts
    };
    counts.into_iter().for_each(measure);
    println!("Connection: {} bytes", size_of::<Connection>());
}
