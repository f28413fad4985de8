// Package kernel implements the plug-in registry. Plug-ins register under a name in an init
// function of their package. The shared configuration selects the plug-ins of each service by
// name.
package kernel

import (
	"fmt"
	"slices"
	"sync"
)

// PluginKind identifies the decision in the request path that a plug-in makes.
type PluginKind string

// Kinds of plug-ins.
const (
	// DetectorKind plug-ins detect failing backend servers.
	DetectorKind PluginKind = "detector"
	// PickerKind plug-ins select the backend server for an attempt.
	PickerKind PluginKind = "picker"
	// AdmissionKind plug-ins decide which queued request is sent next.
	AdmissionKind PluginKind = "admission"
	// RetryKind plug-ins decide whether a request gets another attempt.
	RetryKind PluginKind = "retry"
)

// Registry maps names to plug-ins of one type. The zero value is an empty registry. It is safe for
// concurrent use.
type Registry[T any] struct {
	mu      sync.RWMutex
	entries map[string]T
}

// Register adds a plug-in under a name and makes the name known to Names and IsRegistered. It panics
// if the name is empty or already registered, since both are programming errors.
func (r *Registry[T]) Register(kind PluginKind, name string, plugin T) {
	if name == "" {
		panic(fmt.Sprintf("kernel: %s plug-in registered without a name", kind))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.entries == nil {
		r.entries = map[string]T{}
	}
	if _, registered := r.entries[name]; registered {
		panic(fmt.Sprintf("kernel: %s plug-in %q registered twice", kind, name))
	}
	r.entries[name] = plugin
	registeredNames.add(kind, name)
}

// Get returns the plug-in with the given name, or an error if there is none.
func (r *Registry[T]) Get(name string) (T, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	plugin, ok := r.entries[name]
	if !ok {
		var zero T
		return zero, fmt.Errorf("kernel: plug-in %q is not registered", name)
	}
	return plugin, nil
}

// nameIndex holds the sorted names of all plug-ins by kind, across all registries. Unlike the
// registries, it can be queried without the type of the plug-ins. It is safe for concurrent use.
type nameIndex struct {
	mu    sync.RWMutex
	names map[PluginKind][]string
}

var registeredNames nameIndex

func (n *nameIndex) add(kind PluginKind, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.names == nil {
		n.names = map[PluginKind][]string{}
	}
	n.names[kind] = append(n.names[kind], name)
	slices.Sort(n.names[kind])
}

// Names returns the names of all registered plug-ins of a kind, sorted.
func Names(kind PluginKind) []string {
	registeredNames.mu.RLock()
	defer registeredNames.mu.RUnlock()
	return slices.Clone(registeredNames.names[kind])
}

// IsRegistered reports whether a plug-in of the given kind is registered under the name.
func IsRegistered(kind PluginKind, name string) bool {
	registeredNames.mu.RLock()
	defer registeredNames.mu.RUnlock()
	return slices.Contains(registeredNames.names[kind], name)
}
