package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var noon = time.Unix(43200, 0)

const (
	common uint64 = iota + 1
	subject
	other
	deadly
)

// trial feeds outcomes to an Detector at a moving clock.
type trial struct {
	*Detector
	set *Set
	now time.Time
}

func newTrial() *trial { return &trial{NewDetector(), NewSet(), noon} }

// TestPlainRequestCrashesServers guards against a request to a plain service that crashes every server, and against rejecting
// the requests that were cut off beside it, whether they are repeated and answered or not.
func TestPlainRequestCrashesServers(t *testing.T) {
	const request = 1000
	e := &trial{NewPlainDetector(), NewSet(), noon}
	for i, server := range []string{"a", "b", "c"} {
		e.now = e.now.Add(2 * time.Second)
		got := e.report(
			Outcome{Request: 2000, Group: server, Took: time.Second / 4, Crashed: true},
			Outcome{Request: uint64(3000 + i), Group: server, Took: time.Second / 4, Crashed: true},
			Outcome{Request: request, Group: server, Took: time.Second / 3, Crashed: true},
		)
		if want := [][]uint64{nil, nil, {request}}[i]; !slices.Equal(got, want) {
			t.Fatalf("crash %d detects %v, want %v", i+1, got, want)
		}
		e.now = e.now.Add(time.Second)
		if s := e.Suspicions(e.now, "plain"); i < 2 && !slices.ContainsFunc(s, func(s Suspicion) bool { return s.ID == request && s.Age >= time.Second }) {
			t.Errorf("crash %d: suspicions %v lack the request", i+1, s)
		}
		e.report(Outcome{Request: 2000, Group: "z"})
	}
	if s := e.Suspicions(e.now.Add(suspicionTerm), "plain"); len(s) > 0 {
		t.Errorf("suspicions %v are told for too long", s)
	}
}

// TestSharedRequestIsNotBlamed guards against rejecting a request that all callers send alike, because it was at servers that
// were lost at once, or one after the other while it was answered elsewhere.
func TestSharedRequestIsNotBlamed(t *testing.T) {
	const request = 1000
	e := &trial{NewPlainDetector(), NewSet(), noon}
	var at []Outcome
	for i := range 6 {
		at = append(at, Outcome{Request: request, Group: fmt.Sprint("s", i), Took: time.Second / 4, Crashed: true})
	}
	if got := e.report(at...); got != nil {
		t.Errorf("servers lost at once detect %v", got)
	}
	e.report(Outcome{Request: request, Group: "z"})
	for i := range 12 {
		e.now = e.now.Add(time.Second)
		if got := e.report(Outcome{Request: request, Group: fmt.Sprint("t", i), Took: time.Second / 4, Crashed: true}); got != nil {
			t.Errorf("loss %d of one server after the other detects %v", i, got)
		}
		if i%2 == 1 {
			e.report(Outcome{Request: request, Group: "z"})
		}
	}
}

// observe records an outcome of a request that took 300 ms and returns the detected part, or zero.
func (e *trial) observe(crashed bool, group string, parts ...uint64) uint64 {
	return e.observeTook(300*time.Millisecond, crashed, group, parts...)
}

func (e *trial) observeTook(took time.Duration, crashed bool, group string, parts ...uint64) uint64 {
	found := e.report(Outcome{Parts: parts, Group: group, Took: took, Crashed: crashed})
	if len(found) == 0 {
		return 0
	}
	return found[0]
}

// report records outcomes and returns what is detected once they have settled.
func (e *trial) report(outcomes ...Outcome) (found []uint64) {
	var findings []Finding
	for _, o := range outcomes {
		findings = append(findings, e.Observe(e.now, o, func(id uint64) (bool, bool) { return e.set.Known(e.now, id) })...)
	}
	findings = append(findings, e.Settle(e.now.Add(e.settleTime))...)
	for _, f := range findings {
		if e.set.Add(e.now, Entry{ID: f.ID, Left: f.Term}, func() float64 { return 0 }) {
			found = append(found, f.ID)
		}
	}
	return found
}

