// Package kqordered holds a map that remembers the order in which its keys came.
package kqordered

import "iter"

// Map is a map whose values are visited in the order in which their keys came,
// so that decisions over them do not depend on chance. The zero value is empty.
// It is not safe for concurrent use.
type Map[K comparable, V any] struct {
	index map[K]int
	slots []slot[K, V]
	dead  int
}

type slot[K comparable, V any] struct {
	key   K
	value V
	live  bool
}

// leastDead is how many dead slots are left alone.
const leastDead = 16

// Len returns how many keys there are.
func (m *Map[K, V]) Len() int { return len(m.index) }

// Get returns the value of a key, or the zero value.
func (m *Map[K, V]) Get(k K) V {
	v, _ := m.Find(k)
	return v
}

// Find returns the value of a key and whether it is there.
func (m *Map[K, V]) Find(k K) (v V, ok bool) {
	i, ok := m.index[k]
	if !ok {
		return v, false
	}
	return m.slots[i].value, true
}

// Put sets the value of a key; one that is there already keeps its place. It
// must not be called while All is under way.
func (m *Map[K, V]) Put(k K, v V) {
	if i, ok := m.index[k]; ok {
		m.slots[i].value = v
		return
	}
	if m.dead > leastDead && m.dead > len(m.index) {
		m.compact()
	}
	if m.index == nil {
		m.index = map[K]int{}
	}
	m.index[k] = len(m.slots)
	m.slots = append(m.slots, slot[K, V]{key: k, value: v, live: true})
}

// Delete drops a key. It may be called while All is under way.
func (m *Map[K, V]) Delete(k K) {
	i, ok := m.index[k]
	if !ok {
		return
	}
	delete(m.index, k)
	m.slots[i] = slot[K, V]{}
	m.dead++
}

func (m *Map[K, V]) compact() {
	kept := m.slots[:0]
	for _, s := range m.slots {
		if s.live {
			m.index[s.key] = len(kept)
			kept = append(kept, s)
		}
	}
	clear(m.slots[len(kept):])
	m.slots, m.dead = kept, 0
}

// All visits the values in the order of their keys.
func (m *Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for i := range m.slots {
			if s := &m.slots[i]; s.live && !yield(s.key, s.value) {
				return
			}
		}
	}
}
