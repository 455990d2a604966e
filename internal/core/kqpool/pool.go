// Package kqpool reuses values that are costly to make.
package kqpool

import "sync"

// Pool hands out values of one type and takes them back.
type Pool[T any] struct {
	pool sync.Pool
}

// New returns a Pool that makes values with f while it has none.
func New[T any](f func() T) *Pool[T] {
	return &Pool[T]{pool: sync.Pool{New: func() any {
		v := f()
		return &v
	}}}
}

// Get returns a value, which the caller owns until Put.
func (p *Pool[T]) Get() *T { return p.pool.Get().(*T) }

// Put takes a value back.
func (p *Pool[T]) Put(v *T) { p.pool.Put(v) }
