use std::time::Duration;

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use tokio::task::JoinHandle;

/// A demo that ends sooner shows no bar.
const BAR_DELAY: Duration = Duration::from_secs(1);
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A progress bar on standard error that appears only once the demo has taken
/// a second, and goes when it is dropped.
#[derive(Debug)]
pub(crate) struct DemoProgress {
    bar: ProgressBar,
    appearance: JoinHandle<()>,
}

impl DemoProgress {
    /// Progress over `count` pipelines.
    pub(crate) fn start(count: usize) -> Self {
        let bar = ProgressBar::with_draw_target(Some(count as u64), ProgressDrawTarget::hidden());
        if let Ok(style) = ProgressStyle::with_template("{bar:32} {pos}/{len} pipelines, {elapsed}")
        {
            bar.set_style(style);
        }
        let appearance = tokio::spawn(appear(bar.clone()));
        Self { bar, appearance }
    }

    /// One more pipeline has ended; `write` prints above the bar.
    pub(crate) fn advance(&self, write: impl FnOnce()) {
        self.bar.inc(1);
        self.bar.suspend(write);
    }
}

impl Drop for DemoProgress {
    fn drop(&mut self) {
        self.appearance.abort();
        self.bar.finish_and_clear();
    }
}

async fn appear(bar: ProgressBar) {
    tokio::time::sleep(BAR_DELAY).await;
    bar.set_draw_target(ProgressDrawTarget::stderr());
    bar.enable_steady_tick(TICK_INTERVAL);
}
