package mux

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"gannetspur/internal/site/frame"
	"gannetspur/internal/site/message"
)

// replayFile holds the expected digest for each seed of TestReplay, as written by version c18a9bd.
const replayFile = "testdata/replay.txt"

var writeReplay = flag.Bool("write-replay", false, "write "+replayFile)

// replayEnd is one side of a link. It adds all calls, input and output to a digest, whose texts must not
// change.
type replayEnd struct {
	name   string
	random *rand.Rand
	digest hash.Hash
	link   *Link
	open   []uint32 // streams with a complete request of the other side and no response yet
	sent   []uint32 // streams that this side has opened
	wire   []byte   // bytes in transit to this side
	closed bool     // an error has ended the link
}

// log adds a line to the digest.
func (e *replayEnd) log(format string, args ...any) {
	_, _ = fmt.Fprintf(e.digest, e.name+" "+format+"\n", args...)
}

func (e *replayEnd) HandleHello(g message.Hello) error {
	e.log("greeted %s %s", g.Site, g.Gateway)
	return nil
}

func (e *replayEnd) HandleRequest(stream uint32, a message.Request, statement []byte) {
	e.log("asked %d %s %d %x", stream, a.ID, a.Size, sha256.Sum256(statement))
	e.open = append(e.open, stream)
	if e.random.IntN(3) == 0 { // a handler may call the link
		e.respond(e.random.IntN(len(e.open)))
	}
}

func (e *replayEnd) HandleResponse(stream uint32, a message.Response, body []byte) {
	e.log("answered %d %d %d %x", stream, a.Verdict, a.Size, sha256.Sum256(body))
}

func (e *replayEnd) HandleCancel(stream uint32)            { e.log("cancelled %d", stream) }
func (e *replayEnd) HandleLoadReport(d message.LoadReport) { e.log("digest %g", d.WorkSeconds) }
func (e *replayEnd) HandleSentKeys(k message.SentKeys)     { e.log("keys %d", len(k.Keys)) }
func (e *replayEnd) HandlePong(number uint32)              { e.log("ponged %d", number) }
func (e *replayEnd) HandleGoAway()                         { e.log("leaves") }
func (e *replayEnd) OutputReady()                          { e.log("ready") }

// body returns a random body.
func (e *replayEnd) body() []byte {
	size := e.random.IntN([]int{10, 1000, 200_000}[e.random.IntN(3)])
	return bytes.Repeat([]byte{byte(e.random.IntN(256))}, size)
}

// respond responds to the request at index i of open.
func (e *replayEnd) respond(i int) {
	stream := e.open[i]
	e.open = append(e.open[:i], e.open[i+1:]...)
	a := message.Response{Verdict: uint8(e.random.IntN(2)), MayHaveRun: true}
	e.check("answer", e.link.Respond(stream, a, e.body()))
}

// check logs the kind of an error; its text may change between versions.
func (e *replayEnd) check(what string, err error) {
	kind := "none"
	for name, sentinel := range map[string]error{
		"order": ErrOrder, "credit": ErrCredit, "version": ErrVersion, "bounds": message.ErrBounds,
		"kind": frame.ErrKind, "length": frame.ErrLength, "form": frame.ErrForm,
	} {
		if errors.Is(err, sentinel) {
			kind = name
		}
	}
	if err != nil && kind == "none" {
		kind = "other"
	}
	e.log("%s: error %s", what, kind)
	e.closed = e.closed || err != nil
}

