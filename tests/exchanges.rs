//! Recorded exchanges, played against the router. The first line of each file says what it guards.

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
