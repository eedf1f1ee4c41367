package main

import (
	"bufio"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pgMessage appends a message of the PostgreSQL wire protocol.
func pgMessage(b []byte, kind byte, parts ...[]byte) []byte {
	n := 4
	for _, p := range parts {
		n += len(p)
	}
	b = binary.BigEndian.AppendUint32(append(b, kind), uint32(n))
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

func cstring(s string) []byte { return append([]byte(s), 0) }

func readPG(r *bufio.Reader) (kind byte, body []byte, err error) {
	head := make([]byte, 5)
	if _, err = io.ReadFull(r, head); err != nil {
		return 0, nil, err
	}
	body = make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// pgStore is the data of the stand-in engines: how often the work of each statement text was made durable, and where.
type pgStore struct {
	mu      sync.Mutex
	applied map[string][]string // engine names, by statement text
}

func (s *pgStore) apply(engine string, texts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range texts {
		s.applied[t] = append(s.applied[t], engine)
	}
}

// pgEngine is a stand-in for a sound PostgreSQL server: a statement outside of a transaction is durable when it is
// answered, those of a transaction at its COMMIT, and a connection that ends before rolls back. A COMMIT or write that
// has begun is completed also if its client has gone.
type pgEngine struct {
	name   string
	store  *pgStore
	rec    *recorder
	commit time.Duration // time that a COMMIT takes, a half before and a half after it is durable
	write  time.Duration // time that a write takes
	slow   time.Duration // time that a SELECT slow takes
	fails  func() bool   // whether it answers this SELECT with an error of its own; nil: never
	breaks func() bool   // whether the connection breaks before this message; nil: never
}

func (e *pgEngine) listen() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err, "engine")
	go func() {
		for n := 1; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c, fmt.Sprintf("%s/%d", e.name, n))
		}
	}()
	return ln.Addr().String()
}

