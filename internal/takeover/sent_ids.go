package takeover

import (
	"encoding/base64"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gannetspur/internal/core"
	"gannetspur/internal/decide/sentkeys"
	"gannetspur/internal/netio"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxOwnBytes is the size above which a process that is alone writes its file anew.
	maxOwnBytes = 4 << 20
	// clockLineInterval is the longest time between two lines that tell the clock, if others are written.
	clockLineInterval = time.Second
)

// SentIDs exchanges, through files in a folder, ids and idempotency keys of requests that may have run among the processes
// of one front end. A process writes a line before it sends the request, so that another process that reads the files
// before it accepts a request sees all that was sent until then, also if the first one is killed. It implements
// core.SentIDExchange.
type SentIDs struct {
	folder    *Folder
	loop      *netio.Loop
	log       *slog.Logger
	own       *os.File             // nil if it can't be created
	ownBytes  int64                // size of own
	clockedAt time.Duration        // time of the latest line that tells the clock
	others    map[string]*sentFile // by process ID
}

// newSentIDs returns an exchange without other processes. It creates the file of this process, which others then open before
// the first line is written.
func newSentIDs(folder *Folder, loop *netio.Loop, log *slog.Logger) *SentIDs {
	s := &SentIDs{folder: folder, loop: loop, log: log, others: map[string]*sentFile{}}
	s.create()
	return s
}

// Announce appends an id to the file of this process.
func (s *SentIDs) Announce(id string) { s.write(id) }

// Withdraw appends to the file of this process that the request of an id never ran. A version that does not know such lines
// takes them for ids that no request has, as it does those of keys.
func (s *SentIDs) Withdraw(id string) { s.write(neverRanLinePrefix + id) }

// AnnounceKey appends an attempt of a request with an idempotency key to the file of this process.
func (s *SentIDs) AnnounceKey(change sentkeys.Change) {
	encoded, err := cbor.Marshal(core.NewSentKey(change))
	if err == nil { // marshalling this type never fails
		s.write(keyLinePrefix + base64.RawStdEncoding.EncodeToString(encoded))
	}
}

// Receive passes on what other processes have written since the last call.
func (s *SentIDs) Receive(receiver core.SentIDReceiver) {
	for _, other := range s.others {
		other.read(s.loop.Now(), receiver)
	}
}

// write appends a line to the file of this process, behind one that tells the clock if the latest is too old.
func (s *SentIDs) write(line string) {
	if s.own == nil {
		return
	}
	text := line + "\n"
	if now := s.loop.Now(); s.clockedAt == 0 || now-s.clockedAt >= clockLineInterval {
		s.clockedAt = now
		text = clockLine(s.loop) + "\n" + text
	}
	n, err := s.own.WriteString(text)
	s.ownBytes += int64(n)
	s.logError(err)
}

// create creates the file of this process.
func (s *SentIDs) create() {
	path := s.folder.path(s.folder.self, sentIDsSuffix)
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		s.logError(err)
		return
	}
	s.own = file
}

func (s *SentIDs) logError(err error) {
	if err != nil {
		s.log.Error("takeover.sent-ids", "error", err, "then", "a repeat at another process is not recognized")
	}
}

// update opens the files of the other processes in the folder. It reads the rest of the files of processes that have ended.
func (s *SentIDs) update(receiver core.SentIDReceiver) {
	found := map[string]bool{}
	for id, name := range s.files() {
		found[id] = true
		if s.others[id] == nil {
			s.open(id, name)
		}
	}
	for id, other := range s.others {
		if !found[id] {
			other.read(s.loop.Now(), receiver)
			_ = other.file.Close() // nothing was written to it
			delete(s.others, id)
		}
	}
}

// files returns the paths of the other processes' files, by process ID.
func (s *SentIDs) files() map[string]string {
	files := map[string]string{}
	names, _ := filepath.Glob(s.folder.path("*", sentIDsSuffix)) // fails for a malformed pattern only
	for _, name := range names {
		id := strings.TrimSuffix(filepath.Base(name), sentIDsSuffix)
		if id != s.folder.self {
			files[id] = name
		}
	}
	return files
}

// open opens the file of another process.
func (s *SentIDs) open(id, name string) {
	file, err := os.Open(name)
	if err == nil {
		s.others[id] = &sentFile{file: file}
	} else if !errors.Is(err, os.ErrNotExist) {
		s.log.Error("takeover.sent-ids", "error", err, "then", "repeats of that process's requests are not recognized")
	}
}

// readDead reads and removes the files of processes that have ended.
func (s *SentIDs) readDead() (left []*deadFile) {
	for id, name := range s.files() {
		if s.folder.alive(id) {
			continue
		}
		content, err := os.ReadFile(name)
		if err == nil {
			left = append(left, &deadFile{content: content})
		}
		_ = os.Remove(name) // another process may have removed it
	}
	return left
}

// compact writes the file of this process anew, with what the core still remembers, if it is too large. No other process
// may read it.
func (s *SentIDs) compact(c *core.Core) {
	if s.own == nil || s.ownBytes < maxOwnBytes {
		return
	}
	if err := s.own.Truncate(0); err != nil {
		s.logError(err)
		return
	}
	s.ownBytes = 0
	s.clockedAt = 0
	c.AnnounceSent()
}
