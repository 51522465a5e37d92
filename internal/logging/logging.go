// Package logging redirects the logs of libraries to hclog and rate-limits repeated warnings.
//
// During a lasting fault, such as an unreachable platform, a daemon warns several times a second. Limit logs the first
// warning of a kind and then one in each period, with the number of warnings that were suppressed.
package logging

import (
	"fmt"
	"log"
	"strings"
	"sync"
	"time"

	kratos "github.com/go-kratos/kratos/v2/log"
	"github.com/hashicorp/go-hclog"

	"flamingorudder.example/internal/timer"
)

// LimitPeriod is the interval in which a warning of one kind is logged at most once.
const LimitPeriod = 5 * time.Second

// maxKinds limits the kinds that are tracked at a time, to bound the memory; further kinds share one limit.
const maxKinds = 1024

// otherKinds is the key of the limit that kinds beyond maxKinds share.
const otherKinds = "other warnings"

// Limit returns a logger that logs warnings and errors of one kind at most once in a period. The kind consists of the
// level, the name of the logger and the message without digits, so that messages that differ only in addresses or numbers
// are of one kind. Arguments are ignored. When a period ends, the latest suppressed warning is logged, with the number of
// other suppressed warnings in left_out.
func Limit(l hclog.Logger, period time.Duration) hclog.Logger {
	return &limitedLogger{Logger: l, limiter: &limiter{period: period, kinds: map[string]*suppression{}}}
}

// limitedLogger overrides the methods of hclog.Logger that log warnings or derive loggers.
type limitedLogger struct {
	hclog.Logger
	*limiter
}

// limiter is the state that a logger shares with the loggers derived from it.
type limiter struct {
	period time.Duration
	mu     sync.Mutex
	kinds  map[string]*suppression
}

// suppression counts the suppressed warnings of a kind in the current period.
type suppression struct {
	leftOut int
	// last logs the latest suppressed warning.
	last func(leftOut int)
}

// admit calls write to log a line, or keeps write for expire if its kind was already logged in this period. The argument
// of write is the number of other suppressed lines.
func (s *limiter) admit(key string, write func(leftOut int)) {
	s.mu.Lock()
	if _, ok := s.kinds[key]; !ok && len(s.kinds) >= maxKinds {
		key = otherKinds
	}
	if k := s.kinds[key]; k != nil {
		k.leftOut++
		k.last = write
		s.mu.Unlock()
		return
	}
	s.kinds[key] = &suppression{}
	s.mu.Unlock()
	write(0)
	timer.AfterFunc(s.period, func() { s.expire(key) })
}

// expire ends the period of a kind. If lines were suppressed, it logs the latest of them, which starts a new period.
func (s *limiter) expire(key string) {
	s.mu.Lock()
	k := s.kinds[key]
	if k.leftOut == 0 {
		delete(s.kinds, key)
		s.mu.Unlock()
		return
	}
	s.kinds[key] = &suppression{}
	s.mu.Unlock()
	k.last(k.leftOut - 1)
	timer.AfterFunc(s.period, func() { s.expire(key) })
}

func (l *limitedLogger) log(level hclog.Level, msg string, args []any) {
	key := level.String() + " " + l.Name() + " " + strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' {
			return -1
		}
		return r
	}, msg)
	l.admit(key, func(leftOut int) {
		if leftOut > 0 {
			args = append(args[:len(args):len(args)], "left_out", leftOut)
		}
		l.Logger.Log(level, msg, args...)
	})
}

func (l *limitedLogger) Warn(msg string, args ...any)  { l.log(hclog.Warn, msg, args) }
func (l *limitedLogger) Error(msg string, args ...any) { l.log(hclog.Error, msg, args) }

func (l *limitedLogger) Log(level hclog.Level, msg string, args ...any) {
	if level >= hclog.Warn {
		l.log(level, msg, args)
		return
	}
	l.Logger.Log(level, msg, args...)
}

func (l *limitedLogger) With(args ...any) hclog.Logger {
	return &limitedLogger{Logger: l.Logger.With(args...), limiter: l.limiter}
}

func (l *limitedLogger) Named(name string) hclog.Logger {
	return &limitedLogger{Logger: l.Logger.Named(name), limiter: l.limiter}
}

func (l *limitedLogger) ResetNamed(name string) hclog.Logger {
	return &limitedLogger{Logger: l.Logger.ResetNamed(name), limiter: l.limiter}
}

// NewKratosLogger returns a kratos logger that logs to l.
func NewKratosLogger(l hclog.Logger) kratos.Logger { return kratosLogger{l} }

type kratosLogger struct{ l hclog.Logger }

var levels = map[kratos.Level]hclog.Level{
	kratos.LevelDebug: hclog.Debug, kratos.LevelInfo: hclog.Info, kratos.LevelWarn: hclog.Warn,
	kratos.LevelError: hclog.Error, kratos.LevelFatal: hclog.Error,
}

// Log logs the key-value pairs of kratos. The value of kratos.DefaultMessageKey becomes the message.
func (a kratosLogger) Log(level kratos.Level, pairs ...any) error {
	msg := ""
	var rest []any
	for i := 0; i+1 < len(pairs); i += 2 {
		key := fmt.Sprint(pairs[i])
		if key == kratos.DefaultMessageKey {
			msg = fmt.Sprint(pairs[i+1])
			continue
		}
		rest = append(rest, key, pairs[i+1])
	}
	to, ok := levels[level]
	if !ok {
		to = hclog.Info
	}
	a.l.Log(to, msg, rest...)
	return nil
}

// SetGlobal sets l as the global logger of kratos and of the standard library's log package, which net/http uses, for example,
// to report failed TLS handshakes. It is meant to be called from main.
func SetGlobal(l hclog.Logger) {
	kratos.SetLogger(NewKratosLogger(l.Named("kratos")))
	std := l.Named("http")
	log.SetFlags(0)
	log.SetOutput(standardWriter{std})
}

// standardWriter logs the output of the standard library's log package as warnings.
type standardWriter struct{ l hclog.Logger }

func (w standardWriter) Write(b []byte) (int, error) {
	w.l.Warn(strings.TrimRight(string(b), "\n"))
	return len(b), nil
}
