// Package ini parses and validates the INI files of the project: settings and release notes. All faults of a file are
// reported together, each with its file, line, section and key, and with a spelling suggestion if one is close.
//
// gopkg.in/ini.v1 checks the syntax. It neither keeps line numbers nor reports duplicate keys, so the package first
// indexes the sections and keys with their lines itself.
package ini

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"gopkg.in/ini.v1"
)

// Fault is an error at one place of a file.
type Fault struct {
	File string
	// Line is the line number, starting at 1, or 0 for a fault without a line.
	Line    int
	Section string
	Key     string
	Msg     string
}

func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, ": [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s", f.Key)
	}
	return b.String() + ": " + f.Msg
}

// Faults is the error that lists all faults of a file, sorted by line.
type Faults struct{ All []Fault }

func (e *Faults) Error() string {
	lines := make([]string, len(e.All))
	for i, f := range e.All {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// File is a parsed file. The typed methods of Section read the values and record faults; Err returns the faults after all
// values have been read.
type File struct {
	Name     string
	Sections []*Section
	faults   []Fault
}

// Section is a section of a file.
type Section struct {
	Name string
	Line int
	file *File
	keys []entry
	// known lists the keys that were read or passed to AllowKeys; any other key is a fault. Nil means that the section was
	// not read and its keys are not checked.
	known []string
}

type entry struct {
	name, value string
	line        int
}

// Parse splits a file into sections. It records syntax faults, which Err returns together with the others.
func Parse(name string, text []byte) *File {
	f := &File{Name: name}
	f.indexLines(text)
	// indexLines reports faults with their lines; the library's error is used only if indexLines found no fault.
	if _, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true}, text); err != nil && len(f.faults) == 0 {
		f.addFault(Fault{Msg: strings.TrimSpace(err.Error())})
	}
	return f
}

// indexLines records the sections and keys with their lines, and reports duplicates and syntax faults.
func (f *File) indexLines(text []byte) {
	var sec *Section
	for i, raw := range strings.Split(string(text), "\n") {
		line := strings.TrimSpace(raw)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' && strings.HasSuffix(line, "]") {
			sec = &Section{Name: strings.Join(strings.Fields(line[1:len(line)-1]), " "), Line: i + 1, file: f}
			if at := slices.IndexFunc(f.Sections, func(s *Section) bool { return s.Name == sec.Name }); at >= 0 {
				f.addFault(Fault{Line: sec.Line, Section: sec.Name, Msg: fmt.Sprintf("duplicate section; merge it into the one on line %d", f.Sections[at].Line)})
			}
			f.Sections = append(f.Sections, sec)
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		key, value = strings.TrimSpace(key), stripComment(value)
		if !ok {
			f.addFault(Fault{Line: i + 1, Msg: fmt.Sprintf("%q is neither a [section] nor key = value", line)})
			continue
		}
		if sec == nil {
			f.addFault(Fault{Line: i + 1, Key: key, Msg: "key precedes the first section"})
			continue
		}
		if at := slices.IndexFunc(sec.keys, func(e entry) bool { return e.name == key }); at >= 0 {
			f.addFault(Fault{Line: i + 1, Section: sec.Name, Key: key, Msg: fmt.Sprintf("duplicate key; the first one is on line %d", sec.keys[at].line)})
			continue
		}
		sec.keys = append(sec.keys, entry{name: key, value: value, line: i + 1})
	}
}

// stripComment trims a value and removes its inline comment, which starts with # or ; after a space or tab.
func stripComment(v string) string {
	for _, mark := range []string{" #", " ;", "\t#", "\t;"} {
		if at := strings.Index(v, mark); at >= 0 {
			v = v[:at]
		}
	}
	return strings.TrimSpace(v)
}

func (f *File) addFault(fault Fault) {
	fault.File = f.Name
	f.faults = append(f.faults, fault)
}

// Err records a fault for each unknown key in the sections that were read, and returns all faults as *Faults, or nil if
// there are none.
func (f *File) Err() error {
	for _, s := range f.Sections {
		if s.known == nil {
			continue
		}
		for _, e := range s.keys {
			if !slices.Contains(s.known, e.name) {
				s.AddFault(e.name, "unknown key"+SuggestWord(e.name, s.known))
			}
		}
	}
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b Fault) int { return a.Line - b.Line })
	return &Faults{All: f.faults}
}

// ClearFaults discards the recorded faults, so that the values can be read again.
func (f *File) ClearFaults() { f.faults = nil }

