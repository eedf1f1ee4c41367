package takeover

import (
	"encoding/binary"
	"errors"
	"fmt"

	"gannetspur/internal/decide/adminstate"
	decide "gannetspur/internal/decide/takeover"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// State is what one process writes for the others. The names in the tags are stored.
type State struct {
	decide.Process
	Overrides      adminstate.Overrides `cbor:"Bans"`
	EventSourceSum uint64               `cbor:"Events"` // see Options.EventSourceSum
	ProcessState   []byte               `cbor:"World"`  // a handover.ProcessState; nil: nobody waits for it
}

// A file is four bytes that name its kind, the version of what follows, a checksum (xxHash64,
// big-endian) and the state in CBOR.
const (
	fileMagic       = "rwsu"
	fileVersion     = 1
	checksumOffset  = len(fileMagic) + 1
	fileHeaderBytes = checksumOffset + 8
	maxFileBytes    = 8 << 20
)

// errUnusableFile says that a file is incomplete, corrupt or of another version.
var errUnusableFile = errors.New("no complete state of this version")

func encodeState(s *State) ([]byte, error) {
	body, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	b := make([]byte, 0, fileHeaderBytes+len(body))
	b = append(b, fileMagic...)
	b = append(b, fileVersion)
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(body))
	return append(b, body...), nil
}

func decodeState(b []byte) (*State, error) {
	if len(b) < fileHeaderBytes || len(b) > maxFileBytes {
		return nil, fmt.Errorf("%w: %d bytes", errUnusableFile, len(b))
	}
	if string(b[:len(fileMagic)]) != fileMagic || b[len(fileMagic)] != fileVersion {
		return nil, fmt.Errorf("%w: another kind or version", errUnusableFile)
	}
	body := b[fileHeaderBytes:]
	if binary.BigEndian.Uint64(b[checksumOffset:]) != xxhash.Sum64(body) {
		return nil, fmt.Errorf("%w: checksum", errUnusableFile)
	}
	s := new(State)
	if err := cbor.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("%w: %w", errUnusableFile, err)
	}
	return s, nil
}