func (e *pgEngine) serve(c net.Conn, conn string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		head := make([]byte, 8)
		if _, err := io.ReadFull(r, head); err != nil {
			return
		}
		rest := make([]byte, binary.BigEndian.Uint32(head)-8)
		if _, err := io.ReadFull(r, rest); err != nil {
			return
		}
		switch binary.BigEndian.Uint32(head[4:]) {
		case 80877103, 80877104: // SSLRequest, GSSENCRequest
			_, _ = c.Write([]byte("N"))
			continue
		case 80877102: // CancelRequest: comes too late to a COMMIT that has begun
			return
		}
		break
	}
	out := pgMessage(nil, 'R', []byte{0, 0, 0, 0})
	out = pgMessage(out, 'K', []byte{0, 0, 0, 1, 0, 0, 0, 1})
	out = pgMessage(out, 'Z', []byte("I"))
	status := byte('I')
	var pending []string
	// Settings of the session. As in PostgreSQL, a SET or RESET is undone if the transaction that it belongs to is rolled
	// back, and all messages up to a Sync are one transaction unless BEGIN and COMMIT say otherwise.
	settings, before := map[string]string{}, map[string]string(nil) // before: as they were before the open transaction; nil: none is open
	begin := func() {
		if before == nil {
			before = maps.Clone(settings)
		}
	}
	rollBack := func() {
		if before != nil {
			settings, before = before, nil
		}
	}
	skip := false // after an error, messages up to the next Sync are skipped
	fail := func(code, text string) {
		if status == 'T' {
			status = 'E'
		} else {
			rollBack()
		}
		skip = true
		out = pgMessage(out, 'E', []byte("SERROR\x00C"+code+"\x00M"+text+"\x00\x00"))
	}
	statements, portals := map[string]string{}, map[string]string{}
	key := "" // first bound value
	execute := func(q string) string {
		q = strings.TrimRight(strings.TrimSpace(q), ";")
		begin()
		if comment, rest, ok := strings.Cut(q, "*/"); ok && strings.HasPrefix(comment, "/*") {
			q = strings.TrimSpace(rest)
		}
		words := strings.Fields(strings.ToUpper(strings.TrimRight(q, "; ")) + " .")
		switch words[0] {
		case "SET", "RESET":
			name, value, _ := strings.Cut(strings.ReplaceAll(q, "=", " TO "), " TO ")
			name = strings.ToLower(strings.Fields(name)[1])
			delete(settings, name)
			if words[0] == "SET" {
				settings[name] = strings.Trim(value, " ';")
			}
			e.rec.log("%s runs %s", conn, q)
			return words[0]
		case "DISCARD":
			settings, before = map[string]string{}, nil
			return "DISCARD ALL"
		case "BEGIN", "START":
			status, pending = 'T', nil
			e.rec.log("%s runs %s", conn, q)
			return "BEGIN"
		case "COMMIT", "END":
			e.rec.log("%s begins %s of %q", conn, q, pending)
			time.Sleep(e.commit / 2)
			e.store.apply(e.name, pending)
			e.rec.log("%s COMMITTED %q", conn, pending)
			time.Sleep(e.commit / 2)
			status, pending, before = 'I', nil, nil
			return "COMMIT"
		case "ROLLBACK", "ABORT":
			status, pending = 'I', nil
			rollBack()
			return "ROLLBACK"
		case "INSERT", "UPDATE":
			time.Sleep(e.write)
			if key != "" { // repeats of a key are dropped
				e.store.mu.Lock()
				known := len(e.store.applied[key]) > 0
				if !known {
					e.store.applied[key] = []string{e.name}
				}
				e.store.mu.Unlock()
				e.rec.log("%s COMMITTED load %s (dropped as a repeat: %t)", conn, key, known)
				return "INSERT 0 1"
			}
			if status == 'T' {
				pending = append(pending, q)
				e.rec.log("%s runs in its transaction %s", conn, q)
			} else {
				e.store.apply(e.name, []string{q})
				e.rec.log("%s COMMITTED %s", conn, q)
			}
			if words[0] == "UPDATE" {
				return "UPDATE 1"
			}
			return "INSERT 0 1"
		case "SELECT":
			if words[1] == "SLOW" {
				e.rec.log("%s runs %s", conn, q)
				time.Sleep(e.slow)
			}
			return "SELECT 1"
		}
		return words[0]
	}
	row := func() []byte { // the rows of a SELECT come from the schema that search_path names
		schema := cmp.Or(settings["search_path"], "public")
		return pgMessage(nil, 'D', []byte{0, 1, 0, 0, 0, byte(len(schema))}, []byte(schema))
	}
	rowDescription := append([]byte{0, 1}, append(cstring("n"), 0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0)...)
	for {
		if r.Buffered() == 0 && len(out) > 0 {
			if _, err := c.Write(out); err != nil && len(pending) > 0 {
				e.rec.log("%s ended: rolls back %q", conn, pending)
				return
			}
			out = nil
		}
		kind, body, err := readPG(r)
		if err != nil {
			if len(pending) > 0 {
				e.rec.log("%s ended: rolls back %q", conn, pending)
			}
			return
		}
		if e.breaks != nil && e.breaks() {
			e.rec.log("%s RESET: rolls back %q", conn, pending)
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		parts := strings.SplitN(string(body), "\x00", 3)
		if skip && kind != 'S' && kind != 'X' {
			continue
		}
		switch kind {
		case 'P':
			begin()
			if strings.Contains(parts[1], "no_such_column") {
				e.rec.log("%s answers %s with an error", conn, parts[1])
				fail("42703", "column no_such_column does not exist")
				continue
			}
			statements[parts[0]] = parts[1]
			out = pgMessage(out, '1')
		case 'B':
			portals[parts[0]], key = statements[parts[1]], ""
			if v := body[len(parts[0])+len(parts[1])+2:]; binary.BigEndian.Uint16(v[2:]) == 1 && v[0]+v[1] == 0 {
				key = string(v[8 : 8+binary.BigEndian.Uint32(v[4:])])
			}
			out = pgMessage(out, '2')
		case 'D':
			q := portals[parts[0][1:]]
			if body[0] == 'S' {
				q = statements[parts[0][1:]]
				out = pgMessage(out, 't', []byte{0, 0})
			}
			if strings.HasPrefix(strings.ToUpper(q), "SELECT") {
				out = pgMessage(out, 'T', rowDescription)
			} else {
				out = pgMessage(out, 'n')
			}
		case 'E':
			if e.fails != nil && strings.HasPrefix(strings.ToUpper(portals[parts[0]]), "SELECT") && e.fails() {
				e.rec.log("%s answers %s with an error of its own", conn, portals[parts[0]])
				fail("53200", "out of memory")
				continue
			}
			tag := execute(portals[parts[0]])
			if tag == "SELECT 1" {
				out = append(out, row()...)
				e.rec.log("%s answers %s with rows of %s", conn, portals[parts[0]], cmp.Or(settings["search_path"], "public"))
			}
			out = pgMessage(out, 'C', cstring(tag))
		case 'Q':
			if status == 'T' && strings.HasPrefix(parts[0], "DISCARD") {
				status = 'E'
				out = pgMessage(out, 'E', []byte("SERROR\x00C25001\x00MDISCARD ALL cannot run inside a transaction block\x00\x00"))
				out = pgMessage(out, 'Z', []byte{status})
				continue
			}
			out = pgMessage(out, 'C', cstring(execute(parts[0])))
			if status == 'I' {
				before = nil
			}
			out = pgMessage(out, 'Z', []byte{status})
		case 'S':
			if skip = false; status == 'I' {
				before = nil // the transaction that the messages since the last Sync were is committed
			}
			out = pgMessage(out, 'Z', []byte{status})
		case 'X':
			return
		}
	}
}

