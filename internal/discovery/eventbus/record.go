package eventbus

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"gannetspur/internal/core"
	"gannetspur/internal/discovery/endpoint"
	"gannetspur/policy"
)

// Offsets in bytes within the record of one engine. Numbers are big-endian. Bytes that are not listed
// here are ignored.
const (
	idOffset     = 0  // 4 bytes
	ipOffset     = 4  // 4 bytes, IPv4
	portOffset   = 8  // 2 bytes
	stateOffset  = 10 // 1 byte
	zoneOffset   = 11 // 1 byte, an index into the zones of the settings
	kindOffset   = 12 // 1 byte, an index into the kinds of the settings
	cellOffset   = 13 // 2 bytes
	bootOffset   = 19 // 8 bytes, milliseconds of Unix time; 0 if unknown
	recordLength = 27
)

// recordStates maps the state number in a record to the engine state.
var recordStates = [...]policy.EngineState{policy.EngineLive, policy.EngineDraining, policy.EngineDeparted}

// recordDecoder decodes the records in an event. It holds the names of zones and kinds by index.
type recordDecoder struct{ zones, kinds []string }

// decode returns the engines of an event, whose payload is a sequence of records.
func (d recordDecoder) decode(payload []byte) ([]core.Engine, error) {
	if len(payload)%recordLength != 0 {
		return nil, fmt.Errorf("payload length must be a multiple of %d bytes, got %d", recordLength, len(payload))
	}
	list := make([]core.Engine, 0, len(payload)/recordLength)
	for ; len(payload) > 0; payload = payload[recordLength:] {
		e, err := d.decodeRecord(payload[:recordLength])
		if err != nil {
			return nil, err
		}
		list = append(list, e)
	}
	return list, nil
}

// decodeRecord decodes a record of recordLength bytes.
func (d recordDecoder) decodeRecord(b []byte) (core.Engine, error) {
	state := int(b[stateOffset])
	if state >= len(recordStates) {
		return core.Engine{}, fmt.Errorf("unknown engine state %d", state)
	}
	ip := netip.AddrFrom4([4]byte(b[ipOffset:portOffset]))
	e := core.Engine{
		Addr: netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[portOffset:])).String(),
		Engine: policy.Engine{
			ID:   fmt.Sprintf("s-%08x", binary.BigEndian.Uint32(b[idOffset:])),
			Zone: nameAt(d.zones, b[zoneOffset]), Kind: nameAt(d.kinds, b[kindOffset]),
			Cell: int64(binary.BigEndian.Uint16(b[cellOffset:])), State: recordStates[state],
		},
	}
	endpoint.SetBootTime(&e, binary.BigEndian.Uint64(b[bootOffset:]))
	return e, nil
}

// nameAt returns the name at the index, or "" if the settings have no such entry.
func nameAt(names []string, index byte) string {
	if int(index) < len(names) {
		return names[index]
	}
	return ""
}
