package remotesite

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestReplay feeds seeded events to a chooser, its peers, a meter, a hedge budget and a key
// memory, and compares the digest of all decisions with the one recorded before the package
// was reworked.
func TestReplay(t *testing.T) {
	want, err := os.ReadFile("testdata/replay.sha256")
	if err != nil {
		t.Fatal(err)
	}
	h := sha256.New()
	for seed := range uint64(8) {
		replay(h, seed)
	}
	if got := hex.EncodeToString(h.Sum(nil)); got != strings.TrimSpace(string(want)) {
		t.Errorf("digest of decisions = %s, want %s", got, want)
	}
}

// replay writes each decision of one seeded stream of events.
func replay(w io.Writer, seed uint64) {
	rng := rand.New(rand.NewPCG(21, seed))
	cfg, now := Defaults(), time.Hour
	cfg.Price = 0.2
	cfg.KeysShared = seed%2 == 0
	classes := []string{"lookup", "report", "load"}
	var chooser Chooser
	var hedge Hedge
	meter := NewMeter(cfg, 2)
	keys := NewKeys(12*time.Second, 20)
	peers := []*Peer{{}, {}, {}}
	for _, p := range peers {
		p.Linked(true)
	}
	for range 4000 {
		now += time.Duration(rng.IntN(60)) * time.Millisecond
		i := rng.IntN(len(peers))
		p := peers[i]
		class := classes[rng.IntN(len(classes))]
		switch rng.IntN(24) {
		case 0, 1, 2, 3:
			p.Heard(cfg, now, time.Duration(rng.IntN(60+400*i))*time.Millisecond)
		case 4, 5, 6, 7:
			p.Told(cfg, now, Digest{
				Room:  map[string]float64{"lookup": rng.Float64(), "report": rng.Float64()*2 - 0.5, "load": rng.Float64()},
				Takes: rng.Float64()*6 - 0.5, Drains: rng.IntN(40) == 0,
			})
		case 8:
			switch rng.IntN(30) {
			case 0:
				p.Leaves()
			case 1:
				p.Linked(false)
			case 2:
				p.Shut(true)
			default:
				p.Linked(true)
				p.Shut(false)
			}
		case 9:
			p.Did(now, rng.IntN(4) > 0)
			fmt.Fprintf(w, "distrust %.12g\n", p.Distrust(now))
		case 10:
			name := []string{"a", "b"}[rng.IntN(2)]
			s := Station{Cores: float64(4 + rng.IntN(12)), Live: rng.IntN(5) > 0}
			if rng.IntN(3) == 0 {
				s.ColdUntil, s.ColdFor, s.ColdStart = now+5*time.Second, 10*time.Second, 0.25
			}
			meter.Engine(name, s)
		case 11:
			meter.Reported(now, rng.Float64()*1.2-0.1)
			meter.Turned(now, class)
		case 12, 13:
			meter.Took(class, time.Duration(rng.IntN(900))*time.Millisecond, rng.Float64())
			hedge.Took(class, time.Duration(50+rng.IntN(400))*time.Millisecond)
			after, ok := hedge.When(class)
			fmt.Fprintf(w, "hedge after %d %t\n", int64(after), ok)
		case 14:
			meter.Sent(float64(rng.IntN(6)))
		case 15:
			meter.Ended(float64(rng.IntN(6)))
		case 16:
			key := strconv.Itoa(rng.IntN(40))
			at := now - time.Duration(rng.IntN(15000))*time.Millisecond
			fmt.Fprintf(w, "key %t\n", keys.Sent(now, key, at, rng.IntN(2) == 0))
			if rng.IntN(4) == 0 {
				keys.Never(key, at)
			}
			first, elsewhere, ok := keys.First(now, strconv.Itoa(rng.IntN(40)))
			fmt.Fprintf(w, "first %d %t %t of %d\n", int64(first), elsewhere, ok, keys.Len())
		case 17:
			d := meter.Digest(now, classes)
			fmt.Fprintf(w, "digest %.12g %.12g %.12g %.12g %t\n", d.Takes, d.Room["lookup"], d.Room["report"], d.Room["load"], d.Drains)
			for _, part := range Divide(d.Takes, []float64{rng.Float64(), 0, rng.Float64() * 3}) {
				fmt.Fprintf(w, "part %.12g\n", part)
			}
		default:
			meter.Came(now, class)
			replayQuery(w, rng, cfg, now, class, &chooser, &hedge, meter, peers)
		}
		c, changed := p.Watch(cfg, now)
		fmt.Fprintf(w, "peer %d %t %d %d way %d rtt %d age %d credit %.12g ramp %.12g room %.12g shut %t\n", i, changed, uint8(c.From), uint8(c.To),
			int64(p.Way()), int64(p.RTT()), int64(p.Age(now)), p.Credit(), p.Ramp(cfg, now), p.Room(class), p.IsShut())
	}
}

// replayQuery writes what is decided of one query.
func replayQuery(w io.Writer, rng *rand.Rand, cfg Config, now time.Duration, class string, chooser *Chooser, hedge *Hedge, meter *Meter, peers []*Peer) {
	q := Query{
		Class: class, Effect: Effect(rng.IntN(3)), Work: rng.Float64() * 2, Worth: rng.Float64(), Group: int64(rng.IntN(6)),
		Left: time.Duration(rng.IntN(4000)) * time.Millisecond, Foreign: rng.IntN(8) == 0, Turned: rng.IntN(4) == 0, Sends: rng.IntN(4),
		Doubt: rng.IntN(3) == 0, Ago: time.Duration(rng.IntN(14000)) * time.Millisecond, Window: 12 * time.Second, ThereOnly: rng.IntN(6) == 0,
	}
	room := meter.RoomFor(now, &q)
	accepted := meter.Accept(now, &q)
	choice := chooser.Choose(cfg, now, &q, room, peers)
	fmt.Fprintf(w, "room %.12g %.12g capacity %.12g usual %.12g accepted %t choice %d %d grant %d again %t\n", room, meter.Room(now, class),
		meter.Capacity(now), meter.Usual(class), accepted, uint8(choice.Where), choice.Peer, Grant(cfg, &q), Again(cfg, &q, 30*time.Millisecond))
	if choice.Where == There {
		left, ok := Left(cfg, q.Left, peers[choice.Peer].Way())
		hedge.Crossed(now)
		fmt.Fprintf(w, "left %d %t hedged %t\n", int64(left), ok, hedge.May(cfg, now, &q, room))
		end := End(rng.IntN(2))
		fmt.Fprintf(w, "next %d doubt %t\n", uint8(After(cfg, &q, end)), q.Doubt)
	}
}
