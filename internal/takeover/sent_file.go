package takeover

import (
	"bytes"
	"encoding/base64"
	"io"
	"os"
	"strings"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/decide/sentkeys"

	"github.com/fxamacker/cbor/v2"
)

// sentIDsSuffix is the suffix of the file to which a process appends what it sends, while there are others: ids of requests
// that may have run and must not run again, and attempts of requests with an idempotency key.
const sentIDsSuffix = ".sent"

// The first words of lines. Any other line is an id. A version that does not know such lines takes them for ids that no
// request has.
const (
	keyLinePrefix      = "key "   // a core.SentKey, encoded as CBOR in base64
	neverRanLinePrefix = "never " // an id whose request never ran
)

// maxSentIDsBytes bounds what is read of another process's file at a time.
const maxSentIDsBytes = 1 << 20

// sentFile is the file of another process. It stays open, as it is removed with its process.
type sentFile struct {
	file    *os.File
	partial []byte // the beginning of a line that is not complete yet
}

// read passes on each further complete line, with the current time.
func (f *sentFile) read(now time.Duration, receiver core.SentIDReceiver) {
	b, err := io.ReadAll(io.LimitReader(f.file, maxSentIDsBytes))
	if err != nil || len(b) == 0 {
		return
	}
	lines, partial := completeLines(append(f.partial, b...))
	for _, line := range lines {
		receiveLine(line, now, 0, receiver)
	}
	f.partial = bytes.Clone(partial)
}

// completeLines returns the complete lines of a file, and the rest.
func completeLines(b []byte) (lines []string, rest []byte) {
	for {
		line, after, complete := bytes.Cut(b, []byte{'\n'})
		if !complete {
			return lines, b
		}
		lines = append(lines, string(line))
		b = after
	}
}

// keyLine returns the line of an attempt of a request with an idempotency key.
func keyLine(change sentkeys.Change) string {
	encoded, _ := cbor.Marshal(core.NewSentKey(change)) // never fails for this type
	return keyLinePrefix + base64.RawStdEncoding.EncodeToString(encoded)
}

// receiveLine passes on one line, which was written at a time of this process's clock. shift is what this clock is ahead of
// the writer's. A key that can't be read is ignored.
func receiveLine(line string, at, shift time.Duration, receiver core.SentIDReceiver) {
	if id, neverRan := strings.CutPrefix(line, neverRanLinePrefix); neverRan {
		receiver.ForgetSentID(id)
		return
	}
	encoded, isKey := strings.CutPrefix(line, keyLinePrefix)
	if !isKey {
		receiver.RecordSentID(line, at)
		return
	}
	var key core.SentKey
	b, err := base64.RawStdEncoding.DecodeString(encoded)
	if err == nil && cbor.Unmarshal(b, &key) == nil {
		change := key.Change()
		change.Attempt.SentAt += shift
		receiver.ApplySentKey(change)
	}
}
