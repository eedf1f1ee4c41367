package postgres

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gannetspur/internal/core"
	"gannetspur/internal/pgproto"
)

const (
	replayDigestFile  = "testdata/session-replay.sha256"
	replayConnections = 300
	replayStatements  = 60 // on each connection
)

// TestSessionReplay runs pseudorandom statements, settings and responses, from a fixed seed, through connections
// without sockets. It guards against unintended changes of behaviour: a digest of the written messages, the results
// and the connections' state must equal the digest that version c18a9bd computed.
func TestSessionReplay(t *testing.T) {
	random := rand.New(rand.NewPCG(0x9a, 11))
	digest := sha256.New()
	for range replayConnections {
		replayConnection(digest, random)
	}
	for _, class := range []string{"00", "08", "0A", "22", "23", "25", "28", "40", "42", "53", "54", "55", "57", "58", "F0", "XX"} {
		for _, rest := range []string{"000", "P01", "P02", "P03", "P04", "014", "P05"} {
			record(digest, "%s%s=%s\n", class, rest, replayOutcome(class+rest))
		}
	}
	got := hex.EncodeToString(digest.Sum(nil))
	want, err := os.ReadFile(replayDigestFile)
	if err != nil {
		t.Fatalf("reading the expected digest: %v (got digest %s)", err, got)
	}
	if got != strings.TrimSpace(string(want)) {
		t.Errorf("session digest = %s, want %s", got, want)
	}
}

// record adds formatted text to the digest.
func record(digest hash.Hash, format string, values ...any) {
	_, _ = fmt.Fprintf(digest, format, values...) // a hash never returns an error
}

// pick returns a random choice.
func pick(random *rand.Rand, choices ...string) string { return choices[random.IntN(len(choices))] }

// replayConnection runs replayStatements random statements on one connection and records their effects.
func replayConnection(digest hash.Hash, random *rand.Rand) {
	c := newReplaySession()
	for range replayStatements {
		query := pick(random, "SELECT ", "SET x = ", "INSERT ") + strconv.Itoa(random.IntN(40))
		if random.IntN(20) == 0 {
			query += strings.Repeat("y", 5<<10)
		}
		types := []byte(pick(random, "\x00\x00", "\x00\x01\x00\x00\x00\x17"))
		c.begin(random.IntN(5) == 0, query, types, pick(random, "", "", "", "work_mem"))
		name, prepare := c.prepareStatement()
		record(digest, "prepare name=%x bytes=%x\n", name, prepare)
		var settings []pgproto.Setting
		for _, setting := range []string{"search_path", "statement_timeout", "work_mem"} {
			if random.IntN(3) == 0 {
				settings = append(settings, pgproto.Setting{Name: setting, Text: "SET " + setting + " = " + pick(random, "1", "2")})
			}
		}
		record(digest, "settings=%x\n", c.applySettings(settings))
		for range random.IntN(8) {
			replayMessage(digest, random, c)
		}
		record(digest, "%s\n", c.state())
		record(digest, "stale=%t\n", c.dropStaleName(pick(random, "26000", "0A000", "42P01")))
		record(digest, "%s\n", c.state())
	}
}

// replayMessage passes a random message to the connection, and records whether it was an error.
func replayMessage(digest hash.Hash, random *rand.Rand, c replaySession) {
	kind := pick(random, "1", "1", "2", "3", "t", "T", "n", "D", "D", "D", "C", "C", "I", "Q", "S", "N", "A")
	body := []byte(pick(random, "", "\x00\x00", "SELECT 1\x00", "SET\x00", "work_mem\x001\x00", "no end"))
	complete := pgproto.AppendMessage(nil, kind[0], body)
	record(digest, "%s error=%t\n", kind, c.handleMessage(kind[0], body, complete) != nil)
}

// sortedPairs formats the entries of a map in order of their keys.
func sortedPairs(values map[string]string) (pairs []string) {
	for _, key := range slices.Sorted(maps.Keys(values)) {
		pairs = append(pairs, fmt.Sprintf("%q=%q", key, values[key]))
	}
	return pairs
}

// resultText formats a result for the digest.
func resultText(r *pgproto.Result) string {
	return fmt.Sprintf("params=%x fields=%x rows=%x count=%d tag=%q empty=%t status=%x",
		r.ParameterDescription, r.RowDescription, r.Rows, r.RowCount, r.Tag, r.EmptyQuery, r.ParameterStatus)
}

// The declarations below adapt the connection's methods and fields to the replay.

// replayOutcome returns the name of the outcome for an SQLSTATE code.
func replayOutcome(code string) string { return sqlstateOutcome(code).String() }

// replaySession is a connection whose startup is complete and which has no socket.
type replaySession struct{ *connection }

// newReplaySession returns a connection with a new session.
func newReplaySession() replaySession {
	b := &Backend{options: Options{MaxBufferedBytes: defaultMaxBufferedBytes}}
	c := &connection{backend: b, session: newSession(), prepared: newPreparedStatements()}
	c.startup.done = true
	return replaySession{c}
}

// begin assigns an attempt to the connection. changed is the name of the setting that its statement changes.
func (c replaySession) begin(streaming bool, query string, types []byte, changed string) {
	statement := &pgproto.Statement{Query: query, ParameterTypes: types, ChangedSetting: changed}
	c.query.attempt = &core.Attempt{Request: &core.Request{Statement: statement, Streaming: streaming}}
	c.resetResponse()
}

// prepareStatement returns the name of the attempt's statement, and the messages that prepare it.
func (c replaySession) prepareStatement() (name, messages []byte) {
	return c.prepare(nil, c.statement())
}

// applySettings returns the messages that apply the settings to the session, and commits them.
func (c replaySession) applySettings(settings []pgproto.Setting) (messages []byte) {
	messages, c.response.precedingStatements = c.session.appendSettings(nil, settings)
	c.session.commitSettings(&pgproto.Statement{})
	return messages
}

// state formats the state of the connection for the digest, which covers the labels too.
func (c replaySession) state() string {
	return fmt.Sprintf("bound=%t preludes=%d complete=%t held=%d named=%v settings=%v %s", c.response.bound, c.response.precedingStatements,
		c.response.complete, c.backend.bufferedBytes, sortedPairs(c.prepared.names), sortedPairs(c.session.settings),
		resultText(c.response.result))
}
