package main

import (
	"crypto/rand"
	"encoding/binary"
	"maps"
	"net"
	"regexp"
	"strings"
	"sync"
	"time"

	"gannetspur/internal/pgproto"
)

// engine is a stand-in for an engine that speaks the PostgreSQL wire protocol. As PostgreSQL does, it runs one
// statement at a time on a connection, runs a statement to its end when the other side of the connection has gone,
// stops it on a CancelRequest, treats the statements up to a Sync as one transaction, keeps the settings of a session
// until they are reset, and turns a literal of a type into a value when the statement is parsed.
type engine struct {
	rig        *rig
	name, zone string
	listener   net.Listener
	work       func(query, key string) time.Duration // how long a statement runs
	memory     *keyMemory                            // where repeats of a key are dropped; nil: nowhere

	mu       sync.Mutex
	running  map[string]chan struct{} // by cancel key
	conns    map[net.Conn]bool
	big      int  // rows of 1 KB that a statement with the word big returns
	lost     bool // it has ended: its connections are closed
	received []arrival
}

// arrival is the arrival of a client's statement at an engine.
type arrival struct {
	at         time.Time
	query, key string
	ended      bool // it ran to its end, with its effect
}

// keyMemory is the memory of keys that several engines share: they drop a repeat of a key within the window.
type keyMemory struct {
	mu     sync.Mutex
	window time.Duration
	since  map[string]time.Time
}

func newKeyMemory(window time.Duration) *keyMemory {
	return &keyMemory{window: window, since: map[string]time.Time{}}
}

// isRepeat reports whether a key was seen within the window, and remembers it otherwise.
func (m *keyMemory) isRepeat(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at, ok := m.since[key]; ok && time.Since(at) < m.window {
		return true
	}
	m.since[key] = time.Now()
	return false
}

// forget removes a key whose statement was rolled back.
func (m *keyMemory) forget(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.since, key)
}

func (r *rig) engine(name, zone string, memory *keyMemory, work func(query, key string) time.Duration) *engine {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	e := &engine{rig: r, name: name, zone: zone, listener: ln, work: work, memory: memory, running: map[string]chan struct{}{}, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

// end ends the engine as a planned stop of its process does ("fast shutdown"): what runs is rolled back.
func (e *engine) end() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost = true
	for _, c := range e.running {
		close(c)
	}
	clear(e.running)
	for c := range e.conns {
		_ = c.Close()
	}
}

// effects returns how often the statements of a key had their effect here.
func (e *engine) effects(key string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.received {
		if a.key == key && a.ended {
			n++
		}
	}
	return n
}

// backend is one session of an engine.
type backend struct {
	engine     *engine
	conn       net.Conn
	cancelKey  []byte
	in, out    []byte
	settings   map[string]string // committed
	current    map[string]string // of the transaction that is open
	inBlock    bool              // between BEGIN and COMMIT
	failed     bool              // the block has failed
	skip       bool              // after an error: up to the next Sync
	done       []int             // statements of the open block that were run, as positions in engine.received
	statements map[string]parsed
	portal     *bound
}

// parsed is a prepared statement.
type parsed struct {
	query string
	rows  []string // result, as far as it follows from the text and the settings at the time of Parse; nil: the text and the key
}

type bound struct {
	parsed
	key string
}

func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	e.mu.Lock()
	e.conns[conn] = true
	e.mu.Unlock()
	defer func() { e.mu.Lock(); delete(e.conns, conn); e.mu.Unlock() }()
	s := &backend{engine: e, conn: conn, settings: map[string]string{}, current: map[string]string{}, statements: map[string]parsed{}}
	for {
		code, body, n, err := pgproto.ReadStartup(s.in)
		if err != nil {
			return
		}
		if n == 0 {
			if !s.receive() {
				return
			}
			continue
		}
		s.in = s.in[n:]
		if code == pgproto.SSLRequest {
			_, _ = conn.Write([]byte{pgproto.EncryptionDeclined})
			continue
		}
		if code == pgproto.CancelRequest {
			e.cancel(string(body))
			return
		}
		break
	}
	s.cancelKey = make([]byte, 8)
	_, _ = rand.Read(s.cancelKey)
	s.reply(pgproto.MessageAuthentication, pgproto.Int32(pgproto.AuthOK))
	s.reply(pgproto.MessageBackendKeyData, s.cancelKey)
	s.ready()
	for {
		if len(s.out) > 0 {
			_, _ = conn.Write(s.out) // a client that has gone is noticed by the next read
			s.out = nil
		}
		kind, body, n, err := pgproto.ReadMessage(s.in, 1<<20)
		if err != nil {
			return
		}
		if n == 0 {
			if !s.receive() {
				return
			}
			continue
		}
		s.in = s.in[n:]
		if kind == pgproto.MessageTerminate {
			return
		}
		s.handle(kind, pgproto.Reader{Rest: body})
	}
}

