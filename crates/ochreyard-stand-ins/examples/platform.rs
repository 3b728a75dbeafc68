//! Runs the stand-in for the platform: `cargo run -p ochreyard-stand-ins --example platform -- ADDRESS`.

use ochreyard_stand_ins::args;
use ochreyard_stand_ins::platform::Platform;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind(args::listen_addr()).await?;
    axum::serve(args::with_nodelay(listener), Platform::default().router()).await
}
