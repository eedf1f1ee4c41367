package remotesite

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestReplay applies seeded pseudorandom events to a chooser, its peers, a capacity meter, a hedger and a
// key history. It compares the digest of all decisions with a recorded one, so that a change of any
// decision is noticed.
func TestReplay(t *testing.T) {
	want, err := os.ReadFile("testdata/replay.sha256")
	if err != nil {
		t.Fatal(err)
	}
	var decisions bytes.Buffer
	for seed := range uint64(8) {
		replay(&decisions, seed)
	}
	if got := digest(decisions.Bytes()); got != strings.TrimSpace(string(want)) {
		t.Errorf("digest of decisions = %s, want %s", got, want)
	}
}

// replay writes each decision on one seeded stream of events. The digest covers the text written, so its
// wording must not change.
func replay(w *bytes.Buffer, seed uint64) {
	rng := rand.New(rand.NewPCG(21, seed))
	cfg, now := Defaults(), time.Hour
	cfg.MinPriorityWeight = 0.2
	cfg.SharedDedup = seed%2 == 0
	classes := []string{"lookup", "report", "load"}
	var chooser Chooser
	var hedger Hedger
	meter := NewCapacityMeter(cfg, 2)
	keys := NewKeyHistory(12*time.Second, 20)
	peers := []*Peer{{}, {}, {}}
	for _, p := range peers {
		p.SetConnected(true)
	}
	for range 4000 {
		now += time.Duration(rng.IntN(60)) * time.Millisecond
		i := rng.IntN(len(peers))
		p := peers[i]
		class := classes[rng.IntN(len(classes))]
		switch rng.IntN(24) {
		case 0, 1, 2, 3:
			p.RecordReply(cfg, now, time.Duration(rng.IntN(60+400*i))*time.Millisecond)
		case 4, 5, 6, 7:
			p.RecordDigest(cfg, now, Digest{
				FreeCapacity:   map[string]float64{"lookup": rng.Float64(), "report": rng.Float64()*2 - 0.5, "load": rng.Float64()},
				AcceptableWork: rng.Float64()*6 - 0.5, Draining: rng.IntN(40) == 0,
			})
		case 8:
			switch rng.IntN(30) {
			case 0:
				p.RecordDeparture()
			case 1:
				p.SetConnected(false)
			case 2:
				p.SetDrained(true)
			default:
				p.SetConnected(true)
				p.SetDrained(false)
			}
		case 9:
			if rng.IntN(4) > 0 {
				p.RecordSuccess(now)
			} else {
				p.RecordFailure(now)
			}
			fmt.Fprintf(w, "distrust %.12g\n", p.Distrust(now))
		case 10:
			name := []string{"a", "b"}[rng.IntN(2)]
			engine := Engine{Cores: float64(4 + rng.IntN(12)), Live: rng.IntN(5) > 0}
			if rng.IntN(3) == 0 {
				engine.WarmUpUntil, engine.WarmUpPeriod, engine.WarmUpMinCapacity = now+5*time.Second, 10*time.Second, 0.25
			}
			meter.UpdateEngine(name, engine)
		case 11:
			meter.RecordUtilization(now, rng.Float64()*1.2-0.1)
			meter.RecordRejection(now, class)
		case 12, 13:
			meter.RecordLatency(class, time.Duration(rng.IntN(900))*time.Millisecond, rng.Float64())
			hedger.RecordLatency(class, time.Duration(50+rng.IntN(400))*time.Millisecond)
			delay, ok := hedger.Delay(class)
			fmt.Fprintf(w, "hedge after %d %t\n", int64(delay), ok)
		case 14:
			meter.AttemptStarted(float64(rng.IntN(6)))
		case 15:
			meter.AttemptEnded(float64(rng.IntN(6)))
		case 16:
			key := strconv.Itoa(rng.IntN(40))
			at := now - time.Duration(rng.IntN(15000))*time.Millisecond
			fmt.Fprintf(w, "key %t\n", keys.Record(now, key, at, Origin(1-rng.IntN(2))))
			if rng.IntN(4) == 0 {
				keys.Retract(key, at)
			}
			first, origin, ok := keys.FirstSend(now, strconv.Itoa(rng.IntN(40)))
			fmt.Fprintf(w, "first %d %t %t of %d\n", int64(first), origin == OtherSite, ok, keys.Len())
		case 17:
			d := meter.Digest(now, classes)
			fmt.Fprintf(w, "digest %.12g %.12g %.12g %.12g %t\n", d.AcceptableWork, d.FreeCapacity["lookup"], d.FreeCapacity["report"], d.FreeCapacity["load"], d.Draining)
			for _, part := range DivideWork(d.AcceptableWork, []float64{rng.Float64(), 0, rng.Float64() * 3}) {
				fmt.Fprintf(w, "part %.12g\n", part)
			}
		default:
			meter.RecordArrival(now, class)
			replayQuery(w, rng, cfg, now, class, &chooser, &hedger, meter, peers)
		}
		c, changed := p.StateChange(cfg, now)
		fmt.Fprintf(w, "peer %d %t %d %d way %d rtt %d age %d credit %.12g ramp %.12g room %.12g shut %t\n", i, changed, uint8(c.From), uint8(c.To),
			int64(p.OneWayDelay()), int64(p.RTT()), int64(p.SinceReply(now)), p.Credit(), p.RampFraction(cfg, now), p.FreeCapacity(class), p.IsDrained())
	}
}

// replayQuery writes the decisions on one pseudorandom query.
func replayQuery(w *bytes.Buffer, rng *rand.Rand, cfg Config, now time.Duration, class string, chooser *Chooser, hedger *Hedger, meter *CapacityMeter, peers []*Peer) {
	q := Query{
		Class: class, Idempotency: Idempotency(rng.IntN(3)), Work: rng.Float64() * 2, PriorityWeight: rng.Float64(), DataSet: int64(rng.IntN(6)),
		Remaining: time.Duration(rng.IntN(4000)) * time.Millisecond, Forwarded: rng.IntN(8) == 0, RejectedLocally: rng.IntN(4) == 0, Attempts: rng.IntN(4),
		MayHaveRun: rng.IntN(3) == 0, SinceFirstAttempt: time.Duration(rng.IntN(14000)) * time.Millisecond, DedupWindow: 12 * time.Second, DedupNotShared: rng.IntN(6) == 0,
	}
	freeCapacity := meter.FreeCapacityFor(now, &q)
	accepted := meter.Accepts(now, &q)
	choice := chooser.Choose(cfg, now, &q, freeCapacity, peers)
	fmt.Fprintf(w, "room %.12g %.12g capacity %.12g usual %.12g accepted %t choice %d %d grant %d again %t\n", freeCapacity, meter.FreeCapacity(now, class),
		meter.AvailableCores(now), meter.TypicalWork(class), accepted, uint8(choice.Destination), choice.Peer, AttemptGrant(cfg, &q), MayAttempt(cfg, &q, 30*time.Millisecond))
	if choice.Destination == Remote {
		remaining, ok := RemainingAfter(cfg, q.Remaining, peers[choice.Peer].OneWayDelay())
		hedger.RecordForward(now)
		fmt.Fprintf(w, "left %d %t hedged %t\n", int64(remaining), ok, hedger.Allow(cfg, now, &q, freeCapacity))
		failure := Failure(rng.IntN(2))
		fmt.Fprintf(w, "next %d doubt %t\n", uint8(AfterFailure(cfg, &q, failure)), q.MayHaveRun)
	}
}

// digest returns the SHA-256 digest of b in hexadecimal.
func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}
