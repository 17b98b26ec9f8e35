//! demo
use crate::options::args::Demo;
/// x
pub fn run(_o: &Demo) -> eyre::Result<()> {
    Ok(())
}
