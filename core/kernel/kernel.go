// Package kernel keeps the registries of plug-ins. A plug-in registers itself
// by name from an init function; the shared configuration selects one by that
// name for each service.
package kernel

import (
	"fmt"
	"slices"
	"sync"
)

// PluginKind is a place in the request path that a plug-in fills.
type PluginKind string

// The slots.
const (
	DetectorKind  PluginKind = "detector"
	PickerKind    PluginKind = "picker"
	AdmissionKind PluginKind = "admission"
	RetryKind     PluginKind = "retry"
)

// Registry maps names to plug-ins of one type. The zero value is ready to use
// and safe for concurrent use.
type Registry[T any] struct {
	mu      sync.RWMutex
	entries map[string]T
}

// Register adds a plug-in. It panics if the name is empty or taken, since both
// are mistakes of the program.
func (r *Registry[T]) Register(slot PluginKind, name string, plugin T) {
	if name == "" {
		panic("kernel: plug-in without a name")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries = map[string]T{}
	}
	if _, taken := r.entries[name]; taken {
		panic("kernel: plug-in " + name + " registered twice")
	}
	r.entries[name] = plugin
	catalog.add(slot, name)
}

// Get returns the plug-in of that name, or an error that names the known ones.
func (r *Registry[T]) Get(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	plugin, ok := r.entries[name]
	if !ok {
		var zero T
		return zero, fmt.Errorf("kernel: no plug-in %q", name)
	}
	return plugin, nil
}

// nameCatalog lists the registered names of every slot.
type nameCatalog struct {
	mu    sync.RWMutex
	names map[PluginKind][]string
}

var catalog nameCatalog

func (c *nameCatalog) add(slot PluginKind, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.names == nil {
		c.names = map[PluginKind][]string{}
	}
	c.names[slot] = append(c.names[slot], name)
	slices.Sort(c.names[slot])
}

// Names returns the sorted names that are registered for a slot.
func Names(slot PluginKind) []string {
	catalog.mu.RLock()
	defer catalog.mu.RUnlock()
	return slices.Clone(catalog.names[slot])
}

// IsRegistered reports whether a plug-in of that name fills the slot.
func IsRegistered(slot PluginKind, name string) bool {
	catalog.mu.RLock()
	defer catalog.mu.RUnlock()
	return slices.Contains(catalog.names[slot], name)
}
