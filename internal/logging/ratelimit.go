package logging

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// maxLimitedEvents is the number of distinct events whose rate is limited; further events are always
// written. It bounds the memory use. Event names are constants in the program, so a larger number
// would be a programming error.
const maxLimitedEvents = 1000

// RateLimit returns a handler that limits how often each event is written: perSecond times on
// average, and at most burst times at once. The next record of the event that is written has the
// number of suppressed records as attribute "suppressed". The limit keeps a misbehaving peer from
// filling the log. Records at level error and above are always written.
func RateLimit(next slog.Handler, perSecond float64, burst int) slog.Handler {
	limits := &eventLimits{perSecond: rate.Limit(perSecond), burst: burst, byName: map[string]*eventLimit{}}
	return &limitedHandler{Handler: next, limits: limits}
}

// limitedHandler drops records of events that occur too often. Handlers derived from it share its
// limits.
type limitedHandler struct {
	slog.Handler
	limits *eventLimits
}

// Handle passes a record to the next handler or suppresses it.
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

// WithAttrs returns a handler that adds the attributes to each record and shares the limits.
func (h *limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithAttrs(attrs), limits: h.limits}
}

// WithGroup returns a handler that puts the attributes of each record into a group and shares the
// limits.
func (h *limitedHandler) WithGroup(name string) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithGroup(name), limits: h.limits}
}

// eventLimits holds the rate limits of all events. It is safe for concurrent use, as loggers are.
type eventLimits struct {
	perSecond rate.Limit
	burst     int

	mu     sync.Mutex
	byName map[string]*eventLimit // by event name; guarded by mu
}

// eventLimit is the rate limit of one event.
type eventLimit struct {
	limiter    *rate.Limiter
	suppressed int // records suppressed since the last one that was written
}

// allow reports whether a record of the event may be written at the given time and, if so, how many
// records were suppressed since the last one that was written.
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
