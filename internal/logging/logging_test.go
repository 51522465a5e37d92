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

// output is a buffer that timers may write to while the test reads it.
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

func buffered() (hclog.Logger, *output) {
	var b output
	return hclog.New(&hclog.LoggerOptions{Name: "d", Output: &b, DisableTime: true, Level: hclog.Debug}), &b
}

func expect(t *testing.T, b *output, want ...string) {
	t.Helper()
	if got := strings.Split(strings.TrimSpace(b.take()), "\n"); strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("logged\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against a lasting fault that floods the log, warnings that vanish without being counted, and a limit that
// holds back other kinds or lower levels.
func TestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, b := buffered()
		l = Limit(l, Period)
		for i := range 4 {
			l.Named("peer").Warn("peer 10.0.0.1:9000 is silent", "try", i)
			l.Info("info is never held back")
		}
		l.Error("peer 10.0.0.1:9000 is silent")
		expect(t, b, "[WARN]  d.peer: peer 10.0.0.1:9000 is silent: try=0",
			"[INFO]  d: info is never held back", "[INFO]  d: info is never held back", "[INFO]  d: info is never held back", "[INFO]  d: info is never held back",
			"[ERROR] d: peer 10.0.0.1:9000 is silent")
		_ = timer.Wait(t.Context(), Period)
		synctest.Wait()
		expect(t, b, "[WARN]  d.peer: peer 10.0.0.1:9000 is silent: try=3 left_out=2")
		_ = timer.Wait(t.Context(), 2*Period)
		synctest.Wait()
		l.Named("peer").Warn("peer 10.0.0.1:9000 is silent")
		expect(t, b, "[WARN]  d.peer: peer 10.0.0.1:9000 is silent")
		_ = timer.Wait(t.Context(), 2*Period)
	})
}

// Guards against a library whose messages differ each time and so escape the limit or fill the memory.
func TestLimitKinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, b := buffered()
		l = Limit(l, Period)
		for i := range 2 * maxKinds {
			l.Warn(strings.Repeat("x", i+1))
		}
		if got := strings.Count(b.take(), "\n"); got != maxKinds+1 {
			t.Errorf("%d lines, want %d kinds and one for the rest", got, maxKinds)
		}
		_ = timer.Wait(t.Context(), 3*Period)
	})
}

// Guards against lines of kratos that lose their level, message or fields.
func TestKratos(t *testing.T) {
	l, b := buffered()
	k := kratos.NewHelper(Kratos(l))
	k.Infof("[HTTP] server listening on: %s", "127.0.0.1:1")
	k.Errorw("msg", "stopped", "after", 3)
	k.Warn("w")
	k.Debug("d")
	expect(t, b, "[INFO]  d: [HTTP] server listening on: 127.0.0.1:1", "[ERROR] d: stopped: after=3", "[WARN]  d: w", "[DEBUG] d: d")
}
