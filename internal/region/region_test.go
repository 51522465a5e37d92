package region

import (
	"slices"
	"testing"
)

// TestHomes guards against requests outside of their home regions: where the lists of route and organisation have no region in common,
// where a list has only invalid names, and where the region of a data centre is not known.
func TestHomes(t *testing.T) {
	table := &Table{}
	for _, dc := range [][2]string{{"eu1", "eu"}, {"eu2", "eu"}, {"us1", "us"}, {"old", ""}, {"", "eu"}} {
		table, _ = table.Learn(dc[0], dc[1])
	}
	all := []string{"", "eu1", "eu2", "old", "us1"}
	for name, test := range map[string]struct {
		route, org []string
		want       []string
	}{
		"none":               {nil, []string{}, all},
		"route":              {[]string{"eu"}, nil, []string{"eu1", "eu2"}},
		"organisation":       {nil, []string{"us", "asia"}, []string{"us1"}},
		"both":               {[]string{"eu", "us"}, []string{"us"}, []string{"us1"}},
		"nothing in common":  {[]string{"eu"}, []string{"us"}, nil},
		"empty names":        {[]string{"", ""}, nil, nil},
		"empty and a region": {[]string{"", "us"}, nil, []string{"us1"}},
		"unknown region":     {[]string{"asia"}, nil, nil},
	} {
		h := NewHomes(test.route).And(NewHomes(test.org))
		got := slices.DeleteFunc(slices.Clone(all), func(dc string) bool { return !table.Allows(h, dc) })
		if !slices.Equal(got, test.want) {
			t.Errorf("%s: allowed in %q, want %q", name, got, test.want)
		}
		if listed := table.DataCentres(h); h.Limited() && (listed == nil || !slices.Equal(listed, test.want)) || !h.Limited() && listed != nil {
			t.Errorf("%s: listed %q", name, listed)
		}
	}
}

// TestTable guards against a region that a daemon with wrong settings, or one of an earlier build, changes, and against a table that
// changes while a request reads it.
func TestTable(t *testing.T) {
	empty := &Table{}
	table, first := empty.Learn("eu1", "eu")
	same, again := table.Learn("eu1", "eu")
	silent, none := table.Learn("eu1", "")
	other, odd := table.Learn("eu1", "us")
	if first != Added || again != Known || none != Known || odd != Contradicted || same != table || silent != table || other != table {
		t.Errorf("learned %v, %v, %v, %v", first, again, none, odd)
	}
	unknown := table.Unknown([]string{"asia", "eu"})
	if empty.Len() != 0 || table.Region("eu1") != "eu" || !slices.Equal(unknown, []string{"asia"}) {
		t.Errorf("tables %v and %v, regions without data centres %q", empty, table, unknown)
	}
}
