// Package kqpool reuses values that are expensive to create.
package kqpool

import "sync"

// Pool is a sync.Pool for values of type T.
type Pool[T any] struct {
	pool sync.Pool
}

// New returns a Pool that calls f to create a value when it is empty.
func New[T any](f func() T) *Pool[T] {
	return &Pool[T]{pool: sync.Pool{New: func() any {
		v := f()
		return &v
	}}}
}

// Get returns a value from the pool, which the caller owns until it calls Put.
func (p *Pool[T]) Get() *T { return p.pool.Get().(*T) }

// Put returns a value to the pool; the caller must not use it afterwards.
func (p *Pool[T]) Put(v *T) { p.pool.Put(v) }
