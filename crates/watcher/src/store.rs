//! The newest view and the log index that it reflects.

use std::sync::{Arc, Mutex, PoisonError};

use api::{Watch, WatchReply};
use tokio::sync::watch;
use tokio::time::Instant;
use units::Millis;

use crate::{View, WatcherSettings};

/// Applies replies of control, which several tasks receive.
#[derive(Debug)]
pub(crate) struct ViewStore {
    settings: Arc<WatcherSettings>,
    /// Log index that the view reflects; locked while the view is replaced.
    index: Mutex<u64>,
    view: watch::Sender<Arc<View>>,
}

impl ViewStore {
    pub(crate) fn new(settings: Arc<WatcherSettings>, view: watch::Sender<Arc<View>>) -> Self {
        Self {
            settings,
            index: Mutex::new(0),
            view,
        }
    }

    /// Asks for what is newer than the view.
    pub(crate) fn request(&self) -> Watch {
        let index = self.lock();
        let view = self.view.borrow();
        Watch {
            host: self.settings.host.clone(),
            scope: self.settings.scope.clone(),
            config: view.config,
            horizon: view.horizon,
            index: *index,
            wait_ms: Millis::from(self.settings.poll_wait),
            probe: false,
        }
    }

    /// Applies a reply and returns whether it changed the view. A reply that another one has overtaken
    /// is ignored.
    pub(crate) fn apply(&self, reply: &WatchReply) -> bool {
        let mut index = self.lock();
        let view = Arc::clone(&self.view.borrow());
        if reply.index < *index || view.is_older(reply) {
            return false;
        }
        let next = view.updated(reply, Instant::now());
        *index = reply.index;
        match next {
            Some(next) => {
                self.view.send_replace(Arc::new(next));
                true
            }
            None => false,
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, u64> {
        self.index.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
