package takeover

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/handover"
	"gannetspur/internal/netio"

	"github.com/fxamacker/cbor/v2"
)

// sentIDsSuffix is the suffix of the file to which a process appends what it sends: ids of requests that may have run and
// must not run again, and attempts of requests with an idempotency key.
const sentIDsSuffix = ".sent"

// The first words of lines. Any other line is an id.
const (
	keyLinePrefix      = "key "   // a core.SentKey, encoded as CBOR in base64
	neverRanLinePrefix = "never " // an id whose request never ran
	clockLinePrefix    = "clock " // see clockLine
)

// maxSentIDsBytes bounds what is read of another process's file at a time.
const maxSentIDsBytes = 1 << 20

// bootIDFile holds an id that Linux draws at each start of the machine.
const bootIDFile = "/proc/sys/kernel/random/boot_id"

// sentFile is the file of another process. It stays open, as it is removed with its process.
type sentFile struct {
	file     *os.File
	consumed int64  // bytes read so far
	partial  []byte // the beginning of a line that is not complete yet
}

// read passes on each further complete line, with the current time. A file that was written anew is read from its start.
func (f *sentFile) read(now time.Duration, receiver core.SentIDReceiver) {
	info, err := f.file.Stat()
	if err == nil && info.Size() < f.consumed {
		_, _ = f.file.Seek(0, io.SeekStart) // never fails for a regular file
		f.consumed = 0
		f.partial = nil
	}
	b, err := io.ReadAll(io.LimitReader(f.file, maxSentIDsBytes))
	if err != nil || len(b) == 0 {
		return
	}
	f.consumed += int64(len(b))
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

// receiveLine passes on one line, which was written at a time of this process's clock. shift is what this clock is ahead of
// the writer's. A key that can't be read is ignored.
func receiveLine(line string, at, shift time.Duration, receiver core.SentIDReceiver) {
	if strings.HasPrefix(line, clockLinePrefix) {
		return
	}
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

// clockLine returns a line that tells the clock: the machine's boot, the loop's time and the machine's monotonic time.
func clockLine(loop *netio.Loop) string {
	clock := handover.ReadClock(loop)
	return fmt.Sprintf("%s%s %d %d", clockLinePrefix, bootID(), int64(clock.Now), int64(clock.Monotonic))
}

// bootID returns the id of the machine's latest start, or "-" if it can't be read.
func bootID() string {
	b, err := os.ReadFile(bootIDFile)
	if err != nil {
		return "-"
	}
	return strings.TrimSpace(string(b))
}

// deadFile is what a process that has ended left of what it sent.
type deadFile struct{ content []byte }

// replay passes on the lines that are not older than the machine's start. Their times are converted to the loop's clock: the
// system's time may have been stepped since.
func (f *deadFile) replay(loop *netio.Loop, receiver core.SentIDReceiver) {
	lines, _ := completeLines(f.content)
	var shift, at time.Duration
	isCurrent := false
	for _, line := range lines {
		if text, ok := strings.CutPrefix(line, clockLinePrefix); ok {
			var boot string
			var clock handover.Clock
			_, err := fmt.Sscanf(text, "%s %d %d", &boot, &clock.Now, &clock.Monotonic)
			isCurrent = err == nil && boot == bootID()
			shift = loop.Now() - clock.Current()
			at = clock.Now + shift
		}
		if isCurrent {
			receiveLine(line, at, shift, receiver)
		}
	}
}
