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

const id = "9b1f03aa5c7e2d41"

// post words a call of the class with a statement.
func post(class, head string) string { return postText(class, head, "SELECT day FROM sales_17.orders") }

func postText(class, head, text string) string {
	return fmt.Sprintf("POST /rpc/%s HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Wait-Ms: 2000\r\n%sContent-Length: %d\r\n\r\n%s",
		class, id, head, len(text), text)
}

// httpClient keeps one connection.
type httpClient struct {
	t *testing.T
	c net.Conn
	r *bufio.Reader
}

func httpConnect(t *testing.T, addr string) *httpClient {
	t.Helper()
	c := dial(t, addr)
	return &httpClient{t, c, bufio.NewReader(c)}
}

// call writes text and words the response.
func (k *httpClient) call(text string) (answer string, head http.Header) {
	k.t.Helper()
	if _, err := io.WriteString(k.c, text); err != nil {
		k.t.Fatal(err)
	}
	return k.answer()
}

// answer reads and words the response.
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

// done answers a want with one page.
func done(line, page string) string {
	return fmt.Sprintf("%s DONE batches=1,cpu=12.5,used=3,gauges=util:0.5;queue:0;x1:0;x0:0 %d\r\n%s\r\n", strings.Fields(line)[1], len(page), page)
}

// Rows arrive unchanged and in order; a request passes on with its id, class and key.
func TestServed(t *testing.T) {
	addr, seen := lineEngine(t, func(line string) string {
		return id + " TELL res=p,num=0.5 0\r\n\r\n" + done(line, "a\t\"1\"\t\\x\nb\t2\té\n")
	})
	g := platform(t, addr)
	k := httpConnect(t, g.addr)
	got, _ := k.call(post("load", "Req-Token: k-1\r\nReq-Kb: 96\r\nReq-Cost: 820.0\r\n"))
	same(t, "answer", got, `200 {"result":[["a","\"1\"","\\x"],["b","2","é"]]}`)
	line := await(t, seen)
	for _, part := range []string{"want " + id + " kind=load,ms=", ",token=k-1,", " 31 SELECT day FROM sales_17.orders"} {
		if !strings.Contains(line, part) {
			t.Errorf("engine was asked %q, without %q", line, part)
		}
	}
	if n := g.count("notes"); n != 1 {
		t.Errorf("%d notes, want 1", n)
	}
}

// An engine dies between page 0 and the rest: no row has gone out, so another
// engine serves the client. A result of several answers is fetched part by part,
// and a path of no result gets a plain 404.
func TestPagesAreCollectedBeforeARowIsPassedOn(t *testing.T) {
	page := strings.Repeat("x\ty\tz\n", 1000)
	var died bool
	script := func(line string) string {
		w := strings.Fields(line)
		switch {
		case w[0] == "want":
			return fmt.Sprintf("%s DONE batches=16 %d\r\n%s\r\n", id, len(page), page)
		case w[0] == "turn" && !died:
			died = true
			return "hang up"
		case w[0] == "turn":
			return fmt.Sprintf("%s MORE batch=%s %d\r\n%s\r\n", id, w[2], len(page), page)
		}
		return ""
	}
	// One lock for both scripts: they share a variable.
	gate := make(chan struct{}, 1)
	locked := func(line string) string {
		gate <- struct{}{}
		defer func() { <-gate }()
		return script(line)
	}
	one, _ := lineEngine(t, locked)
	two, _ := lineEngine(t, locked)
	g := platform(t, one, two)
	k := httpConnect(t, g.addr)
	got, _ := k.call(post("report", ""))
	if rows := k.fetch(got); rows != 16000 {
		t.Errorf("%d rows, want 16000", rows)
	}
	if n := g.count("sent."); n != 2 {
		t.Errorf("%d sent, want 2", n)
	}
	got, _ = k.call(post("report", "")) // one that the client gives up
	_, path, _ := strings.Cut(got, `"more":"`)
	path, _, _ = strings.Cut(path, `"`)
	got, _ = httpConnect(t, g.addr).call("DELETE " + path + " HTTP/1.1\r\n\r\n")
	same(t, "given up", got, "200 {}")
	got, _ = k.call("GET " + path + " HTTP/1.1\r\n\r\n")
	same(t, "path that was given up", got[:3], "404")
	got, _ = k.call("GET /more/other-1/1 HTTP/1.1\r\n\r\n")
	same(t, "path from before a restart", got, `404 {"fault":"nothing is held under this path"}`)
	// A planned stop lets a client fetch what it has begun to, then ends its connection.
	got, _ = k.call(post("report", ""))
	g.do(g.rest.Drain)
	if rows := k.fetch(got); rows != 16000 {
		t.Errorf("%d rows after the stop began, want 16000", rows)
	}
	if _, err := k.r.ReadByte(); err != io.EOF {
		t.Errorf("the connection goes on: %v", err)
	}
}

