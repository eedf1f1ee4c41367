package httpapi

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"hash"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gannetspur/internal/backend/lineproto"
	"gannetspur/internal/core"
	"gannetspur/internal/metrics"
	"gannetspur/internal/netio"
	"gannetspur/policy"
)

// replayFile holds a digest for each scenario of TestReplay: of the bytes that clients get, of the
// requests that the core gets and of the counters. Version c18a9bd wrote it.
const replayFile = "testdata/replay.txt"

var writeReplay = flag.Bool("write-replay", false, "write "+replayFile)

// scriptedCore gives the requests of a front answers that depend on their ids alone, some at once
// and some later, and records what it gets.
type scriptedCore struct {
	core *core.Core
	loop *netio.Loop
	seen hash.Hash
}

const (
	heldID  = "feedfeedfeedfeed" // never answered
	longest = 10 * time.Minute
)

func (s *scriptedCore) ForwardOnArrival(r *core.Request) bool {
	_, _ = fmt.Fprintf(s.seen, "%s %s %q %q %q %d %d %g %t %t\n", r.ID, r.Class, r.Statement, r.IdempotencyKey, r.SerialKey, r.DataSet,
		r.Work, r.MemoryMB, r.ClientRetry, r.Deadline-s.loop.Now() > 50*time.Second && r.Deadline-s.loop.Now() <= longest)
	s.core.Forwarded(r, s.loop.Now()+longest)
	if r.ID == heldID {
		return true
	}
	kind, _ := strconv.ParseUint(r.ID[:2], 16, 8)
	if kind%2 == 0 {
		s.core.CompleteForwarded(r, scriptedAnswer(r.ID))
	} else {
		s.loop.Timers.Add(s.loop.Now()+time.Millisecond, func() { s.core.CompleteForwarded(r, scriptedAnswer(r.ID)) })
	}
	return true
}

func (s *scriptedCore) ForwardRejected(*core.Request) bool                    { return false }
func (s *scriptedCore) Drop(*core.Request)                                    {}
func (s *scriptedCore) AttemptStarted(*core.Attempt)                          {}
func (s *scriptedCore) AttemptEnded(*core.Attempt, core.Outcome, core.Report) {}
func (s *scriptedCore) UpdateEngine(core.Engine)                              {}

func scriptedAnswer(id string) core.Answer {
	n, _ := strconv.ParseUint(id, 16, 64)
	random := rand.New(rand.NewPCG(n, 7))
	switch random.IntN(8) {
	case 0:
		return core.Answer{Verdict: core.Failed}
	case 1:
		return core.Answer{Verdict: core.Rejected}
	case 2:
		return core.Answer{Verdict: core.Rejected, RetryAfter: time.Duration(1+random.IntN(9000)) * time.Microsecond}
	case 3:
		return core.Answer{Verdict: core.Served}
	}
	const letters = "abcXYZ019 \t\t\n\"\\\x01\x1f\x7f\xc3\xa9/'"
	var rows lineproto.Rows
	maxRows := []int{3, 60, 4000}[random.IntN(3)]
	for range random.IntN(5) {
		page := make([]byte, 1+random.IntN(maxRows*12))
		for i := range page {
			page[i] = letters[random.IntN(len(letters))]
		}
		rows = append(rows, page)
	}
	return core.Answer{Verdict: core.Served, Result: rows}
}

