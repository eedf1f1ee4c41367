package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gannetspur/internal/backend"
	"gannetspur/internal/core"
	"gannetspur/policy"

	"github.com/google/go-cmp/cmp"
)

// id is the request ID of calls that name no other.
const id = "9b1f03aa5c7e2d41"

// post is a call of the class with further header lines and a short statement.
func post(class, head string) string { return postText(class, head, "SELECT day FROM sales_17.orders") }

// postText is a call of the class with further header lines and the statement text.
func postText(class, head, text string) string {
	return fmt.Sprintf("POST /rpc/%s HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Wait-Ms: 2000\r\n%sContent-Length: %d\r\n\r\n%s",
		class, id, head, len(text), text)
}

// httpClient is an HTTP client with one persistent connection.
type httpClient struct {
	t *testing.T
	c net.Conn
	r *bufio.Reader
}

// httpConnect opens a connection to the HTTP front end.
func httpConnect(t *testing.T, addr string) *httpClient {
	t.Helper()
	c := dial(t, addr)
	return &httpClient{t, c, bufio.NewReader(c)}
}

// call writes text and returns the response as answer does.
func (k *httpClient) call(text string) (answer string, head http.Header) {
	k.t.Helper()
	if _, err := io.WriteString(k.c, text); err != nil {
		k.t.Fatal(err)
	}
	return k.answer()
}

// answer reads a response and returns its status code and body in one line, and its header.
func (k *httpClient) answer() (answer string, head http.Header) {
	k.t.Helper()
	resp, err := http.ReadResponse(k.r, nil)
	if err != nil {
		k.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		k.t.Fatal(err)
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, body), resp.Header
}

// done is an engine's answer to a "want" line, with a single page of rows.
func done(line, page string) string {
	return fmt.Sprintf("%s DONE batches=1,cpu=12.5,used=3,gauges=util:0.5;queue:0;x1:0;x0:0 %d\r\n%s\r\n", strings.Fields(line)[1], len(page), page)
}

// TestRowsAndRequestUnchanged guards against rows that are changed or reordered on their way to the client, and
// against a request that reaches the engine without its ID, class or idempotency key.
func TestRowsAndRequestUnchanged(t *testing.T) {
	addr, seen := lineEngine(t, func(line string) string {
		return id + " TELL res=p,num=0.5 0\r\n\r\n" + done(line, "a\t\"1\"\t\\x\nb\t2\té\n")
	})
	g := httpGateway(t, addr)
	k := httpConnect(t, g.addr)
	got, _ := k.call(post("load", "Req-Token: k-1\r\nReq-Kb: 96\r\nReq-Cost: 820.0\r\n"))
	assertEqual(t, "answer", got, `200 {"result":[["a","\"1\"","\\x"],["b","2","é"]]}`)
	line := await(t, seen)
	for _, part := range []string{"want " + id + " kind=load,ms=", ",token=k-1,", " 31 SELECT day FROM sales_17.orders"} {
		if !strings.Contains(line, part) {
			t.Errorf("engine: got %q, want %q in it", line, part)
		}
	}
	if n := g.count("notes"); n != 1 {
		t.Errorf("got %d notes, want 1", n)
	}
}

