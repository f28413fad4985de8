// Package cowmap implements a persistent copy-on-write map with string keys. A change
// copies only the path to the entry, so that readers of the old version aren't affected
// and a new version of a large map is cheap to create.
package cowmap

import (
	"iter"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// fanout is the number of children per node on each of the two levels. With 64*64
// buckets, 270,000 entries make 66 entries per bucket.
const fanout = 64

// entry is a key with its value.
type entry[V any] struct {
	key   string
	value V
}

// bucket holds the entries with the same hash position, sorted by key.
type bucket[V any] []entry[V]

// node is an inner node of the second level.
type node[V any] [fanout]bucket[V]

// Map is an immutable map; With and Without return new versions. The zero value is an
// empty map. A Map is safe for concurrent use.
type Map[V any] struct {
	root *[fanout]*node[V]
	size int
}

// bucketIndex returns the indexes of the key's node in the root and of its bucket in the
// node.
func bucketIndex(key string) (high, low uint64) {
	h := xxhash.Sum64String(key)
	return h % fanout, h / fanout % fanout
}

// findEntry returns the index of the key in the bucket, or the index at which to insert it,
// and whether the key is present.
func findEntry[V any](b bucket[V], key string) (int, bool) {
	return slices.BinarySearchFunc(b, key, func(e entry[V], k string) int {
		return strings.Compare(e.key, k)
	})
}

// Len returns the number of entries.
func (m Map[V]) Len() int {
	return m.size
}

// Get returns the value of the key and whether the key is present.
func (m Map[V]) Get(key string) (V, bool) {
	var zero V
	if m.root == nil {
		return zero, false
	}
	high, low := bucketIndex(key)
	n := m.root[high]
	if n == nil {
		return zero, false
	}
	i, ok := findEntry(n[low], key)
	if !ok {
		return zero, false
	}
	return n[low][i].value, true
}

// With returns a version of the map in which key has the given value.
func (m Map[V]) With(key string, value V) Map[V] {
	high, low := bucketIndex(key)
	next, n := m.copyPath(high)
	old := n[low]
	i, found := findEntry(old, key)
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

// Without returns a version of the map without the key, or m itself if the key is absent.
func (m Map[V]) Without(key string) Map[V] {
	if _, ok := m.Get(key); !ok {
		return m
	}
	high, low := bucketIndex(key)
	next, n := m.copyPath(high)
	i, _ := findEntry(n[low], key)
	n[low] = slices.Delete(slices.Clone(n[low]), i, i+1)
	next.size--
	return next
}

// copyPath returns a version with a copy of the root and of the node at index high, which
// the caller may modify, and that node.
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

// All returns an iterator over the entries. The order depends only on the keys of the map.
func (m Map[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if m.root == nil {
			return
		}
		for _, n := range m.root {
			if n != nil && !n.yieldAll(yield) {
				return
			}
		}
	}
}

// yieldAll calls yield for all entries of the node. It returns false if yield stopped the
// iteration.
func (n *node[V]) yieldAll(yield func(string, V) bool) bool {
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