// replayCall is a call that a front answers and goes on behind.
func replayCall(random *rand.Rand) string {
	method := "POST"
	body := "select * from t" + strconv.Itoa(random.IntN(50)) + " where a = 1"
	path := []string{"/rpc/lookup", "/rpc/lookup", "/rpc/lookup", "/rpc/site/lookup", "/rpc/write", "/rpc/load"}[random.IntN(6)]
	header := fmt.Sprintf("Req-Id: %016x\r\nReq-Wait-Ms: %d\r\n", random.Uint64(), 60000+random.IntN(500000))
	if random.IntN(3) == 0 {
		header += fmt.Sprintf("Req-Retry: %d\r\n", random.IntN(3))
	}
	if random.IntN(3) == 0 {
		header += fmt.Sprintf("Req-Cost: %g\r\nReq-Kb: %g\r\n", 0.1+random.Float64()*1000, 0.1+random.Float64()*99)
	}
	header += fmt.Sprintf("Req-Token: t-%d\r\nReq-Key: k_%d\r\n", random.IntN(9), random.IntN(9))
	switch random.IntN(10) {
	case 0:
		method, path, header, body = "GET", "/health", "", ""
	case 1, 2, 3:
		method, path, header, body = "GET", fmt.Sprintf("/more/t-%d/%d", 1+random.IntN(6), random.IntN(5)), "", ""
	case 4:
		method, path, header, body = "DELETE", fmt.Sprintf("/more/t-%d/%d", 1+random.IntN(6), random.IntN(3)), "", ""
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", method, path, header, len(body), body)
}

// replayRefused is what ends the connections of a scenario, in turn.
func replayRefused() []string {
	post := func(path, header, body string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", path, header, len(body), body)
	}
	const id, wait = "Req-Id: 0123456789abcDEF\r\n", "Req-Wait-Ms: 70000\r\n"
	return []string{
		"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n",
		"PUT /more/t-1/1 HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /rpc/lookup HTTP/1.1\r\nHost: x\r\n\r\n",
		post("/rpc/unknown", id+wait, "select 1"),
		post("/rpc/lookup", "Req-Id: 0123\r\n"+wait, "select 1"),
		post("/rpc/lookup", "Req-Id: 0123456789abcdeg\r\n"+wait, "select 1"),
		post("/rpc/lookup", id, "select 1"),
		post("/rpc/lookup", id+"Req-Wait-Ms: 0\r\n", "select 1"),
		post("/rpc/lookup", id+"Req-Wait-Ms: NaN\r\n", "select 1"),
		post("/rpc/lookup", id+"Req-Wait-Ms: 600001\r\n", "select 1"),
		post("/rpc/lookup", id+wait+"Req-Retry: x\r\n", "select 1"),
		post("/rpc/lookup", id+wait, "select \xff"),
		post("/rpc/lookup", id+wait, "select \x00"),
		post("/rpc/lookup", id+wait+"Req-Cost: -1\r\n", "select 1"),
		post("/rpc/lookup", id+wait+"Req-Cost: 86400001\r\n", "select 1"),
		post("/rpc/lookup", id+wait+"Req-Kb: 1e10\r\n", "select 1"),
		post("/rpc/lookup", id+wait+"Req-Kb: \r\n", "select 1"),
		post("/rpc/write", id+wait, "insert 1"),
		post("/rpc/write", id+wait+"Req-Token: "+strings.Repeat("a", 65)+"\r\n", "insert 1"),
		post("/rpc/load", id+wait+"Req-Key: a b\r\n", "insert 1"),
		post("/rpc/lookup", id+wait, "select 1") + "rest of the statement",
		"GET /health HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n",
		"NONSENSE\r\n\r\n",
		"GET /health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
		"GET /health HT", // not complete in time
		"",               // idle for longer than its first call may take
	}
}

// replayFront starts a front over a scripted core.
func replayFront(t *testing.T, opts Options, seen hash.Hash) (f *Frontend, do func(func())) {
	t.Helper()
	loop, err := netio.New(0)
	if err != nil {
		t.Fatal(err)
	}
	class := policy.Class{Name: "lookup", LatencyObjective: time.Second, Timeout: 6 * time.Second, PriorityWeight: 1, Threads: 1, Idempotency: policy.Idempotent}
	write, load := class, class
	write.Name, write.Idempotency, write.DedupWindow = "write", policy.IdempotentWithKey, time.Minute
	load.Name, load.Ordered = "load", true
	set := policy.Settings{Gateways: 1, CallInterval: 5 * time.Millisecond, Classes: []policy.Class{class, write, load},
		Kinds: []policy.Kind{{Name: "std", Cores: 8, MemoryMB: 1024}}, Limits: policy.Limits{MaxAttempts: 3}}
	c, err := core.New(set, 1, loop, loop.Timers, metrics.New(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	c.SetRemoteSites(&scriptedCore{core: c, loop: loop, seen: seen})
	f = New(loop, c, opts, metrics.New())
	f.results.instanceID = "t"
	if err := f.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() { loop.Run(); close(stopped) }()
	t.Cleanup(func() { loop.Post(loop.Stop); <-stopped })
	return f, func(what func()) {
		done := make(chan struct{})
		loop.Post(func() { what(); close(done) })
		<-done
	}
}

// replayConnection writes batches of calls, each once the one before it is answered, then what ends
// the connection, and gives all bytes that came.
func replayConnection(t *testing.T, addr string, random *rand.Rand, last string) []byte {
	t.Helper()
	c := replayDial(t, addr)
	var got bytes.Buffer
	in := bufio.NewReader(io.TeeReader(c, &got))
	batches := random.IntN(6)
	if last == "" { // past its first call a connection may be idle for longer
		batches = 0
	}
	for range batches {
		calls := make([]string, 1+random.IntN(3))
		for i := range calls {
			calls[i] = replayCall(random)
		}
		_, _ = io.WriteString(c, strings.Join(calls, "")) // it fails where the front has ended the connection
		for range calls {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	_, _ = io.WriteString(c, last)
	_, _ = io.Copy(io.Discard, in)
	return got.Bytes()
}

func replayDial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// replayOpenRequest is two connections with one id, the second of which is refused; the first is
// refused for what follows its call.
func replayOpenRequest(t *testing.T, f *Frontend, do func(func())) []byte {
	t.Helper()
	call := "POST /rpc/lookup HTTP/1.1\r\nReq-Id: " + heldID + "\r\nReq-Wait-Ms: 60000\r\nContent-Length: 8\r\n\r\nselect 1"
	first, second := replayDial(t, f.Addr()), replayDial(t, f.Addr())
	_, _ = io.WriteString(first, call)
	for open := 0; open == 0; {
		do(func() { open = len(f.openRequests) })
	}
	_, _ = io.WriteString(second, call)
	got, _ := io.ReadAll(second)
	_, _ = io.WriteString(first, "rest")
	rest, _ := io.ReadAll(first)
	do(func() {
		if len(f.openRequests) > 0 {
			t.Errorf("%d requests are open", len(f.openRequests))
		}
	})
	return append(got, rest...)
}

// Clients of seeded streams of calls get, byte for byte, what version c18a9bd gave them.
func TestReplay(t *testing.T) {
	const within = 300 * time.Millisecond
	scenarios := []struct {
		name  string
		opts  Options
		start func(f *Frontend)
	}{
		{"usual", Options{RequestTimeout: within}, func(*Frontend) {}},
		{"little is held", Options{RequestTimeout: within, MaxHeldBytes: 100_000}, func(*Frontend) {}},
		{"results in one answer", Options{RequestTimeout: within}, func(f *Frontend) { f.SetUnpaged(true) }},
		{"connections end behind an answer", Options{RequestTimeout: within}, (*Frontend).CloseAfterResponse},
		{"draining", Options{RequestTimeout: within}, (*Frontend).Drain},
	}
	want := map[string]string{}
	if !*writeReplay {
		for line := range strings.Lines(string(storedBytes(t, "replay.txt"))) {
			digest, name, _ := strings.Cut(strings.TrimSpace(line), " ")
			want[name] = digest
		}
	}
	var written strings.Builder
	for i, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			digest := sha256.New()
			f, do := replayFront(t, scenario.opts, digest)
			do(func() { scenario.start(f) })
			size := 0
			for n, last := range replayRefused() {
				got := replayConnection(t, f.Addr(), rand.New(rand.NewPCG(uint64(i), uint64(n))), last)
				do(func() { _, _ = fmt.Fprintf(digest, "%d %q\n", n, got) })
				size += len(got)
			}
			got := replayOpenRequest(t, f, do)
			do(func() {
				_, _ = fmt.Fprintf(digest, "open %q\n", got)
				counters := f.counters.All()
				for _, name := range slices.Sorted(maps.Keys(counters)) {
					_, _ = fmt.Fprintf(digest, "%s %d\n", name, counters[name])
				}
			})
			sum := hex.EncodeToString(digest.Sum(nil))
			t.Logf("%d bytes, %s", size, sum)
			fmt.Fprintf(&written, "%s %s\n", sum, scenario.name)
			if !*writeReplay && sum != want[scenario.name] {
				t.Errorf("digest = %s, want %s", sum, want[scenario.name])
			}
		})
	}
	if *writeReplay {
		if err := os.WriteFile(replayFile, []byte(written.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
