//! Command line.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;

xflags::xflags! {
    /// Test doubles, faults and experiments for jacinthsill.
    cmd load {
        /// Backend server stand-in.
        cmd backend {
            /// Settings file; the other options are not needed with it.
            optional --settings settings: PathBuf
            /// Address to listen on.
            optional --listen listen: SocketAddr
            /// Name in answers.
            optional --host host: String
            /// Requests in progress at a time.
            optional --slots slots: usize
            /// Echo bytes instead of answering HTTP requests.
            optional --echo
            /// Exit after this many seconds; 600 if left out.
            optional --seconds seconds: u64
        }
        /// Passes callers' packets to random balancers and agents' packets to callers.
        cmd fabric {
            /// Settings file.
            required settings: PathBuf
            /// Exit after this many seconds; 600 if left out.
            optional --seconds seconds: u64
        }
        /// Packets a second through one balancer.
        cmd packets {
            /// Control leader.
            required --control control: SocketAddr
            /// Balancer.
            required --balancer balancer: SocketAddr
            /// Key file.
            required --key key: PathBuf
            /// Service.
            required --service service: String
            /// Address of the service.
            required --address address: SocketAddrV4
            /// Flows; 1000 if left out.
            optional --flows flows: usize
            /// Packets a second; as many as possible if left out.
            optional --rate rate: u64
            /// Seconds, at most 60; 5 if left out.
            optional --seconds seconds: u64
        }
        /// Nodes that send heartbeats and poll control.
        cmd subscribers {
            /// Control leader.
            required --control control: SocketAddr
            /// Key file.
            required --key key: PathBuf
            /// Nodes, at most 4000.
            required --nodes nodes: usize
            /// Seconds, at most 120; 10 if left out.
            optional --seconds seconds: u64
        }
        /// Measures the slopes of the capacity page.
        cmd capacity {
            /// Divides the largest sizes; 1 if left out.
            optional --divisor divisor: usize
            /// File for the slopes as JSON.
            optional --json json: PathBuf
        }
        /// Fault-injecting proxy; reads a plan as JSON from each line of standard input.
        cmd proxy {
            /// Address to listen on.
            required listen: SocketAddr
            /// Address to pass traffic to.
            required target: SocketAddr
            /// Pass TCP instead of UDP.
            optional --tcp
            /// Seed; 1 if left out.
            optional --seed seed: u64
            /// First plan as JSON; no faults if left out.
            optional --plan plan: String
            /// Exit after this many seconds; 600 if left out.
            optional --seconds seconds: u64
        }
        /// Callers of the demonstration; `scripts/demo.sh` starts the other processes.
        cmd demo {
            /// Address that agents send answers to.
            required --fabric fabric: SocketAddr
            /// Address of a balancer.
            repeated --balancer balancer: SocketAddr
            /// Address of the HTTP service.
            required --http http: SocketAddrV4
            /// Address of the TCP service.
            required --tcp tcp: SocketAddrV4
            /// Address of a backend server's record of the HTTP service.
            repeated --record record: SocketAddr
            /// Flows of the TCP service.
            optional --flows flows: usize
            /// Connections for requests.
            optional --connections connections: usize
            /// Longest run in seconds; 40 if left out.
            optional --seconds seconds: u64
        }
        /// Writes the settings files of an experiment's processes, or lists the experiments.
        cmd settings {
            /// Experiments file.
            required file: PathBuf
            /// Experiment.
            optional --only only: String
            /// Folder for the settings files.
            optional --out out: PathBuf
        }
        /// Runs an experiment; `scripts/experiments.sh` starts the other processes.
        cmd run {
            /// Experiments file.
            required file: PathBuf
            /// Experiment.
            required --only only: String
            /// Folder for results; the current one if left out.
            optional --out out: PathBuf
        }
    }
}
