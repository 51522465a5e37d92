package note

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"flamingorudder.example/internal/ini"
)

func readFile(t *testing.T, file string) []byte {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func mustApply(t *testing.T, c Config, text string) Config {
	t.Helper()
	n, err := Parse("note.ini", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	next, err := c.Apply(n)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func craigmhorConfig(t *testing.T) Config {
	return mustApply(t, Config{}, string(readFile(t, "../../deploy/craigmhor/note.ini")))
}

// Checks that the release notes of the deployments still parse and apply.
func TestDeploymentNotes(t *testing.T) {
	for _, d := range []string{"craigmhor", "tallado"} {
		c := mustApply(t, Config{}, string(readFile(t, "../../deploy/"+d+"/note.ini")))
		if c.Revision != 1 || len(c.Organisations) != 10 || len(c.ModelServices) != 1 || len(c.PlainServices) != 1 || len(c.WorkKinds) != 4 {
			t.Errorf("%s: revision %d, %d organisations, %d models, %d plain services, %d works", d, c.Revision, len(c.Organisations), len(c.ModelServices), len(c.PlainServices), len(c.WorkKinds))
		}
	}
}

// Guards against faults that are hidden by other faults, reported at the wrong line, or lack a spelling suggestion. Each
// invalid note has a golden file with all of its faults.
func TestFaults(t *testing.T) {
	c := craigmhorConfig(t)
	for name, text := range map[string]string{
		"values":  "[note]\nbase = 1\nabout = x\n\n[changed work desk]\nrnak = live\ndeadline = 12\nfloor = 2\nrank = life\n\n[changed organisation tiree]\nweight = heavy\nkeys = abc\n",
		"names":   "[note]\nbase = 1\nabout = x\n\n[changed work desk]\ndeadline = 12s\n\n[chnged work desk]\n[added modelservice x]\n[added work]\n",
		"repeats": "[note]\nbase = 1\nbase = 2\nabout = x\n\n[changed work desk]\ndeadline = 12s\n\n[changed work desk]\nfloor = 0.1\n",
		"leads":   "[note]\nbase = 1\nabout = x\n\n[changed work desk]\nservice = model-dsk\nfloor = 0.9\n\n[withdrawn plain-service hire-ledger]\n\n[added model-service desk-spare]\nmodel = m\nversion = 1\ncopies = 1\ninstances = 1\n\n[added model-service model-desk]\nmodel = m\nversion = 1\ncopies = 1\ninstances = 1\n\n[changed organisation skey]\nweight = 2\n",
		"syntax":  "base = 1\n[note]\nabout\nbase = 1\nabout = y\n",
	} {
		n, err := Parse("note.ini", []byte(text))
		if err == nil {
			_, err = c.Apply(n)
		}
		var faults *ini.Faults
		if !errors.As(err, &faults) {
			t.Errorf("%s: error %v, want *ini.Faults", name, err)
			continue
		}
		goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
	}
}

// Guards against a [changed ...] section that resets the values that it omits.
func TestChangeKeepsOmittedValues(t *testing.T) {
	before := craigmhorConfig(t)
	after := mustApply(t, before, "[note]\nbase = 1\nabout = x\n\n[changed work desk]\ndeadline = 12s\n\n[withdrawn organisation jura]\n")
	if w := after.WorkKinds["desk"]; w.Deadline != 12*time.Second || w.Floor != before.WorkKinds["desk"].Floor || w.Service != "model-desk" {
		t.Errorf("work after the change: %+v", w)
	}
	if _, ok := after.Organisations["jura"]; ok || len(before.Organisations) != 10 {
		t.Errorf("organisation was not withdrawn, or the earlier configuration changed")
	}
	var text strings.Builder
	for _, ch := range Diff(before, after) {
		text.WriteString(ch.String() + "\n")
	}
	goldie.New(t).Assert(t, "diff", []byte(text.String()))
}

// The scheduler of a group and the queue of a plain service both use Floors, so that they reserve the same capacity for
// a rank. Guards against floors of one rank that are not added up.
func TestFloorsOfOneRankAddUp(t *testing.T) {
	c := Config{WorkKinds: map[string]WorkKind{
		"a": {Service: "s", Rank: RankBooking, Floor: 0.25}, "b": {Service: "s", Rank: RankBooking, Floor: 0.5}, "c": {Service: "t", Floor: 1},
	}}
	if got := c.Floors("s"); got != [NumRanks]float64{0, 0.75, 0} {
		t.Errorf("floors %v, want 0, 0.75, 0", got)
	}
}

// Guards against operators who overwrite each other's change: a note whose base is outdated must be refused.
func TestStaleBase(t *testing.T) {
	c := craigmhorConfig(t)
	n, err := Parse("note.ini", []byte("[note]\nbase = 0\nabout = x\n"))
	if err != nil {
		t.Fatal(err)
	}
	var stale *StaleBaseError
	if _, err := c.Apply(n); !errors.As(err, &stale) || stale.Current != 1 {
		t.Fatalf("error %v, want *StaleBaseError with current revision 1", err)
	}
}

func FuzzParse(f *testing.F) {
	for _, d := range []string{"craigmhor", "tallado"} {
		b, err := os.ReadFile("../../deploy/" + d + "/note.ini")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := Parse("note.ini", b)
		if err != nil {
			var faults *ini.Faults
			if !errors.As(err, &faults) || len(faults.All) == 0 {
				t.Fatalf("error %v, want *ini.Faults with at least one fault", err)
			}
			return
		}
		c, err := Config{}.Apply(n)
		if err == nil && c.Revision != 1 {
			t.Fatalf("revision %d, want 1", c.Revision)
		}
	})
}
