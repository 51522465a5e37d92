// Package logging joins the log lines of libraries to hclog and limits repeated warnings.
//
// A fault that lasts, such as a platform that does not answer, makes a daemon warn several times a second. Limit passes
// the first warning of a kind and then one in a period, with the number of those left out.
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

// Period is in which time a warning of one kind is logged once.
const Period = 5 * time.Second

// maxKinds bounds the kinds that are told apart within a period; further ones share one limit.
const maxKinds = 1024

// other is the kind of warnings beyond maxKinds.
const other = "other warnings"

// Limit returns a logger that logs warnings and errors of one kind at most once in a period. The kind is the level, the
// name of the logger and the message without its digits, so that addresses and numbers in a message do not make a new
// kind; arguments do not count. The warning that ends a period tells in left_out how many it stands for besides itself.
func Limit(l hclog.Logger, period time.Duration) hclog.Logger {
	return &limited{Logger: l, shared: &shared{period: period, kinds: map[string]*kind{}}}
}

// limited overrides the methods through which warnings pass.
type limited struct {
	hclog.Logger
	*shared
}

// shared is the state of a logger and of those derived from it.
type shared struct {
	period time.Duration
	mu     sync.Mutex
	kinds  map[string]*kind
}

// kind is a kind of warning that was logged less than a period ago.
type kind struct {
	leftOut int
	// last logs the latest of those left out.
	last func(leftOut int)
}

// admit logs a line or leaves it out. write logs it with the number of lines left out before.
func (s *shared) admit(key string, write func(leftOut int)) {
	s.mu.Lock()
	if _, ok := s.kinds[key]; !ok && len(s.kinds) >= maxKinds {
		key = other
	}
	if k := s.kinds[key]; k != nil {
		k.leftOut++
		k.last = write
		s.mu.Unlock()
		return
	}
	s.kinds[key] = &kind{}
	s.mu.Unlock()
	write(0)
	timer.AfterFunc(s.period, func() { s.expire(key) })
}

// expire ends the period of a kind. What was left out is reported by its latest line, which begins a new period.
func (s *shared) expire(key string) {
	s.mu.Lock()
	k := s.kinds[key]
	if k.leftOut == 0 {
		delete(s.kinds, key)
		s.mu.Unlock()
		return
	}
	s.kinds[key] = &kind{}
	s.mu.Unlock()
	k.last(k.leftOut - 1)
	timer.AfterFunc(s.period, func() { s.expire(key) })
}

func (l *limited) log(level hclog.Level, msg string, args []any) {
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

func (l *limited) Warn(msg string, args ...any)  { l.log(hclog.Warn, msg, args) }
func (l *limited) Error(msg string, args ...any) { l.log(hclog.Error, msg, args) }

func (l *limited) Log(level hclog.Level, msg string, args ...any) {
	if level >= hclog.Warn {
		l.log(level, msg, args)
		return
	}
	l.Logger.Log(level, msg, args...)
}

func (l *limited) With(args ...any) hclog.Logger {
	return &limited{Logger: l.Logger.With(args...), shared: l.shared}
}

func (l *limited) Named(name string) hclog.Logger {
	return &limited{Logger: l.Logger.Named(name), shared: l.shared}
}

func (l *limited) ResetNamed(name string) hclog.Logger {
	return &limited{Logger: l.Logger.ResetNamed(name), shared: l.shared}
}

// Kratos returns a logger for kratos that writes to l.
func Kratos(l hclog.Logger) kratos.Logger { return adapter{l} }

type adapter struct{ l hclog.Logger }

var levels = map[kratos.Level]hclog.Level{
	kratos.LevelDebug: hclog.Debug, kratos.LevelInfo: hclog.Info, kratos.LevelWarn: hclog.Warn,
	kratos.LevelError: hclog.Error, kratos.LevelFatal: hclog.Error,
}

// Log writes one line of kratos. Its pairs are passed on, the one with the key of the message as the message.
func (a adapter) Log(level kratos.Level, pairs ...any) error {
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

// Adopt makes l the logger of kratos and of the standard library, through which net/http reports, for example, TLS
// handshakes that failed. It is for the main function of a program.
func Adopt(l hclog.Logger) {
	kratos.SetLogger(Kratos(l.Named("kratos")))
	std := l.Named("http")
	log.SetFlags(0)
	log.SetOutput(writer{std})
}

// writer logs each line of the standard library as a warning.
type writer struct{ l hclog.Logger }

func (w writer) Write(b []byte) (int, error) {
	w.l.Warn(strings.TrimRight(string(b), "\n"))
	return len(b), nil
}