// Section returns the section with the given name. If it is missing, Section records a fault and returns an empty section.
func (f *File) Section(name string) *Section {
	for _, s := range f.Sections {
		if s.Name == name {
			return s
		}
	}
	f.addFault(Fault{Section: name, Msg: "section is missing"})
	return &Section{Name: name, file: f, known: []string{}}
}

// AddFault records a fault at a key of the section, or at the section itself if key is empty.
func (s *Section) AddFault(key, msg string) {
	line := s.Line
	for _, e := range s.keys {
		if e.name == key {
			line = e.line
		}
	}
	s.file.addFault(Fault{Line: line, Section: s.Name, Key: key, Msg: msg})
}

// Has reports whether the section contains a key.
func (s *Section) Has(key string) bool {
	return slices.ContainsFunc(s.keys, func(e entry) bool { return e.name == key })
}

// AllowKeys allows keys in the section without reading them.
func (s *Section) AllowKeys(keys ...string) {
	if s.known == nil {
		s.known = []string{}
	}
	s.known = append(s.known, keys...)
}

func (s *Section) lookup(key string) (string, bool) {
	s.AllowKeys(key)
	for _, e := range s.keys {
		if e.name == key {
			return e.value, true
		}
	}
	return "", false
}

// parseValue returns the value of a key as parsed by parse. An absent key gives def; an invalid value gives def and
// records a fault, in which want describes the values that parse accepts.
func parseValue[T any](s *Section, key string, def T, want string, parse func(string) (T, error)) T {
	text, ok := s.lookup(key)
	if !ok {
		return def
	}
	v, err := parse(text)
	if err != nil {
		s.AddFault(key, fmt.Sprintf("%q is not %s", text, want))
		return def
	}
	return v
}

// Require records a fault for each given key that is absent or empty.
func (s *Section) Require(keys ...string) {
	for _, k := range keys {
		if v, ok := s.lookup(k); !ok || v == "" {
			s.AddFault(k, "key is missing")
		}
	}
}

// String returns the value of a key, or def if the key is absent. The other typed methods return def for an absent or
// invalid value as well; an invalid value also records a fault.
func (s *Section) String(key, def string) string {
	return parseValue(s, key, def, "a text", func(t string) (string, error) { return t, nil })
}

// Int parses an integer from lo to hi.
func (s *Section) Int(key string, def, lo, hi int) int {
	return parseValue(s, key, def, fmt.Sprintf("a whole number from %d to %d", lo, hi), func(t string) (int, error) {
		n, err := strconv.Atoi(t)
		if err == nil && (n < lo || n > hi) {
			err = strconv.ErrRange
		}
		return n, err
	})
}

// Float parses a number from lo to hi. NaN is invalid.
func (s *Section) Float(key string, def, lo, hi float64) float64 {
	return parseValue(s, key, def, fmt.Sprintf("a number from %g to %g", lo, hi), func(t string) (float64, error) {
		n, err := strconv.ParseFloat(t, 64)
		if err == nil && !(n >= lo && n <= hi) {
			err = strconv.ErrRange
		}
		return n, err
	})
}

// Duration parses a duration with a unit that is at least lo.
func (s *Section) Duration(key string, def, lo time.Duration) time.Duration {
	return parseValue(s, key, def, fmt.Sprintf("a duration with its unit of at least %v, such as 1500ms or 12s", lo), func(t string) (time.Duration, error) {
		d, err := time.ParseDuration(t)
		if err == nil && d < lo {
			err = strconv.ErrRange
		}
		return d, err
	})
}

// Addr parses an IP address with a port.
func (s *Section) Addr(key string, def netip.AddrPort) netip.AddrPort {
	return parseValue(s, key, def, "an IP address with a port, such as 10.0.0.1:8443", netip.ParseAddrPort)
}

// List splits a value at commas and drops empty elements. An absent key gives nil.
func (s *Section) List(key string) []string {
	text, ok := s.lookup(key)
	if !ok {
		return nil
	}
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

// Choice returns a value that must be one of the given words.
func (s *Section) Choice(key, def string, words ...string) string {
	text, ok := s.lookup(key)
	if !ok {
		return def
	}
	if !slices.Contains(words, text) {
		s.AddFault(key, fmt.Sprintf("%q is not one of %s%s", text, strings.Join(words, ", "), SuggestWord(text, words)))
		return def
	}
	return text
}

// SuggestWord returns a ", did you mean ...?" suffix for a message, with the closest of words by edit distance, or an empty
// string if none is within half the length of word.
func SuggestWord(word string, words []string) string {
	best, match := len(word)/2+1, ""
	for _, w := range words {
		if d := levenshtein.ComputeDistance(word, w); d < best {
			best, match = d, w
		}
	}
	if match == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %q?", match)
}
