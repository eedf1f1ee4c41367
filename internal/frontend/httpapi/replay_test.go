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

// replayFile holds a digest for each scenario of TestReplay, written by version c18a9bd. The digest
// covers the bytes that clients receive, the requests that the core receives, and the counters.
const replayFile = "testdata/replay.txt"

var writeReplay = flag.Bool("write-replay", false, "write "+replayFile)

// scriptedSites takes the place of the remote sites. It accepts every request of the frontend, adds it
// to the digest, and answers it at once or after a timer. Both the answer and its time depend on the
// request ID alone.
type scriptedSites struct {
	core   *core.Core
	loop   *netio.Loop
	digest hash.Hash
}

const (
	unansweredID = "feedfeedfeedfeed" // ID of a request that scriptedSites never answers
	maxTimeLeft  = 10 * time.Minute   // of any request
)

// ForwardOnArrival records a request and answers it.
func (s *scriptedSites) ForwardOnArrival(r *core.Request) bool {
	_, _ = fmt.Fprintf(s.digest, "%s %s %q %q %q %d %d %g %t %t\n", r.ID, r.Class, r.Statement, r.IdempotencyKey, r.SerialKey, r.DataSet,
		r.Work, r.MemoryMB, r.ClientRetry, r.Deadline-s.loop.Now() > 50*time.Second && r.Deadline-s.loop.Now() <= maxTimeLeft)
	s.core.Forwarded(r, s.loop.Now()+maxTimeLeft)
	if r.ID == unansweredID {
		return true
	}
	firstByte, _ := strconv.ParseUint(r.ID[:2], 16, 8)
	if firstByte%2 == 0 {
		s.core.CompleteForwarded(r, scriptedAnswer(r.ID))
	} else {
		s.loop.Timers.Add(s.loop.Now()+time.Millisecond, func() { s.core.CompleteForwarded(r, scriptedAnswer(r.ID)) })
	}
	return true
}

func (s *scriptedSites) SharesDeduplication() bool                             { return true }
func (s *scriptedSites) ForwardRejected(*core.Request) bool                    { return false }
func (s *scriptedSites) Drop(*core.Request)                                    {}
func (s *scriptedSites) AttemptStarted(*core.Attempt)                          {}
func (s *scriptedSites) AttemptEnded(*core.Attempt, core.Outcome, core.Report) {}
func (s *scriptedSites) UpdateEngine(core.Engine)                              {}

// scriptedAnswer returns an answer that depends on the request ID alone.
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
	const characters = "abcXYZ019 \t\t\n\"\\\x01\x1f\x7f\xc3\xa9/'"
	var rows lineproto.Rows
	maxRows := []int{3, 60, 4000}[random.IntN(3)]
	for range random.IntN(5) {
		page := make([]byte, 1+random.IntN(maxRows*12))
		for i := range page {
			page[i] = characters[random.IntN(len(characters))]
		}
		rows = append(rows, page)
	}
	return core.Answer{Verdict: core.Served, Result: rows}
}

// randomRequest returns a request after which the frontend keeps the connection open.
func randomRequest(random *rand.Rand) string {
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

// finalInputs returns what each connection of a scenario sends last: an invalid, an incomplete or no
// request, or one that asks for the connection to be closed.
func finalInputs() []string {
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
		"GET /health HT", // not complete within the request timeout
		"",               // no first request within the request timeout
	}
}

