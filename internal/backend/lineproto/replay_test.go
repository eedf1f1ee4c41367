package lineproto

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
)

const (
	replayDigestFile = "testdata/parser-replay.sha256"
	replayAnswers    = 20_000
)

// TestParserReplay parses random answers of engines from a fixed seed, some of them corrupt, truncated
// or repeated, and compares a digest of the parser's results with the one of version c18a9bd.
func TestParserReplay(t *testing.T) {
	random := rand.New(rand.NewPCG(0x11e5, 3))
	digest := sha256.New()
	for range replayAnswers {
		recordAnswers(digest, corrupt(random, randomAnswer(random)))
	}
	got := hex.EncodeToString(digest.Sum(nil))
	want, err := os.ReadFile(replayDigestFile)
	if err != nil {
		t.Fatalf("%v (digest of this run: %s)", err, got)
	}
	if got != strings.TrimSpace(string(want)) {
		t.Errorf("digest of the parser's results = %s, want %s", got, want)
	}
}

// record adds formatted values to the digest.
func record(digest hash.Hash, format string, values ...any) {
	_, _ = fmt.Fprintf(digest, format, values...) // writing to a hash never fails
}

// recordAnswers parses all answers in a buffer and adds the results to the digest.
func recordAnswers(digest hash.Hash, input []byte) {
	for {
		a, n, err := parseAnswer(input)
		record(digest, "n=%d error=%t id=%q word=%q fields=%q body=%q\n", n, err != nil, a.id, a.kind, a.fields, a.body)
		if n == 0 || err != nil {
			return
		}
		recordFields(digest, a.fields)
		record(digest, "rows=%t\n", hasCompleteRows(a.body))
		input = input[n:]
	}
}

// recordFields adds to the digest everything that is parsed from an answer's fields.
func recordFields(digest hash.Hash, fields string) {
	for _, name := range []string{"batches", "batch", "cpu"} {
		text, ok := fieldValue(fields, name)
		value, isNumber := numberField(fields, name)
		record(digest, "%s=%q,%t,%g,%t\n", name, text, ok, value, isNumber)
	}
	load := parseLoadReport(fields)
	record(digest, "load=%t,%g,%g,%g,%g,%g\n", load.Reported, load.CPUUtilization, load.InFlight,
		load.WaitingForMemory, load.MemoryUtilization, load.DiskUtilization)
	kind, value, ok := parseProgress(fields)
	record(digest, "progress=%d,%g,%t\n", int(kind), value, ok)
	for _, kind := range []answerKind{"WAIT", "BROKE", "PAST", "DONE"} {
		record(digest, "%s=%s\n", string(kind), failureOutcomes[kind])
	}
}

func pick(random *rand.Rand, choices ...string) string { return choices[random.IntN(len(choices))] }

// randomAnswer returns an answer of random words, fields and rows, valid or not.
func randomAnswer(random *rand.Rand) string {
	var body strings.Builder
	for range random.IntN(4) {
		body.WriteString(pick(random, "a\tb\tc\n", "ä\t\t9\n", "a\tb\n", "a\tb\tc\td\n", "a\tb\tc",
			"\x00\t1\t2\n", "\r\t1\t2\n", "\xff\t1\t2\n"))
	}
	length := body.Len()
	if random.IntN(12) == 0 {
		length += random.IntN(3) - 1
	}
	words := []string{"DONE", "MORE", "WAIT", "BROKE", "PAST", "TELL", "FIT", "UNFIT", "OTHER", ""}
	return fmt.Sprintf("%s %s %s %d\r\n%s\r\n", pick(random, "9b1f00", "p1", "p77", ""), words[random.IntN(len(words))],
		randomFields(random), length, body.String())
}

func randomFields(random *rand.Rand) string {
	value := func() string {
		return pick(random, "0", "1", "2", "-1", "0.25", "1e3", "NaN", "Inf", "x", "", "99999999999999999999", "1e999")
	}
	var fields []string
	for range random.IntN(5) {
		switch name := pick(random, "batches", "batch", "cpu", "used", "num", "res", "gauges", "other"); name {
		case "res":
			fields = append(fields, "res="+pick(random, "p", "s", "w", "z"))
		case "gauges":
			var gauges []string
			for range random.IntN(4) {
				gauges = append(gauges, pick(random, "util", "cpu", "inflight", "active", "queue", "waiting", "x0", "x1", "x2")+":"+value())
			}
			fields = append(fields, "gauges="+strings.Join(gauges, ";"))
		default:
			fields = append(fields, name+"="+value())
		}
	}
	if len(fields) == 0 {
		return pick(random, "-", "-", "", "a b")
	}
	return strings.Join(fields, ",")
}

// corrupt repeats an answer, truncates it, flips a bit of it, makes its first line longer, appends
// another answer or leaves it unchanged.
func corrupt(random *rand.Rand, answer string) []byte {
	b := []byte(answer)
	switch random.IntN(10) {
	case 0:
		b = append(b, b...)
	case 1:
		b = b[:random.IntN(len(b)+1)]
	case 2:
		b[random.IntN(len(b))] ^= 1 << random.IntN(8)
	case 3:
		b = append([]byte(strings.Repeat("x", random.IntN(4<<10))), b...)
	case 4:
		b = append(b, randomAnswer(random)...)
	}
	return b
}
