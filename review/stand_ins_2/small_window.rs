//! Connections of a client with a small receive buffer, which fills as soon as the client stops reading.

use std::ffi::{c_int, c_void};
use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd, OwnedFd};

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
/// The smallest receive buffer of Linux is about twice this, in bytes.
static RECEIVE_BUFFER_BYTES: c_int = 1_152;

#[repr(C)]
struct SockaddrIn {
    family: u16,
    port: u16,
    addr: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, length: u32) -> c_int;
    fn connect(fd: c_int, addr: *const SockaddrIn, length: u32) -> c_int;
}

/// Opens a connection; the size of the buffer has to be set before.
pub fn open(addr: SocketAddrV4) -> io::Result<TcpStream> {
    // SAFETY: the arguments are plain numbers, and the result is checked.
    let fd = unsafe { socket(AF_INET, SOCK_STREAM, 0) };
    if fd < 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the descriptor was opened above, and nothing else owns it.
    let fd = unsafe { OwnedFd::from_raw_fd(fd) };
    let peer = SockaddrIn {
        family: AF_INET as u16,
        port: addr.port().to_be(),
        addr: u32::from_ne_bytes(addr.ip().octets()),
        zero: [0; 8],
    };
    // SAFETY: both pointers are to values that live until the calls return, with their sizes.
    let result = unsafe {
        setsockopt(fd.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, (&raw const RECEIVE_BUFFER_BYTES).cast(), 4);
        connect(fd.as_raw_fd(), &raw const peer, size_of::<SockaddrIn>() as u32)
    };
    if result < 0 { Err(io::Error::last_os_error()) } else { Ok(TcpStream::from(fd)) }
}