func (e *engine) cancel(key string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.running[key]; c != nil {
		close(c)
		delete(e.running, key)
	}
}

// commit makes the statements that were run permanent.
func (s *backend) commit() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	for _, n := range s.done {
		s.engine.received[n].ended = true
	}
}

func (s *backend) receive() bool {
	b := make([]byte, 8192)
	n, err := s.conn.Read(b)
	s.in = append(s.in, b[:n]...)
	return err == nil
}

func (s *backend) reply(kind byte, parts ...[]byte) {
	s.out = pgproto.AppendMessage(s.out, kind, parts...)
}

func (s *backend) ready() {
	status := pgproto.TransactionIdle
	switch {
	case s.failed:
		status = pgproto.TransactionFailed
	case s.inBlock:
		status = pgproto.TransactionOpen
	}
	s.reply(pgproto.MessageReadyForQuery, []byte{status})
}

func (s *backend) fail(code, text string) {
	e := &pgproto.Error{Severity: "ERROR", Code: code, Message: text}
	s.reply(pgproto.MessageErrorResponse, e.Body())
	s.skip = true
	if s.inBlock {
		s.failed = true
		return
	}
	s.current = maps.Clone(s.settings)
}

// oneColumn is the body of a RowDescription of one text column.
var oneColumn = append([]byte{0, 1}, append([]byte("v\x00"), 0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 255, 255, 255, 255, 255, 255, 0, 0)...)

func (s *backend) handle(kind byte, r pgproto.Reader) {
	if s.skip && kind != pgproto.MessageSync {
		return
	}
	switch kind {
	case pgproto.MessageQuery:
		text := strings.TrimRight(r.CString(), "; ")
		if strings.EqualFold(text, "DISCARD ALL") {
			clear(s.settings)
			clear(s.current)
			clear(s.statements)
		}
		s.reply(pgproto.MessageCommandComplete, pgproto.CString(strings.ToUpper(text)))
		s.ready()
	case pgproto.MessageParse:
		name, query := r.CString(), r.CString()
		if _, ok := s.statements[name]; ok && name != "" {
			s.fail("42P05", "prepared statement exists")
			return
		}
		s.statements[name] = s.parse(query)
		s.reply(pgproto.MessageParseComplete)
	case pgproto.MessageBind:
		r.CString()
		p, ok := s.statements[r.CString()]
		if !ok {
			s.fail("26000", "prepared statement does not exist")
			return
		}
		s.portal = &bound{parsed: p}
		for range r.Count() {
			r.Int16()
		}
		if r.Count() > 0 {
			if n := r.Int32(); n > 0 {
				s.portal.key = string(r.Bytes(n))
			}
		}
		s.reply(pgproto.MessageBindComplete)
	case pgproto.MessageDescribe:
		if r.Byte() == pgproto.TargetStatement {
			n := strings.Count(s.statements[r.CString()].query, "$")
			types := binary.BigEndian.AppendUint16(nil, uint16(n))
			for range n {
				types = append(types, pgproto.Int32(25)...)
			}
			s.reply(pgproto.MessageParameterDescription, types)
		}
		s.reply(pgproto.MessageRowDescription, oneColumn)
	case pgproto.MessageExecute:
		s.execute()
	case pgproto.MessageSync:
		s.skip = false
		if !s.inBlock {
			s.settings = maps.Clone(s.current)
		}
		s.ready()
	}
}