// startReplayFrontend starts a frontend whose requests scriptedSites answers. runOnLoop runs a
// function on the frontend's loop and waits for its end.
func startReplayFrontend(t *testing.T, options Options, digest hash.Hash) (f *Frontend, runOnLoop func(func())) {
	t.Helper()
	loop, err := netio.New(0)
	if err != nil {
		t.Fatal(err)
	}
	class := policy.Class{Name: "lookup", LatencyObjective: time.Second, Timeout: 6 * time.Second, PriorityWeight: 1, Threads: 1, Idempotency: policy.Idempotent}
	write, load := class, class
	write.Name, write.Idempotency, write.DedupWindow = "write", policy.IdempotentWithKey, time.Minute
	load.Name, load.Ordered = "load", true
	settings := policy.Settings{Gateways: 1, CallInterval: 5 * time.Millisecond, Classes: []policy.Class{class, write, load},
		Kinds: []policy.Kind{{Name: "std", Cores: 8, MemoryMB: 1024}}, Limits: policy.Limits{MaxAttempts: 3}}
	c, err := core.New(settings, 1, loop, loop.Timers, metrics.New(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	c.SetRemoteSites(&scriptedSites{core: c, loop: loop, digest: digest})
	f = New(loop, c, options, metrics.New())
	f.results.instanceID = "t"
	if err := f.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	stopped := make(chan struct{})
	go func() { loop.Run(); close(stopped) }()
	t.Cleanup(func() { loop.Post(loop.Stop); <-stopped })
	return f, func(fn func()) {
		done := make(chan struct{})
		loop.Post(func() { fn(); close(done) })
		<-done
	}
}

// replayConnection sends batches of pipelined requests, each after the previous one was answered, and
// then finalInput. It returns all bytes that it received until the frontend closed the connection.
func replayConnection(t *testing.T, addr string, random *rand.Rand, finalInput string) []byte {
	t.Helper()
	c := dial(t, addr)
	var got bytes.Buffer
	in := bufio.NewReader(io.TeeReader(c, &got))
	batches := random.IntN(6)
	if finalInput == "" { // after its first request a connection may be idle for longer than the request timeout
		batches = 0
	}
	for range batches {
		requests := make([]string, 1+random.IntN(3))
		for i := range requests {
			requests[i] = randomRequest(random)
		}
		_, _ = io.WriteString(c, strings.Join(requests, "")) // fails if the frontend has closed the connection
		for range requests {
			response, err := http.ReadResponse(in, nil)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	_, _ = io.WriteString(c, finalInput)
	_, _ = io.Copy(io.Discard, in)
	return got.Bytes()
}

// dial opens a client connection that is closed at the end of the test.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// replayDuplicateID sends the same request ID on two connections. The frontend rejects the second
// because the ID is in use, and then the first for the invalid bytes that follow its request. It
// returns the bytes that the second connection received, then those of the first.
func replayDuplicateID(t *testing.T, f *Frontend, runOnLoop func(func())) []byte {
	t.Helper()
	request := "POST /rpc/lookup HTTP/1.1\r\nReq-Id: " + unansweredID + "\r\nReq-Wait-Ms: 60000\r\nContent-Length: 8\r\n\r\nselect 1"
	first, second := dial(t, f.Addr()), dial(t, f.Addr())
	_, _ = io.WriteString(first, request)
	for openCount := 0; openCount == 0; {
		runOnLoop(func() { openCount = len(f.openRequests) })
	}
	_, _ = io.WriteString(second, request)
	secondOutput, _ := io.ReadAll(second)
	_, _ = io.WriteString(first, "rest")
	firstOutput, _ := io.ReadAll(first)
	runOnLoop(func() {
		if len(f.openRequests) > 0 {
			t.Errorf("open requests = %d, want 0", len(f.openRequests))
		}
	})
	return append(secondOutput, firstOutput...)
}

// TestReplay sends random requests from fixed seeds and checks that clients receive, byte for byte, the
// responses that version c18a9bd sent.
func TestReplay(t *testing.T) {
	const timeout = 300 * time.Millisecond
	// The names are keys in replayFile.
	scenarios := []struct {
		name    string
		options Options
		start   func(f *Frontend)
	}{
		{"usual", Options{RequestTimeout: timeout}, func(*Frontend) {}},
		{"little is held", Options{RequestTimeout: timeout, MaxHeldBytes: 100_000}, func(*Frontend) {}},
		{"results in one answer", Options{RequestTimeout: timeout}, func(f *Frontend) { f.SetUnpaged(true) }},
		{"connections end behind an answer", Options{RequestTimeout: timeout}, (*Frontend).CloseAfterResponse},
		{"draining", Options{RequestTimeout: timeout}, (*Frontend).Drain},
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
			f, runOnLoop := startReplayFrontend(t, scenario.options, digest)
			runOnLoop(func() { scenario.start(f) })
			size := 0
			for n, finalInput := range finalInputs() {
				got := replayConnection(t, f.Addr(), rand.New(rand.NewPCG(uint64(i), uint64(n))), finalInput)
				runOnLoop(func() { _, _ = fmt.Fprintf(digest, "%d %q\n", n, got) })
				size += len(got)
			}
			got := replayDuplicateID(t, f, runOnLoop)
			runOnLoop(func() {
				_, _ = fmt.Fprintf(digest, "open %q\n", got)
				counters := f.counters.All()
				for _, name := range slices.Sorted(maps.Keys(counters)) {
					_, _ = fmt.Fprintf(digest, "%s %d\n", name, counters[name])
				}
			})
			sum := hex.EncodeToString(digest.Sum(nil))
			t.Logf("received %d bytes, digest %s", size, sum)
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
