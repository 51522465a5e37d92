// Package note parses release notes and applies them to the configuration.
//
// A release note lists items that are added, changed and withdrawn. The configuration is the result of applying all
// accepted notes in order; its revision is the number of notes accepted. Both are plain values: the accepted
// configuration is stored in the table service and each daemon holds a copy.
package note

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"path"
	"slices"
	"strings"
	"time"

	"flamingorudder.example/internal/ini"
)

// Rank is the priority of a kind of work. Lower values are more urgent.
type Rank uint8

// Ranks of kinds of work.
const (
	RankLive Rank = iota
	RankBooking
	RankOvernight
	// NumRanks is the number of ranks.
	NumRanks = 3
)

var rankNames = [NumRanks]string{"live", "booking", "overnight"}

func (r Rank) String() string {
	if r < NumRanks {
		return rankNames[r]
	}
	return fmt.Sprintf("rank %d", uint8(r))
}

// MarshalText encodes the rank as its name.
func (r Rank) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText decodes the name of a rank. It fails with *UnknownRankError.
func (r *Rank) UnmarshalText(b []byte) error {
	i := slices.Index(rankNames[:], string(b))
	if i < 0 {
		return &UnknownRankError{Name: string(b)}
	}
	*r = Rank(i)
	return nil
}

// UnknownRankError is the error for a name that is not a rank.
type UnknownRankError struct{ Name string }

func (e *UnknownRankError) Error() string {
	return fmt.Sprintf("unknown rank %q%s", e.Name, ini.SuggestWord(e.Name, rankNames[:]))
}

// ModelService is a model that is served by groups of instances.
type ModelService struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// Copies is the number of groups to keep running, at least 1.
	Copies int `json:"copies"`
	// Instances is the number of instances in each group, at least 1.
	Instances int `json:"instances"`
	// DataCentres limits the data centres in which groups are formed; empty means any.
	DataCentres []string `json:"data_centres,omitempty"`
	// Slots is the number of requests that a group runs concurrently, at least 1.
	Slots int `json:"slots"`
}

// Route is a route of a plain service.
type Route struct {
	Method string `json:"method"`
	// Path is a pattern in the syntax of path.Match; a wildcard does not match across segments.
	Path string `json:"path"`
	// Repeatable reports whether a call may be retried when an earlier attempt may have run.
	Repeatable bool `json:"repeatable"`
}

// PlainService is a service that does not serve a model.
type PlainService struct {
	Routes      []Route  `json:"routes"`
	DataCentres []string `json:"data_centres,omitempty"`
	// Slots is the number of calls that one backend server runs concurrently, at least 1.
	Slots int `json:"slots"`
}

// Organisation holds the API keys and limits of a customer.
type Organisation struct {
	// Keys holds the SHA-256 hashes of its bearer keys, in hexadecimal.
	Keys []string `json:"keys"`
	// Weight is its share of capacity relative to other organisations, above 0.
	Weight float64 `json:"weight"`
	// Services lists the services that it may call.
	Services []string `json:"services"`
	// QueueLimit limits the total cost, in tokens, of its requests that wait at one daemon, above 0.
	QueueLimit int `json:"queue"`
}

// WorkKind configures a kind of work: the service that runs it and its rank, default deadline and reserved capacity.
type WorkKind struct {
	Service string `json:"service"`
	Rank    Rank   `json:"rank"`
	// Deadline is the time limit of a request whose caller sets none, above 0.
	Deadline time.Duration `json:"deadline"`
	// Floor is the fraction of the service's capacity that is reserved against more urgent work, 0 to 1.
	Floor float64 `json:"floor"`
}

// Config is the configuration at a revision.
type Config struct {
	// Revision is the number of notes accepted; it never decreases.
	Revision      uint64                  `json:"revision"`
	ModelServices map[string]ModelService `json:"models"`
	PlainServices map[string]PlainService `json:"plains"`
	Organisations map[string]Organisation `json:"organisations"`
	WorkKinds     map[string]WorkKind     `json:"works"`
}

// Verb is the operation that a note performs on an item.
type Verb string

// Operations of a release note.
const (
	Added     Verb = "added"
	Changed   Verb = "changed"
	Withdrawn Verb = "withdrawn"
)

// Kinds of items in a release note.
const (
	KindModel        = "model-service"
	KindPlain        = "plain-service"
	KindOrganisation = "organisation"
	KindWork         = "work"
)

// Item is one section of a release note.
type Item struct {
	Verb    Verb
	Kind    string
	Name    string
	section *ini.Section
}

// Note is a parsed release note. Parse checks it on its own; Config.Apply checks it against a configuration.
type Note struct {
	// Base is the revision that the note applies to.
	Base  uint64
	About string
	Items []Item
	file  *ini.File
}

