package membership

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
)

const (
	// MaxGossipBody is the size of the body of a gossip message, in bytes.
	MaxGossipBody = 96
	// MaxGossipPerOwner is how many gossip messages one member may publish.
	MaxGossipPerOwner = 16
	// MaxGossipMessages is how many of all members are kept.
	MaxGossipMessages = 1024
)

// Errors of Publish.
var (
	ErrGossipBodyTooLong     = errors.New("membership: gossip message longer than 96 bytes")
	ErrTooManyGossipMessages = errors.New("membership: more than 16 gossip messages of one member")
)

// GossipMessage is a small message of another subsystem that all members learn. Only its owner changes it. Of two with
// the same owner, topic and key the newer one holds.
type GossipMessage struct {
	Topic       uint8
	Key         uint32
	Owner       ID
	Incarnation uint32 // of the owner when it published the message
	Version     uint32
	Body        []byte // empty: withdrawn
}

// gossipKey identifies a gossip message in all its versions.
type gossipKey struct {
	owner ID
	topic uint8
	key   uint32
}

func (g GossipMessage) id() gossipKey { return gossipKey{g.Owner, g.Topic, g.Key} }

// isNewerThan orders the versions of one message.
func (g GossipMessage) isNewerThan(other GossipMessage) bool {
	return cmp.Or(cmp.Compare(g.Incarnation, other.Incarnation), cmp.Compare(g.Version, other.Version)) > 0
}

func (k gossipKey) hash() uint32 {
	return mixHash(mixHash(k.owner.hashKey(), uint32(k.topic)), k.key)
}

func (g GossipMessage) hash() uint32 {
	return mixHash(mixHash(g.id().hash(), g.Incarnation), g.Version)
}

func (g GossipMessage) appendTo(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(g.Owner))
	b = binary.BigEndian.AppendUint32(b, g.Incarnation)
	b = binary.AppendUvarint(b, uint64(g.Version))
	b = append(b, g.Topic)
	b = binary.AppendUvarint(b, uint64(g.Key))
	b = append(b, byte(len(g.Body)))
	return append(b, g.Body...)
}

func decodeGossip(b []byte) (g GossipMessage, rest []byte, err error) {
	owner, b, err := readUvarint(b)
	if err != nil || owner > MaxID || len(b) < 4 {
		return g, nil, errMalformed
	}
	g.Owner = ID(owner)
	g.Incarnation = binary.BigEndian.Uint32(b)
	version, b, err := readUvarint(b[4:])
	if err != nil || version > 1<<32-1 || len(b) < 1 {
		return g, nil, errMalformed
	}
	g.Version = uint32(version)
	g.Topic = b[0]
	key, b, err := readUvarint(b[1:])
	if err != nil || key > 1<<32-1 || len(b) < 1 {
		return g, nil, errMalformed
	}
	g.Key = uint32(key)
	size := int(b[0])
	if size > MaxGossipBody || len(b) <= size {
		return g, nil, errMalformed
	}
	g.Body = slices.Clone(b[1 : 1+size])
	return g, b[1+size:], nil
}
