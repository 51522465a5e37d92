// Package note reads release notes and keeps the configuration that follows from them.
//
// A release note lists what is added, changed and withdrawn. The configuration is the fold of all accepted notes; its
// revision is the number of notes accepted. Both are plain values: the accepted configuration lives in the table
// service and each daemon holds a copy.
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

// Rank orders kinds of work by urgency, the most urgent first.
type Rank uint8

// Ranks of work.
const (
	RankLive Rank = iota
	RankBooking
	RankOvernight
	// Ranks is the number of ranks.
	Ranks = 3
)

var rankNames = [Ranks]string{"live", "booking", "overnight"}

func (r Rank) String() string {
	if r < Ranks {
		return rankNames[r]
	}
	return fmt.Sprintf("rank %d", uint8(r))
}

// MarshalText writes the name of the rank.
func (r Rank) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads the name of a rank.
func (r *Rank) UnmarshalText(b []byte) error {
	i := slices.Index(rankNames[:], string(b))
	if i < 0 {
		return &UnknownRank{Name: string(b)}
	}
	*r = Rank(i)
	return nil
}

// UnknownRank reports a name that is not a rank.
type UnknownRank struct{ Name string }

func (e *UnknownRank) Error() string {
	return fmt.Sprintf("%q is not a rank%s", e.Name, ini.Hint(e.Name, rankNames[:]))
}

// ModelService is a model served by groups of instances.
type ModelService struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// Copies is how many groups to keep, at least 1.
	Copies int `json:"copies"`
	// Instances is how many instances a group spans, at least 1.
	Instances int `json:"instances"`
	// DataCentres limits where groups are formed; empty means anywhere.
	DataCentres []string `json:"data_centres,omitempty"`
	// Slots is how many requests a group runs at once, at least 1.
	Slots int `json:"slots"`
}

// Route is a route of a plain service.
type Route struct {
	Method string `json:"method"`
	// Path is matched as by path.Match, segment by segment.
	Path string `json:"path"`
	// Repeatable is whether a call may be sent again after it may have run.
	Repeatable bool `json:"repeatable"`
}

// PlainService is a service beside the model engines.
type PlainService struct {
	Routes      []Route  `json:"routes"`
	DataCentres []string `json:"data_centres,omitempty"`
	// Slots is how many calls one backend server runs at once, at least 1.
	Slots int `json:"slots"`
}

// Organisation is a customer.
type Organisation struct {
	// Keys holds the SHA-256 sums of its bearer keys, in hexadecimal.
	Keys []string `json:"keys"`
	// Weight is its share relative to other organisations, above 0.
	Weight float64 `json:"weight"`
	// Services lists what it may call.
	Services []string `json:"services"`
	// Queue bounds the cost in tokens that it may have waiting at one daemon, above 0.
	Queue int `json:"queue"`
}

// Work is a kind of work.
type Work struct {
	Service string `json:"service"`
	Rank    Rank   `json:"rank"`
	// Deadline is the time allowed when the caller names none, above 0.
	Deadline time.Duration `json:"deadline"`
	// Floor is the part of the service's capacity that more urgent work cannot take, 0 to 1.
	Floor float64 `json:"floor"`
}

// Config is the configuration after a number of accepted notes.
type Config struct {
	// Revision is the number of notes accepted; it only grows.
	Revision      uint64                  `json:"revision"`
	Models        map[string]ModelService `json:"models"`
	Plains        map[string]PlainService `json:"plains"`
	Organisations map[string]Organisation `json:"organisations"`
	Works         map[string]Work         `json:"works"`
}

// Verb tells what a note does with an item.
type Verb string

// Verbs of a release note.
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
	Verb Verb
	Kind string
	Name string
	sec  *ini.Section
}

// Note is a parsed release note. It has been checked by itself; Apply checks it against a configuration.
type Note struct {
	// Base is the revision that the note was written against.
	Base  uint64
	About string
	Items []Item
	file  *ini.File
}

// Parse reads a release note. It fails with *ini.Faults.
func Parse(file string, text []byte) (*Note, error) {
	f := ini.Parse(file, text)
	head := f.Section("note")
	head.Require("base", "about")
	n := &Note{Base: uint64(head.Int("base", 0, 0, 1<<40)), About: head.String("about", ""), file: f}
	for _, s := range f.Sections {
		if s.Name != "note" {
			n.item(s)
		}
	}
	// The items are read once against an empty configuration, so that a fault in a value is found without the fleet.
	c := Config{}.clone()
	for _, it := range n.Items {
		it.read(&c)
	}
	if err := f.Err(); err != nil {
		return nil, err
	}
	return n, nil
}

func (n *Note) item(s *ini.Section) {
	words := strings.Fields(s.Name)
	verbs := []string{string(Added), string(Changed), string(Withdrawn)}
	kinds := []string{KindModel, KindPlain, KindOrganisation, KindWork}
	switch {
	case len(words) != 3:
		s.Fault("", "section is not [added|changed|withdrawn KIND NAME]")
	case !slices.Contains(verbs, words[0]):
		s.Fault("", fmt.Sprintf("%q is not one of %s%s", words[0], strings.Join(verbs, ", "), ini.Hint(words[0], verbs)))
	case !slices.Contains(kinds, words[1]):
		s.Fault("", fmt.Sprintf("%q is not one of %s%s", words[1], strings.Join(kinds, ", "), ini.Hint(words[1], kinds)))
	default:
		n.Items = append(n.Items, Item{Verb: Verb(words[0]), Kind: words[1], Name: words[2], sec: s})
	}
}

