//! Prints the configuration of a deployment as JSON, with the demo's tokens;
//! samples/*/configuration.json are made by it.

use savorywalk_standin::Deployment;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let name = std::env::args().nth(1).unwrap_or_default();
    let deployment = Deployment::from_name(&name).ok_or("name roadside or airport")?;
    println!(
        "{}",
        serde_json::to_string_pretty(&deployment.plan().configuration)?
    );
    Ok(())
}
