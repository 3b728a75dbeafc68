//! A thread for objects that may not leave it.

use std::io;

use tokio::sync::mpsc;
use tokio::task::LocalSet;

type Job = Box<dyn FnOnce() + Send>;

/// A thread with its own executor. Jobs sent to it may spawn local tasks there.
#[derive(Debug, Clone)]
pub struct LocalThread {
    jobs: mpsc::UnboundedSender<Job>,
}

impl LocalThread {
    /// Starts the thread; it ends when all handles are gone.
    ///
    /// # Errors
    ///
    /// When the thread or its executor cannot be made.
    pub fn start(name: &str) -> io::Result<Self> {
        let (jobs, mut inbox) = mpsc::unbounded_channel::<Job>();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let run = move || {
            let local = LocalSet::new();
            local.block_on(&runtime, async move {
                while let Some(job) = inbox.recv().await {
                    job();
                }
            });
        };
        std::thread::Builder::new().name(name.to_owned()).spawn(run)?;
        Ok(Self { jobs })
    }

    /// Runs a job on the thread. It may call [`tokio::task::spawn_local`].
    pub fn run(&self, job: impl FnOnce() + Send + 'static) {
        // The thread lives as long as this handle, so the job arrives.
        let _ = self.jobs.send(Box::new(job));
    }
}
