//! Identifiers and the unit of time that the scheduler's interface shares.

/// A moment or a duration, in whole microseconds on the caller's monotonic clock.
pub type Micros = i64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A client's request; a client's retry has a new one.
    RequestId(u64);
    /// An endpoint of the fleet.
    EndpointId(u32);
    /// An index into the deployment's zones.
    ZoneId(usize);
    /// A cell: endpoints of one zone with fast links among them.
    CellId(i64);
    /// An index into [`Settings::kinds`](super::Settings::kinds).
    KindId(usize);
    /// An index into [`Settings::classes`](super::Settings::classes).
    ClassId(usize);
    /// An index into [`Settings::tenants`](super::Settings::tenants).
    TenantId(usize);
    /// The hash of a session or of a shared prompt prefix, the same at every replica.
    CacheKey(u64);
    /// The number of a request's attempt, from 0 in order of sending.
    AttemptId(u32);
}
