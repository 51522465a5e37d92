// Package era orders positions in the history of a store that can be restored from a backup.
package era

// Position is a position in the history of a store. A restore begins a new era and takes the version back, so versions of
// different eras cannot be compared.
type Position struct {
	Era, Version int64
}

// Before reports whether p is an earlier position than o.
func (p Position) Before(o Position) bool {
	return p.Era < o.Era || p.Era == o.Era && p.Version < o.Version
}
