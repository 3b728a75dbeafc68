//! Panics in the handling of a request.

use std::cell::Cell;

use ochreyard_direct::catch_panic;

/// Guards against connections that close without an answer because the handling of a request panics.
#[tokio::test]
async fn a_panic_after_a_pause_is_caught() {
    let is_released = Cell::new(false);
    let handling = async {
        let _guard = SetOnDrop(&is_released);
        tokio::task::yield_now().await;
        panic!("a fault");
    };
    assert_eq!(catch_panic::<_>(handling).await, None::<()>);
    assert!(is_released.get(), "what the handling holds is released");
    assert_eq!(catch_panic(async { 7 }).await, Some(7));
}

struct SetOnDrop<'a>(&'a Cell<bool>);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.set(true);
    }
}
