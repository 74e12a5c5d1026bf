//! Two routers claim the same key concurrently and read the same winning claim from the log.

use fescuetide_base::prelude::*;
use fescuetide_claims::prelude::*;

fn claim_of(router: &str, target: &str, key: &ClaimKey) -> ClaimEntry {
    let holder = |name: &str| ProcessInstance {
        vm: name.parse().expect("VM name"),
        incarnation: ProcessIncarnation::new(1),
    };
    ClaimEntry {
        id: ClaimId::generate(),
        key: key.clone(),
        target: holder(target),
        router: holder(router),
        request_hash: 0,
        supersedes: None,
    }
}

fn main() {
    let key = ClaimKey {
        workspace: "acme".parse().expect("workspace name"),
        key: IdempotencyKey::generate(),
    };
    let log = [
        claim_of("router-2", "service-1", &key),
        claim_of("router-1", "service-3", &key),
    ];
    println!("{key} is in {}", ClaimPartition::of(&key));
    for reader in ["router-1", "router-2"] {
        let mut ledger = ClaimLedger::new(ClaimWindow::default());
        for (offset, claim) in log.iter().enumerate() {
            let offset = LogOffset::new(offset as u64);
            ledger
                .fold(offset, std::slice::from_ref(claim))
                .expect("offsets follow each other");
        }
        let ClaimStatus::Held(claim) = ledger.look_up(&key, ClockMillis::now()) else {
            unreachable!("the key was claimed");
        };
        let verdict = if claim.router.vm.as_str() == reader {
            "dispatches"
        } else {
            "asks the side process named there"
        };
        println!(
            "{reader} reads the claim of {} and {verdict}",
            claim.router.vm
        );
    }
}
