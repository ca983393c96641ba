use savorywalk::transport::KeyAuthority;

use crate::Result;
use crate::arguments::{Issue, Keys, KeysCmd};

/// Days for which a certificate is good when no number is given: long enough
/// to miss a rotation, short enough that a lost key ages out.
const DEFAULT_DAYS: u32 = 90;

/// Makes an authority or issues a certificate.
pub(crate) fn run(arguments: Keys) -> Result<()> {
    match arguments.subcommand {
        KeysCmd::Authority(arguments) => {
            KeyAuthority::create(&arguments.folder)?;
            println!("made an authority in {}", arguments.folder.display());
            Ok(())
        }
        KeysCmd::Issue(arguments) => issue(&arguments),
    }
}

fn issue(arguments: &Issue) -> Result<()> {
    let authority = KeyAuthority::open(&arguments.folder)?;
    let days = arguments.days.unwrap_or(DEFAULT_DAYS);
    let certificate = authority.issue(&arguments.name, days)?;
    println!("certificate={}", certificate.display());
    println!("key={}", certificate.with_extension("key").display());
    Ok(())
}
