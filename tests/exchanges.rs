//! Replays recorded exchanges against the router. The comment at the head of each file states what it tests.

mod common;

macro_rules! exchanges {
    ($($name:ident)*) => {$(
        #[test]
        fn $name() {
            common::script::run_script(include_str!(concat!("exchanges/", stringify!($name), ".txt")));
        }
    )*};
}

exchanges! {
    idempotent_lost_before_first_event
    non_idempotent_lost_before_first_event
    served
}
