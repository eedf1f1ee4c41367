package takeover

import (
	"encoding/binary"
	"errors"
	"fmt"

	"gannetspur/internal/decide/adminstate"
	decide "gannetspur/internal/decide/takeover"
	"gannetspur/internal/handover"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// State is the content of a process's state file, which the other processes read. The names in the
// tags are part of the stored format.
type State struct {
	decide.Process
	Overrides           adminstate.Overrides `cbor:"Bans"`           // the operators' overrides, by engine ID
	Clock               handover.Clock       `cbor:"Clock,omitzero"` // of the process's event loop; zero in versions that don't write it
	EventSourceChecksum uint64               `cbor:"Events"`         // checksum of the configuration of endpoint lists
	ProcessState        []byte               `cbor:"World"`          // encoded handover.ProcessState; nil if no process waits for it
}

// A state file consists of a magic number of four bytes, the format version (1 byte), a checksum of
// the rest (xxHash64, big-endian) and the State in CBOR.
const (
	fileMagic       = "rwsu"
	fileVersion     = 1
	checksumOffset  = len(fileMagic) + 1
	fileHeaderBytes = checksumOffset + 8
	maxFileBytes    = 8 << 20 // a larger file is not used
)

// errUnusableFile means that a state file is incomplete, corrupt or of another version.
var errUnusableFile = errors.New("unusable state file")

// encodeState returns the content of a state file.
func encodeState(s *State) ([]byte, error) {
	body, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	b := make([]byte, 0, fileHeaderBytes+len(body))
	b = append(b, fileMagic...)
	b = append(b, fileVersion)
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(body))
	return append(b, body...), nil
}

// decodeState parses the content of a state file. Its errors wrap errUnusableFile.
func decodeState(b []byte) (*State, error) {
	if len(b) < fileHeaderBytes || len(b) > maxFileBytes {
		return nil, fmt.Errorf("%w: %d bytes", errUnusableFile, len(b))
	}
	if string(b[:len(fileMagic)]) != fileMagic || b[len(fileMagic)] != fileVersion {
		return nil, fmt.Errorf("%w: other file type or version", errUnusableFile)
	}
	body := b[fileHeaderBytes:]
	if binary.BigEndian.Uint64(b[checksumOffset:]) != xxhash.Sum64(body) {
		return nil, fmt.Errorf("%w: checksum mismatch", errUnusableFile)
	}
	s := new(State)
	if err := cbor.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("%w: %w", errUnusableFile, err)
	}
	return s, nil
}
