// Package logging makes the program's logger: events with stable names and keys, in colours
// on a terminal and as JSON elsewhere, with a limit on how often one event is written.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/lmittmann/tint"
)

// How often one event is written: a rate, and how many at once.
const (
	eventsPerSecond = 5
	eventsBurst     = 20
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
	var handler slog.Handler
	switch {
	case opts.Format == "text", opts.Format == "auto" && isTerminal(out):
		handler = tint.NewTextHandler(out, &tint.Options{Level: level, TimeFormat: "15:04:05.000", NoColor: !isTerminal(out)})
	case opts.Format == "json", opts.Format == "auto":
		handler = slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})
	default:
		return nil, fmt.Errorf("log format: %q is none of auto, json, text", opts.Format)
	}
	return slog.New(RateLimit(handler, eventsPerSecond, eventsBurst)), nil
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// NewPlain returns a logger for tools: text without times, to any writer.
func NewPlain(out io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{ReplaceAttr: dropTime}))
}

func dropTime(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey {
		return slog.Attr{}
	}
	return a
}
