// Package logging creates the program's loggers. Records are events with stable names and keys. The
// output is coloured text on a terminal and JSON elsewhere, and the rate of each event is limited.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/lmittmann/tint"
)

// Limits on how often New's loggers write the same event; see RateLimit.
const (
	eventsPerSecond = 5
	eventBurst      = 20
)

// Options configure a logger.
type Options struct {
	Format string // auto, json or text; auto means text on a terminal and json elsewhere
	Level  string // lowest level that is written: debug, info, warn or error
}

// New returns a logger that writes to a file. It returns an error if an option is invalid.
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
	return slog.New(RateLimit(handler, eventsPerSecond, eventBurst)), nil
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// NewPlain returns a logger for tools. It writes text without timestamps, at level info and above,
// and does not limit the rate.
func NewPlain(out io.Writer) *slog.Logger {
	return slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{ReplaceAttr: dropTime}))
}

func dropTime(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey {
		return slog.Attr{}
	}
	return a
}
