// Package placement chooses the model group that runs a request.
//
// A Picker owns what a daemon has learnt of the groups of one service: cached prefixes, load reports and speed.
package placement

// Query is what placement needs to know of a request.
type Query struct {
	// Prefix holds the hashes of the prompt's prefixes at growing lengths, shortest first.
	Prefix []uint64
	// DataCentre is where the daemon runs.
	DataCentre string
}

// Candidate is a group that may run the request.
type Candidate struct {
	Group      string
	DataCentre string
	// Slots is the capacity of the group, Running what is known to run there, of all daemons.
	Slots, Running int
	// Free is how many more requests of the rank this daemon may start there; candidates without any are not chosen.
	Free int
}

// Picker chooses groups of one service. The zero value is ready.
type Picker struct{}

// Pick returns the index of the chosen candidate, or -1 when none is free. random is a uniform random number.
func (p *Picker) Pick(_ Query, cs []Candidate, _ uint64) int {
	best := -1
	for i, c := range cs {
		if c.Free > 0 && (best < 0 || c.Running < cs[best].Running) {
			best = i
		}
	}
	return best
}