// TestEngineFailsBetweenPages guards against truncated results. An engine fails between page 0 and
// the rest: no row has reached the client yet, so another engine serves it. A result of several parts is fetched
// part by part, and a path without a result gets a plain 404.
func TestEngineFailsBetweenPages(t *testing.T) {
	page := strings.Repeat("x\ty\tz\n", 1000)
	var failed bool // whether an engine has closed its connection
	script := func(line string) string {
		w := strings.Fields(line)
		switch {
		case w[0] == "want":
			return fmt.Sprintf("%s DONE batches=16 %d\r\n%s\r\n", id, len(page), page)
		case w[0] == "turn" && !failed:
			failed = true
			return "hang up"
		case w[0] == "turn":
			return fmt.Sprintf("%s MORE batch=%s %d\r\n%s\r\n", id, w[2], len(page), page)
		}
		return ""
	}
	// One lock for both engines' scripts, because they share a variable.
	lock := make(chan struct{}, 1)
	locked := func(line string) string {
		lock <- struct{}{}
		defer func() { <-lock }()
		return script(line)
	}
	one, _ := lineEngine(t, locked)
	two, _ := lineEngine(t, locked)
	g := httpGateway(t, one, two)
	k := httpConnect(t, g.addr)
	got, _ := k.call(post("report", ""))
	if rows := k.fetch(got); rows != 16000 {
		t.Errorf("got %d rows, want 16000", rows)
	}
	if n := g.count("sent."); n != 2 {
		t.Errorf("got %d attempts sent, want 2", n)
	}
	got, _ = k.call(post("report", "")) // a result that the client deletes before it has fetched all
	_, path, _ := strings.Cut(got, `"more":"`)
	path, _, _ = strings.Cut(path, `"`)
	got, _ = httpConnect(t, g.addr).call("DELETE " + path + " HTTP/1.1\r\n\r\n")
	assertEqual(t, "deleted result", got, "200 {}")
	got, _ = k.call("GET " + path + " HTTP/1.1\r\n\r\n")
	assertEqual(t, "path of a deleted result", got[:3], "404")
	got, _ = k.call("GET /more/other-1/1 HTTP/1.1\r\n\r\n")
	assertEqual(t, "path from before a restart", got, `404 {"fault":"nothing is held under this path"}`)
	// A graceful shutdown lets a client fetch the rest of a result, then closes its connection.
	got, _ = k.call(post("report", ""))
	g.do(g.httpFront.Drain)
	if rows := k.fetch(got); rows != 16000 {
		t.Errorf("after the shutdown began: got %d rows, want 16000", rows)
	}
	if _, err := k.r.ReadByte(); err != io.EOF {
		t.Errorf("connection after the last part: got %v, want %v", err, io.EOF)
	}
}

// fetch follows the paths to an answer's further parts and returns the number of rows in all of them.
func (k *httpClient) fetch(answer string) (rows int) {
	k.t.Helper()
	for range 9 {
		rows += strings.Count(answer, `["x","y","z"]`)
		_, path, more := strings.Cut(answer, `"more":"`)
		if !more {
			return rows
		}
		path, _, _ = strings.Cut(path, `"`)
		answer, _ = k.call("GET " + path + " HTTP/1.1\r\n\r\n")
	}
	k.t.Fatalf("got a further part after 9, want the last: %.80q", answer)
	return 0
}

// TestRefusedConnection guards against giving up a load after a refused connection, which proves that nothing
// ran: even a load goes to another engine. Without any engine left it is refused at once, with the time after
// which to retry.
func TestRefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := ln.Addr().String()
	_ = ln.Close()
	g := httpGateway(t, dead)
	k := httpConnect(t, g.addr)
	got, head := k.call(post("load", "Req-Token: k\r\n"))
	assertEqual(t, "answer", got, `503 {"fault":"Busy"}`)
	if head.Get("Srv-Wait-Ms") == "" {
		t.Error("refusal: got no Srv-Wait-Ms, want one")
	}
	if n := g.count("ended.refused"); n == 0 {
		t.Errorf("got %d attempts that ended as refused, want at least 1", n)
	}
	addr, _ := lineEngine(t, func(line string) string { return done(line, "") })
	g.updateEngines(policy.EngineLive, addr)
	got, _ = k.call(post("load", "Req-Token: k\r\n"))
	assertEqual(t, "answer", got, `200 {"result":[]}`)
}

// TestClientLeavesAndTheAnswerComesLate guards against a late answer that is taken for another request's: a
// client's disconnection cancels its attempt, and the answer that comes later on that connection must not end
// the next request of the same ID.
func TestClientLeavesAndTheAnswerComesLate(t *testing.T) {
	var first string // the first "want" line; empty until it has come
	addr, seen := lineEngine(t, func(line string) string {
		if strings.HasPrefix(line, "never_mind") {
			return done(first, "late\t\t\n")
		}
		if first != "" {
			return done(line, "fresh\t\t\n")
		}
		first = line
		return ""
	})
	g := httpGateway(t, addr)
	k := httpConnect(t, g.addr)
	_, _ = io.WriteString(k.c, post("lookup", ""))
	await(t, seen)
	_ = k.c.Close()
	assertEqual(t, "engine received", await(t, seen), "never_mind "+id)
	got, _ := httpConnect(t, g.addr).call(post("lookup", ""))
	assertEqual(t, "the next request of that id", got, `200 {"result":[["fresh","",""]]}`)
	if n := g.count("links.dialed"); n != 2 {
		t.Errorf("got %d connections, want 2: the ID of a cancelled attempt is not used again on its connection", n)
	}
}

