package connpool

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestReplay applies seeded pseudorandom events to pools with different limits. It compares the digest of
// all decisions with a recorded one, so that a change of any decision is noticed.
func TestReplay(t *testing.T) {
	want, err := os.ReadFile("testdata/replay.sha256")
	if err != nil {
		t.Fatal(err)
	}
	var decisions bytes.Buffer
	for seed, limits := range []Limits{
		{},
		{MaxConnections: 1},
		{MaxConnections: 4, MinConnections: 2, IdleTimeout: time.Second, MaxLifetime: time.Minute},
		{MaxConnections: 6, MaxPerUser: 2, MinConnections: 3, IdleTimeout: 500 * time.Millisecond},
		{MaxPerUser: 1},
		{MaxConnections: 3, MaxPerUser: 5, MaxLifetime: 7 * time.Second},
	} {
		replay(&decisions, uint64(seed), limits)
	}
	if got := digest(decisions.Bytes()); got != strings.TrimSpace(string(want)) {
		t.Errorf("digest of decisions = %s, want %s", got, want)
	}
}

// replay writes each decision on one seeded stream of events. The digest covers the text written, so its
// wording must not change.
func replay(w *bytes.Buffer, seed uint64, limits Limits) {
	rng := rand.New(rand.NewPCG(31, seed))
	p := Pool{Limits: limits}
	users := []string{"a", "b", "c", "d"}
	var active, waiting []*Ticket
	idle, opening, now := 0, 0, time.Duration(0)
	dispatch := func(ticket *Ticket, decision Decision) {
		active = append(active, ticket)
		if decision == UseIdle {
			idle--
		}
	}
	for range 4000 {
		now += time.Duration(rng.IntN(40)) * time.Millisecond
		switch rng.IntN(8) {
		case 0, 1, 2:
			user := rng.IntN(len(users))
			ticket, decision := p.Acquire(now, users[user], now+time.Duration(rng.IntN(400))*time.Millisecond)
			fmt.Fprintf(w, "ask %d: %d\n", user, uint8(decision))
			switch decision {
			case Queued:
				waiting = append(waiting, ticket)
			case UseIdle, OpenNew:
				dispatch(ticket, decision)
			case Rejected:
				p.Release(now, ticket)
			}
		case 3, 4:
			if len(active) == 0 {
				break
			}
			i := rng.IntN(len(active))
			p.Release(now, active[i])
			active = slices.Delete(active, i, i+1)
			if rng.IntN(4) > 0 {
				p.AddIdle()
				idle++
			} else {
				p.ConnectionClosed()
			}
		case 5:
			if len(waiting) > 0 && rng.IntN(3) == 0 {
				i := rng.IntN(len(waiting))
				p.Release(now, waiting[i])
				waiting = slices.Delete(waiting, i, i+1)
			}
		case 6:
			expired := p.IdleExpired(now, now-time.Duration(rng.IntN(2000))*time.Millisecond)
			fmt.Fprintf(w, "stale %t lives for %d\n", expired, int64(p.Lifetime(rng.Float64())))
			if expired && idle > 0 {
				p.RemoveIdle()
				p.ConnectionClosed()
				idle--
			}
		default:
			if opening > 0 && rng.IntN(2) == 0 {
				opening--
				p.AddIdle()
				idle++
			}
			openAhead := p.OpenAhead(opening)
			fmt.Fprintf(w, "ahead %t\n", openAhead)
			if openAhead {
				opening++
			}
		}
		for ticket, decision, ok := p.Next(now); ok; ticket, decision, ok = p.Next(now) {
			i := slices.Index(waiting, ticket)
			fmt.Fprintf(w, "next %d: %d\n", i, uint8(decision))
			waiting = slices.Delete(waiting, i, i+1)
			dispatch(ticket, decision)
		}
		stats := p.Stats()
		fmt.Fprintf(w, "counts %d %d %d\n", stats.Open, stats.Idle, stats.Waiting)
	}
}

// digest returns the SHA-256 digest of b in hexadecimal.
func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
