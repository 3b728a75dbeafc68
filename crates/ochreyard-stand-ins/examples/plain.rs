//! Runs the stand-in for a plain service: `cargo run -p ochreyard-stand-ins --example plain -- ADDRESS`.

use ochreyard_stand_ins::args;
use ochreyard_stand_ins::plain::PlainService;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind(args::listen_addr()).await?;
    axum::serve(args::with_nodelay(listener), PlainService::default().router()).await
}
