package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"flamingorudder.example/internal/config"
	"flamingorudder.example/internal/ini"
	"flamingorudder.example/internal/note"
)

func printf(w io.Writer, format string, args ...any) error {
	_, err := fmt.Fprintf(w, format, args...)
	return err
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// table prints rows in aligned columns. The first row is the heading.
func table(w io.Writer, rows [][]string) error {
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		if err := printf(t, "%s\n", strings.Join(r, "\t")); err != nil {
			return err
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for line := range strings.Lines(b.String()) {
		if err := printf(w, "%s\n", strings.TrimRight(line, " \n")); err != nil {
			return err
		}
	}
	return nil
}

// Checked is the result of check in JSON.
type Checked struct {
	Valid  bool    `json:"valid"`
	Base   uint64  `json:"base"`
	Items  int     `json:"items"`
	Faults []Fault `json:"faults"`
}

// Fault is one fault of a release note in JSON.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Text    string `json:"text"`
}

func checked(n *note.Note, faults *ini.Faults) Checked {
	c := Checked{Valid: faults == nil, Faults: []Fault{}}
	if n != nil {
		c.Base, c.Items = n.Base, len(n.Items)
	}
	if faults != nil {
		for _, f := range faults.All {
			c.Faults = append(c.Faults, Fault{File: f.File, Line: f.Line, Section: f.Section, Key: f.Key, Text: f.Msg})
		}
	}
	return c
}

func printChanges(w io.Writer, changes []note.Change) error {
	if len(changes) == 0 {
		return printf(w, "no change\n")
	}
	for _, c := range changes {
		if err := printf(w, "%s\n", c); err != nil {
			return err
		}
	}
	return nil
}

func printHistory(w io.Writer, past []config.HistoryEntry) error {
	rows := [][]string{{"REVISION", "ABOUT"}}
	for _, p := range past {
		rows = append(rows, []string{fmt.Sprint(p.Revision), p.About})
	}
	return table(w, rows)
}

func anywhere(centres []string) string {
	if len(centres) == 0 {
		return "any"
	}
	return strings.Join(centres, " ")
}

// printConfig prints a configuration without the sums of bearer keys.
func printConfig(w io.Writer, c note.Config) error {
	if err := printf(w, "revision %d\n", c.Revision); err != nil {
		return err
	}
	models := [][]string{{"\nMODEL SERVICE", "MODEL", "VERSION", "COPIES", "INSTANCES", "SLOTS", "DATA CENTRES"}}
	for _, name := range slices.Sorted(maps.Keys(c.ModelServices)) {
		m := c.ModelServices[name]
		models = append(models, []string{name, m.Model, m.Version, fmt.Sprint(m.Copies), fmt.Sprint(m.Instances), fmt.Sprint(m.Slots), anywhere(m.DataCentres)})
	}
	plains := [][]string{{"\nPLAIN SERVICE", "SLOTS", "DATA CENTRES", "ROUTES"}}
	for _, name := range slices.Sorted(maps.Keys(c.PlainServices)) {
		p := c.PlainServices[name]
		var routes []string
		for _, r := range p.Routes {
			text := r.Method + " " + r.Path
			if !r.Repeatable {
				text += " (once)"
			}
			routes = append(routes, text)
		}
		plains = append(plains, []string{name, fmt.Sprint(p.Slots), anywhere(p.DataCentres), strings.Join(routes, ", ")})
	}
	orgs := [][]string{{"\nORGANISATION", "WEIGHT", "KEYS", "QUEUE", "SERVICES"}}
	for _, name := range slices.Sorted(maps.Keys(c.Organisations)) {
		o := c.Organisations[name]
		orgs = append(orgs, []string{name, fmt.Sprint(o.Weight), fmt.Sprint(len(o.Keys)), fmt.Sprint(o.QueueLimit), strings.Join(o.Services, " ")})
	}
	works := [][]string{{"\nWORK", "SERVICE", "RANK", "DEADLINE", "FLOOR"}}
	for _, name := range slices.SortedFunc(maps.Keys(c.WorkKinds), func(a, b string) int {
		return cmp.Or(cmp.Compare(c.WorkKinds[a].Rank, c.WorkKinds[b].Rank), cmp.Compare(a, b))
	}) {
		k := c.WorkKinds[name]
		works = append(works, []string{name, k.Service, k.Rank.String(), k.Deadline.String(), fmt.Sprint(k.Floor)})
	}
	for _, rows := range [][][]string{models, plains, orgs, works} {
		if len(rows) == 1 {
			continue
		}
		if err := table(w, rows); err != nil {
			return err
		}
	}
	return nil
}

// waitLine says how far a revision has come.
func waitLine(number uint64, rows []Daemon) string {
	have, all := 0, 0
	var late []string
	for _, d := range rows {
		if !d.counts() {
			continue
		}
		all++
		if !d.Lags {
			have++
			continue
		}
		late = append(late, fmt.Sprintf("%s (%s, revision %d)", d.Name, d.State, d.Applied))
	}
	line := fmt.Sprintf("revision %d is in force at %d of %d daemons", number, have, all)
	const shown = 5
	if len(late) > shown {
		late = append(late[:shown], fmt.Sprintf("%d more", len(late)-shown))
	}
	if len(late) > 0 {
		line += "; waiting for " + strings.Join(late, ", ")
	}
	return line
}

func printReport(w io.Writer, r Report) error {
	if r.Fault != "" {
		if err := printf(w, "revision %d is the highest known; the accepted one could not be read: %s\n", r.Accepted, r.Fault); err != nil {
			return err
		}
	} else if err := printf(w, "revision %d is accepted\n", r.Accepted); err != nil {
		return err
	}
	services := [][]string{{"\nSERVICE", "KIND", "COPIES", "SERVING", "MISSING"}}
	for _, s := range r.Services {
		if s.Kind == note.KindPlain {
			services = append(services, []string{s.Name, s.Kind, "-", "-", "-"})
			continue
		}
		missing := "not reported"
		if s.Missing != nil {
			missing = fmt.Sprint(*s.Missing)
		}
		services = append(services, []string{s.Name, s.Kind, fmt.Sprint(s.Copies), fmt.Sprint(s.Serving), missing})
	}
	groups := [][]string{{"\nGROUP", "GENERATION", "STATE", "PRESENT", "DATA CENTRE", "DOMAIN", "MEMBERS"}}
	for _, g := range r.Groups {
		present := "no proof"
		if g.Present {
			present = "yes"
		}
		groups = append(groups, []string{g.Group, fmt.Sprint(g.Generation), g.State, present, g.DataCentre, g.Domain, strings.Join(g.Members, " ")})
	}
	stranded := [][]string{{"\nDOMAIN", "STRANDED ACCELERATORS"}}
	for _, d := range slices.Sorted(maps.Keys(r.Stranded)) {
		stranded = append(stranded, []string{d, fmt.Sprint(r.Stranded[d])})
	}
	daemons := [][]string{{"\nDAEMON", "DATA CENTRE", "STATE", "RECEIVED", "APPLIED", "REMARKS"}}
	lagging, all := 0, 0
	for _, d := range r.Daemons {
		if d.counts() {
			all++
		}
		var remarks []string
		if d.Lags {
			lagging++
			remarks = append(remarks, "lags")
		}
		if d.Heard && d.State != "absent" && d.DataCentre != "" {
			remarks = append(remarks, "revision as heard by other daemons")
		}
		if d.Fault != "" {
			remarks = append(remarks, d.Fault)
		}
		daemons = append(daemons, []string{d.Name, d.DataCentre, d.State, fmt.Sprint(d.Received), fmt.Sprint(d.Applied), strings.Join(remarks, ", ")})
	}
	for _, rows := range [][][]string{services, groups, stranded, daemons} {
		if len(rows) == 1 {
			continue
		}
		if err := table(w, rows); err != nil {
			return err
		}
	}
	return printf(w, "\n%d of %d daemons lag\n", lagging, all)
}
