package handover

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gannetspur/policy"
)

// Guards against changed decisions: it replays pseudorandom streams of events and compares digests of
// all effects and states. Each line of testdata/replay.txt has the name of a replay and the digest of
// what commit c18a9bd decided in it. What goes into a digest is written with fixed strings and numbers, so
// that the digests don't depend on the names in this package.
func TestReplay(t *testing.T) {
	text, err := os.ReadFile("testdata/replay.txt")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Fields(string(text))
	got := strings.Fields(replayAll())
	if len(got) != len(want) {
		t.Fatalf("got %d words of names and digests, want %d", len(got), len(want))
	}
	for i := 0; i < len(want); i += 2 {
		if got[i] != want[i] || got[i+1] != want[i+1] {
			t.Errorf("got replay %s with digest %s, want %s with %s", got[i], got[i+1], want[i], want[i+1])
		}
	}
}

// replayAll runs all replays and returns their names and digests in the form of the file.
func replayAll() string {
	var b strings.Builder
	for seed := range uint64(20) {
		fmt.Fprintf(&b, "source-%d %s\n", seed, replaySource(seed))
		fmt.Fprintf(&b, "target-%d %s\n", seed, replayTarget(seed))
	}
	fmt.Fprintf(&b, "recover %s\n", replayRecover())
	return b.String()
}

// digest is a hash of the output of a replay, which is added as words and numbers.
type digest struct{ hash.Hash }

func newDigest() digest { return digest{sha256.New()} }

func (d digest) add(words ...any) {
	for _, w := range words {
		_, _ = fmt.Fprint(d, w, " ")
	}
	_, _ = fmt.Fprintln(d) // writing to a hash never fails
}

func (d digest) text() string { return hex.EncodeToString(d.Sum(nil)) }

func (d digest) addRequest(r Request) {
	d.add("request", r.InFlight, int(r.Idempotency), r.Sent, int64(firstSentAt(r)), int64(keyWindow(r)), int64(r.Deadline), r.ResponseLength, r.ResponseRecorded)
}

// replaySource feeds source machines with pseudorandom streams of events, among them some that can't
// occur in the current phase, and returns the digest.
func replaySource(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 1))
	d := newDigest()
	for range 150 {
		cfg := DefaultConfig()
		if r.IntN(3) == 0 {
			cfg = Config{
				HelloTimeout: randomDuration(r, 2000), WarmUpTimeout: randomDuration(r, 2000), MinProbation: randomDuration(r, 3000), MaxProbation: randomDuration(r, 9000),
				HeartbeatTimeout: randomDuration(r, 2000), MinSuccesses: r.IntN(40), MaxFailureFraction: float64(r.IntN(5)) / 10, MaxMemory: int64(r.IntN(2)) * 1000,
			}
		}
		replaySourceOnce(d, r, NewSource(cfg, Version{1, r.IntN(3)}))
	}
	return d.text()
}

// randomDuration returns a random duration below ms milliseconds.
func randomDuration(r *rand.Rand, ms int) time.Duration {
	return time.Duration(r.IntN(ms)) * time.Millisecond
}

// replaySourceOnce adds the effects and states of one machine over a stream of events to d.
func replaySourceOnce(d digest, r *rand.Rand, source *Source) {
	now, lastID := time.Duration(0), ConnID(0)
	for range 20 + r.IntN(120) {
		if r.IntN(3) == 0 {
			now += randomDuration(r, 900+r.IntN(8)/7*4000)
		}
		var event SourceEvent
		if r.IntN(10) < 2 {
			event = likelyEvent(r, source.Phase())
		} else {
			event = anySourceEvent(r, ConnID(r.IntN(int(lastID)+2)), lastID+1)
			if accepted, ok := event.(ConnectionAccepted); ok {
				lastID = accepted.Conn
			}
		}
		for _, e := range source.Step(now, event) {
			d.addSourceEffect(e)
		}
		d.add("phase", int(source.Phase()), source.Phase().String(), source.Failure().String())
	}
}

// likelyEvent returns an event that typically ends the phase, by its success or failure.
func likelyEvent(r *rand.Rand, p Phase) SourceEvent {
	switch p {
	case Idle:
		return UpgradeRequested{UsualFailureRate: float64(r.IntN(6)-1) / 10}
	case AwaitingHello:
		if r.IntN(8) == 0 {
			return TargetHello{Version: Version{1, 1}, Problem: "no port " + strconv.Itoa(r.IntN(9))}
		}
		return TargetHello{Version: Version{1 + r.IntN(8)/7, r.IntN(3)}}
	case WarmingUp:
		return TargetReady{}
	case Probation:
		if r.IntN(2) == 0 { // from a target without a successful response
			return TargetHeartbeat{Failures: r.IntN(8) / 7, InFlight: r.IntN(2)}
		}
		return TargetHeartbeat{Successes: r.IntN(30), Failures: r.IntN(3), InFlight: r.IntN(2)}
	case RollingBack:
		return TargetExited{}
	}
	return Tick{}
}

// anySourceEvent returns any event. Those of a connection are for id, which may not exist, and a new
// connection has the ID next.
func anySourceEvent(r *rand.Rand, id, next ConnID) SourceEvent {
	switch n := r.IntN(40); {
	case n < 5:
		return ConnectionAccepted{next}
	case n < 9:
		return ConnectionBusy{id}
	case n < 13:
		return ConnectionIdle{id}
	case n < 15:
		return TransferCancelled{id}
	case n < 18:
		return ConnectionClosed{id}
	case n < 21:
		return TargetClosedConnection{id}
	case n < 26:
		return RequestRecorded{id, anyRequest(r)}
	case n < 28:
		return TargetActive{}
	case n < 31:
		return TargetHeartbeat{Successes: r.IntN(8), Failures: r.IntN(2), InFlight: r.IntN(3)}
	case n < 37:
		return Tick{}
	case n < 38:
		return TargetMemory{int64(r.IntN(1100))}
	}
	switch r.IntN(12) {
	case 0, 1:
		return TargetExited{}
	case 2:
		return StopRequested{}
	case 3, 4:
		return TargetReady{}
	case 5, 6:
		return TargetHello{Version: Version{1, r.IntN(4)}}
	}
	return UpgradeRequested{}
}

