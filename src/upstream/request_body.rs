//! The body of a client's request, as it is forwarded to endpoints.

use std::rc::Rc;

use bytes::Bytes;

/// The body of a request, in pieces. Clones share the pieces.
#[derive(Clone, Debug, Default)]
pub struct RequestBody(Rc<[Bytes]>);

impl RequestBody {
    /// Returns the length in bytes.
    pub fn length(&self) -> usize {
        self.0.iter().map(Bytes::len).sum()
    }

    /// Returns the piece with this index, if there are so many.
    pub fn piece(&self, index: usize) -> Option<&Bytes> {
        self.0.get(index)
    }

    /// Copies the body into one piece.
    pub fn to_vec(&self) -> Vec<u8> {
        self.0.concat()
    }
}

impl FromIterator<Bytes> for RequestBody {
    fn from_iter<I: IntoIterator<Item = Bytes>>(pieces: I) -> Self {
        RequestBody(pieces.into_iter().filter(|piece| !piece.is_empty()).collect())
    }
}
