use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Interval at which a proxy tries to take its port again after a fault.
const REBIND_INTERVAL: Duration = Duration::from_millis(5);

/// How a network path is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathFault {
    /// Open connections go silent, and new ones are not answered.
    Hang,
    /// Open connections are reset, and new ones are refused.
    Reset,
    /// Open connections go on, and new ones are refused.
    Refuse,
}

/// The fault of a path now; `None` while it is sound.
pub type PathState = Option<PathFault>;

/// A proxy on loopback that passes connections on to one address, so that a test can lose the
/// path of one process to it while others use theirs.
pub struct PathProxy;

impl PathProxy {
    /// Starts a proxy at `ip` for `target`, which runs until the sender of `state` is dropped.
    ///
    /// # Errors
    ///
    /// When no port can be bound at `ip`.
    pub async fn start(
        ip: IpAddr,
        target: SocketAddr,
        state: watch::Receiver<PathState>,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
        let address = listener.local_addr()?;
        tokio::spawn(run(listener, address, target, state));
        Ok(address)
    }
}

async fn run(
    listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut state: watch::Receiver<PathState>,
) {
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    loop {
        let fault = *state.borrow_and_update();
        let accepting = match (fault, &listener) {
            (Some(PathFault::Reset | PathFault::Refuse), _) => {
                // A port without a listener refuses connections.
                listener = None;
                None
            }
            (Some(PathFault::Hang), _) => None,
            (None, None) => {
                listener = Some(rebind(address).await);
                listener.as_ref()
            }
            (None, Some(listener)) => Some(listener),
        };
        tokio::select! {
            changed = state.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            stream = accept(accepting) => {
                connections.spawn(pass_on(stream, target, state.clone()));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn accept(listener: Option<&TcpListener>) -> TcpStream {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => log::warn!("event=proxy_not_accepting reason=\"{error}\""),
        }
    }
}

async fn rebind(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(error) => log::warn!("event=proxy_not_bound address={address} reason=\"{error}\""),
        }
        tokio::time::sleep(REBIND_INTERVAL).await;
    }
}

/// Passes one connection on until it ends or the path is lost.
async fn pass_on(
    mut inbound: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<PathState>,
) {
    let Ok(mut outbound) = TcpStream::connect(target).await else {
        return;
    };
    let is_stopped = |state: &PathState| match state {
        Some(PathFault::Hang | PathFault::Reset) => true,
        Some(PathFault::Refuse) | None => false,
    };
    let stopped = tokio::select! {
        // An error means that one of both ends has closed, which closes the other one too.
        _ = copy_bidirectional(&mut inbound, &mut outbound) => return,
        stopped = state.wait_for(is_stopped) => stopped.map(|state| *state),
    };
    match stopped {
        // A connection that was silenced stays silent when the path is back.
        Ok(Some(PathFault::Hang)) => std::future::pending().await,
        Ok(_) | Err(_) => {
            // Closing without a linger time resets a connection; it fails only for a closed one.
            let _ = inbound.set_zero_linger();
            let _ = outbound.set_zero_linger();
        }
    }
}
