package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// maxLimitedEvents bounds the events that are counted apart. Their names are constants of the
// program, so more of them would be a programming error.
const maxLimitedEvents = 1000

// RateLimit limits how often one event is written: perSecond on average and burst at once.
// Suppressed records are counted, and the next one that is written tells their number under
// "suppressed". Guards against a peer that fills the log. Errors are always written.
func RateLimit(next slog.Handler, perSecond float64, burst int) slog.Handler {
	limits := &eventLimits{perSecond: rate.Limit(perSecond), burst: burst, byName: map[string]*eventLimit{}}
	return &limitedHandler{Handler: next, limits: limits}
}

// limitedHandler drops records of events that come too often. Handlers that are derived from it
// share its limits.
type limitedHandler struct {
	slog.Handler
	limits *eventLimits
}

// Handle writes a record or suppresses it.
func (h *limitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level >= slog.LevelError {
		return h.Handler.Handle(ctx, r)
	}
	allowed, suppressed := h.limits.allow(r.Message, r.Time)
	if !allowed {
		return nil
	}
	if suppressed > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("suppressed", suppressed))
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs returns a handler that adds attributes to each record.
func (h *limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithAttrs(attrs), limits: h.limits}
}

// WithGroup returns a handler that puts the attributes of each record into a group.
func (h *limitedHandler) WithGroup(name string) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithGroup(name), limits: h.limits}
}

// eventLimits holds the limit of each event. It is safe for concurrent use, as loggers are.
type eventLimits struct {
	perSecond rate.Limit
	burst     int

	mu     sync.Mutex
	byName map[string]*eventLimit
}

type eventLimit struct {
	limiter    *rate.Limiter
	suppressed int // since a record was written
}

// allow reports whether an event may be written at a time, and how many records of it were
// suppressed before it.
func (l *eventLimits) allow(name string, at time.Time) (allowed bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event := l.byName[name]
	if event == nil {
		if len(l.byName) >= maxLimitedEvents {
			return true, 0
		}
		event = &eventLimit{limiter: rate.NewLimiter(l.perSecond, l.burst)}
		l.byName[name] = event
	}
	if !event.limiter.AllowN(at, 1) {
		event.suppressed++
		return false, 0
	}
	suppressed = event.suppressed
	event.suppressed = 0
	return true, suppressed
}
