//! trial
use crate::options::args::Trial;
/// x
pub fn run(_o: &Trial) -> eyre::Result<()> {
    Ok(())
}
