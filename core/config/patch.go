package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"bilberrymux/core/cowmap"
	"bilberrymux/core/ident"
)

// Patch is a JSON merge patch (RFC 7396) of the shared configuration, with one merge patch per
// entry. The cost of applying it thus depends on the number of changed entries and not on the
// size of the configuration. A null deletes the entry.
type Patch struct {
	Services      map[string]json.RawMessage `json:"services,omitempty"`
	Routes        map[string]json.RawMessage `json:"routes,omitempty"`
	Organisations map[string]json.RawMessage `json:"organisations,omitempty"`
}

// ParsePatch decodes a patch. It returns an *InvalidError if the body can't be decoded or contains an
// unknown section. The entries themselves are checked by Apply.
func ParsePatch(body []byte) (*Patch, error) {
	p := &Patch{}
	if err := decodeStrict(body, p); err != nil {
		return nil, &InvalidError{[]Problem{{Path: "patch", Text: err.Error()}}}
	}
	return p, nil
}

// decodeStrict decodes a single JSON value and rejects unknown fields.
func decodeStrict(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if d.More() {
		return fmt.Errorf("config: more than one JSON value")
	}
	return nil
}

// Apply applies the patch to c and returns the result as the next version. It validates every
// entry that the patch changes. If any of them is invalid, it returns an *InvalidError with the
// path of each invalid field. It never modifies c.
func (c *Config) Apply(p *Patch) (*Config, error) {
	next := *c
	next.Version++
	check := &checker{}
	next.applyServices(p, check)
	next.applyRoutes(p, check)
	next.applyOrganisations(p, check)
	if err := check.err(); err != nil {
		return nil, err
	}
	return &next, nil
}

var jsonNull = []byte("null")

// mergeEntry applies a merge patch to an entry and returns the result, or nil if the patch deletes
// the entry. The argument old is nil for a new entry.
func mergeEntry[V any](old *V, body json.RawMessage) (*V, error) {
	if bytes.Equal(bytes.TrimSpace(body), jsonNull) {
		return nil, nil
	}
	mergedJSON, err := mergeEntryJSON(old, body)
	if err != nil {
		return nil, err
	}
	v := new(V)
	if err := decodeStrict(mergedJSON, v); err != nil {
		return nil, err
	}
	return v, nil
}

// mergeEntryJSON returns the JSON of an entry with the merge patch applied. The patch for a new
// entry is returned unchanged if it contains no null, since merging it would have no effect. This
// saves the merge for every entry when a whole configuration is loaded.
func mergeEntryJSON[V any](old *V, body json.RawMessage) ([]byte, error) {
	if old == nil && !bytes.Contains(body, jsonNull) {
		return body, nil
	}
	base := []byte("{}")
	if old != nil {
		encoded, err := json.Marshal(old)
		if err != nil {
			return nil, fmt.Errorf("config: %w", err)
		}
		base = encoded
	}
	mergedJSON, err := jsonpatch.MergePatch(base, body)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return mergedJSON, nil
}

// applySection applies the changes to one section, in the order of the entry names, and returns the
// new section. It calls onEntry with the old and the new value of each changed entry, where nil
// stands for an entry that doesn't exist. An entry that can't be decoded is skipped. Problems are
// added to check.
func applySection[V any](section string, current cowmap.Map[*V], changes map[string]json.RawMessage, check *checker, onEntry func(path string, old, v *V)) cowmap.Map[*V] {
	for _, name := range slices.Sorted(maps.Keys(changes)) {
		path := section + "." + name
		check.name(path, name)
		old, _ := current.Get(name)
		v, err := mergeEntry(old, changes[name])
		if err != nil {
			check.add(path, "%v", err)
			continue
		}
		onEntry(path, old, v)
		if v == nil {
			current = current.Without(name)
			continue
		}
		current = current.With(name, v)
	}
	return current
}