// TestDetection guards against quarantining a part that sound requests share, and against finding none: the part is found at
// the third crash.
func TestDetection(t *testing.T) {
	e := newTrial()
	for i, group := range []string{"a", "b", "c"} {
		e.now = e.now.Add(time.Second)
		e.observe(true, group, uint64(100+i)) // a sound request that was cut off by the same crash
		got := e.observe(true, group, common, subject, deadly)
		if want := map[bool]uint64{true: deadly}[i == 2]; got != want {
			t.Fatalf("crash %d detects part %d, want %d", i+1, got, want)
		}
		e.now = e.now.Add(100 * time.Millisecond)
		e.observe(false, "d", common, other)
	}
	if got := e.observe(true, "e", subject, deadly); got != 0 {
		t.Errorf("a request that was placed before the detection detects part %d", got)
	}
}

// TestPartBesideDeadlyPart guards against quarantining, for the same crashes, also a sound part that was in all of them.
func TestPartBesideDeadlyPart(t *testing.T) {
	e := newTrial()
	var found []uint64
	for i, group := range []string{"a", "b", "c"} {
		e.now = e.now.Add(time.Second)
		found = append(found, e.report(
			Outcome{Request: uint64(1000 + i), Parts: []uint64{common, deadly}, Group: group, Took: time.Second / 3, Crashed: true},
			Outcome{Request: uint64(2000 + i), Parts: []uint64{common}, Group: group, Took: time.Second / 3, Crashed: true},
		)...)
	}
	if !slices.Equal(found, []uint64{deadly}) {
		t.Errorf("quarantined %v, want %d alone", found, deadly)
	}
}

// TestFirstPartIsDeadly guards against quarantining only the parts that follow the deadly one.
func TestFirstPartIsDeadly(t *testing.T) {
	e := newTrial()
	var found []uint64
	for i := range 6 {
		e.now = e.now.Add(time.Second)
		parts := []uint64{deadly, subject}
		if i >= 3 {
			parts[1] = other
		}
		if id, _, ok := e.set.Match(e.now, parts); ok {
			found = append(found, id)
			continue
		}
		e.observe(true, string(rune('a'+i)), parts...)
	}
	if !slices.Contains(found, deadly) {
		t.Errorf("quarantined %v, want part %d among them", found, deadly)
	}
}

// TestRequestCrashesServers guards against a request that crashes servers whenever it is repeated, as its parts are answered in
// other requests, and against blaming a sound part of it for what the request does.
func TestRequestCrashesServers(t *testing.T) {
	const request = 1000
	e := newTrial()
	for i, group := range []string{"a", "b"} {
		e.now = e.now.Add(time.Second)
		e.report(Outcome{Request: uint64(2000 + i), Parts: []uint64{common}, Group: group, Took: time.Second / 4, Crashed: true})
		got := e.report(Outcome{Request: request, Parts: []uint64{common, subject}, Group: group, Took: time.Second / 3, Crashed: true})
		if want := [][]uint64{nil, {request}}[i]; !slices.Equal(got, want) {
			t.Fatalf("crash %d detects %v, want %v", i+1, got, want)
		}
		e.now = e.now.Add(100 * time.Millisecond)
		e.report(Outcome{Request: uint64(3000 + i), Parts: []uint64{common, other}, Group: "z"})
	}
	if _, left, _ := e.set.Match(e.now, []uint64{request}); left > requestTerm {
		t.Errorf("a request with two crashes is rejected for %v", left)
	}
	// Copies that were on their way crash more servers, beside requests with the same parts.
	for i, group := range []string{"c", "d", "e"} {
		e.now = e.now.Add(10 * time.Millisecond)
		if got := e.report(
			Outcome{Request: uint64(4000 + i), Parts: []uint64{common, subject}, Group: group, Took: time.Second, Crashed: true},
			Outcome{Request: request, Parts: []uint64{common, subject}, Group: group, Took: time.Second, Crashed: true},
		); got != nil {
			t.Errorf("the explained crash of group %s detects %v", group, got)
		}
	}
	if _, left, _ := e.set.Match(e.now, []uint64{request}); left <= requestTerm {
		t.Errorf("a request with three crashes is rejected only for %v", left)
	}
}

