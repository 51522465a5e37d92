// Package startup decides whom a daemon that has no data yet asks for them, the store or a peer, and when.
//
// # Load pattern
//
// A whole fleet loses power and starts again within a fraction of a second. No daemon knows which others run, all callers are waiting,
// and the store accepts a limited number of calls from all daemons together. Each daemon reads the rows of daemons first. They tell the
// size of the fleet, the addresses of peers and an order of the daemons of a data centre. The first of that order ask the store almost
// at once. The others ask it after a random delay, which ends when a peer that follows the store announces itself: then they ask that
// peer. So the delay also covers daemons that are first in the order but do not run, or start later.
//
// The decisions are pure: the caller passes the time and the random numbers.
package startup

import "time"

const (
	// ReplyTime is how long the first daemons of the order wait for a synchronised peer to respond to their announcement. A daemon that
	// starts alone among synchronised ones then needs no further call to the store. It covers a round trip within a region.
	ReplyTime = 10 * time.Millisecond
	// restoredReplyTime replaces it if the store was restored from a backup. Peers may know later entries of backend servers than the
	// store then, so it covers the loss of the response, up to the next digest in a data centre of 30 daemons.
	restoredReplyTime = 160 * time.Millisecond
	// leadTime is the additional delay of all other daemons, beside the time that the read of the rows took. The data of a daemon that
	// asks the store after ReplyTime usually arrive within it: its announcement and a response.
	leadTime = 11 * time.Millisecond
	// spread is the time over which the other daemons ask the store while no peer announces itself. A longer one would delay the
	// daemons that start first beyond 0.1 s.
	spread = 45 * time.Millisecond
	// firstDaemons is how many daemons of a data centre ask the store without that delay. One of them may be down or start late.
	firstDaemons = 2
	// blindDelay and blindSpread set when a daemon asks the store that has not been able to read the rows of daemons: at a random time
	// within blindSpread after blindDelay. It does not know the size of the fleet, so the spread is that of a large one.
	blindDelay  = 250 * time.Millisecond
	blindSpread = 750 * time.Millisecond
	// relayPatience is how long a daemon that knows a synchronised peer keeps asking peers before it asks the store as well.
	// relaySpread is added for each daemon of the fleet at random, since a slow relay concerns many daemons at once.
	// restoredPatience replaces relayPatience if the store was restored from a backup: a peer reads the entries again within a period of
	// at most 400 ms usually, and has nothing to relay until then.
	relayPatience    = 150 * time.Millisecond
	restoredPatience = 500 * time.Millisecond
	relaySpread      = time.Millisecond
	// MaxAge is the maximum age of data that a starting daemon takes from a peer.
	MaxAge = 900 * time.Millisecond
)

// Action is what a starting daemon does next.
type Action int

const (
	// Wait means that it listens for peers.
	Wait Action = iota
	// AskPeer means that it asks a synchronised peer for the complete state.
	AskPeer
	// AskStore means that it reads configuration and entries from the store.
	AskStore
)

// State is what a starting daemon knows. Times are measured from its start, and count only while the process runs: a message that
// arrived while it had no processor time must be handled before the time to wait for it ends.
type State struct {
	Elapsed time.Duration
	// RowsRead is when the rows of daemons were read, zero before.
	RowsRead time.Duration
	// RowsTook is how long that read took. It tells how slow the store is.
	RowsTook time.Duration
	// Daemons is the number of daemons that are known from rows or digests, including this one. Preceding is the number of those of
	// the same data centre that precede this one in the order in which duties are assigned.
	Daemons, Preceding int
	// Restored is set if the store was restored from a backup at some time.
	Restored bool
	// Local and Remote are the numbers of synchronised peers, which follow the store, in this data centre and in others.
	Local, Remote int
	// SourceSince is when the first of these was heard, zero while there is none.
	SourceSince time.Duration
}

// Plan holds the random numbers of one start.
type Plan struct{ random float64 }

// NewPlan returns a plan. random is in [0, 1).
func NewPlan(random float64) Plan { return Plan{random} }

// Next returns what to do now.
func (p Plan) Next(s State) Action {
	due := s.Elapsed >= p.storeTime(s)
	switch {
	case s.Local > 0:
		if s.Elapsed-s.SourceSince >= p.patience(s) {
			return AskStore
		}
		return AskPeer
	case !due:
		return Wait
	case s.Remote > 0 && !s.first():
		// The first daemons of a data centre ask the store, so that the others need no data from another data centre.
		if s.Elapsed-s.SourceSince < p.patience(s) {
			return AskPeer
		}
	}
	return AskStore
}