func anyRequest(r *rand.Rand) Request {
	return Request{
		InFlight: r.IntN(3) > 0, Idempotency: Idempotency(r.IntN(3)), Sent: r.IntN(2) > 0, Attempts: attemptsAt("e", randomDuration(r, 3000), randomDuration(r, 9000)),
		Deadline: randomDuration(r, 9000), ResponseLength: r.IntN(3), ResponseRecorded: r.IntN(2) > 0,
	}
}

// attemptsAt returns one attempt at an engine, whose key window is the given one.
func attemptsAt(engine string, sentAt, window time.Duration) []policy.PriorAttempt {
	return []policy.PriorAttempt{{SentAt: sentAt, Placement: policy.Placement{Engine: engine, Zone: "a"}, Scope: policy.DedupZone, Window: window}}
}

// firstSentAt returns when the only attempt of a request was sent; 0 if there is none.
func firstSentAt(r Request) time.Duration {
	if len(r.Attempts) == 0 {
		return 0
	}
	return r.Attempts[0].SentAt
}

// keyWindow returns the key window of the only attempt of a request; 0 if there is none.
func keyWindow(r Request) time.Duration {
	if len(r.Attempts) == 0 {
		return 0
	}
	return r.Attempts[0].Window
}

// addSourceEffect adds an effect of the source. The stored digests depend on its fixed strings.
func (d digest) addSourceEffect(e SourceEffect) {
	switch e := e.(type) {
	case StartTarget:
		d.add("start the target")
	case SendState:
		d.add("send the state")
	case StopAccepting:
		d.add("stop accepting")
	case StartAccepting:
		d.add("start accepting")
	case SendServe:
		d.add("send go")
	case TransferConnection:
		d.add("give", uint32(e.Conn))
	case SendCommit:
		d.add("send commit")
	case ReleaseDuplicate:
		d.add("forget", uint32(e.Conn))
	case KillTarget:
		d.add("kill")
	case ReclaimConnection:
		d.add("take back", uint32(e.Conn))
		d.addRequest(e.Request)
	case ReportOutcome:
		d.add("report", e.Failure.String())
	case BeginShutdown:
		d.add("begin the stop")
	case Exit:
		d.add("exit")
	default:
		d.add("unknown")
	}
}

// replayTarget feeds target machines with the usual sequence of events, mixed with pseudorandom ones,
// and returns the digest.
func replayTarget(seed uint64) string {
	r := rand.New(rand.NewPCG(seed, 2))
	d := newDigest()
	for range 400 {
		target := NewTarget(Version{1, r.IntN(3)})
		usual := []TargetEvent{TargetStarted{}, StateReceived{}, StateApplied{}, ServeRequested{}, ConnectionReceived{1}, OwnershipCommitted{}, SourceExited{}}
		for range 25 {
			var event TargetEvent
			if r.IntN(2) == 0 && len(usual) > 0 {
				event, usual = usual[0], usual[1:]
			} else {
				event = anyTargetEvent(r)
			}
			for _, e := range target.Step(event) {
				d.addTargetEffect(e)
			}
			d.add("state", target.Owner(), target.Serving())
		}
	}
	return d.text()
}

func anyTargetEvent(r *rand.Rand) TargetEvent {
	switch r.IntN(30) {
	case 0:
		return TargetStarted{}
	case 1:
		return TargetStarted{"no port"}
	case 2, 3:
		return StateReceived{}
	case 4, 5:
		return StateApplied{}
	case 6:
		return ServeRequested{}
	case 7:
		return OwnershipCommitted{}
	case 8:
		return SourceExited{}
	}
	return ConnectionReceived{ConnID(r.IntN(100))}
}

// addTargetEffect adds an effect of the target. The stored digests depend on its fixed strings.
func (d digest) addTargetEffect(e TargetEffect) {
	switch e := e.(type) {
	case SendHello:
		d.add("send hello", e.Version.Major, e.Version.Minor, e.Problem)
	case SendReady:
		d.add("send ready")
	case ApplyState:
		d.add("take the state")
	case AdoptConnection:
		d.add("adopt", uint32(e.Conn))
	case StopRecording:
		d.add("stop recording")
	case StartAccepting:
		d.add("start accepting")
	case Exit:
		d.add("exit")
	default:
		d.add("unknown")
	}
}

// replayRecover recovers pseudorandom requests, many at the boundary of their deadline or key window,
// compares versions, and returns the digest.
func replayRecover() string {
	r := rand.New(rand.NewPCG(7, 3))
	d := newDigest()
	for range 20000 {
		request := anyRequest(r)
		now := randomDuration(r, 9000)
		switch r.IntN(4) {
		case 0:
			now = request.Deadline + time.Duration(r.IntN(3)-1)
		case 1:
			now = firstSentAt(request) + keyWindow(request) - 50*time.Millisecond + time.Duration(r.IntN(3)-1)
		}
		d.add(int(Recover(request, r.IntN(3), now)))
	}
	for major := range 3 {
		for minor := range 5 {
			d.add(Version{1, 2}.CompatibleWith(Version{major, minor}))
		}
	}
	return d.text()
}