// TestCutOffTwice guards against quarantining a sound request whose retry was sent to the same group as that of the request that
// crashes servers.
func TestCutOffTwice(t *testing.T) {
	const sound, request = 1000, 1001
	e := newTrial()
	for _, group := range []string{"a", "b"} {
		e.now = e.now.Add(time.Second)
		if got := e.report(
			Outcome{Request: sound, Group: group, Took: time.Second / 3, Crashed: true},
			Outcome{Request: request, Group: group, Took: time.Second / 3, Crashed: true},
		); got != nil {
			t.Errorf("the crash of group %s detects %v though both requests were at each crashed group", group, got)
		}
	}
	e.now = e.now.Add(time.Second)
	e.report(Outcome{Request: sound, Group: "c"})
	if got := e.report(Outcome{Request: request, Group: "d", Took: time.Second / 3, Crashed: true}); !slices.Equal(got, []uint64{request}) {
		t.Errorf("the third crash detects %v, want %v", got, request)
	}
}

// TestRequestAmongManyGroups guards against rejecting sound requests and parts while a request crashes servers. Groups serve
// four requests at a time, and each request that is cut off is sent once more.
func TestRequestAmongManyGroups(t *testing.T) {
	const request, seeds = 1 << 20, 200
	type attempt struct {
		Outcome
		placed time.Time
		retry  bool
	}
	soundRequests := 0
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 2))
		e := newTrial()
		groups, epoch, crashes := make([][]attempt, 12), 0, 0
		place := func(a attempt, busy int) {
			a.placed = e.now
			for {
				if g := r.IntN(len(groups)); g != busy {
					groups[g] = append(groups[g], a)
					return
				}
			}
		}
		for i := range uint64(1500) {
			e.now = e.now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
			a := attempt{Outcome: Outcome{Request: i + 1, Parts: []uint64{common, 10 + r.Uint64N(20)}}}
			if r.IntN(33) == 0 {
				a.Request, a.Parts[1] = request, subject
			}
			if _, _, ok := e.set.Match(e.now, []uint64{a.Request}); !ok {
				place(a, -1)
			}
			g := r.IntN(len(groups))
			if len(groups[g]) < 4 {
				continue
			}
			at := groups[g]
			groups[g] = nil
			crashed := slices.ContainsFunc(at, func(a attempt) bool { return a.Request == request })
			if crashed {
				epoch++
				crashes++
				r.Shuffle(len(at), func(i, j int) { at[i], at[j] = at[j], at[i] })
			}
			for _, a := range at {
				a.Group, a.Crashed, a.Took = fmt.Sprint(g, "/", epoch), crashed, e.now.Sub(a.placed)
				for _, f := range append(e.Settle(e.now), e.Observe(e.now, a.Outcome, func(id uint64) (bool, bool) { return e.set.Known(e.now, id) })...) {
					e.set.Add(e.now, Entry{ID: f.ID, Left: f.Term}, r.Float64)
					if !f.Request {
						t.Fatalf("seed %d: sound part %d quarantined", seed, f.ID)
					}
					if f.ID != request {
						soundRequests++
					}
				}
				if _, _, ok := e.set.Match(e.now, []uint64{a.Request}); crashed && !a.retry && !ok {
					a.retry = true
					place(a, g)
				}
			}
			if known, _ := e.set.Known(e.now, request); !known && crashes > 3 {
				t.Fatalf("seed %d: not quarantined after %d crashes", seed, crashes)
			}
		}
	}
	if soundRequests > seeds/50 {
		t.Errorf("%d sound requests quarantined in %d seeds", soundRequests, seeds)
	}
}

