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

// Patch is a JSON merge patch (RFC 7396) of the shared configuration, split by
// entry so that applying it costs what it changes and not what there is. A
// null entry deletes.
type Patch struct {
	Services      map[string]json.RawMessage `json:"services,omitempty"`
	Routes        map[string]json.RawMessage `json:"routes,omitempty"`
	Organisations map[string]json.RawMessage `json:"organisations,omitempty"`
}

// ParsePatch reads a patch and refuses unknown sections.
func ParsePatch(body []byte) (*Patch, error) {
	p := &Patch{}
	if err := decodeStrict(body, p); err != nil {
		return nil, &InvalidError{[]Problem{{Path: "patch", Text: err.Error()}}}
	}
	return p, nil
}

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

// Apply returns the next version with the patch in it. It checks every entry
// that the patch touches and returns an *InvalidError with the path of each bad
// field; c is unchanged then.
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

// merged returns the entry after the patch, or nil where the patch deletes it.
func merged[V any](old *V, body json.RawMessage) (*V, error) {
	if bytes.Equal(bytes.TrimSpace(body), jsonNull) {
		return nil, nil
	}
	whole, err := mergedBody(old, body)
	if err != nil {
		return nil, err
	}
	v := new(V)
	if err := decodeStrict(whole, v); err != nil {
		return nil, err
	}
	return v, nil
}

// mergedBody returns the JSON of an entry after the patch. A new entry without
// nulls is its own patch, which spares the merging of a whole configuration.
func mergedBody[V any](old *V, body json.RawMessage) ([]byte, error) {
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
	whole, err := jsonpatch.MergePatch(base, body)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return whole, nil
}

// applySection applies the entries of one section in the order of their names.
func applySection[V any](section string, table cowmap.Map[*V], entries map[string]json.RawMessage, check *checker, each func(path string, old, v *V)) cowmap.Map[*V] {
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		path := section + "." + name
		check.name(path, name)
		old, _ := table.Get(name)
		v, err := merged(old, entries[name])
		if err != nil {
			check.add(path, "%v", err)
			continue
		}
		each(path, old, v)
		if v == nil {
			table = table.Without(name)
			continue
		}
		table = table.With(name, v)
	}
	return table
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
		c.checkOrphans(p, deleted, check)
	}
}

// checkOrphans finds routes to deleted services that the patch leaves as is.
func (c *Config) checkOrphans(p *Patch, deleted map[ident.ServiceID]bool, check *checker) {
	for name, r := range c.Routes.All() {
		_, touched := p.Routes[name]
		if deleted[r.Service] && !touched {
			check.add("services."+string(r.Service), "route %s still leads there", name)
		}
	}
}

func (c *Config) applyRoutes(p *Patch, check *checker) {
	type added struct {
		path  string
		route *Route
	}
	var routes []added
	c.Routes = applySection("routes", c.Routes, p.Routes, check, func(path string, old, r *Route) {
		if old != nil {
			c.unindex(old)
		}
		if r == nil {
			return
		}
		if r.TimeoutMillis == 0 {
			r.TimeoutMillis = defaultTimeoutMillis
		}
		check.route(path, r, c)
		routes = append(routes, added{path, r})
	})
	// All old keys are gone by now, so that two routes may swap prefixes.
	for _, a := range routes {
		c.addToIndex(a.path, a.route, check)
	}
}

func (c *Config) applyOrganisations(p *Patch, check *checker) {
	c.Organisations = applySection("organisations", c.Organisations, p.Organisations, check, func(path string, _, o *Organisation) {
		if o != nil {
			check.organisation(path, o)
		}
	})
}

// Snapshot returns the patch that turns the empty configuration into c.
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

func encodeAll[V any](table cowmap.Map[*V]) (map[string]json.RawMessage, error) {
	out := make(map[string]json.RawMessage, table.Len())
	for name, v := range table.All() {
		body, err := json.Marshal(v)
		if err != nil {
			return nil, fmt.Errorf("config: %w", err)
		}
		out[name] = body
	}
	return out, nil
}

// Diff returns the patch that turns older into c.
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