// TestUnparsableEngineAnswers guards against unparsable answers of an engine that reach the client or leave it
// without an answer: they close the engine's connection, and the client still gets exactly one answer.
func TestUnparsableEngineAnswers(t *testing.T) {
	for _, text := range []string{
		"nonsense\r\n", id + " DONE - 99999999\r\n", id + " DONE - 2\r\nabcd", id + " HUH - 0\r\n\r\n",
		id + " DONE batches=1 3\r\nabc\r\n", id + " DONE batches=x 0\r\n\r\n", strings.Repeat("x", 3000),
		id + " DONE batches=1 4\r\na\tb\n\r\n", // too few columns
		id + " DONE batches=1 6\r\na\tb\t\xff\n\r\n", id + " DONE - 0\r\n\r\n", id + " DONE batches=65 0\r\n\r\n", id + " DONE batches=1 3000000000\r\n",
	} {
		addr, _ := lineEngine(t, func(string) string { return text })
		g := httpGateway(t, addr)
		got, _ := httpConnect(t, g.addr).call(post("lookup", ""))
		if !strings.HasPrefix(got, "503") && !strings.HasPrefix(got, "500") {
			t.Errorf("%.20q: got %s, want status 503 or 500", text, got)
		}
		if n := g.count("ended.garbage"); n == 0 {
			t.Errorf("%.20q: got %d attempts that ended as garbage, want at least 1", text, n)
		}
	}
}

