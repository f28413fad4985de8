package catalog

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bilberrymux/core/ident"
)

// route returns a valid route to the given services, or to "svc" if none is given.
func route(host, prefix string, services ...WeightedService) *Route {
	if services == nil {
		services = []WeightedService{{"svc", 1}}
	}
	return &Route{Name: host + prefix, Host: host, Prefix: prefix, Timeout: time.Second, Attempts: 2, Services: services}
}

// TestMatchLongestPrefix checks that Match picks the longest whole-segment prefix of the host,
// and ignores the port and the case of the host.
func TestMatchLongestPrefix(t *testing.T) {
	c, err := New(1, []*Route{route("h", "/"), route("h", "/a/"), route("h", "/a/b/"), route("other", "/a/b/c/")}, []Service{{ID: "svc"}}, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ host, path, want string }{
		{"h", "/a/b/c/d", "h/a/b/"},
		{"h", "/a/b", "h/a/"},
		{"h", "/a/b/", "h/a/b/"},
		{"h", "/ab/", "h/"},
		{"H:8080", "/a/x", "h/a/"},
		{"other", "/a/b/c", ""},
		{"none", "/", ""},
		{"h", "", ""},
	} {
		got := ""
		if r := c.Match(test.host, test.path); r != nil {
			got = r.Name
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("route for %s%s (-want +got):\n%s", test.host, test.path, diff)
		}
	}
}

// TestServicesGetTheirShareInEveryRun checks that every 200 consecutive requests are
// distributed nearly in proportion to the weights.
func TestServicesGetTheirShareInEveryRun(t *testing.T) {
	r := route("h", "/", WeightedService{"x", 70}, WeightedService{"y", 25}, WeightedService{"z", 5})
	for start := uint64(0); start < 5000; start += 137 {
		got := map[ident.ServiceID]int{}
		for n := range uint64(200) {
			got[r.SelectService(start+n)]++
		}
		if got["x"] < 134 || got["x"] > 146 || got["y"] < 44 || got["y"] > 56 || got["z"] < 6 || got["z"] > 14 {
			t.Fatalf("requests %d to %d: got %v, want x in 134..146, y in 44..56, z in 6..14", start, start+199, got)
		}
	}
}

// TestInvalidRouteErrors checks that each invalid setting is rejected with an error that
// names the route and the fault.
func TestInvalidRouteErrors(t *testing.T) {
	invalid := map[string]func(*Route){
		"no host":          func(r *Route) { r.Host = "" },
		"slash":            func(r *Route) { r.Prefix = "/a" },
		"no timeout":       func(r *Route) { r.Timeout = 0 },
		"no attempt":       func(r *Route) { r.Attempts = 0 },
		"names no service": func(r *Route) { r.Services = nil },
		"is not defined":   func(r *Route) { r.Services = []WeightedService{{"unknown", 1}} },
		"negative":         func(r *Route) { r.Services = []WeightedService{{"svc", -1}} },
	}
	for text, invalidate := range invalid {
		r := route("h", "/a/")
		invalidate(r)
		_, err := New(1, []*Route{r}, []Service{{ID: "svc"}}, Limits{})
		if err == nil || !strings.Contains(err.Error(), text) || !strings.Contains(err.Error(), "h/a/") {
			t.Errorf("got error %v, want one with %q and the name of the route", err, text)
		}
	}
}

func TestHostsOfService(t *testing.T) {
	route := func(host string, services ...ident.ServiceID) *Route {
		r := &Route{Host: host, Prefix: "/" + string(services[0]) + "/", Timeout: time.Second, Attempts: 1}
		for _, s := range services {
			r.Services = append(r.Services, WeightedService{Service: s, Weight: 1})
		}
		return r
	}
	c, err := New(1, []*Route{route("b", "x"), route("a", "y", "x"), route("B", "x", "y"), route("c", "y")}, []Service{{ID: "x"}, {ID: "y"}}, Limits{})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"a", "b"}, c.HostsOf("x")); diff != "" {
		t.Errorf("hosts of x (-want +got):\n%s", diff)
	}
	if hosts := c.HostsOf("unknown"); hosts != nil {
		t.Errorf("hosts of an unknown service: got %v, want none", hosts)
	}
}
