// Package cowmap holds a persistent map with string keys: a change copies only
// the path to the entry, so that readers keep an unchanged old version and a
// version of a large map costs little to make.
package cowmap

import (
	"iter"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// fanout is the number of children of each of the two levels. Sixty-four
// squared buckets hold 270,000 entries at 66 entries a bucket.
const fanout = 64

type entry[V any] struct {
	key   string
	value V
}

// bucket is sorted by key.
type bucket[V any] []entry[V]

type node[V any] [fanout]bucket[V]

// Map is an immutable map. The zero value is empty. A Map is safe for
// concurrent use; With and Without return new versions.
type Map[V any] struct {
	root *[fanout]*node[V]
	size int
}

func position(key string) (high, low uint64) {
	h := xxhash.Sum64String(key)
	return h % fanout, h / fanout % fanout
}

func find[V any](b bucket[V], key string) (int, bool) {
	return slices.BinarySearchFunc(b, key, func(e entry[V], k string) int {
		return strings.Compare(e.key, k)
	})
}

// Len returns the number of entries.
func (m Map[V]) Len() int {
	return m.size
}

// Get returns the value of a key and whether the key is present.
func (m Map[V]) Get(key string) (V, bool) {
	var zero V
	if m.root == nil {
		return zero, false
	}
	high, low := position(key)
	n := m.root[high]
	if n == nil {
		return zero, false
	}
	i, ok := find(n[low], key)
	if !ok {
		return zero, false
	}
	return n[low][i].value, true
}

// With returns a version in which key has the given value.
func (m Map[V]) With(key string, value V) Map[V] {
	high, low := position(key)
	next, n := m.copyPath(high)
	old := n[low]
	i, found := find(old, key)
	if found {
		b := slices.Clone(old)
		b[i].value = value
		n[low] = b
		return next
	}
	b := make(bucket[V], 0, len(old)+1)
	b = append(b, old[:i]...)
	b = append(b, entry[V]{strings.Clone(key), value})
	b = append(b, old[i:]...)
	n[low] = b
	next.size++
	return next
}

// Without returns a version that lacks the key.
func (m Map[V]) Without(key string) Map[V] {
	if _, ok := m.Get(key); !ok {
		return m
	}
	high, low := position(key)
	next, n := m.copyPath(high)
	i, _ := find(n[low], key)
	n[low] = slices.Delete(slices.Clone(n[low]), i, i+1)
	next.size--
	return next
}

// copyPath returns a version with its own root and its own node at high.
func (m Map[V]) copyPath(high uint64) (Map[V], *node[V]) {
	root := &[fanout]*node[V]{}
	if m.root != nil {
		*root = *m.root
	}
	n := &node[V]{}
	if root[high] != nil {
		*n = *root[high]
	}
	root[high] = n
	return Map[V]{root: root, size: m.size}, n
}

// All iterates over the entries in an order that is the same for maps with the
// same keys.
func (m Map[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if m.root == nil {
			return
		}
		for _, n := range m.root {
			if n != nil && !n.each(yield) {
				return
			}
		}
	}
}

func (n *node[V]) each(yield func(string, V) bool) bool {
	for _, b := range n {
		for _, e := range b {
			if !yield(e.key, e.value) {
				return false
			}
		}
	}
	return true
}

// Keys returns all keys, sorted.
func (m Map[V]) Keys() []string {
	keys := make([]string, 0, m.size)
	for k := range m.All() {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