// consul is a stand-in for Consul's catalogue and health API of one service, with blocking queries.
type consul struct {
	addr string

	mu          sync.Mutex
	index       int
	changed     chan struct{}     // closed at the next change
	engines     map[string]string // addresses by service ID
	maintenance map[string]bool   // service IDs in maintenance
}

func newConsul(service string, engines map[string]string) *consul {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err, "consul")
	s := &consul{addr: ln.Addr().String(), index: 7, changed: make(chan struct{}), engines: engines, maintenance: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/catalog/service/"+service, s.answer(func(id, host, port string) string {
		return fmt.Sprintf(`{"Node":"n1","Address":%q,"Datacenter":"dc1","ServiceID":%q,"ServiceAddress":%q,"ServicePort":%s,"ServiceMeta":{}}`, host, id, host, port)
	}))
	mux.HandleFunc("/v1/health/service/"+service, s.answer(func(id, host, port string) string {
		checks := `{"CheckID":"c","Status":"passing"}`
		if s.maintenance[id] {
			checks += fmt.Sprintf(`,{"CheckID":"_service_maintenance:%s","Status":"critical"}`, id)
		}
		return fmt.Sprintf(`{"Node":{"Node":"n1"},"Service":{"ID":%q,"Meta":{}},"Checks":[%s]}`, id, checks)
	}))
	go func() { _ = http.Serve(ln, mux) }()
	return s
}

// setMaintenance puts an engine into maintenance, which means that it drains, or ends that.
func (s *consul) setMaintenance(id string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maintenance[id] = on
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *consul) answer(item func(id, host, port string) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		changed, current := s.changed, strconv.Itoa(s.index)
		s.mu.Unlock()
		if r.URL.Query().Get("index") == current {
			select {
			case <-r.Context().Done():
			case <-changed:
			case <-time.After(30 * time.Second):
			}
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		var items []string
		for id, addr := range s.engines {
			host, port, _ := net.SplitHostPort(addr)
			items = append(items, item(id, host, port))
		}
		w.Header().Set("X-Consul-Index", strconv.Itoa(s.index))
		fmt.Fprintf(w, "[%s]", strings.Join(items, ","))
	}
}

// pgClient is a client that sends one Query at a time and waits for its ReadyForQuery.
type pgClient struct {
	c   net.Conn
	r   *bufio.Reader
	key []byte // for a CancelRequest
}

var errUnexpected = errors.New("messages that belong to no query of this client")

func dialPG(addr string) (*pgClient, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	p := &pgClient{c: c, r: bufio.NewReader(c)}
	body := append([]byte{0, 3, 0, 0}, append(append(cstring("user"), cstring("office")...), append(cstring("database"), append(cstring("register"), 0)...)...)...)
	_, _ = c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...))
	_, err = p.answer(10 * time.Second)
	return p, err
}

// answer reads up to the next ReadyForQuery and returns the tags and SQLSTATEs in between.
func (p *pgClient) answer(within time.Duration) (words []string, err error) {
	_ = p.c.SetReadDeadline(time.Now().Add(within))
	for {
		kind, body, err := readPG(p.r)
		if err != nil {
			return words, err
		}
		switch kind {
		case 'K':
			p.key = body
		case 'D':
			words = append(words, "row "+string(body[6:])) // of one column
		case 'C':
			words = append(words, strings.TrimRight(string(body), "\x00"))
		case 'E':
			for _, field := range strings.Split(string(body), "\x00") {
				if strings.HasPrefix(field, "C") {
					words = append(words, "error "+field[1:])
				}
			}
		case 'Z':
			return words, nil
		}
	}
}

func (p *pgClient) query(text string, within time.Duration) ([]string, error) {
	if _, err := p.c.Write(pgMessage(nil, 'Q', cstring(text))); err != nil {
		return nil, err
	}
	return p.answer(within)
}

// leftOver returns what has come although no query is open.
func (p *pgClient) leftOver(wait time.Duration) ([]string, error) {
	words, err := p.answer(wait)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return words, nil
	}
	return words, err
}