// TestBadInput guards against invalid calls that reach an engine: each gets its status and a plain message.
func TestBadInput(t *testing.T) {
	addr, _ := lineEngine(t, func(line string) string { return done(line, "") })
	g := httpGateway(t, addr)
	for name, tt := range map[string]struct{ text, want string }{
		"not HTTP":                  {"hello\r\n\r\n", "400"},
		"unknown class":             {post("nope", ""), "404"},
		"unknown path":              {"GET /x HTTP/1.1\r\n\r\n", "404"},
		"wrong method":              {"GET /rpc/lookup HTTP/1.1\r\n\r\n", "405"},
		"bad id":                    {strings.Replace(post("lookup", ""), id, "xyz", 1), "400"},
		"bad wait":                  {strings.Replace(post("lookup", ""), "2000", "NaN", 1), "400"},
		"bad cost":                  {post("lookup", "Req-Cost: -1\r\n"), "400"},
		"load, no key":              {post("load", ""), "400"},
		"key with comma":            {post("load", "Req-Token: a,b\r\n"), "400"},
		"repeated field":            {post("lookup", "Req-Id: "+id+"\r\n"), "400"},
		"large body":                {"POST /rpc/lookup HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n", "413"},
		"large head":                {"GET /" + strings.Repeat("x", 20000), "431"},
		"chunked body":              {"POST /rpc/lookup HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "501"},
		"unknown version":           {"GET /health HTTP/2.0\r\n\r\n", "505"},
		"delete unknown":            {"DELETE /more/x/1 HTTP/1.1\r\n\r\n", "404"},
		"health call is valid":      {"GET /health HTTP/1.1\r\n\r\n", "200"},
		"incomplete path of a part": {"GET /more/ HTTP/1.1\r\n\r\n", "404"},
	} {
		got, _ := httpConnect(t, g.addr).call(tt.text)
		assertEqual(t, name, got[:3], tt.want)
	}
	if n := g.count("taken."); n != 0 {
		t.Errorf("got %d accepted requests, want 0", n)
	}
}

// TestResultsOfOutcomes guards against an attempt's outcome that the decisions misread: each has one result, and only
// outcomes that prove that nothing ran may say so.
func TestResultsOfOutcomes(t *testing.T) {
	got := map[string]policy.Result{}
	for e := core.OutcomeUnknown; e <= core.OutcomeIdleClosed; e++ {
		got[e.String()] = e.PolicyResult()
	}
	want := map[string]policy.Result{
		"unknown": policy.ResultUnknown, "served": policy.ResultSuccess, "rejected": policy.ResultNotSent, "too-large": policy.ResultSuccess, "error": policy.ResultError,
		"full": policy.ResultRejected, "past": policy.ResultNotSent, "pages-lost": policy.ResultError, "timeout": policy.ResultTimeout,
		"refused": policy.ResultConnectFailed, "connect-timeout": policy.ResultConnectTimeout, "no-descriptor": policy.ResultNotSent,
		"no-engine": policy.ResultConnectFailed, "reset": policy.ResultConnectionLost, "garbage": policy.ResultUnknown,
		"cancelled": policy.ResultCancelled, "not-sent": policy.ResultNotSent, "crowded": policy.ResultRejected, "idle": policy.ResultUnknown,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("results by outcome (-want +got):\n%s", diff)
	}
}

// TestAddressIsUsedAgain guards against taking a new engine at a former engine's address for the same one: the
// connections to the former engine take no more requests.
func TestAddressIsUsedAgain(t *testing.T) {
	var retired []string
	engines := backend.NewEngineSet[*fakeLink]()
	entry := func(id string, state policy.EngineState, started time.Duration) {
		engines.Update(core.Engine{Addr: "127.0.0.1:1", Engine: policy.Engine{ID: id, State: state, Started: started}})
	}
	entry("old", policy.EngineLive, 0)
	engines.Get("old").Connections = append(engines.Get("old").Connections, &fakeLink{"old", &retired})
	entry("new", policy.EngineLive, 0)
	if engines.Get("new") == engines.Get("old") || len(engines.Get("new").Connections) != 0 {
		t.Errorf("new engine: got the old one's set entry or %d connections, want its own without any", len(engines.Get("new").Connections))
	}
	entry("old", policy.EngineDraining, 0)
	entry("old", policy.EngineDeparted, 0)
	if engines.Get("old") != nil {
		t.Error("departed engine: got an entry, want none")
	}
	engines.Get("new").Connections = append(engines.Get("new").Connections, &fakeLink{"new", &retired})
	entry("new", policy.EngineLive, time.Second)
	assertEqual(t, "retired", strings.Join(retired, " "), "old new")
}

// fakeLink is a connection that records when it is retired.
type fakeLink struct {
	name    string
	retired *[]string
}

// Retire records the connection's name.
func (l *fakeLink) Retire() { *l.retired = append(*l.retired, l.name) }

// TestBadClients guards against clients that hold a connection or smuggle a request: those that send nothing,
// stop in the middle, give a wrong length or send what no request may contain are disconnected or answered in
// time, and nothing of it reaches an engine. After an invalid call the connection closes, so that nothing after
// it is answered.
func TestBadClients(t *testing.T) {
	addr, seen := lineEngine(t, func(string) string { return "" })
	g := newGateway(t, nil)
	g.httpOptions.RequestTimeout = 100 * time.Millisecond
	g.startHTTP(addr)
	open := httpConnect(t, g.addr) // its request stays open
	_, _ = io.WriteString(open.c, post("lookup", ""))
	await(t, seen)
	valid := strings.Replace(post("lookup", ""), id, "0000000000000001", 1)
	cases := map[string]struct{ text, want string }{
		"sends nothing":                 {"", ""},
		"half a head":                   {"POST /rpc/lookup HTTP/1.1\r\nReq-", "408"},
		"half a body":                   {valid[:len(valid)-5], "408"},
		"length too small":              {valid + "and more", "400"},
		"no statement":                  {"POST /rpc/lookup HTTP/1.1\r\nReq-Id: 0000000000000001\r\n\r\n", "411"},
		"statement is not UTF-8":        {strings.Replace(valid, "day", "d\xffy", 1), "400"},
		"id of an open request":         {strings.Replace(post("lookup", ""), "day", "sum", 1), "409"},
		"wait out of range":             {strings.Replace(valid, "2000", "99999999999999999999999", 1), "400"},
		"cost out of range":             {strings.Replace(valid, "Host", "Req-Cost: 1e9\r\nHost", 1), "400"},
		"memory estimate of zero":       {strings.Replace(valid, "Host", "Req-Kb: 0\r\nHost", 1), "400"},
		"empty memory estimate":         {strings.Replace(valid, "Host", "Req-Kb: \r\nHost", 1), "400"},
		"invalid retry number":          {strings.Replace(valid, "Host", "Req-Retry: x\r\nHost", 1), "400"},
		"length and transfer encoding":  {strings.Replace(valid, "Host", "Transfer-Encoding:\r\nHost", 1), "501"},
		"header field after a bare LF":  {strings.Replace(valid, "backend", "b\nTransfer-Encoding: chunked", 1), "400"},
		"300 calls of an unknown class": {strings.Repeat(strings.Replace(valid, "lookup", "nope", 1), 300), "404"},
	}
	clients := map[string]*httpClient{}
	for name, tt := range cases {
		clients[name] = httpConnect(t, g.addr)
		if _, err := io.WriteString(clients[name].c, tt.text); err != nil {
			t.Fatal(err)
		}
	}
	for name, tt := range cases {
		answers, _ := io.ReadAll(clients[name].r) // up to the close
		got := ""
		if len(answers) > 12 {
			got = string(answers[9:12])
		}
		assertEqual(t, name, got, tt.want)
		if n := strings.Count(string(answers), "HTTP/1.1 "); n > 1 {
			t.Errorf("%s: got %d answers, want at most 1", name, n)
		}
	}
	if n := g.count("sent."); n != 1 {
		t.Errorf("got %d attempts sent, want 1: the open request's", n)
	}
	_, _ = io.WriteString(open.c, "no call")
	answers, _ := io.ReadAll(open.r)
	assertEqual(t, "invalid call after an open request", string(answers[:12]), "HTTP/1.1 400")
	assertEqual(t, "engine received", await(t, seen), "never_mind "+id)
}

// TestClientLimitClosesIdleFirst guards against idle clients that keep others out. Above the limit, clients that
// never made a valid call are disconnected first, then the one that was idle longest. Open requests stay, and so
// do idle connections below the limit.
func TestClientLimitClosesIdleFirst(t *testing.T) {
	addr, seen := lineEngine(t, func(string) string { return "" })
	g := newGateway(t, nil)
	g.httpOptions.MaxClients, g.httpOptions.RequestTimeout = 4, time.Minute
	g.startHTTP(addr)
	const health = "GET /health HTTP/1.1\r\n\r\n"
	open := httpConnect(t, g.addr)
	_, _ = io.WriteString(open.c, post("lookup", ""))
	await(t, seen)
	var stay []*httpClient
	for range 2 {
		k := httpConnect(t, g.addr)
		k.call(health)
		stay = append(stay, k)
	}
	silent := httpConnect(t, g.addr)
	expectEOF := func(k *httpClient) {
		t.Helper()
		if _, err := k.r.ReadByte(); err != io.EOF {
			t.Errorf("connection: got %v, want %v", err, io.EOF)
		}
	}
	next := httpConnect(t, g.addr)
	next.call(health)
	expectEOF(silent)
	httpConnect(t, g.addr).call(health)
	expectEOF(stay[0])
	for _, k := range []*httpClient{stay[1], next} {
		got, _ := k.call(health)
		assertEqual(t, "client that was idle for less time", got, "200 {}")
	}
	if n := g.count("gone."); n != 0 {
		t.Errorf("got %d open requests that were cut off, want 0", n)
	}
}

// TestClientLimitKeepsSlowWriters guards against disconnecting a client that writes its call in pieces in favor
// of silent ones: those go first, although they came later. This test does not cover the rule that a client that
// stopped in the middle of a call long ago goes before one that was served.
func TestClientLimitKeepsSlowWriters(t *testing.T) {
	g := newGateway(t, nil)
	g.httpOptions.MaxClients, g.httpOptions.RequestTimeout = 2, time.Minute
	g.startHTTP()
	slow := httpConnect(t, g.addr)
	_, _ = io.WriteString(slow.c, "GET /hea")
	for g.count("rest.connections") == 0 || !partialCallBuffered(g) {
	}
	var crowd []*httpClient
	for range 10 {
		crowd = append(crowd, httpConnect(t, g.addr))
	}
	for _, k := range crowd[:9] {
		if _, err := k.r.ReadByte(); err != io.EOF {
			t.Errorf("silent connection: got %v, want %v", err, io.EOF)
		}
	}
	got, _ := slow.call("lth HTTP/1.1\r\n\r\n")
	assertEqual(t, "slow writer", got, "200 {}")
}

// partialCallBuffered reports whether any connection has unprocessed bytes in its buffer.
func partialCallBuffered(g *gateway) (yes bool) {
	g.do(func() {
		for c := range g.loop.Conns() {
			yes = yes || c.Unread() > 0
		}
	})
	return yes
}

// TestDoubledAnswers guards against losing a connection to surplus answers: a second copy, or one under an
// unknown ID, must not disturb the connection or other requests on it.
func TestDoubledAnswers(t *testing.T) {
	addr, _ := lineEngine(t, func(line string) string {
		w := strings.Fields(line)
		switch w[0] {
		case "want":
			page := w[1] + " DONE batches=2 4\r\na\t\t\n\r\n"
			return "0000000000000000 DONE - 2\r\nxx\r\n" + page + page
		case "turn":
			page := w[1] + " MORE batch=1 4\r\nb\t\t\n\r\n"
			return page + page
		}
		return ""
	})
	g := httpGateway(t, addr)
	k := httpConnect(t, g.addr)
	for n := range 3 {
		got, _ := k.call(strings.Replace(post("lookup", ""), id, fmt.Sprintf("%016x", n+1), 1))
		assertEqual(t, "answer", got, `200 {"result":[["a","",""],["b","",""]]}`)
	}
	if n := g.count("links.dialed"); n != 1 {
		t.Errorf("got %d connections, want 1", n)
	}
}

// TestAnswerStopsInTheMiddle guards against requests that hang behind an incomplete answer whose connection
// stays open: the connection is soon closed with all attempts on it, and both requests are served on another.
func TestAnswerStopsInTheMiddle(t *testing.T) {
	stopped := false
	addr, seen := lineEngine(t, func(line string) string {
		w := strings.Fields(line)
		switch {
		case w[0] != "want" || strings.HasSuffix(w[1], "1") && !stopped:
			return ""
		case !stopped:
			stopped = true
			return w[1] + " DONE batches=1 400\r\na\tb"
		}
		return w[1] + " DONE batches=1 0\r\n\r\n"
	})
	g := httpGateway(t, addr)
	one, two := httpConnect(t, g.addr), httpConnect(t, g.addr)
	_, _ = io.WriteString(one.c, post("lookup", "")) // its id ends in 1
	await(t, seen)
	got, _ := two.call(strings.Replace(post("lookup", ""), id, "0000000000000002", 1))
	assertEqual(t, "the request whose answer stopped", got, `200 {"result":[]}`)
	got, _ = one.call("")
	assertEqual(t, "the other request on that connection", got, `200 {"result":[]}`)
	if n := g.count("ended.garbage"); n != 2 {
		t.Errorf("got %d attempts that ended as garbage, want 2", n)
	}
}

// TestWholeListEndsConnections guards against connections that stay open to an engine which a full endpoint list
// no longer names: nothing more is sent there, so nothing else would close them.
func TestWholeListEndsConnections(t *testing.T) {
	one, _ := lineEngine(t, func(line string) string { return done(line, "") })
	two, _ := lineEngine(t, func(line string) string { return done(line, "") })
	g := httpGateway(t, one)
	k := httpConnect(t, g.addr)
	k.call(post("lookup", ""))
	g.do(func() {
		g.core.UpdateEndpoints(policy.ListFull, []core.Engine{{Addr: two, Engine: policy.Engine{ID: "two", Zone: "hall-a", Kind: "std-8", State: policy.EngineLive}}})
	})
	for g.count("links.ended.idle") == 0 {
		runtime.Gosched()
	}
	got, _ := k.call(post("lookup", ""))
	assertEqual(t, "answer", got, `200 {"result":[]}`)
}
