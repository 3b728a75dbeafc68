//! A thread for objects that are not [`Send`].

use std::io;

use tokio::sync::mpsc;
use tokio::task::LocalSet;

type Job = Box<dyn FnOnce() + Send>;

/// A thread with its own single-threaded runtime. Jobs sent to it may spawn local tasks.
#[derive(Debug, Clone)]
pub struct LocalThread {
    jobs: mpsc::UnboundedSender<Job>,
}

impl LocalThread {
    /// Starts the thread. It ends when all handles are dropped.
    ///
    /// # Errors
    ///
    /// Fails if the thread or its runtime cannot be created.
    pub fn start(name: &str) -> io::Result<Self> {
        let (jobs, mut job_rx) = mpsc::unbounded_channel::<Job>();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let run = move || {
            let local = LocalSet::new();
            local.block_on(&runtime, async move {
                while let Some(job) = job_rx.recv().await {
                    job();
                }
            });
        };
        std::thread::Builder::new().name(name.to_owned()).spawn(run)?;
        Ok(Self { jobs })
    }

    /// Runs a job on the thread. It may call [`tokio::task::spawn_local`].
    pub fn run(&self, job: impl FnOnce() + Send + 'static) {
        // The job arrives, since the thread runs for as long as this handle exists.
        let _ = self.jobs.send(Box::new(job));
    }
}