// patience returns for how long synchronised peers are asked before the store is.
func (p Plan) patience(s State) time.Duration {
	base := relayPatience
	if s.Restored {
		base = restoredPatience
	}
	return base + time.Duration(p.random*float64(s.Daemons)*float64(relaySpread))
}

// first reports whether the daemon is one of the first of its data centre.
func (s State) first() bool { return s.Preceding < firstDaemons }

// storeTime returns when the daemon asks the store if no peer announces itself.
func (p Plan) storeTime(s State) time.Duration {
	reply := ReplyTime
	if s.Restored {
		reply = restoredReplyTime
	}
	switch {
	case s.RowsRead == 0:
		return blindDelay + time.Duration(p.random*float64(blindSpread))
	case s.Daemons <= 1:
		return s.RowsRead // there is no one to wait for
	case s.first():
		return s.RowsRead + reply
	}
	return s.RowsRead + reply + leadTime + s.RowsTook + time.Duration(p.random*float64(max(spread, s.RowsTook)))
}

// rowWriteRate bounds the rows that a fleet writes a second when all daemons start: a third of the calls that a store with 1,200 writes
// a second accepts.
const rowWriteRate = 400

// RowDelay returns how long a daemon waits before it writes its row for the first time. A daemon without a row of an earlier lifetime
// does so at once, as peers find it by its row. The others are found by the earlier row. random is in [0, 1).
func RowDelay(daemons int, hadRow bool, random float64) time.Duration {
	if !hadRow {
		return 0
	}
	return time.Duration(random * float64(daemons) / rowWriteRate * float64(time.Second))
}

// Confirmation tells how recently the store confirmed that a configuration is its newest. The zero value is one that was never
// confirmed.
type Confirmation struct {
	at        time.Time
	following bool
}

// Read records a response of the store to a read of the configuration, or to a waiting read that found no change.
func (c *Confirmation) Read(now time.Time) { c.at, c.following = now, true }

// Lost records that reads of the configuration from the store have failed or ended.
func (c *Confirmation) Lost() { c.following = false }

// Alive records another response of the store while a waiting read of the configuration is pending. It confirms that no change is
// known, but only if the last confirmation is recent: after a pause of the process, the response with the change may not have been
// handled yet.
func (c *Confirmation) Alive(now time.Time) {
	if c.following && now.Sub(c.at) <= MaxAge {
		c.at = now
	}
}

// Relayed records a response of a peer whose configuration, which is the same or older, was confirmed age ago.
func (c *Confirmation) Relayed(now time.Time, age time.Duration) {
	if at := now.Add(-age); at.After(c.at) {
		c.at = at
	}
}

// Age returns the time since the last confirmation. It is positive, and false is returned if there was none.
func (c *Confirmation) Age(now time.Time) (time.Duration, bool) {
	if c.at.IsZero() {
		return 0, false
	}
	return max(now.Sub(c.at), 1), true
}

// MayTake reports whether a daemon without a configuration may take one from a peer that confirmed it age ago. age is zero if the peer
// does not know.
func MayTake(age time.Duration) bool { return age > 0 && age <= MaxAge }

const (
	// localReplies and remoteReplies are how many synchronised peers on average respond to the announcement of a daemon that starts, of
	// its own data centre and of each other one.
	localReplies  = 5
	remoteReplies = 1
	// relayFanOut is the number of peers to which a daemon announces itself whose data come from a peer.
	relayFanOut = 8
)

// Replies reports whether a synchronised daemon responds to the announcement of a starting one. local is set if both are in one data
// centre, synchronised is the number of daemons of the responding one's data centre, and random is in [0, 1).
func Replies(local bool, synchronised int, random float64) bool {
	want := remoteReplies
	if local {
		want = localReplies
	}
	return random*float64(synchronised) < float64(want)
}

// FanOut returns how many peers a daemon announces itself to once it is synchronised. A daemon that has its data from the store, and one
// that other daemons of the fleet may choose as scheduler, announces itself to all.
func FanOut(known int, fromStore, hub bool) int {
	if fromStore || hub {
		return known
	}
	return min(known, relayFanOut)
}
