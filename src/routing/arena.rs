//! Generational arena of the known backend servers.

use super::key::Backend;
use super::member::Member;

#[derive(Debug, Default)]
struct Slot {
    generation: u32,
    member: Option<Member>,
}

/// Members by key. A reused slot gets a new generation, so old keys find nothing.
#[derive(Debug, Default)]
pub(super) struct Arena {
    slots: Vec<Slot>,
    free: Vec<u32>,
}

impl Arena {
    pub(super) fn insert(&mut self, member: Member) -> Backend {
        let slot = self.free.pop().unwrap_or_else(|| self.grow());
        let entry = &mut self.slots[slot as usize];
        entry.member = Some(member);
        Backend {
            slot,
            generation: entry.generation,
        }
    }

    pub(super) fn remove(&mut self, key: Backend) -> Option<Member> {
        let slot = self.slots.get_mut(key.index())?;
        if slot.generation != key.generation {
            return None;
        }
        let member = slot.member.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.slot);
        Some(member)
    }

    pub(super) fn get(&self, key: Backend) -> Option<&Member> {
        let slot = self.slots.get(key.index())?;
        let is_current = slot.generation == key.generation;
        slot.member.as_ref().filter(|_| is_current)
    }

    pub(super) fn get_mut(&mut self, key: Backend) -> Option<&mut Member> {
        let slot = self.slots.get_mut(key.index())?;
        let is_current = slot.generation == key.generation;
        slot.member.as_mut().filter(|_| is_current)
    }

    fn grow(&mut self) -> u32 {
        self.slots.push(Slot::default());
        u32::try_from(self.slots.len() - 1).unwrap_or(u32::MAX)
    }
}