// TestLossOfManyServers guards against quarantining a popular part when many servers are lost at the same time.
func TestLossOfManyServers(t *testing.T) {
	e := newTrial()
	for i := range 20 {
		if got := e.observe(true, string(rune('a'+i)), common, subject); got != 0 {
			t.Fatalf("loss %d of the same moment detects part %d", i+1, got)
		}
		e.now = e.now.Add(10 * time.Millisecond)
	}
	// The parts are answered elsewhere, and other servers crash later.
	for i := range 20 {
		e.now = e.now.Add(time.Second)
		e.observe(false, "z", common, subject)
		if got := e.observe(true, string(rune('A'+i)), common, subject); got != 0 {
			t.Fatalf("crash %d detects part %d, which is answered elsewhere", i+1, got)
		}
	}
}

// TestSoundRequestsUnderRandomCrashes guards against quarantining a sound part for servers that crash at random, beside requests
// with a deadly part that has to be found within a second of its fifth crash.
func TestSoundRequestsUnderRandomCrashes(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		e := newTrial()
		crashes := 0
		var fifth time.Time
		for i := range 2000 {
			e.now = e.now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
			took := time.Duration(100+r.IntN(500)) * time.Millisecond
			parts := []uint64{common, 10 + r.Uint64N(8), 100 + r.Uint64N(40)}
			group := string(rune('a' + r.IntN(26)))
			if r.IntN(20) == 0 {
				parts[2] = deadly
				if _, _, ok := e.set.Match(e.now, parts); ok {
					continue
				}
				if !fifth.IsZero() && e.now.Sub(fifth) > time.Second {
					t.Fatalf("seed %d: not quarantined %v after the fifth crash", seed, e.now.Sub(fifth))
				}
				if crashes++; crashes == 5 {
					fifth = e.now
				}
				group += fmt.Sprint(i)
				if got := e.observeTook(took, true, group, parts...); got != 0 && got != deadly {
					t.Fatalf("seed %d: part %d quarantined", seed, got)
				}
				continue
			}
			if got := e.observeTook(took, r.IntN(200) == 0, group, parts...); got != 0 {
				t.Fatalf("seed %d: sound part %d quarantined", seed, got)
			}
		}
		if known, _ := e.set.Known(e.now, deadly); !known {
			t.Errorf("seed %d: not quarantined after %d crashes", seed, crashes)
		}
	}
}

// TestManyCrashes guards against quarantining a part after few crashes while one request in eight is cut off by some crash.
func TestManyCrashes(t *testing.T) {
	e := newTrial()
	for i := range uint64(400) {
		e.now = e.now.Add(10 * time.Millisecond)
		e.observe(i%8 == 0, string(rune('a'+i/8)), 1000+i)
	}
	for i, group := range []string{"A", "B", "C", "D"} {
		e.now = e.now.Add(400 * time.Millisecond)
		if got := e.observe(true, group, deadly); (got == deadly) != (i == 3) {
			t.Errorf("crash %d detects part %d", i+1, got)
		}
	}
}