// fetch follows an answer's parts and counts its rows.
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
	k.t.Fatal("more without end")
	return 0
}

// A refused connection proves that nothing ran, so even a load goes elsewhere; with
// no engine left it is refused at once, with word when to come back.
func TestRefusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead := ln.Addr().String()
	_ = ln.Close()
	g := platform(t, dead)
	k := httpConnect(t, g.addr)
	got, head := k.call(post("load", "Req-Token: k\r\n"))
	same(t, "answer", got, `503 {"fault":"Busy"}`)
	if head.Get("Srv-Wait-Ms") == "" {
		t.Error("a refusal without Srv-Wait-Ms")
	}
	if n := g.count("ended.refused"); n == 0 {
		t.Error("no attempt ended as refused")
	}
	addr, _ := lineEngine(t, func(line string) string { return done(line, "") })
	g.roster(policy.EngineLive, addr)
	got, _ = k.call(post("load", "Req-Token: k\r\n"))
	same(t, "answer", got, `200 {"result":[]}`)
}

// A client that closes its connection has its attempt given up, and an answer that
// comes late on the same connection ends nothing else.
func TestClientLeavesAndTheAnswerComesLate(t *testing.T) {
	var line string
	addr, seen := lineEngine(t, func(l string) string {
		if strings.HasPrefix(l, "never_mind") {
			return done(line, "late\t\t\n")
		}
		if line != "" {
			return done(l, "fresh\t\t\n")
		}
		line = l
		return ""
	})
	g := platform(t, addr)
	k := httpConnect(t, g.addr)
	_, _ = io.WriteString(k.c, post("lookup", ""))
	await(t, seen)
	_ = k.c.Close()
	same(t, "engine heard", await(t, seen), "never_mind "+id)
	got, _ := httpConnect(t, g.addr).call(post("lookup", ""))
	same(t, "the next request of that id", got, `200 {"result":[["fresh","",""]]}`)
	if n := g.count("links.dialed"); n != 2 {
		t.Errorf("%d connections, want 2: an id given up is not used again on its own", n)
	}
}

// What an engine says that can't be read ends its connection, and the client has
// its one answer all the same.
func TestEngineGarbage(t *testing.T) {
	for _, text := range []string{
		"nonsense\r\n", id + " DONE - 99999999\r\n", id + " DONE - 2\r\nabcd", id + " HUH - 0\r\n\r\n",
		id + " DONE batches=1 3\r\nabc\r\n", id + " DONE batches=x 0\r\n\r\n", strings.Repeat("x", 3000),
		id + " DONE batches=1 4\r\na\tb\n\r\n", // too few columns
		id + " DONE batches=1 6\r\na\tb\t\xff\n\r\n", id + " DONE - 0\r\n\r\n", id + " DONE batches=65 0\r\n\r\n", id + " DONE batches=1 3000000000\r\n",
	} {
		addr, _ := lineEngine(t, func(string) string { return text })
		g := platform(t, addr)
		got, _ := httpConnect(t, g.addr).call(post("lookup", ""))
		if !strings.HasPrefix(got, "503") && !strings.HasPrefix(got, "500") {
			t.Errorf("%.20q: answer %s", text, got)
		}
		if n := g.count("ended.garbage"); n == 0 {
			t.Errorf("%.20q: no attempt ended as garbage", text)
		}
	}
}

// Bad input gets a status and a plain message, and nothing is sent.
func TestBadInput(t *testing.T) {
	addr, _ := lineEngine(t, func(line string) string { return done(line, "") })
	g := platform(t, addr)
	for name, tt := range map[string]struct{ text, want string }{
		"no HTTP":         {"hello\r\n\r\n", "400"},
		"unknown class":   {post("nope", ""), "404"},
		"unknown path":    {"GET /x HTTP/1.1\r\n\r\n", "404"},
		"method":          {"GET /rpc/lookup HTTP/1.1\r\n\r\n", "405"},
		"bad id":          {strings.Replace(post("lookup", ""), id, "xyz", 1), "400"},
		"bad wait":        {strings.Replace(post("lookup", ""), "2000", "NaN", 1), "400"},
		"bad cost":        {post("lookup", "Req-Cost: -1\r\n"), "400"},
		"load, no key":    {post("load", ""), "400"},
		"key with comma":  {post("load", "Req-Token: a,b\r\n"), "400"},
		"field twice":     {post("lookup", "Req-Id: "+id+"\r\n"), "400"},
		"large body":      {"POST /rpc/lookup HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n", "413"},
		"large head":      {"GET /" + strings.Repeat("x", 20000), "431"},
		"chunked":         {"POST /rpc/lookup HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", "501"},
		"version":         {"GET /health HTTP/2.0\r\n\r\n", "505"},
		"delete unknown":  {"DELETE /more/x/1 HTTP/1.1\r\n\r\n", "404"},
		"health is fine":  {"GET /health HTTP/1.1\r\n\r\n", "200"},
		"more, odd paths": {"GET /more/ HTTP/1.1\r\n\r\n", "404"},
	} {
		got, _ := httpConnect(t, g.addr).call(tt.text)
		same(t, name, got[:3], tt.want)
	}
	if n := g.count("taken."); n != 0 {
		t.Errorf("%d requests taken, want none", n)
	}
}