func (c *Config) applyServices(p *Patch, check *checker) {
	deleted := map[ident.ServiceID]bool{}
	c.Services = applySection("services", c.Services, p.Services, check, func(path string, _, s *Service) {
		if s == nil {
			deleted[ident.ServiceID(path[len("services."):])] = true
			return
		}
		s.fillDefaults()
		check.service(path, s)
	})
	if len(deleted) > 0 {
		c.checkOrphanedRoutes(p, deleted, check)
	}
}

// checkOrphanedRoutes reports routes that refer to a deleted service and are not changed by the
// patch. Routes in the patch are validated by applyRoutes.
func (c *Config) checkOrphanedRoutes(p *Patch, deleted map[ident.ServiceID]bool, check *checker) {
	for name, r := range c.Routes.All() {
		_, patched := p.Routes[name]
		if deleted[r.Service] && !patched {
			check.add("services."+string(r.Service), "route %s still leads there", name)
		}
	}
}

func (c *Config) applyRoutes(p *Patch, check *checker) {
	type pendingRoute struct {
		path  string
		route *Route
	}
	var pending []pendingRoute
	c.Routes = applySection("routes", c.Routes, p.Routes, check, func(path string, old, r *Route) {
		if old != nil {
			c.removeFromIndex(old)
		}
		if r == nil {
			return
		}
		if r.TimeoutMillis == 0 {
			r.TimeoutMillis = defaultTimeoutMillis
		}
		check.route(path, r, c)
		pending = append(pending, pendingRoute{path, r})
	})
	// The old routes were removed from the index above, before any new one is added, so that one
	// patch can swap the prefixes of two routes.
	for _, entry := range pending {
		c.addToIndex(entry.path, entry.route, check)
	}
}

func (c *Config) applyOrganisations(p *Patch, check *checker) {
	c.Organisations = applySection("organisations", c.Organisations, p.Organisations, check, func(path string, _, o *Organisation) {
		if o != nil {
			check.organisation(path, o)
		}
	})
}

// Snapshot returns a patch that creates the entries of c when it is applied to an empty
// configuration.
func (c *Config) Snapshot() (*Patch, error) {
	services, err := encodeAll(c.Services)
	if err != nil {
		return nil, err
	}
	routes, err := encodeAll(c.Routes)
	if err != nil {
		return nil, err
	}
	organisations, err := encodeAll(c.Organisations)
	if err != nil {
		return nil, err
	}
	return &Patch{Services: services, Routes: routes, Organisations: organisations}, nil
}

// encodeAll returns the JSON of every entry of a section, by entry name.
func encodeAll[V any](section cowmap.Map[*V]) (map[string]json.RawMessage, error) {
	out := make(map[string]json.RawMessage, section.Len())
	for name, v := range section.All() {
		body, err := json.Marshal(v)
		if err != nil {
			return nil, fmt.Errorf("config: %w", err)
		}
		out[name] = body
	}
	return out, nil
}

// Diff returns a patch that turns the entries of older into those of c.
func (c *Config) Diff(older *Config) (*Patch, error) {
	from, err := older.Snapshot()
	if err != nil {
		return nil, err
	}
	to, err := c.Snapshot()
	if err != nil {
		return nil, err
	}
	p := &Patch{}
	if p.Services, err = diffSection(from.Services, to.Services); err != nil {
		return nil, err
	}
	if p.Routes, err = diffSection(from.Routes, to.Routes); err != nil {
		return nil, err
	}
	if p.Organisations, err = diffSection(from.Organisations, to.Organisations); err != nil {
		return nil, err
	}
	return p, nil
}

// diffSection returns the merge patches that turn the entries in from into those in to.
func diffSection(from, to map[string]json.RawMessage) (map[string]json.RawMessage, error) {
	out := map[string]json.RawMessage{}
	for name := range from {
		if _, kept := to[name]; !kept {
			out[name] = jsonNull
		}
	}
	for name, body := range to {
		old, had := from[name]
		if !had {
			out[name] = body
			continue
		}
		if bytes.Equal(old, body) {
			continue
		}
		change, err := jsonpatch.CreateMergePatch(old, body)
		if err != nil {
			return nil, fmt.Errorf("config: %w", err)
		}
		out[name] = change
	}
	return out, nil
}
