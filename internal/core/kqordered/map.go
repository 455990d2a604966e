// Package kqordered provides a map that keeps the insertion order of its keys.
package kqordered

import "iter"

// Map is a map that is iterated in the insertion order of its keys, so that decisions made
// during an iteration are deterministic. The zero value is an empty map. It is not safe for
// concurrent use.
type Map[K comparable, V any] struct {
	index   map[K]int
	slots   []slot[K, V]
	deleted int
}

// slot holds a key and its value. Deleted slots stay, with live false, until compact removes
// them.
type slot[K comparable, V any] struct {
	key   K
	value V
	live  bool
}

// minDeletedToCompact is the number of deleted slots up to which the slots are not compacted.
const minDeletedToCompact = 16

// Len returns the number of keys.
func (m *Map[K, V]) Len() int { return len(m.index) }

// Get returns the value of a key, or the zero value if the map does not have the key.
func (m *Map[K, V]) Get(k K) V {
	v, _ := m.Find(k)
	return v
}

// Find returns the value of a key and whether the map has the key.
func (m *Map[K, V]) Find(k K) (v V, ok bool) {
	i, ok := m.index[k]
	if !ok {
		return v, false
	}
	return m.slots[i].value, true
}

// Put sets the value of a key. A key that the map has already keeps its position. Put must not
// be called during an iteration of All, because it may compact the slots.
func (m *Map[K, V]) Put(k K, v V) {
	if i, ok := m.index[k]; ok {
		m.slots[i].value = v
		return
	}
	if m.deleted > minDeletedToCompact && m.deleted > len(m.index) {
		m.compact()
	}
	if m.index == nil {
		m.index = map[K]int{}
	}
	m.index[k] = len(m.slots)
	m.slots = append(m.slots, slot[K, V]{key: k, value: v, live: true})
}

// Delete removes a key. It may be called during an iteration of All.
func (m *Map[K, V]) Delete(k K) {
	i, ok := m.index[k]
	if !ok {
		return
	}
	delete(m.index, k)
	m.slots[i] = slot[K, V]{}
	m.deleted++
}

// compact removes the deleted slots and keeps the order of the others.
func (m *Map[K, V]) compact() {
	kept := m.slots[:0]
	for _, s := range m.slots {
		if s.live {
			m.index[s.key] = len(kept)
			kept = append(kept, s)
		}
	}
	clear(m.slots[len(kept):])
	m.slots, m.deleted = kept, 0
}

// All returns an iterator over the keys and values in the insertion order of the keys.
func (m *Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for i := range m.slots {
			if s := &m.slots[i]; s.live && !yield(s.key, s.value) {
				return
			}
		}
	}
}