// Every end has one meaning to the decisions; only what proves that nothing ran
// may say so.
func TestEnds(t *testing.T) {
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
		t.Error(diff)
	}
}

// A new engine at a gone one's address is another engine: links to the old one
// take nothing more.
func TestAddressIsUsedAgain(t *testing.T) {
	var told []string
	p := backend.NewEngineSet[*fakeLink]()
	entry := func(id string, state policy.EngineState, started time.Duration) {
		p.Update(core.Engine{Addr: "127.0.0.1:1", Engine: policy.Engine{ID: id, State: state, Started: started}})
	}
	entry("old", policy.EngineLive, 0)
	p.Get("old").Connections = append(p.Get("old").Connections, &fakeLink{"old", &told})
	entry("new", policy.EngineLive, 0)
	if p.Get("new") == p.Get("old") || len(p.Get("new").Connections) != 0 {
		t.Error("the new engine has the old one's links")
	}
	entry("old", policy.EngineDraining, 0)
	entry("old", policy.EngineDeparted, 0)
	if p.Get("old") != nil {
		t.Error("the gone engine is still there")
	}
	p.Get("new").Connections = append(p.Get("new").Connections, &fakeLink{"new", &told})
	entry("new", policy.EngineLive, time.Second)
	same(t, "retired", strings.Join(told, " "), "old new")
}

type fakeLink struct {
	name string
	told *[]string
}

func (l *fakeLink) Retire() { *l.told = append(*l.told, l.name) }

// Clients that say nothing, stop in the middle, tell a wrong length or send what no
// request may hold are closed or told so in time, and none of it reaches an engine.
// The connection ends behind a bad call: nothing after it is answered.
func TestBadClients(t *testing.T) {
	addr, seen := lineEngine(t, func(string) string { return "" })
	g := newGateway(t, nil)
	g.options.RequestTimeout = 100 * time.Millisecond
	g.platform(addr)
	open := httpConnect(t, g.addr)
	_, _ = io.WriteString(open.c, post("lookup", ""))
	await(t, seen)
	good := strings.Replace(post("lookup", ""), id, "0000000000000001", 1)
	cases := map[string]struct{ text, want string }{
		"says nothing":            {"", ""},
		"half a head":             {"POST /rpc/lookup HTTP/1.1\r\nReq-", "408"},
		"half a body":             {good[:len(good)-5], "408"},
		"length too small":        {good + "and more", "400"},
		"no statement":            {"POST /rpc/lookup HTTP/1.1\r\nReq-Id: 0000000000000001\r\n\r\n", "411"},
		"statement is no text":    {strings.Replace(good, "day", "d\xffy", 1), "400"},
		"id of an open request":   {strings.Replace(post("lookup", ""), "day", "sum", 1), "409"},
		"waits for ever":          {strings.Replace(good, "2000", "99999999999999999999999", 1), "400"},
		"cost without bounds":     {strings.Replace(good, "Host", "Req-Cost: 1e9\r\nHost", 1), "400"},
		"no memory":               {strings.Replace(good, "Host", "Req-Kb: 0\r\nHost", 1), "400"},
		"empty figure":            {strings.Replace(good, "Host", "Req-Kb: \r\nHost", 1), "400"},
		"odd retry":               {strings.Replace(good, "Host", "Req-Retry: x\r\nHost", 1), "400"},
		"two lengths":             {strings.Replace(good, "Host", "Transfer-Encoding:\r\nHost", 1), "501"},
		"a field behind a LF":     {strings.Replace(good, "backend", "b\nTransfer-Encoding: chunked", 1), "400"},
		"the same again and more": {strings.Repeat(strings.Replace(good, "lookup", "nope", 1), 300), "404"},
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
		same(t, name, got, tt.want)
		if n := strings.Count(string(answers), "HTTP/1.1 "); n > 1 {
			t.Errorf("%s: %d answers", name, n)
		}
	}
	if n := g.count("sent."); n != 1 {
		t.Errorf("%d sent, want only the open request", n)
	}
	_, _ = io.WriteString(open.c, "no call")
	answers, _ := io.ReadAll(open.r)
	same(t, "junk behind an open request", string(answers[:12]), "HTTP/1.1 400")
	same(t, "engine heard", await(t, seen), "never_mind "+id)
}

