package route

import (
	"errors"
	"testing"
)

func build(t *testing.T, c *Config) *Config {
	t.Helper()
	if err := c.Build(); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestFind guards against a request being routed by a shorter prefix, by a prefix of another host, or by a prefix
// that ends within a path segment.
func TestFind(t *testing.T) {
	split := []Weighted{{Service: "s", Weight: 1}}
	c := build(t, &Config{Routes: []Route{
		{Name: "root", Host: "a.example", Prefix: "/", Split: split},
		{Name: "short", Host: "a.example", Prefix: "/x/", Split: split},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Split: split},
		{Name: "other", Host: "b.example", Prefix: "/x/", Split: split},
	}})
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example:8080", "/x/y/", "long"},
		{"A.Example", "/x/yy/z", "short"},
		{"a.example", "/x", "root"},
		{"a.example", "/xx/y/", "root"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r := c.Find(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("%s%s goes to %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

// TestBuildRefuses guards against accepting a configuration that cannot be applied.
func TestBuildRefuses(t *testing.T) {
	for _, r := range []Route{{Name: "slash", Prefix: "/x", Split: []Weighted{{"s", 1}}}, {Name: "empty", Prefix: "/x/"}} {
		var invalid *InvalidError
		if err := (&Config{Routes: []Route{r}}).Build(); !errors.As(err, &invalid) {
			t.Errorf("route %s: got error %v, want an InvalidError", r.Name, err)
		}
	}
}

// TestPick guards against a service with weight 0 being picked.
func TestPick(t *testing.T) {
	r := Route{Split: []Weighted{{"a", 0}, {"b", 3}, {"c", 1}}}
	n := map[string]int{}
	for range 4000 {
		n[r.Pick()]++
	}
	if n["a"] != 0 || n["b"] < 2700 || n["c"] < 800 {
		t.Errorf("picks %v", n)
	}
}

// TestRepeatable guards against running a stream twice that cannot continue at another backend server.
func TestRepeatable(t *testing.T) {
	for _, test := range []struct {
		r    Route
		want bool
	}{{Route{Kind: Safe}, true}, {Route{Kind: Unsafe}, false}, {Route{Kind: Streaming}, false}, {Route{Kind: Streaming, Resumable: true}, true}} {
		if got := test.r.Repeatable(); got != test.want {
			t.Errorf("%v resumable %v: repeatable %v", test.r.Kind, test.r.Resumable, got)
		}
	}
}
