//! Identifiers and the time unit of the scheduler's interface.

/// A point in time or a duration in whole microseconds, on the caller's monotonic clock.
pub type Micros = i64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A client request. A retry by the client gets a new identifier.
    RequestId(u64);
    /// An endpoint of the fleet.
    EndpointId(u32);
    /// Index of a zone of the deployment.
    ZoneId(usize);
    /// A cell: endpoints of one zone that are connected by fast links.
    CellId(i64);
    /// Index into [`Settings::kinds`](super::Settings::kinds).
    KindId(usize);
    /// Index into [`Settings::classes`](super::Settings::classes).
    ClassId(usize);
    /// Index into [`Settings::tenants`](super::Settings::tenants).
    TenantId(usize);
    /// Hash of a session or of a shared prompt prefix, identical on all replicas.
    CacheKey(u64);
    /// Sequence number of an attempt within its request, starting at 0.
    AttemptId(u32);
}
