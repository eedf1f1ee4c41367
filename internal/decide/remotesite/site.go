// Package site decides, for a gateway at one site, whether a query runs here, at another site
// or nowhere, and what is believed of the other sites. Which engine runs it is each site's own
// decision module's affair. No I/O, no clock: instants are the caller's, durations of one
// origin; what another site's clock says is never used, only how long things took here.
//
// Peers are gateways at other sites: each tells of its own share of its site's room, so that a
// site with several gateways is several peers.
package remotesite

import "time"

// Config bounds what is decided.
type Config struct {
	SilentAfter time.Duration // without a word a peer is silent; too short: a pause is taken for a loss
	SlowAbove   time.Duration // round trip from which a peer is slow; it is up again below three quarters
	ColdFor     time.Duration // after a silence the ramp takes so long; at least as the engines need
	ColdStart   float64       // share of what it says it takes at the ramp's start, 0 to 1
	Slack       time.Duration // kept of a query's time at each hop, for the answer's way through it
	SpillBelow  float64       // room here, as a share, below which work may cross
	StopAbove   float64       // and above which it stays again; above SpillBelow
	TakeAbove   float64       // room that a peer must have
	Reserve     float64       // room that is kept for this site's own clients, as a share
	Threads     float64       // threads a core at which a site has no room
	StaleAfter  time.Duration // what a peer said of its room is not believed for longer
	WordEvery   time.Duration // how often a gateway says how much room it has
	Tries       int           // sends of one query over all sites together
	Price       float64       // worth that a crossing costs: less than that never crosses
	Affinity    float64       // room that a peer must have more where a query's tables are warm here
	HedgeShare  float64       // crossings of safe classes that may be run here as well, as a share of all
	KeysShared  bool          // engines of all sites drop each other's repeats of a key
}

// Defaults are for two sites some tens of milliseconds apart.
func Defaults() Config {
	return Config{
		SilentAfter: 1500 * time.Millisecond, SlowAbove: 400 * time.Millisecond, ColdFor: 15 * time.Second, ColdStart: 0.2,
		Slack: 20 * time.Millisecond, SpillBelow: 0.1, StopAbove: 0.3, TakeAbove: 0.1, Reserve: 0.05, Threads: 2,
		StaleAfter: 2 * time.Second, WordEvery: 250 * time.Millisecond, Tries: 3, Affinity: 0.1, HedgeShare: 0.02,
	}
}

// Effect says how far a query may be repeated, as in policy.
type Effect uint8

// Effects; the zero value is the most cautious.
const (
	Unsafe Effect = iota
	Keyed
	Safe
)

// Query is what is known of one query.
type Query struct {
	Class   string
	Effect  Effect
	Work    float64       // expected, in seconds of one core; 0: unknown
	Worth   float64       // of an answer in time
	Group   int64         // of tables; 0: unknown
	Left    time.Duration // of its client's wait
	Foreign bool          // it came from another site: it never goes on to a third
	Turned  bool          // this site's module has just turned it away
	Sends   int           // so far, over all sites
	Doubt   bool          // one of them may have run
	Ago     time.Duration // since the first send anywhere that may have run
	Window  time.Duration // in which repeats of its key are dropped
	// ThereOnly is that what may have run did so where other sites' engines can't tell: its key
	// is dropped by the engines of one site, or of a part of one, alone.
	ThereOnly bool
}

// margin is kept to the end of a key's window, beside the way.
const margin = 50 * time.Millisecond

// Again tells whether a query may be sent (again), with so long a way before it.
func Again(cfg Config, q *Query, way time.Duration) bool {
	switch {
	case q.Sends >= cfg.Tries:
		return false
	case !q.Doubt || q.Effect == Safe:
		return true
	case q.Effect == Keyed && !q.ThereOnly:
		return q.Ago+way+margin < q.Window
	}
	return false
}

// Left is what a query has left at the other end of a way, and ok whether that is anything.
// Both ways come off, and the slack of this hop: the answer has to come back in time.
func Left(cfg Config, wanted, way time.Duration) (left time.Duration, ok bool) {
	left = wanted - 2*way - cfg.Slack
	return left, left > 0
}

// Grant is how many sends the other site may make of a query: what is left of all, less one
// that is kept for this site where a repeat here is permitted at all.
func Grant(cfg Config, q *Query) int {
	n := cfg.Tries - q.Sends
	if n > 1 && (q.Effect == Safe || q.Effect == Keyed && cfg.KeysShared) {
		n--
	}
	return n
}

// End is how a crossing ended.
type End uint8

// Ends. The zero value is the most cautious.
const (
	InDoubt End = iota // it may have run: the peer is silent, gone, or says no better
	Never              // the peer says on the same stream that no engine was sent it, or it was never written
)

// Next is what becomes of a query whose crossing ended without an answer.
type Next uint8

// The ways on.
const (
	AnswerDoubt  Next = iota // its client is told now that it may have run
	AnswerRefuse             // its client is told now to come again
	RunHere                  // this site's decision module has it
)

// After tells what becomes of a query whose crossing has ended without an answer, at once: a
// silent site is answered for here, before the client gives up. A peer's word that nothing ran
// is believed on the stream that the query went on only (Never); everything else is in doubt.
func After(cfg Config, q *Query, end End) Next {
	if end == InDoubt {
		q.Doubt = true
	}
	switch {
	case !Again(cfg, q, 0):
		if q.Doubt && q.Effect != Safe {
			return AnswerDoubt
		}
		return AnswerRefuse
	case end == Never && q.Turned: // neither site has room for it
		return AnswerRefuse
	}
	return RunHere
}