// read applies one item to c. Values that the section leaves out keep what c has, so that a change names only what
// changes.
func (it Item) read(c *Config) {
	s := it.sec
	if it.Verb == Withdrawn {
		s.Known()
		return
	}
	switch it.Kind {
	case KindModel:
		m := c.Models[it.Name]
		it.require("model", "version", "copies", "instances")
		m.Model, m.Version = s.String("model", m.Model), s.String("version", m.Version)
		m.Adapters = list(s, "adapters", m.Adapters)
		m.Copies = s.Int("copies", m.Copies, 1, 10_000)
		m.Instances = s.Int("instances", m.Instances, 1, 64)
		m.DataCentres = list(s, "data-centres", m.DataCentres)
		m.Slots = s.Int("slots", or(m.Slots, 16), 1, 4096)
		c.Models[it.Name] = m
	case KindPlain:
		p := c.Plains[it.Name]
		p.Slots = s.Int("slots", or(p.Slots, 32), 1, 4096)
		p.DataCentres = list(s, "data-centres", p.DataCentres)
		once, repeatable := it.routes("once", false), it.routes("repeatable", true)
		if s.Has("once") || s.Has("repeatable") {
			p.Routes = append(once, repeatable...)
		}
		if len(p.Routes) == 0 && it.Verb == Added {
			s.Fault("", "service has no route; add once = POST /path or repeatable = GET /path")
		}
		c.Plains[it.Name] = p
	case KindOrganisation:
		o := c.Organisations[it.Name]
		it.require("keys", "services")
		o.Keys = list(s, "keys", o.Keys)
		for _, k := range o.Keys {
			if b, err := hex.DecodeString(k); err != nil || len(b) != sha256.Size {
				s.Fault("keys", "a key is not a SHA-256 sum in hexadecimal; print one with flamingoctl key")
			}
		}
		o.Weight = s.Float("weight", or(o.Weight, 1), 0.001, 1000)
		o.Services = list(s, "services", o.Services)
		o.Queue = s.Int("queue", or(o.Queue, 200_000), 1, 1<<40)
		c.Organisations[it.Name] = o
	case KindWork:
		w := c.Works[it.Name]
		it.require("service", "rank", "deadline")
		w.Service = s.String("service", w.Service)
		_ = w.Rank.UnmarshalText([]byte(s.Choice("rank", w.Rank.String(), rankNames[:]...)))
		w.Deadline = s.Duration("deadline", w.Deadline, time.Millisecond)
		w.Floor = s.Float("floor", w.Floor, 0, 1)
		c.Works[it.Name] = w
	}
}

func (it Item) require(keys ...string) {
	if it.Verb == Added {
		it.sec.Require(keys...)
	}
}

func (it Item) routes(key string, repeatable bool) []Route {
	var rs []Route
	for _, text := range it.sec.List(key) {
		method, p, ok := strings.Cut(text, " ")
		p = strings.TrimSpace(p)
		if _, err := path.Match(p, "/"); !ok || err != nil || !strings.HasPrefix(p, "/") || method != strings.ToUpper(method) {
			it.sec.Fault(key, fmt.Sprintf("%q is not METHOD /path", text))
			continue
		}
		rs = append(rs, Route{Method: method, Path: p, Repeatable: repeatable})
	}
	return rs
}

func list(s *ini.Section, key string, def []string) []string {
	if l := s.List(key); s.Has(key) {
		return l
	}
	return def
}