var dateLiteral = regexp.MustCompile(`(?i)DATE '(\d\d)/(\d\d)/(\d\d\d\d)'`)

// parse turns a date literal into a value, by the DateStyle of the session at this time.
func (s *backend) parse(query string) parsed {
	p := parsed{query: query}
	m := dateLiteral.FindStringSubmatch(strings.TrimRight(query, "; "))
	if m == nil {
		return p
	}
	day, month := m[2], m[1] // MDY
	if strings.Contains(strings.ToUpper(s.current["datestyle"]), "DMY") {
		day, month = m[1], m[2]
	}
	p.rows = []string{m[3] + "-" + month + "-" + day}
	return p
}

var setStatement = regexp.MustCompile(`(?i)^SET\s+(\w+)\s*(?:=|TO)\s*'?([^']*)'?$`)

func (s *backend) execute() {
	e, p := s.engine, s.portal
	text := strings.TrimRight(p.query, "; ")
	word, rest, _ := strings.Cut(text, " ")
	switch word = strings.ToUpper(word); word {
	case "SET", "RESET":
		if m := setStatement.FindStringSubmatch(text); m != nil {
			s.current[strings.ToLower(m[1])] = m[2]
			s.reply(pgproto.MessageParameterStatus, pgproto.CString(m[1]), pgproto.CString(m[2]))
		} else {
			delete(s.current, strings.ToLower(rest))
		}
		s.reply(pgproto.MessageCommandComplete, pgproto.CString(word))
		return
	case "BEGIN":
		s.inBlock = true
		s.reply(pgproto.MessageCommandComplete, pgproto.CString(word))
		return
	case "COMMIT", "ROLLBACK":
		if word == "COMMIT" && !s.failed {
			s.commit()
			e.rig.logf("engine %s (%s): commits a transaction of %d statements", e.name, e.zone, len(s.done))
		}
		s.inBlock, s.failed, s.done = false, false, nil
		s.reply(pgproto.MessageCommandComplete, pgproto.CString(word))
		return
	}
	e.mu.Lock()
	n := len(e.received)
	e.received = append(e.received, arrival{at: time.Now(), query: p.query, key: p.key})
	cancelled := make(chan struct{})
	e.running[string(s.cancelKey)] = cancelled
	e.mu.Unlock()
	isLoad := e.memory != nil && p.key != "" && strings.Contains(text, "INSERT")
	if isLoad && e.memory.isRepeat(p.key) {
		e.rig.logf("engine %s (%s): repeat of %s dropped", e.name, e.zone, p.key)
	} else {
		e.rig.logf("engine %s (%s): begins %.60s %s", e.name, e.zone, text, p.key)
		select {
		case <-cancelled:
			e.rig.logf("engine %s (%s): stopped %.60s %s", e.name, e.zone, text, p.key)
			if isLoad {
				e.memory.forget(p.key)
			}
			s.fail("57014", "canceling statement")
			return
		case <-time.After(e.work(text, p.key)):
		}
		s.done = append(s.done, n)
		if !s.inBlock {
			s.commit()
			s.done = nil
		}
		e.rig.logf("engine %s (%s): done %.60s %s", e.name, e.zone, text, p.key)
	}
	e.mu.Lock()
	delete(e.running, string(s.cancelKey))
	e.mu.Unlock()
	rows := p.rows
	if rows == nil {
		rows = []string{p.key}
	}
	if e.big > 0 && strings.Contains(text, "big") {
		rows = make([]string, e.big)
		for i := range rows {
			rows[i] = strings.Repeat("x", 1000)
		}
	}
	for _, row := range rows {
		s.reply(pgproto.MessageDataRow, []byte{0, 1}, pgproto.Int32(len(row)), []byte(row))
	}
	s.reply(pgproto.MessageCommandComplete, pgproto.CString("SELECT 1"))
}
