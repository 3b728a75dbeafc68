//! Reads the state of a TCP connection from the system (`TCP_INFO` of `tcp(7)`).

use std::io;
use std::os::fd::{AsFd, AsRawFd};

use ochreyard_core::direct::TcpSample;

/// Length of the part of `struct tcp_info` that is read, up to the window of the peer. Systems before Linux 6.2 return less.
const INFO_BYTES: usize = 232;
/// Offsets of fields of `struct tcp_info` in `linux/tcp.h`.
const STATE: usize = 0;
const PROBES: usize = 3;
const UNACKED: usize = 24;
const LAST_ACK_RECV: usize = 56;
const NOTSENT_BYTES: usize = 144;
const SND_WND: usize = 228;

/// Returns the state of a connection.
///
/// # Errors
///
/// When the system does not report the state.
pub fn sample(socket: &impl AsFd) -> io::Result<TcpSample> {
    let mut info = [0_u8; INFO_BYTES];
    let length_bytes = read_info(socket, &mut info)?;
    let word = |offset: usize| {
        let end = offset + size_of::<u32>();
        let bytes = info[..length_bytes].get(offset..end)?;
        Some(u32::from_ne_bytes(bytes.try_into().ok()?))
    };
    // No connection is in state 0.
    let (Some(unacked_segments), Some(last_ack_age_ms), Some(unsent_bytes), 1..) =
        (word(UNACKED), word(LAST_ACK_RECV), word(NOTSENT_BYTES), info[STATE])
    else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    Ok(TcpSample {
        unacked_segments,
        unsent_bytes,
        unanswered_probes: info[PROBES],
        last_ack_age_ms: last_ack_age_ms.into(),
        peer_window_bytes: word(SND_WND),
    })
}

#[allow(unsafe_code)]
fn read_info(socket: &impl AsFd, info: &mut [u8; INFO_BYTES]) -> io::Result<usize> {
    let mut length_bytes = INFO_BYTES as libc::socklen_t;
    // SAFETY: the descriptor is open while it is borrowed, and the system writes at most `length_bytes` bytes to `info`.
    let result = unsafe {
        libc::getsockopt(
            socket.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length_bytes,
        )
    };
    if result == 0 { Ok((length_bytes as usize).min(INFO_BYTES)) } else { Err(io::Error::last_os_error()) }
}
