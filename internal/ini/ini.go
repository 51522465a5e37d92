// Package ini reads the INI files of the project, settings and release notes, and checks them whole: all faults of a
// file are reported at once, each with its file, line, section and key, and with the near miss where there is one.
//
// gopkg.in/ini.v1 does the parsing. It neither keeps line numbers nor reports repeated keys, so a pass over the text
// beforehand indexes the lines of sections and keys.
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

// Fault is one thing that is wrong in a file.
type Fault struct {
	File string
	// Line counts from 1; 0 when the fault has no line of its own.
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

// Faults is every fault found in a file, in order of lines.
type Faults struct{ All []Fault }

func (e *Faults) Error() string {
	lines := make([]string, len(e.All))
	for i, f := range e.All {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// File is a parsed file. Its sections are read with the typed methods of Section, which record faults; Err returns
// them when all has been read.
type File struct {
	Name     string
	Sections []*Section
	faults   []Fault
}

// Section is one section of a file.
type Section struct {
	Name string
	Line int
	file *File
	keys []entry
	// known lists the keys that were asked for; any other key in the section is a fault.
	known []string
}

type entry struct {
	name, value string
	line        int
}

// Parse splits a file into sections. Syntax faults are kept and come out of Err with the rest.
func Parse(name string, text []byte) *File {
	f := &File{Name: name}
	f.index(text)
	// The pass above names the line; the parser's own message is only needed for what that pass does not see.
	if _, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: true}, text); err != nil && len(f.faults) == 0 {
		f.add(Fault{Msg: strings.TrimSpace(err.Error())})
	}
	return f
}

// index keeps the sections and keys with their lines, and reports what is repeated.
func (f *File) index(text []byte) {
	var sec *Section
	for i, raw := range strings.Split(string(text), "\n") {
		line := strings.TrimSpace(raw)
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' && strings.HasSuffix(line, "]") {
			sec = &Section{Name: strings.Join(strings.Fields(line[1:len(line)-1]), " "), Line: i + 1, file: f}
			if at := slices.IndexFunc(f.Sections, func(s *Section) bool { return s.Name == sec.Name }); at >= 0 {
				f.add(Fault{Line: sec.Line, Section: sec.Name, Msg: fmt.Sprintf("section is already on line %d; join the two", f.Sections[at].Line)})
			}
			f.Sections = append(f.Sections, sec)
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		key, value = strings.TrimSpace(key), cleanValue(value)
		if !ok {
			f.add(Fault{Line: i + 1, Msg: fmt.Sprintf("%q is neither a [section] nor key = value", line)})
			continue
		}
		if sec == nil {
			f.add(Fault{Line: i + 1, Key: key, Msg: "key stands before the first section"})
			continue
		}
		if at := slices.IndexFunc(sec.keys, func(e entry) bool { return e.name == key }); at >= 0 {
			f.add(Fault{Line: i + 1, Section: sec.Name, Key: key, Msg: fmt.Sprintf("key is already on line %d", sec.keys[at].line)})
			continue
		}
		sec.keys = append(sec.keys, entry{name: key, value: value, line: i + 1})
	}
}

// cleanValue drops an inline comment, which starts with " #" or " ;".
func cleanValue(v string) string {
	for _, mark := range []string{" #", " ;", "\t#", "\t;"} {
		if at := strings.Index(v, mark); at >= 0 {
			v = v[:at]
		}
	}
	return strings.TrimSpace(v)
}

func (f *File) add(x Fault) {
	x.File = f.Name
	f.faults = append(f.faults, x)
}

// Err reports unknown keys in the sections that were read and returns all faults as *Faults, or nil.
func (f *File) Err() error {
	for _, s := range f.Sections {
		if s.known == nil {
			continue
		}
		for _, e := range s.keys {
			if !slices.Contains(s.known, e.name) {
				s.Fault(e.name, "unknown key"+Hint(e.name, s.known))
			}
		}
	}
	if len(f.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(f.faults, func(a, b Fault) int { return a.Line - b.Line })
	return &Faults{All: f.faults}
}

// Reset forgets the faults recorded so far, so that a file can be read again.
func (f *File) Reset() { f.faults = nil }

// Section returns the section with a name. A missing one is a fault, and an empty section is returned in its place.
func (f *File) Section(name string) *Section {
	for _, s := range f.Sections {
		if s.Name == name {
			return s
		}
	}
	f.add(Fault{Section: name, Msg: "section is missing"})
	return &Section{Name: name, file: f, known: []string{}}
}

// Fault records a fault at a key of the section; with an empty key, at the section itself.
func (s *Section) Fault(key, msg string) {
	line := s.Line
	for _, e := range s.keys {
		if e.name == key {
			line = e.line
		}
	}
	s.file.add(Fault{Line: line, Section: s.Name, Key: key, Msg: msg})
}

// Has tells whether the section holds a key.
func (s *Section) Has(key string) bool {
	return slices.ContainsFunc(s.keys, func(e entry) bool { return e.name == key })
}

// Known declares keys that are allowed in the section without reading them.
func (s *Section) Known(keys ...string) {
	if s.known == nil {
		s.known = []string{}
	}
	s.known = append(s.known, keys...)
}

func (s *Section) lookup(key string) (string, bool) {
	s.Known(key)
	for _, e := range s.keys {
		if e.name == key {
			return e.value, true
		}
	}
	return "", false
}

// value reads a key through parse. An absent key gives def; want describes what parse accepts.
func value[T any](s *Section, key string, def T, want string, parse func(string) (T, error)) T {
	text, ok := s.lookup(key)
	if !ok {
		return def
	}
	v, err := parse(text)
	if err != nil {
		s.Fault(key, fmt.Sprintf("%q is not %s", text, want))
		return def
	}
	return v
}

// Require records a fault for each of the keys that is absent or empty.
func (s *Section) Require(keys ...string) {
	for _, k := range keys {
		if v, ok := s.lookup(k); !ok || v == "" {
			s.Fault(k, "key is missing")
		}
	}
}

// String reads a text.
func (s *Section) String(key, def string) string {
	return value(s, key, def, "a text", func(t string) (string, error) { return t, nil })
}

// Int reads a whole number from lo to hi.
func (s *Section) Int(key string, def, lo, hi int) int {
	return value(s, key, def, fmt.Sprintf("a whole number from %d to %d", lo, hi), func(t string) (int, error) {
		n, err := strconv.Atoi(t)
		if err == nil && (n < lo || n > hi) {
			err = strconv.ErrRange
		}
		return n, err
	})
}

// Float reads a number from lo to hi.
func (s *Section) Float(key string, def, lo, hi float64) float64 {
	return value(s, key, def, fmt.Sprintf("a number from %g to %g", lo, hi), func(t string) (float64, error) {
		n, err := strconv.ParseFloat(t, 64)
		if err == nil && !(n >= lo && n <= hi) {
			err = strconv.ErrRange
		}
		return n, err
	})
}

// Duration reads a duration with its unit, at least lo.
func (s *Section) Duration(key string, def, lo time.Duration) time.Duration {
	return value(s, key, def, fmt.Sprintf("a duration with its unit of at least %v, such as 1500ms or 12s", lo), func(t string) (time.Duration, error) {
		d, err := time.ParseDuration(t)
		if err == nil && d < lo {
			err = strconv.ErrRange
		}
		return d, err
	})
}

// Addr reads an IP address with its port.
func (s *Section) Addr(key string, def netip.AddrPort) netip.AddrPort {
	return value(s, key, def, "an IP address with a port, such as 10.0.0.1:8443", netip.ParseAddrPort)
}

// List reads texts separated by commas.
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

// Choice reads one of the given words.
func (s *Section) Choice(key, def string, words ...string) string {
	text, ok := s.lookup(key)
	if !ok {
		return def
	}
	if !slices.Contains(words, text) {
		s.Fault(key, fmt.Sprintf("%q is not one of %s%s", text, strings.Join(words, ", "), Hint(text, words)))
		return def
	}
	return text
}

// Hint names the word among words that is closest to the given one, as the end of a message, or is empty when none is
// close.
func Hint(word string, words []string) string {
	best, at := len(word)/2+1, ""
	for _, w := range words {
		if d := levenshtein.ComputeDistance(word, w); d < best {
			best, at = d, w
		}
	}
	if at == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %q?", at)
}