// step performs one random action at a side and delivers some of the bytes in transit to it.
func (e *replayEnd) step(other *replayEnd) {
	random := e.random
	switch random.IntN(16) {
	case 0, 1, 2:
		body := append(e.body(), 'x')
		stream, ok, err := e.link.Request(message.Request{ID: "i", Class: "c", RemainingUS: 1, MaxSends: 1}, body)
		e.log("ask %d %t", stream, ok)
		e.check("ask", err)
		if ok {
			e.sent = append(e.sent, stream)
		}
	case 3, 4:
		if len(e.open) > 0 {
			e.respond(random.IntN(len(e.open)))
		}
	case 5:
		if len(e.sent) > 0 {
			e.link.Cancel(e.sent[random.IntN(len(e.sent))])
		}
	case 6:
		e.link.Ping(random.Uint32())
	case 7:
		e.check("digest", e.link.SendLoadReport(random.Uint32(), message.LoadReport{WorkSeconds: float64(random.IntN(9))}))
		e.check("keys", e.link.SendKeys(message.SentKeys{Keys: make([]message.SentKey, random.IntN(2))}))
	case 8:
		e.check("stale", e.link.RejectStale())
		if random.IntN(20) == 0 {
			e.link.GoAway()
		}
	default:
		out := e.link.Pull(nil, random.IntN(100_000))
		e.log("pull %d %x", len(out), sha256.Sum256(out))
		other.wire = append(other.wire, out...)
	}
	n := random.IntN(len(e.wire) + 1)
	consumed, err := e.link.Input(e.wire[:n])
	e.log("input %d of %d", consumed, n)
	e.check("input", err)
	e.wire = e.wire[consumed:]
	e.log("%d open, %d held, %t waiting, %t left, %d late", e.link.OpenStreams(), e.link.HeldBytes(), e.link.HasOutput(), e.link.PeerGoingAway(), e.link.LateFrames)
}

// replayHostile appends a random frame, which may be invalid at this point.
func replayHostile(random *rand.Rand, b []byte) []byte {
	f := frame.Frame{Kind: frame.Kind(1 + random.IntN(11)), Stream: uint32(random.IntN(12)), Value: uint32(random.IntN(3))}
	messages := []message.Message{
		&message.Hello{Site: "s", Gateway: "g", Format: "lines"}, &message.Request{ID: "i", Class: "c", RemainingUS: 1, MaxSends: 1, Size: 1 + random.IntN(3)},
		&message.Response{Verdict: 1, Size: random.IntN(3)}, &message.LoadReport{WorkSeconds: 1}, &message.SentKeys{},
	}
	if random.IntN(4) > 0 {
		f.Body, _ = message.Append(nil, messages[random.IntN(len(messages))])
	}
	return frame.Append(b, f)
}

// replayDigest runs the events of a seed and returns their digest.
func replayDigest(t *testing.T, seed uint64) string {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	digest := sha256.New()
	cfg := Config{Window: 1 << (6 + random.IntN(11)), MaxStreams: 1 + random.IntN(30), MaxHeldBytes: 1 << (10 + random.IntN(10))}
	if seed%5 == 0 {
		cfg = Config{}
	}
	ends := [2]*replayEnd{}
	for i := range ends {
		end := &replayEnd{name: strconv.Itoa(i), random: random, digest: digest}
		cfg.Dialled = i == 0
		cfg.Hello = message.Hello{Site: "s", Gateway: end.name, Format: "lines"}
		link, err := New(cfg, end)
		if err != nil {
			t.Fatal(err)
		}
		end.link = link
		ends[i] = end
	}
	for range 600 {
		side := random.IntN(2)
		ends[side].step(ends[1-side])
		if seed%3 == 0 && random.IntN(100) == 0 {
			ends[side].wire = replayHostile(random, ends[side].wire)
		}
		if ends[side].closed {
			break
		}
	}
	return hex.EncodeToString(digest.Sum(nil))
}

// Two ends under seeded random events produce the same calls and bytes as version c18a9bd.
func TestReplay(t *testing.T) {
	const seeds = 300
	var got bytes.Buffer
	for seed := range uint64(seeds) {
		fmt.Fprintf(&got, "%d %s\n", seed, replayDigest(t, seed))
	}
	if *writeReplay {
		if err := os.WriteFile(replayFile, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(replayFile)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := bytes.Split(got.Bytes(), []byte("\n")), bytes.Split(want, []byte("\n"))
	if len(gotLines) != len(wantLines) {
		t.Fatalf("number of seeds = %d, want %d", len(gotLines)-1, len(wantLines)-1)
	}
	for i := range wantLines {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			t.Errorf("digest = %s, want %s", gotLines[i], wantLines[i])
		}
	}
}
