// Package region decides in which data centres a request may run whose route or organisation has home regions.
//
// # Load pattern
//
// Callers of several regions share one fleet. Some of their requests must stay in home regions, however loaded the servers there are and
// however idle those elsewhere, also while a daemon has just started, a data centre is lost or evacuated, or servers are silent. Backend
// servers name their data centre but no region, so the region of a data centre is learned from the daemons there. What is not known
// counts as outside of every home region: missing information rejects requests, it never lets them run elsewhere.
package region

import (
	"maps"
	"slices"
)

// Homes are the home regions of a request. The zero value has none, so that the request may run everywhere. It is immutable.
type Homes struct {
	// limited is set if the request may run in the listed regions only, which may be none at all.
	limited bool
	names   []string
}

// NewHomes returns the home regions with the given names; an empty list means that there are none. Empty names are no regions, but a
// list of only such names still allows no region.
func NewHomes(names []string) Homes {
	if len(names) == 0 {
		return Homes{}
	}
	sorted := slices.Compact(slices.Sorted(slices.Values(names)))
	return Homes{limited: true, names: slices.DeleteFunc(sorted, func(name string) bool { return name == "" })}
}

// Limited reports whether there are home regions.
func (h Homes) Limited() bool { return h.limited }

// Names returns the names of the home regions in order. It must not be changed.
func (h Homes) Names() []string { return h.names }

// And returns the home regions of a request to which both apply: the regions that are in both lists.
func (h Homes) And(o Homes) Homes {
	switch {
	case !h.limited:
		return o
	case !o.limited:
		return h
	}
	out := Homes{limited: true}
	for _, name := range h.names {
		if slices.Contains(o.names, name) {
			out.names = append(out.names, name)
		}
	}
	return out
}

// Allow reports whether a request may be sent to a region. An empty name stands for an unknown region.
func (h Homes) Allow(name string) bool {
	return !h.limited || name != "" && slices.Contains(h.names, name)
}

// Table maps data centres to their regions, as far as they are known. It is immutable; the zero value knows none.
type Table struct {
	regions map[string]string
}

// Learned is what a message has added to a table.
type Learned uint8

const (
	// Known messages add nothing: the region is known already, or the message names none.
	Known Learned = iota
	// Added messages name the region of a data centre that had none.
	Added
	// Contradicted messages name another region than is known. A data centre does not change its region, so the known one stays: one
	// daemon with a wrong setting does not change where requests may run.
	Contradicted
)

// Learn returns the table with the region that a daemon of a data centre names.
func (t *Table) Learn(dataCentre, name string) (*Table, Learned) {
	if dataCentre == "" || name == "" {
		return t, Known
	}
	switch known := t.regions[dataCentre]; known {
	case name:
		return t, Known
	case "":
		out := &Table{regions: maps.Clone(t.regions)}
		if out.regions == nil {
			out.regions = map[string]string{}
		}
		out.regions[dataCentre] = name
		return out, Added
	}
	return t, Contradicted
}

// Region returns the region of a data centre, empty if it is not known.
func (t *Table) Region(dataCentre string) string { return t.regions[dataCentre] }

// Len returns the number of data centres whose region is known.
func (t *Table) Len() int { return len(t.regions) }

// Allows reports whether a request with the given home regions may run in a data centre.
func (t *Table) Allows(h Homes, dataCentre string) bool {
	return !h.limited || h.Allow(t.regions[dataCentre])
}

// DataCentres returns the data centres in home regions, in order. It is nil if there are no home regions and never nil if there are, since
// nil means to schedulers that every data centre is allowed.
func (t *Table) DataCentres(h Homes) []string {
	if !h.limited {
		return nil
	}
	out := []string{}
	for dataCentre, name := range t.regions {
		if h.Allow(name) {
			out = append(out, dataCentre)
		}
	}
	slices.Sort(out)
	return out
}

// Unknown returns those of the regions to which no known data centre belongs.
func (t *Table) Unknown(names []string) []string {
	known := slices.Collect(maps.Values(t.regions))
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(known, name) })
}
