package emulator

import (
	"regexp"
	"sync"
	"time"
)

// Run is one execution that reached an engine.
type Run struct {
	Engine  string
	Mark    string // the mark of the request, from its text or its first value
	Key     string // that repeats are dropped by; "": none
	At      time.Time
	Dropped bool // a repeat of a key within the window: it had no effect
}

// Ledger is the evidence of a fleet: what ran where and when, and which repeats were dropped.
// All engines of it drop repeats of a key for a while from its first run on, as those of the
// register do.
type Ledger struct {
	window time.Duration
	mu     sync.Mutex
	runs   []Run
	keys   map[string]time.Time
}

// NewLedger returns an empty one.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{window: window, keys: map[string]time.Time{}}
}

// marks are how a load generator tells requests apart: q-, r-, k- or w- and numbers.
var marks = regexp.MustCompile(`\b[qrkw]-[0-9]+-[0-9]+\b`)

// Mark is the mark of a request that a statement or its values hold; "": there is none.
func Mark(text string) string { return marks.FindString(text) }

// Begin writes an execution down. It tells whether the engine carries it out: a repeat of a
// key is dropped.
func (l *Ledger) Begin(engine, statement, first string) bool {
	if l == nil {
		return true
	}
	mark := marks.FindString(first)
	key := ""
	if mark != "" && mark[0] == 'k' {
		key = mark
	}
	if mark == "" {
		mark = marks.FindString(statement)
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := Run{Engine: engine, Mark: mark, Key: key, At: now}
	if key != "" {
		if since, ok := l.keys[key]; ok && now.Sub(since) < l.window {
			r.Dropped = true
		} else {
			l.keys[key] = now
		}
	}
	l.runs = append(l.runs, r)
	return !r.Dropped
}

// Runs is what ran so far, in order.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}