func or[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

func (c Config) clone() Config {
	n := Config{Revision: c.Revision, Models: maps.Clone(c.Models), Plains: maps.Clone(c.Plains), Organisations: maps.Clone(c.Organisations), Works: maps.Clone(c.Works)}
	if n.Models == nil {
		n.Models = map[string]ModelService{}
	}
	if n.Plains == nil {
		n.Plains = map[string]PlainService{}
	}
	if n.Organisations == nil {
		n.Organisations = map[string]Organisation{}
	}
	if n.Works == nil {
		n.Works = map[string]Work{}
	}
	return n
}

// Stale reports a note whose base is not the current revision.
type Stale struct{ Base, Current uint64 }

func (e *Stale) Error() string {
	return fmt.Sprintf("note is written against revision %d, but revision %d is in force; read what changed and set base = %d", e.Base, e.Current, e.Current)
}

// Apply returns the configuration after the note. It fails with *Stale or *ini.Faults and leaves c as it is.
func (c Config) Apply(n *Note) (Config, error) {
	if n.Base != c.Revision {
		return c, &Stale{Base: n.Base, Current: c.Revision}
	}
	next := c.clone()
	next.Revision++
	n.file.Reset()
	for _, it := range n.Items {
		exists := next.has(it.Kind, it.Name)
		switch {
		case it.Verb == Added && exists:
			it.sec.Fault("", fmt.Sprintf("%s %q exists already; use [changed ...]", it.Kind, it.Name))
			continue
		case it.Verb != Added && !exists:
			it.sec.Fault("", fmt.Sprintf("%s %q does not exist%s", it.Kind, it.Name, ini.Hint(it.Name, next.names(it.Kind))))
			continue
		}
		if it.Verb == Withdrawn {
			next.remove(it.Kind, it.Name)
			it.sec.Known()
			continue
		}
		it.read(&next)
	}
	next.check(n)
	if err := n.file.Err(); err != nil {
		return c, err
	}
	return next, nil
}

// check reports names that lead nowhere.
func (c Config) check(n *Note) {
	services := append(slices.Collect(maps.Keys(c.Models)), slices.Collect(maps.Keys(c.Plains))...)
	slices.Sort(services)
	for _, name := range slices.Sorted(maps.Keys(c.Organisations)) {
		for _, s := range c.Organisations[name].Services {
			if !slices.Contains(services, s) {
				n.fault(KindOrganisation, name, "services", fmt.Sprintf("organisation %q is assigned to %q, which is no service%s", name, s, ini.Hint(s, services)))
			}
		}
	}
	floors := map[string]float64{}
	for _, name := range slices.Sorted(maps.Keys(c.Works)) {
		w := c.Works[name]
		if !slices.Contains(services, w.Service) {
			n.fault(KindWork, name, "service", fmt.Sprintf("work %q names %q, which is no service%s", name, w.Service, ini.Hint(w.Service, services)))
		}
		floors[w.Service] += w.Floor
		if floors[w.Service] > 1 {
			n.fault(KindWork, name, "floor", fmt.Sprintf("floors of service %q add up to more than 1", w.Service))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.Models)) {
		if _, ok := c.Plains[name]; ok {
			n.fault(KindPlain, name, "", fmt.Sprintf("%q is both a model service and a plain service", name))
		}
	}
}

// fault records a fault at the item of a kind and name, or at the head of the note when the note does not mention it.
func (n *Note) fault(kind, name, key, msg string) {
	for _, it := range n.Items {
		if it.Kind == kind && it.Name == name {
			it.sec.Fault(key, msg)
			return
		}
	}
	n.file.Section("note").Fault("", msg)
}

// OrganisationNames returns the names of the organisations in order. Messages between daemons name an organisation by
// its index in this list at a revision.
func (c Config) OrganisationNames() []string { return c.names(KindOrganisation) }

// Floors returns the part of a service's capacity that each rank keeps; those of several kinds of work of one rank add up.
func (c Config) Floors(service string) (floors [Ranks]float64) {
	for _, w := range c.Works {
		if w.Service == service {
			floors[w.Rank] = min(1, floors[w.Rank]+w.Floor)
		}
	}
	return floors
}

func (c Config) names(kind string) []string {
	switch kind {
	case KindModel:
		return slices.Sorted(maps.Keys(c.Models))
	case KindPlain:
		return slices.Sorted(maps.Keys(c.Plains))
	case KindOrganisation:
		return slices.Sorted(maps.Keys(c.Organisations))
	}
	return slices.Sorted(maps.Keys(c.Works))
}

func (c Config) has(kind, name string) bool { return slices.Contains(c.names(kind), name) }

func (c Config) remove(kind, name string) {
	switch kind {
	case KindModel:
		delete(c.Models, name)
	case KindPlain:
		delete(c.Plains, name)
	case KindOrganisation:
		delete(c.Organisations, name)
	case KindWork:
		delete(c.Works, name)
	}
}

// HashKey returns the form in which a bearer key is kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Change is one difference between two configurations.
type Change struct {
	Verb Verb   `json:"verb"`
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Fields lists what differs, for a changed item, as "field: old -> new".
	Fields []string `json:"fields,omitempty"`
}

func (c Change) String() string {
	s := fmt.Sprintf("%s %s %s", c.Verb, c.Kind, c.Name)
	if len(c.Fields) > 0 {
		s += ": " + strings.Join(c.Fields, ", ")
	}
	return s
}

// Diff lists what is added, changed and withdrawn between two configurations, in order of kind and name. Keys of
// organisations are not shown.
func Diff(a, b Config) []Change {
	return slices.Concat(
		diff(KindModel, a.Models, b.Models, ModelService.fields),
		diff(KindPlain, a.Plains, b.Plains, PlainService.fields),
		diff(KindOrganisation, a.Organisations, b.Organisations, Organisation.fields),
		diff(KindWork, a.Works, b.Works, Work.fields),
	)
}

// field is a value of an item as it is shown.
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
		{"queue", fmt.Sprint(o.Queue)},
	}
}

func (w Work) fields() []field {
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
		x, inA := a[n]
		y, inB := b[n]
		switch {
		case !inA:
			out = append(out, Change{Verb: Added, Kind: kind, Name: n})
		case !inB:
			out = append(out, Change{Verb: Withdrawn, Kind: kind, Name: n})
		default:
			var changed []string
			old := fields(x)
			for i, f := range fields(y) {
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
