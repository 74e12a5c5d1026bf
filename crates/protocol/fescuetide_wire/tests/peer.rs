//! Messages between gateways of this version and of the one before, which serve side by side while gateways are replaced.

use std::net::SocketAddr;

use fescuetide_base::SpanMillis;
use fescuetide_fleet::PeerNews;
use fescuetide_wire::codec;
use fescuetide_wire::peer::FleetWire;
use fescuetide_wire::peer::PeerAsk;
use fescuetide_wire::peer::PeerReply;
use fescuetide_wire::peer::join_news;
use fescuetide_wire::peer::split_news;
use fescuetide_wire::rpc::EvidenceWire;
use serde::Deserialize;
use serde::Serialize;

/// [`PeerAsk`] before it told ages.
#[derive(Debug, Serialize, Deserialize)]
struct EarlierAsk {
    sender: SocketAddr,
    known: Vec<SocketAddr>,
    suspects: Vec<EvidenceWire>,
    wants_fleet: bool,
}

/// [`PeerReply`] before it told ages.
#[derive(Debug, Serialize, Deserialize)]
struct EarlierReply {
    known: Vec<SocketAddr>,
    suspects: Vec<EvidenceWire>,
    fleet: Option<FleetWire>,
}

fn addresses() -> Vec<SocketAddr> {
    vec![
        "10.1.0.40:8229".parse().unwrap(),
        "10.2.0.29:8229".parse().unwrap(),
    ]
}

/// Guards against gateways that cannot talk to those of the version before.
#[test]
fn messages_of_the_version_before_are_understood() {
    let ask = EarlierAsk {
        sender: addresses()[0],
        known: addresses(),
        suspects: Vec::new(),
        wants_fleet: true,
    };
    let read: PeerAsk = codec::decode(&codec::encode(&ask).unwrap()).unwrap();
    assert_eq!((read.sender, read.known), (ask.sender, ask.known));
    assert!(read.wants_fleet && read.ages_ms.is_empty());
    let reply = EarlierReply {
        known: addresses(),
        suspects: Vec::new(),
        fleet: None,
    };
    let read: PeerReply = codec::decode(&codec::encode(&reply).unwrap()).unwrap();
    let news = join_news(&read.known, &read.ages_ms);
    assert!(news.iter().all(|news| news.age.is_none()) && news.len() == 2);
}

/// Guards against gateways of the version before that cannot talk to those of this one.
#[test]
fn messages_are_understood_by_the_version_before() {
    let news = addresses().into_iter().map(|address| PeerNews {
        address,
        age: Some(SpanMillis::new(1_500)),
    });
    let news: Vec<PeerNews> = news.collect();
    let (known, ages_ms) = split_news(&news);
    assert_eq!(join_news(&known, &ages_ms), news);
    let ask = PeerAsk {
        sender: addresses()[0],
        known: known.clone(),
        suspects: Vec::new(),
        wants_fleet: false,
        ages_ms: ages_ms.clone(),
    };
    let read: EarlierAsk = codec::decode(&codec::encode(&ask).unwrap()).unwrap();
    assert_eq!((read.sender, read.known), (ask.sender, ask.known));
    let reply = PeerReply {
        known,
        suspects: Vec::new(),
        fleet: None,
        ages_ms,
    };
    let read: EarlierReply = codec::decode(&codec::encode(&reply).unwrap()).unwrap();
    assert_eq!(read.known, addresses());
    assert!(read.fleet.is_none());
}
