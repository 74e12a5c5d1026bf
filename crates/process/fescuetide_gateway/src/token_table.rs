//! Table whose tokens are not reused.

use slab::Slab;

/// Number of low bits of a token that hold the index of its slot. The rest holds the serial number of the insertion.
const INDEX_BITS: u32 = 32;

const INDEX_MASK: usize = (1 << INDEX_BITS) - 1;

/// A table of values by token.
///
/// Slots are reused, tokens are not: the token of a removed value finds nothing, also when its slot holds another value.
/// An event loop acts on tokens that it collected before, while each of its actions may close connections and open others.
///
/// ```
/// use fescuetide_gateway::TokenTable;
///
/// let mut table = TokenTable::default();
/// let first = table.insert("first");
/// table.remove(first);
/// let second = table.insert("second");
/// assert_eq!(table.get(first), None);
/// assert_eq!(table.get(second), Some(&"second"));
/// ```
#[derive(Clone, Debug)]
pub struct TokenTable<T> {
    slots: Slab<(u32, T)>,
    next_serial: u32,
}

impl<T> Default for TokenTable<T> {
    fn default() -> Self {
        Self {
            slots: Slab::new(),
            next_serial: 0,
        }
    }
}

impl<T> TokenTable<T> {
    /// Adds a value and returns its token.
    pub fn insert(&mut self, value: T) -> usize {
        let serial = self.next_serial;
        self.next_serial = serial.wrapping_add(1);
        let index = self.slots.insert((serial, value));
        token_of(serial, index)
    }

    /// Returns the value with this token, if it has not been removed.
    pub fn get(&self, token: usize) -> Option<&T> {
        let (serial, value) = self.slots.get(token & INDEX_MASK)?;
        (*serial == serial_of(token)).then_some(value)
    }

    /// Returns the value with this token, if it has not been removed.
    pub fn get_mut(&mut self, token: usize) -> Option<&mut T> {
        let (serial, value) = self.slots.get_mut(token & INDEX_MASK)?;
        (*serial == serial_of(token)).then_some(value)
    }

    /// Removes and returns the value with this token, if it has not been removed before.
    pub fn remove(&mut self, token: usize) -> Option<T> {
        self.get(token)?;
        let (_, value) = self.slots.try_remove(token & INDEX_MASK)?;
        Some(value)
    }

    /// Iterates over all tokens and values.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &T)> {
        let slots = self.slots.iter();
        slots.map(|(index, (serial, value))| (token_of(*serial, index), value))
    }
}

fn token_of(serial: u32, index: usize) -> usize {
    ((serial as usize) << INDEX_BITS) | index
}

fn serial_of(token: usize) -> u32 {
    (token >> INDEX_BITS) as u32
}
