//! Counts requests of a class and prints the burn rates of its targets.

use fescuetide_base::ClassName;
use fescuetide_base::ClockMillis;
use fescuetide_base::TargetShare;
use fescuetide_classes::ClassTargets;
use fescuetide_records::BurnCount;
use fescuetide_records::BurnLedger;
use fescuetide_records::BurnReport;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let class: ClassName = "slide-rewrite".parse()?;
    let targets = ClassTargets {
        loss_share: TargetShare::new(0.001)?,
        ..ClassTargets::default()
    };
    let mut ledger = BurnLedger::default();
    let mut now = ClockMillis::new(0);
    for minute in 0..120_u64 {
        now = ClockMillis::new(minute * 60_000);
        let count = BurnCount {
            total: 100,
            late: 4,
            lost: u64::from(minute > 110),
            ..BurnCount::default()
        };
        ledger.note(&class, count, now);
    }
    let mut report = BurnReport::default();
    report.add_class(&class, &targets, &ledger.windows(&class, now));
    print!("{report}");
    Ok(())
}
