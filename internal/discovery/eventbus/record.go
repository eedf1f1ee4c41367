package eventbus

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"gannetspur/internal/core"
	"gannetspur/internal/discovery/endpoint"
	"gannetspur/policy"
)

// Offsets within a record of one engine. Numbers are big-endian; bytes that are not named here are
// of no use.
const (
	idOffset     = 0  // 4 bytes
	ipOffset     = 4  // 4 bytes, IPv4
	portOffset   = 8  // 2 bytes
	stateOffset  = 10 // 1 byte
	zoneOffset   = 11 // 1 byte, an index
	kindOffset   = 12 // 1 byte, an index
	cellOffset   = 13 // 2 bytes
	bootOffset   = 19 // 8 bytes, milliseconds of Unix time; 0: not known
	recordLength = 27
)

// recordStates are the engine states by their number in a record.
var recordStates = [...]policy.EngineState{policy.EngineLive, policy.EngineDraining, policy.EngineDeparted}

// recordDecoder reads the records of an event.
type recordDecoder struct{ zones, kinds []string }

func (d recordDecoder) decode(payload []byte) ([]core.Engine, error) {
	if len(payload)%recordLength != 0 {
		return nil, fmt.Errorf("%d bytes are not a multiple of a record", len(payload))
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

func (d recordDecoder) decodeRecord(b []byte) (core.Engine, error) {
	state := int(b[stateOffset])
	if state >= len(recordStates) {
		return core.Engine{}, fmt.Errorf("unknown state %d", state)
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

// nameAt is a list's entry; "" where the settings lack it.
func nameAt(names []string, index byte) string {
	if int(index) < len(names) {
		return names[index]
	}
	return ""
}
