//! Listeners that are shut down.

use std::rc::Rc;
use std::time::Duration;

use ochreyard_process::{ListenerGate, close_listeners};
use tokio::net::{TcpListener, TcpStream};

/// Time in which a connection on loopback is established many times over.
const CONNECT_TIME: Duration = Duration::from_millis(200);

async fn listen() -> Rc<TcpListener> {
    Rc::new(TcpListener::bind("127.0.0.1:0").await.unwrap())
}

/// Guards against connections that the system accepts for a process that is about to exit, which resets them.
#[tokio::test]
async fn no_connection_is_established_once_a_listener_is_closing() {
    let listener = listen().await;
    let gate = ListenerGate::new(Rc::clone(&listener)).close();
    let connect = TcpStream::connect(listener.local_addr().unwrap());
    assert!(tokio::time::timeout(CONNECT_TIME, connect).await.is_err(), "the connection is neither open nor refused");
    assert!(gate.is_drained());
}

/// Guards against connections that are left in the queue of a listener.
#[tokio::test]
async fn a_listener_is_drained_once_the_connections_before_are_accepted() {
    let listener = listen().await;
    let _caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let gate = ListenerGate::new(Rc::clone(&listener)).close();
    assert!(!gate.is_drained());
    listener.accept().await.unwrap();
    assert!(gate.is_drained());
}

/// Connections that are open stay as they are.
#[tokio::test]
async fn an_established_connection_outlives_its_listener() {
    let listener = listen().await;
    let caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    close_listeners([ListenerGate::new(listener)]).await;
    caller.writable().await.unwrap();
    assert_eq!(caller.try_write(b"request").unwrap(), 7);
    accepted.readable().await.unwrap();
    let mut received = [0; 7];
    assert_eq!(accepted.try_read(&mut received).unwrap(), 7);
}
