package takeover

import (
	"bytes"
	"encoding/base64"
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"

	"gannetspur/internal/core"
	"gannetspur/internal/decide/sentkeys"

	"github.com/fxamacker/cbor/v2"
)

// sentIDsSuffix is the suffix of the file to which a process appends the ids of requests that may have run and must
// not run again, and the attempts of requests with an idempotency key, one per line.
const sentIDsSuffix = ".sent"

// keyLinePrefix begins a line with a core.SentKey, encoded as CBOR in base64. No id begins so.
const keyLinePrefix = "key "

// maxSentIDsBytes bounds what is read of another process's file at a time.
const maxSentIDsBytes = 1 << 20

// SentIDs exchanges, through files in a folder, ids of requests that must not run again among the processes of one
// front end. A process writes an id before it sends the request, so that another process that reads the files before
// it accepts a request sees all ids sent until then. It implements core.SentIDExchange.
type SentIDs struct {
	folder *Folder
	log    *slog.Logger
	own    *os.File             // nil while there are no other processes, or if it can't be written
	others map[string]*sentFile // by process ID
}

// sentFile is the file of another process. It stays open, as it is removed with its process.
type sentFile struct {
	file    *os.File
	partial []byte // the beginning of a line that is not complete yet
}

// newSentIDs returns an exchange without other processes.
func newSentIDs(folder *Folder, log *slog.Logger) *SentIDs {
	return &SentIDs{folder: folder, log: log, others: map[string]*sentFile{}}
}

// Announce appends an id to the file of this process, if there are other processes.
func (s *SentIDs) Announce(id string) {
	if s.own == nil {
		return
	}
	if _, err := s.own.WriteString(id + "\n"); err != nil {
		s.log.Error("takeover.sent-ids", "error", err, "then", "a repeat at another process is not recognized")
	}
}

// AnnounceKey appends an attempt of a request with an idempotency key to the file of this process, if there are others.
// A version that does not know such lines takes them for ids that no request has.
func (s *SentIDs) AnnounceKey(change sentkeys.Change) {
	encoded, err := cbor.Marshal(core.NewSentKey(change))
	if err == nil { // marshalling this type never fails
		s.Announce(keyLinePrefix + base64.RawStdEncoding.EncodeToString(encoded))
	}
}

// Receive passes on what other processes have written since the last call.
func (s *SentIDs) Receive(receiver core.SentIDReceiver) {
	for _, other := range s.others {
		other.read(receiver)
	}
}

// receiveLine passes on one line of a file. A key that can't be read is ignored.
func receiveLine(line string, receiver core.SentIDReceiver) {
	encoded, isKey := strings.CutPrefix(line, keyLinePrefix)
	if !isKey {
		receiver.RecordSentID(line)
		return
	}
	var key core.SentKey
	b, err := base64.RawStdEncoding.DecodeString(encoded)
	if err == nil && cbor.Unmarshal(b, &key) == nil {
		receiver.ApplySentKey(key.Change())
	}
}

// read passes on each further complete line.
func (f *sentFile) read(receiver core.SentIDReceiver) {
	b, err := io.ReadAll(io.LimitReader(f.file, maxSentIDsBytes))
	if err != nil || len(b) == 0 {
		return
	}
	b = append(f.partial, b...)
	for {
		line, rest, complete := bytes.Cut(b, []byte{'\n'})
		if !complete {
			break
		}
		receiveLine(string(line), receiver)
		b = rest
	}
	f.partial = bytes.Clone(b)
}

// update opens the files of the processes in the folder, and this process's own file while there are others. It reads
// the rest of the files of processes that have ended.
func (s *SentIDs) update(otherProcesses int, receiver core.SentIDReceiver) {
	found := map[string]bool{}
	names, _ := filepath.Glob(s.folder.path("*", sentIDsSuffix)) // fails for a malformed pattern only
	for _, name := range names {
		id := strings.TrimSuffix(filepath.Base(name), sentIDsSuffix)
		if id == s.folder.self {
			continue
		}
		found[id] = true
		if s.others[id] == nil {
			s.open(id, name)
		}
	}
	for id, other := range s.others {
		if !found[id] {
			other.read(receiver)
			_ = other.file.Close() // nothing was written to it
			delete(s.others, id)
		}
	}
	s.updateOwn(otherProcesses > 0)
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

// updateOwn creates this process's file when other processes appear, and removes it when they are gone.
func (s *SentIDs) updateOwn(wanted bool) {
	path := s.folder.path(s.folder.self, sentIDsSuffix)
	switch {
	case wanted && s.own == nil:
		file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY|os.O_TRUNC, 0o600)
		if err != nil {
			s.log.Error("takeover.sent-ids", "error", err, "then", "a repeat at another process is not recognized")
			return
		}
		s.own = file
	case !wanted && s.own != nil:
		_ = s.own.Close() // what it holds concerns processes that are gone
		s.own = nil
		_ = os.Remove(path) // a file that stays is truncated when it is needed again
	}
}
