//! Balancers of the simulation, with their views.

use std::time::Duration;

use api::{RouteView, ServiceView, TableUpdate, TargetView, WatchReply};
use dispatch::{Action, Directory, DispatchSettings, Dispatcher, DropReason};
use tokio::time::Instant;
use units::{Millis, Version};
use watcher::View;
use wire::{Header, Segment};

use super::{READ_MS, RETRANSMIT_MS, Scheduled, Simulation, inner, notice_address, stored_syn};
use crate::common::{SERVICE, centre, flow, table};

/// Times after its first SYN at which a caller sends copies.
static SYN_COPIES: [Duration; 60] = {
    let mut times = [Duration::ZERO; 60];
    let mut number = 0;
    while number < times.len() {
        times[number] = Duration::from_millis(RETRANSMIT_MS * (number as u64 + 1));
        number += 1;
    }
    times
};

impl Simulation {
    pub(super) fn balancer(&self, number: usize) -> Dispatcher {
        let settings = DispatchSettings {
            syn_copies: &SYN_COPIES,
            ..DispatchSettings::default()
        };
        // Copies that enter in another data centre have other candidates.
        let centre_name = if number == 0 { "b" } else { "a" };
        Dispatcher::new(
            settings,
            notice_address(number),
            centre(centre_name),
            self.instant(),
        )
    }

    pub(super) fn update_directory(&mut self) {
        let profile = r#"{"name":"p","protocol":"opaque"}"#;
        let service = r#"{"name":"s","tenant":"t","profile":"p"}"#;
        let table = table(self.epoch, self.members.clone());
        let reply = WatchReply {
            config: Version(1),
            services: vec![ServiceView {
                id: SERVICE,
                service: serde_json::from_str(service).unwrap(),
                profile: serde_json::from_str(profile).unwrap(),
                version: Version(1),
            }],
            tables: vec![TableUpdate::Snapshot((*table).clone())],
            routes: vec![RouteView {
                address: flow(1).service,
                targets: vec![TargetView {
                    service: SERVICE,
                    weight: 1,
                }],
                former: vec![],
                latency_ms: Millis(150),
                priority: 1,
            }],
            complete: true,
            index: 1,
            ..WatchReply::default()
        };
        let view = View::default().updated(&reply, Instant::now()).unwrap();
        self.directory = Directory::default().updated(&view);
    }

    /// A balancer's view, with the last read that it made.
    pub(super) fn directory_of(&self, number: usize) -> Directory {
        self.directory.clone().with_read_at(self.read_at[number])
    }

    pub(super) fn dispatch(&mut self, number: usize, segment: Option<&Segment>) {
        let now = self.instant();
        let mut out = Vec::new();
        let directory = self.directory_of(number);
        let balancer = &mut self.balancers[number];
        match segment {
            Some(segment) => {
                let inner = inner(segment);
                balancer.record_drained(now);
                balancer.handle_packet(now, &directory, true, segment, &inner, &mut out);
            }
            None => balancer.tick(now, &mut out),
        }
        self.execute(number, out, segment);
    }

    /// Executes the actions of a balancer.
    pub(super) fn execute(&mut self, number: usize, out: Vec<Action>, segment: Option<&Segment>) {
        for action in out {
            match action {
                Action::Send(header) => self.forward(header, *segment.unwrap()),
                Action::Resend {
                    flow,
                    header,
                    inner,
                } => self.forward(header, stored_syn(flow, &inner)),
                Action::Refuse(_) => {
                    let flow = segment.unwrap().flow;
                    self.send(Scheduled::Reset(number, flow, 0));
                }
                Action::Drop(DropReason::MayBeOpen) => {}
                Action::Search { flow, header, .. } => {
                    if let Some(segment) = self.callers[&flow].segment() {
                        self.forward(header, segment);
                    }
                }
                Action::ReadView => {
                    let read = Scheduled::ReadView(number, self.instant());
                    self.schedule(self.now + READ_MS, read);
                }
                Action::Reset { flow, seq } => {
                    self.send(Scheduled::Reset(number, flow, seq));
                }
                other => panic!("{other:?} at balancer {number}"),
            }
        }
    }

    /// Hands a packet that an agent returned to its balancer.
    pub(super) fn return_packet(&mut self, number: usize, header: &Header, segment: &Segment) {
        let (now, directory) = (self.instant(), self.directory_of(number));
        let mut out = Vec::new();
        let balancer = &mut self.balancers[number];
        balancer.handle_not_held(now, &directory, header, segment, &inner(segment), &mut out);
        self.execute(number, out, Some(segment));
    }

    /// Hands a SYN that no agent accepts to its balancer.
    pub(super) fn return_syn(&mut self, number: usize, header: &Header, segment: &Segment) {
        let mut out = Vec::new();
        let now = self.instant();
        self.balancers[number].handle_unplaced(now, header, segment, &mut out);
        self.execute(number, out, Some(segment));
    }

    /// Ends a read of a balancer's view that began at `began`.
    pub(super) fn finish_read(&mut self, number: usize, began: Instant) {
        self.read_at[number] = Some(began);
        let (now, directory) = (self.instant(), self.directory_of(number));
        let mut out = Vec::new();
        self.balancers[number].handle_read(now, &directory, &mut out);
        self.execute(number, out, None);
    }
}