// TestTerm guards against a part that stays in quarantine for good, and against trying it again at all daemons at once.
func TestTerm(t *testing.T) {
	e := newTrial()
	a, b := e.set, NewSet()
	a.Add(noon, Entry{ID: deadly, Left: Term}, func() float64 { return 0 })
	if !b.Add(noon.Add(time.Second), a.Advertised(noon)[0], func() float64 { return 0.5 }) {
		t.Fatal("a part of another daemon is not new")
	}
	for range 20 { // the daemons tell each other again and again
		a.Add(noon.Add(2*time.Second), b.Advertised(noon.Add(time.Second))[0], func() float64 { return 0 })
	}
	e.now = noon.Add(Term + time.Second)
	if _, _, ok := a.Match(e.now, []uint64{deadly}); ok {
		t.Error("the first daemon still rejects the part after the term")
	}
	if _, _, ok := b.Match(e.now, []uint64{deadly}); !ok {
		t.Error("the second daemon tries the part at the same time")
	}
	if len(a.Advertised(e.now))+len(b.Advertised(e.now.Add(time.Second))) != 0 {
		t.Error("a part is told after its term")
	}
	if got := e.observe(true, "a", common, deadly); got != deadly {
		t.Errorf("one crash after the term detects part %d, want %d", got, deadly)
	}
	b.Add(e.now, a.Advertised(e.now)[0], func() float64 { return 0 })
	if _, left, ok := b.Match(e.now, []uint64{deadly}); !ok || left < Term-time.Minute {
		t.Errorf("the second daemon rejects the part for %v more", left)
	}
	a.Expire(e.now.Add(2*Term + time.Second))
	if known, _ := a.Known(e.now, deadly); known {
		t.Error("the part is kept for good")
	}
}

// TestAnsweredAfterTerm guards against quarantining a request or part again, for the next crash that it is beside, though it was
// answered after its term.
func TestAnsweredAfterTerm(t *testing.T) {
	const request = 1000
	e := newTrial()
	o := Outcome{Request: request, Parts: []uint64{subject}, Took: time.Second / 3, Crashed: true}
	for _, group := range []string{"a", "b"} {
		e.now = e.now.Add(time.Second)
		o.Group = group
		e.report(o)
	}
	e.set.Add(e.now, Entry{ID: subject, Left: requestTerm}, func() float64 { return 0 })
	e.now = e.now.Add(requestTerm + time.Second)
	e.report(Outcome{Request: request, Parts: []uint64{subject}, Group: "c"})
	e.now = e.now.Add(time.Minute)
	o.Group = "d"
	if got := e.report(o); got != nil {
		t.Errorf("one crash after an answer detects %v", got)
	}
}

// TestBounds guards against memory that grows with the parts that callers send.
func TestBounds(t *testing.T) {
	e, s := NewDetector(), NewSet()
	zero := func() float64 { return 0 }
	for i := range uint64(3 * maxAnswered) {
		now := noon.Add(time.Duration(i) * time.Millisecond)
		e.Observe(now, Outcome{Request: i, Parts: []uint64{i}, Crashed: i%2 == 0, Group: fmt.Sprint(i / 200)}, func(uint64) (bool, bool) { return false, false })
		s.Add(now, Entry{ID: i, Left: Term}, zero)
	}
	for _, key := range e.groups.Keys() {
		if c, _ := e.groups.Peek(key); len(c.requests) > maxRequestsPerGroup {
			t.Errorf("%d requests are known at a crashed group", len(c.requests))
		}
	}
	if e.requests.suspects.Len() > maxSuspects || e.requests.answered.Len() > maxAnswered || e.groups.Len() > maxGroups {
		t.Errorf("%d suspected requests, %d answered ones, %d groups", e.requests.suspects.Len(), e.requests.answered.Len(), e.groups.Len())
	}
	if e.parts.suspects.Len() > maxSuspects || e.parts.answered.Len() > maxAnswered || len(s.entries) > maxEntries {
		t.Errorf("%d suspects, %d answered, %d in quarantine", e.parts.suspects.Len(), e.parts.answered.Len(), len(s.entries))
	}
	if got := s.Advertised(noon); len(got) != maxAdvertised || got[0].ID != 3*maxAnswered-1 {
		t.Errorf("%d parts in a digest, the first %v", len(got), got[0])
	}
}

// BenchmarkMatch measures the check of each request.
func BenchmarkMatch(b *testing.B) {
	s := NewSet()
	for i := range uint64(maxEntries) {
		s.Add(noon, Entry{ID: i + 1000, Left: Term}, func() float64 { return 0 })
	}
	parts := []uint64{1, 2, 3}
	b.ReportAllocs()
	for b.Loop() {
		s.Match(noon, parts)
	}
}
