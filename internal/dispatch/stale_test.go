package dispatch

import (
	"testing"
	"time"
)

// Guards against a daemon that refuses every request for good because its rates hold the time of a pause, and against
// rates that are dropped while they are fresh.
func TestStaleRates(t *testing.T) {
	p := newPool(2, 0)
	ask := func(key uint64) bool {
		as := p.core.Step(p.now, Submit{key, Request{Organisation: "a", Cost: 8, Deadline: p.now.Add(8 * time.Second)}})
		return len(started(as)) == 1
	}
	if !ask(1) {
		t.Fatal("the first request did not start")
	}
	p.now = p.now.Add(100 * time.Millisecond)
	p.do(Done{1, Result{Tokens: 8, First: time.Second, Total: 30 * time.Second}})
	if ask(2) {
		t.Error("a request started that needs 30 s by fresh rates and has 8 s")
	}
	p.now = p.now.Add(staleAfter)
	if !ask(3) {
		t.Error("no request started after the rates became stale")
	}
}
