// Package logs makes the program's logger: events with stable names and keys, in colours
// on a terminal and as JSON elsewhere, with a bound on how often one event is written.
package logging

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/lmittmann/tint"
	"golang.org/x/time/rate"
)

// Options say how to log.
type Options struct {
	Format string // auto, json or text; auto is text on a terminal
	Level  string // debug, info, warn or error
}

// New returns a logger that writes to the file.
func New(out *os.File, opts Options) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(opts.Level)); err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	var h slog.Handler
	switch format := opts.Format; {
	case format == "text" || format == "auto" && terminal(out):
		h = tint.NewHandler(out, &tint.Options{Level: level, TimeFormat: "15:04:05.000", NoColor: !terminal(out)})
	case format == "json" || format == "auto":
		h = slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})
	default:
		return nil, fmt.Errorf("log format: %q is none of auto, json, text", format)
	}
	return slog.New(Limit(h, 5, 20)), nil
}

func terminal(f *os.File) bool {
	s, err := f.Stat()
	return err == nil && s.Mode()&os.ModeCharDevice != 0
}

// Limit bounds how often one event is written: perSecond on average and burst at once.
// Those left out are counted, and the next that is written tells the number under
// "left_out". Guards against a peer that fills the log. Errors are always written.
func Limit(h slog.Handler, perSecond float64, burst int) slog.Handler {
	return &limited{Handler: h, all: &events{per: rate.Limit(perSecond), burst: burst, by: map[string]*event{}}}
}

// mostEvents bounds the names that are counted apart; names are constants of the program,
// so more of them would be a mistake.
const mostEvents = 1000

type events struct {
	sync.Mutex
	per   rate.Limit
	burst int
	by    map[string]*event
}

type event struct {
	limiter *rate.Limiter
	leftOut int
}

type limited struct {
	slog.Handler
	all *events
}

func (l *limited) Handle(ctx context.Context, r slog.Record) error {
	if r.Level < slog.LevelError {
		ok, leftOut := l.all.allow(r.Message, r.Time)
		if !ok {
			return nil
		}
		if leftOut > 0 {
			r = r.Clone()
			r.AddAttrs(slog.Int("left_out", leftOut))
		}
	}
	return l.Handler.Handle(ctx, r)
}

func (e *events) allow(name string, at time.Time) (ok bool, leftOut int) {
	e.Lock()
	defer e.Unlock()
	one := e.by[name]
	if one == nil {
		if len(e.by) >= mostEvents {
			return true, 0
		}
		one = &event{limiter: rate.NewLimiter(e.per, e.burst)}
		e.by[name] = one
	}
	if !one.limiter.AllowN(at, 1) {
		one.leftOut++
		return false, 0
	}
	leftOut, one.leftOut = one.leftOut, 0
	return true, leftOut
}

func (l *limited) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limited{Handler: l.Handler.WithAttrs(attrs), all: l.all}
}

func (l *limited) WithGroup(name string) slog.Handler {
	return &limited{Handler: l.Handler.WithGroup(name), all: l.all}
}

// Plain is a logger for tools: text without times, to any writer.
func Plain(out io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{ReplaceAttr: func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.Attr{}
		}
		return a
	}}))
}
