//! Folds concurrent changes from a log and restores a second reader from a snapshot.

use fescuetide_base::ChangeId;
use fescuetide_base::ClassVersion;
use fescuetide_base::ClockMillis;
use fescuetide_base::LogOffset;
use fescuetide_classes::ChangeAction;
use fescuetide_classes::ClassChange;
use fescuetide_classes::ClassTable;
use fescuetide_classes::ClassTargets;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let change = |based_on: u64, author: &str| -> Result<ClassChange, Box<dyn std::error::Error>> {
        Ok(ClassChange {
            id: ChangeId::generate(),
            class: "chat".parse()?,
            based_on: ClassVersion::new(based_on),
            action: ChangeAction::Set(ClassTargets::default()),
            author: author.to_owned(),
            at: ClockMillis::new(0),
        })
    };
    let log = [change(0, "anna")?, change(1, "anna")?, change(1, "ben")?];
    let mut table = ClassTable::default();
    for (offset, change) in log.iter().enumerate() {
        let verdict = table.apply(LogOffset::new(offset as u64), change)?;
        println!("{}: {verdict:?}", change.author);
    }
    let mut reader = ClassTable::default();
    reader.restore(table.snapshot().clone());
    println!("both readers agree: {}", reader == table);
    Ok(())
}