// Parse parses a release note. It fails with *ini.Faults.
func Parse(file string, text []byte) (*Note, error) {
	f := ini.Parse(file, text)
	head := f.Section("note")
	head.Require("base", "about")
	n := &Note{Base: uint64(head.Int("base", 0, 0, 1<<40)), About: head.String("about", ""), file: f}
	for _, s := range f.Sections {
		if s.Name != "note" {
			n.addItem(s)
		}
	}
	// Applying the items to an empty configuration finds invalid values without the fleet's configuration.
	c := Config{}.clone()
	for _, it := range n.Items {
		it.applyTo(&c)
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return n, nil
}

func (n *Note) addItem(s *ini.Section) {
	words := strings.Fields(s.Name)
	verbs := []string{string(Added), string(Changed), string(Withdrawn)}
	kinds := []string{KindModel, KindPlain, KindOrganisation, KindWork}
	switch {
	case len(words) != 3:
		s.AddFault("", "section is not [added|changed|withdrawn KIND NAME]")
	case !slices.Contains(verbs, words[0]):
		s.AddFault("", fmt.Sprintf("%q is not one of %s%s", words[0], strings.Join(verbs, ", "), ini.SuggestWord(words[0], verbs)))
	case !slices.Contains(kinds, words[1]):
		s.AddFault("", fmt.Sprintf("%q is not one of %s%s", words[1], strings.Join(kinds, ", "), ini.SuggestWord(words[1], kinds)))
	default:
		n.Items = append(n.Items, Item{Verb: Verb(words[0]), Kind: words[1], Name: words[2], section: s})
	}
}

// applyTo applies one item to c. Keys that the section omits keep their value in c, so that a [changed ...] section lists
// only the values that change.
func (it Item) applyTo(c *Config) {
	s := it.section
	if it.Verb == Withdrawn {
		s.AllowKeys()
		return
	}
	switch it.Kind {
	case KindModel:
		m := c.ModelServices[it.Name]
		it.require("model", "version", "copies", "instances")
		m.Model, m.Version = s.String("model", m.Model), s.String("version", m.Version)
		m.Adapters = listOrDefault(s, "adapters", m.Adapters)
		m.Copies = s.Int("copies", m.Copies, 1, 10_000)
		m.Instances = s.Int("instances", m.Instances, 1, 64)
		m.DataCentres = listOrDefault(s, "data-centres", m.DataCentres)
		m.Slots = s.Int("slots", orDefault(m.Slots, 16), 1, 4096)
		c.ModelServices[it.Name] = m
	case KindPlain:
		p := c.PlainServices[it.Name]
		p.Slots = s.Int("slots", orDefault(p.Slots, 32), 1, 4096)
		p.DataCentres = listOrDefault(s, "data-centres", p.DataCentres)
		once, repeatable := it.parseRoutes("once", false), it.parseRoutes("repeatable", true)
		if s.Has("once") || s.Has("repeatable") {
			p.Routes = append(once, repeatable...)
		}
		if len(p.Routes) == 0 && it.Verb == Added {
			s.AddFault("", "service has no route; add once = POST /path or repeatable = GET /path")
		}
		c.PlainServices[it.Name] = p
	case KindOrganisation:
		o := c.Organisations[it.Name]
		it.require("keys", "services")
		o.Keys = listOrDefault(s, "keys", o.Keys)
		for _, k := range o.Keys {
			if b, err := hex.DecodeString(k); err != nil || len(b) != sha256.Size {
				s.AddFault("keys", "a key is not a SHA-256 sum in hexadecimal; print one with flamingoctl key")
			}
		}
		o.Weight = s.Float("weight", orDefault(o.Weight, 1), 0.001, 1000)
		o.Services = listOrDefault(s, "services", o.Services)
		o.QueueLimit = s.Int("queue", orDefault(o.QueueLimit, 200_000), 1, 1<<40)
		c.Organisations[it.Name] = o
	case KindWork:
		w := c.WorkKinds[it.Name]
		it.require("service", "rank", "deadline")
		w.Service = s.String("service", w.Service)
		_ = w.Rank.UnmarshalText([]byte(s.Choice("rank", w.Rank.String(), rankNames[:]...)))
		w.Deadline = s.Duration("deadline", w.Deadline, time.Millisecond)
		w.Floor = s.Float("floor", w.Floor, 0, 1)
		c.WorkKinds[it.Name] = w
	}
}

func (it Item) require(keys ...string) {
	if it.Verb == Added {
		it.section.Require(keys...)
	}
}

func (it Item) parseRoutes(key string, repeatable bool) []Route {
	var rs []Route
	for _, text := range it.section.List(key) {
		method, p, ok := strings.Cut(text, " ")
		p = strings.TrimSpace(p)
		if _, err := path.Match(p, "/"); !ok || err != nil || !strings.HasPrefix(p, "/") || method != strings.ToUpper(method) {
			it.section.AddFault(key, fmt.Sprintf("%q is not METHOD /path", text))
			continue
		}
		rs = append(rs, Route{Method: method, Path: p, Repeatable: repeatable})
	}
	return rs
}

func listOrDefault(s *ini.Section, key string, def []string) []string {
	if l := s.List(key); s.Has(key) {
		return l
	}
	return def
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

func (c Config) clone() Config {
	n := Config{Revision: c.Revision, ModelServices: maps.Clone(c.ModelServices), PlainServices: maps.Clone(c.PlainServices), Organisations: maps.Clone(c.Organisations), WorkKinds: maps.Clone(c.WorkKinds)}
	if n.ModelServices == nil {
		n.ModelServices = map[string]ModelService{}
	}
	if n.PlainServices == nil {
		n.PlainServices = map[string]PlainService{}
	}
	if n.Organisations == nil {
		n.Organisations = map[string]Organisation{}
	}
	if n.WorkKinds == nil {
		n.WorkKinds = map[string]WorkKind{}
	}
	return n
}

// StaleBaseError is the error for a note whose base is not the current revision.
type StaleBaseError struct{ Base, Current uint64 }

func (e *StaleBaseError) Error() string {
	return fmt.Sprintf("note is written against revision %d, but revision %d is in force; read what changed and set base = %d", e.Base, e.Current, e.Current)
}

// Apply returns the configuration that results from applying the note to c, which it does not modify. It fails with
// *StaleBaseError or *ini.Faults.
func (c Config) Apply(n *Note) (Config, error) {
	if n.Base != c.Revision {
		return c, &StaleBaseError{Base: n.Base, Current: c.Revision}
	}
	next := c.clone()
	next.Revision++
	n.file.ClearFaults()
	for _, it := range n.Items {
		exists := next.has(it.Kind, it.Name)
		switch {
		case it.Verb == Added && exists:
			it.section.AddFault("", fmt.Sprintf("%s %q already exists; use [changed ...]", it.Kind, it.Name))
			continue
		case it.Verb != Added && !exists:
			it.section.AddFault("", fmt.Sprintf("%s %q does not exist%s", it.Kind, it.Name, ini.SuggestWord(it.Name, next.names(it.Kind))))
			continue
		}
		if it.Verb == Withdrawn {
			next.remove(it.Kind, it.Name)
			it.section.AllowKeys()
			continue
		}
		it.applyTo(&next)
	}
	next.checkReferences(n)
	if err := n.file.Err(); err != nil {
		return c, err
	}
	return next, nil
}

// checkReferences records a fault for references to services that do not exist, floors that exceed the capacity of a
// service, and names that are used for both kinds of service.
func (c Config) checkReferences(n *Note) {
	services := append(slices.Collect(maps.Keys(c.ModelServices)), slices.Collect(maps.Keys(c.PlainServices))...)
	slices.Sort(services)
	for _, name := range slices.Sorted(maps.Keys(c.Organisations)) {
		for _, s := range c.Organisations[name].Services {
			if !slices.Contains(services, s) {
				n.addFault(KindOrganisation, name, "services", fmt.Sprintf("organisation %q is assigned to %q, which is not a service%s", name, s, ini.SuggestWord(s, services)))
			}
		}
	}
	floors := map[string]float64{}
	for _, name := range slices.Sorted(maps.Keys(c.WorkKinds)) {
		w := c.WorkKinds[name]
		if !slices.Contains(services, w.Service) {
			n.addFault(KindWork, name, "service", fmt.Sprintf("work %q refers to %q, which is not a service%s", name, w.Service, ini.SuggestWord(w.Service, services)))
		}
		floors[w.Service] += w.Floor
		if floors[w.Service] > 1 {
			n.addFault(KindWork, name, "floor", fmt.Sprintf("floors of service %q add up to more than 1", w.Service))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.ModelServices)) {
		if _, ok := c.PlainServices[name]; ok {
			n.addFault(KindPlain, name, "", fmt.Sprintf("%q is both a model service and a plain service", name))
		}
	}
}

// addFault records a fault at the item with a kind and name, or at the [note] section if the note has no such item.
func (n *Note) addFault(kind, name, key, msg string) {
	for _, it := range n.Items {
		if it.Kind == kind && it.Name == name {
			it.section.AddFault(key, msg)
			return
		}
	}
	n.file.Section("note").AddFault("", msg)
}

// OrganisationNames returns the names of the organisations in sorted order. Messages between daemons identify an
// organisation by its index in this list together with the revision.
func (c Config) OrganisationNames() []string { return c.names(KindOrganisation) }

// Floors returns the fraction of a service's capacity that is reserved for each rank. The floors of all kinds of work of
// a rank are added up, to at most 1.
func (c Config) Floors(service string) (floors [NumRanks]float64) {
	for _, w := range c.WorkKinds {
		if w.Service == service {
			floors[w.Rank] = min(1, floors[w.Rank]+w.Floor)
		}
	}
	return floors
}

func (c Config) names(kind string) []string {
	switch kind {
	case KindModel:
		return slices.Sorted(maps.Keys(c.ModelServices))
	case KindPlain:
		return slices.Sorted(maps.Keys(c.PlainServices))
	case KindOrganisation:
		return slices.Sorted(maps.Keys(c.Organisations))
	}
	return slices.Sorted(maps.Keys(c.WorkKinds))
}

func (c Config) has(kind, name string) bool { return slices.Contains(c.names(kind), name) }

func (c Config) remove(kind, name string) {
	switch kind {
	case KindModel:
		delete(c.ModelServices, name)
	case KindPlain:
		delete(c.PlainServices, name)
	case KindOrganisation:
		delete(c.Organisations, name)
	case KindWork:
		delete(c.WorkKinds, name)
	}
}

// HashKey returns the SHA-256 hash of a bearer key in hexadecimal, which is stored in place of the key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Change is one difference between two configurations.
type Change struct {
	Verb Verb   `json:"verb"`
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Fields lists the differences of a changed item, each as "field: old -> new".
	Fields []string `json:"fields,omitempty"`
}

func (c Change) String() string {
	s := fmt.Sprintf("%s %s %s", c.Verb, c.Kind, c.Name)
	if len(c.Fields) > 0 {
		s += ": " + strings.Join(c.Fields, ", ")
	}
	return s
}

// Diff lists the items that are added, changed and withdrawn between two configurations, sorted by kind and name. Of the
// keys of organisations it shows only their number and a digest.
func Diff(a, b Config) []Change {
	return slices.Concat(
		diff(KindModel, a.ModelServices, b.ModelServices, ModelService.fields),
		diff(KindPlain, a.PlainServices, b.PlainServices, PlainService.fields),
		diff(KindOrganisation, a.Organisations, b.Organisations, Organisation.fields),
		diff(KindWork, a.WorkKinds, b.WorkKinds, WorkKind.fields),
	)
}

// field is a value of an item, formatted for Diff.
type field struct{ name, value string }

func (m ModelService) fields() []field {
	return []field{
		{"model", m.Model},
		{"version", m.Version},
		{"adapters", strings.Join(m.Adapters, " ")},
		{"copies", fmt.Sprint(m.Copies)},
		{"instances", fmt.Sprint(m.Instances)},
		{"data-centres", strings.Join(m.DataCentres, " ")},
		{"slots", fmt.Sprint(m.Slots)},
	}
}

func (p PlainService) fields() []field {
	var once, repeatable []string
	for _, r := range p.Routes {
		if r.Repeatable {
			repeatable = append(repeatable, r.Method+" "+r.Path)
		} else {
			once = append(once, r.Method+" "+r.Path)
		}
	}
	return []field{
		{"once", strings.Join(once, " ")},
		{"repeatable", strings.Join(repeatable, " ")},
		{"data-centres", strings.Join(p.DataCentres, " ")},
		{"slots", fmt.Sprint(p.Slots)},
	}
}

func (o Organisation) fields() []field {
	return []field{
		{"keys", fmt.Sprintf("%d with digest %.8s", len(o.Keys), HashKey(strings.Join(o.Keys, " ")))},
		{"weight", fmt.Sprint(o.Weight)},
		{"services", strings.Join(o.Services, " ")},
		{"queue", fmt.Sprint(o.QueueLimit)},
	}
}

func (w WorkKind) fields() []field {
	return []field{
		{"service", w.Service},
		{"rank", w.Rank.String()},
		{"deadline", w.Deadline.String()},
		{"floor", fmt.Sprint(w.Floor)},
	}
}

func diff[T any](kind string, a, b map[string]T, fields func(T) []field) []Change {
	names := slices.Collect(maps.Keys(a))
	for n := range b {
		if _, ok := a[n]; !ok {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	var out []Change
	for _, n := range names {
		before, inA := a[n]
		after, inB := b[n]
		switch {
		case !inA:
			out = append(out, Change{Verb: Added, Kind: kind, Name: n})
		case !inB:
			out = append(out, Change{Verb: Withdrawn, Kind: kind, Name: n})
		default:
			var changed []string
			old := fields(before)
			for i, f := range fields(after) {
				if f.value != old[i].value {
					changed = append(changed, fmt.Sprintf("%s: %s -> %s", f.name, old[i].value, f.value))
				}
			}
			if len(changed) > 0 {
				out = append(out, Change{Verb: Changed, Kind: kind, Name: n, Fields: changed})
			}
		}
	}
	return out
}