// Clients that ask once and stay leave room for others: past the limit the one that
// has been idle longest goes, after those that never made a good call. A request
// that is open stays, and so does an idle connection while there is room.
func TestRoomForClients(t *testing.T) {
	addr, seen := lineEngine(t, func(string) string { return "" })
	g := newGateway(t, nil)
	g.options.MaxClients, g.options.RequestTimeout = 4, time.Minute
	g.platform(addr)
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
	closed := func(k *httpClient) {
		t.Helper()
		if _, err := k.r.ReadByte(); err != io.EOF {
			t.Errorf("the connection goes on: %v", err)
		}
	}
	next := httpConnect(t, g.addr)
	next.call(health)
	closed(silent)
	httpConnect(t, g.addr).call(health)
	closed(stay[0])
	for _, k := range []*httpClient{stay[1], next} {
		got, _ := k.call(health)
		same(t, "one that was idle for less", got, "200 {}")
	}
	if n := g.count("gone."); n != 0 {
		t.Errorf("%d open requests were cut off", n)
	}
}

// A client that writes its call in pieces keeps its place in a crowd that says nothing: those go
// first, although they came later. One that has stopped half way for long goes before one that served.
func TestRoomForSlowWriters(t *testing.T) {
	g := newGateway(t, nil)
	g.options.MaxClients, g.options.RequestTimeout = 2, time.Minute
	g.platform()
	slow := httpConnect(t, g.addr)
	_, _ = io.WriteString(slow.c, "GET /hea")
	for g.count("rest.connections") == 0 || !begun(g) {
	}
	var crowd []*httpClient
	for range 10 {
		crowd = append(crowd, httpConnect(t, g.addr))
	}
	for _, k := range crowd[:9] {
		if _, err := k.r.ReadByte(); err != io.EOF {
			t.Errorf("a silent connection goes on: %v", err)
		}
	}
	got, _ := slow.call("lth HTTP/1.1\r\n\r\n")
	same(t, "slow writer", got, "200 {}")
}

// begun tells whether a part of a call lies in a buffer.
func begun(g *gateway) (yes bool) {
	g.do(func() {
		for c := range g.loop.Conns() {
			yes = yes || c.Unread() > 0
		}
	})
	return yes
}

// Good answers that bring more than belongs to them, a second copy or one ahead under
// an unknown id, leave the connection and all on it alone.
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
	g := platform(t, addr)
	k := httpConnect(t, g.addr)
	for n := range 3 {
		got, _ := k.call(strings.Replace(post("lookup", ""), id, fmt.Sprintf("%016x", n+1), 1))
		same(t, "answer", got, `200 {"result":[["a","",""],["b","",""]]}`)
	}
	if n := g.count("links.dialed"); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// An answer stops in the middle and its connection stays open: the connection ends
// with all that is on it, soon, and another serves both requests.
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
	g := platform(t, addr)
	one, two := httpConnect(t, g.addr), httpConnect(t, g.addr)
	_, _ = io.WriteString(one.c, post("lookup", "")) // its id ends in 1
	await(t, seen)
	got, _ := two.call(strings.Replace(post("lookup", ""), id, "0000000000000002", 1))
	same(t, "the request whose answer stopped", got, `200 {"result":[]}`)
	got, _ = one.call("")
	same(t, "the other on that connection", got, `200 {"result":[]}`)
	if n := g.count("ended.garbage"); n != 2 {
		t.Errorf("%d attempts ended with the connection, want 2", n)
	}
}

// A whole list that no longer names an engine ends the connections to it: the module
// sends it nothing more, and nothing else would close them.
func TestWholeListEndsConnections(t *testing.T) {
	one, _ := lineEngine(t, func(line string) string { return done(line, "") })
	two, _ := lineEngine(t, func(line string) string { return done(line, "") })
	g := platform(t, one)
	k := httpConnect(t, g.addr)
	k.call(post("lookup", ""))
	g.do(func() {
		g.core.UpdateEndpoints(policy.ListFull, []core.Engine{{Addr: two, Engine: policy.Engine{ID: "two", Zone: "hall-a", Kind: "std-8", State: policy.EngineLive}}})
	})
	for g.count("links.ended.idle") == 0 {
		runtime.Gosched()
	}
	got, _ := k.call(post("lookup", ""))
	same(t, "answer", got, `200 {"result":[]}`)
}
