package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	kratos "github.com/go-kratos/kratos/v2/log"
	"github.com/hashicorp/go-hclog"

	"flamingorudder.example/internal/timer"
)

// output is a buffer that timers can write to while the test reads it.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) take() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer o.b.Reset()
	return o.b.String()
}

func newBufferedLogger() (hclog.Logger, *output) {
	var b output
	return hclog.New(&hclog.LoggerOptions{Name: "d", Output: &b, DisableTime: true, Level: hclog.Debug}), &b
}

func checkOutput(t *testing.T, b *output, want ...string) {
	t.Helper()
	if got := strings.Split(strings.TrimSpace(b.take()), "\n"); strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("logged\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against repeated warnings that flood the log, suppressed warnings that are not counted, and a limit that
// suppresses warnings of other kinds or messages of lower levels.
func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, b := newBufferedLogger()
		l = Limit(l, LimitPeriod)
		for i := range 4 {
			l.Named("peer").Warn("peer 10.0.0.1:9000 is silent", "try", i)
			l.Info("info is never suppressed")
		}
		l.Error("peer 10.0.0.1:9000 is silent")
		checkOutput(t, b, "[WARN]  d.peer: peer 10.0.0.1:9000 is silent: try=0",
			"[INFO]  d: info is never suppressed", "[INFO]  d: info is never suppressed", "[INFO]  d: info is never suppressed", "[INFO]  d: info is never suppressed",
			"[ERROR] d: peer 10.0.0.1:9000 is silent")
		_ = timer.Wait(t.Context(), LimitPeriod)
		synctest.Wait()
		checkOutput(t, b, "[WARN]  d.peer: peer 10.0.0.1:9000 is silent: try=3 left_out=2")
		_ = timer.Wait(t.Context(), 2*LimitPeriod)
		synctest.Wait()
		l.Named("peer").Warn("peer 10.0.0.1:9000 is silent")
		checkOutput(t, b, "[WARN]  d.peer: peer 10.0.0.1:9000 is silent")
		_ = timer.Wait(t.Context(), 2*LimitPeriod)
	})
}

// Guards against messages that differ each time, and so bypass the limit or use unbounded memory.
func TestLimitKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, b := newBufferedLogger()
		l = Limit(l, LimitPeriod)
		for i := range 2 * maxKinds {
			l.Warn(strings.Repeat("x", i+1))
		}
		if got := strings.Count(b.take(), "\n"); got != maxKinds+1 {
			t.Errorf("%d lines, want one for each of %d kinds and one for all others", got, maxKinds)
		}
		_ = timer.Wait(t.Context(), 3*LimitPeriod)
	})
}

// Checks that log lines of kratos keep their level, message and fields.
func TestKratos(t *testing.T) {
	l, b := newBufferedLogger()
	k := kratos.NewHelper(NewKratosLogger(l))
	k.Infof("[HTTP] server listening on: %s", "127.0.0.1:1")
	k.Errorw("msg", "stopped", "after", 3)
	k.Warn("w")
	k.Debug("d")
	checkOutput(t, b, "[INFO]  d: [HTTP] server listening on: 127.0.0.1:1", "[ERROR] d: stopped: after=3", "[WARN]  d: w", "[DEBUG] d: d")
}
