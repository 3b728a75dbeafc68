//! Runs the stand-in: `cargo run -p ochreyard-stand-ins --example plain -- ADDRESS`.

use ochreyard_stand_ins::args;
use ochreyard_stand_ins::plain::PlainService;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind(args::listen_addr()).await?;
    axum::serve(args::without_delay(listener), PlainService::default().router()).await
}
