package caller

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"flamingorudder.example/internal/engine"
	"flamingorudder.example/internal/timer"
)

// after answers after some time.
func after(d time.Duration, then http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if timer.Wait(r.Context(), d) == nil {
			then(w, r)
		}
	}
}

// Guards against a once-only call that keeps its caller waiting for a server that is gone, and against one that is given
// up although its server is there and answers before the deadline.
func TestOnceOnlyOnSilentConnection(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		f.steps(ledgers[0], silent)
		f.group.Go(func() error {
			err := timer.Wait(t.Context(), 3100*time.Millisecond)
			f.lose(ledgers[0])
			return err
		})
		start := time.Now()
		f.send("POST", "/bookings", "van")
		if d := time.Since(start); d < 3100*time.Millisecond || d > 5100*time.Millisecond {
			t.Errorf("server lost after 3.1s: answer after %v", d)
		}
		f.steps(ledgers[1], after(9*time.Second, answered(200, "late but in time")), silent)
		f.group.Go(func() error {
			err := timer.Wait(t.Context(), time.Second)
			f.net.mu.Lock()
			defer f.net.mu.Unlock()
			f.net.refuse = watchTries - 1
			return err
		})
		f.send("POST", "/bookings", "van")
		f.next = 1
		f.send("POST", "/bookings", "van")
		for _, c := range f.backends[ledgers[1]].seen() {
			if strings.Contains(c, "r1.") {
				t.Errorf("the first call was sent again: %s", c)
			}
		}
		f.golden("booking-silent")
	})
}

// Guards against long plain answers cut off by the progress deadlines of chats: one whose first byte is late, one that
// pauses, and one from the only server that is left.
func TestSlowPlainAnswers(t *testing.T) {
	run(t, func(t *testing.T, f *fleet) {
		paused := func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
			for i := range 3 {
				_, _ = fmt.Fprintf(w, "part %d ", i)
				_ = http.NewResponseController(w).Flush()
				if timer.Wait(r.Context(), stall+time.Second) != nil {
					return
				}
			}
			_, _ = io.WriteString(w, "end")
		}
		f.steps(ledgers[0], paused, paused)
		f.send("GET", "/bookings/7", "", HeaderDeadline, "30s")
		f.next = 0
		f.send("POST", "/bookings", "van", HeaderDeadline, "30s")
		f.steps(ledgers[1], silent)
		f.steps(ledgers[0], after(4*time.Second, answered(200, "slow")))
		f.next = 1
		f.send("GET", "/bookings/8", "", HeaderDeadline, "20s")
		f.lose(ledgers[1])
		f.next = 0
		f.steps(ledgers[0], silent, after(4*time.Second, answered(200, "alone")))
		f.send("GET", "/bookings/9", "", HeaderDeadline, "20s")
		f.golden("slow")
	})
}
