package membership

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
)

const (
	// MaxGossipBody is the largest body of a gossip message in bytes.
	MaxGossipBody = 96
	// MaxGossipPerOwner is the largest number of gossip messages that one member may have published.
	MaxGossipPerOwner = 16
	// MaxGossipMessages is the largest number of gossip messages that a member stores, of all owners together.
	MaxGossipMessages = 1024
)

// Errors that Publish returns.
var (
	// ErrGossipBodyTooLong reports a body of more than MaxGossipBody bytes.
	ErrGossipBodyTooLong = errors.New("membership: gossip message body exceeds 96 bytes")
	// ErrTooManyGossipMessages reports that the member already has MaxGossipPerOwner messages published.
	ErrTooManyGossipMessages = errors.New("membership: member already has 16 published gossip messages")
)

// GossipMessage is a small message of another subsystem that is distributed to all members. Only its owner changes it.
// Of two messages with the same owner, topic and key, the newer one replaces the other.
type GossipMessage struct {
	// Topic separates the messages of different subsystems.
	Topic uint8
	// Key distinguishes the messages of an owner within a topic.
	Key uint32
	// Owner is the member that published the message.
	Owner ID
	// Incarnation is that of the owner's process when it published the message.
	Incarnation uint32
	// Version increases with each change of the message.
	Version uint32
	// Body is the content. An empty body marks a withdrawn message.
	Body []byte
}

// gossipKey identifies a gossip message across all its versions.
type gossipKey struct {
	owner ID
	topic uint8
	key   uint32
}

func (g GossipMessage) id() gossipKey { return gossipKey{g.Owner, g.Topic, g.Key} }

// isNewerThan reports whether g is a newer version of the same message than other.
func (g GossipMessage) isNewerThan(other GossipMessage) bool {
	return cmp.Or(cmp.Compare(g.Incarnation, other.Incarnation), cmp.Compare(g.Version, other.Version)) > 0
}

// hash returns a hash of the key that is the same at all members.
func (k gossipKey) hash() uint32 {
	return mixHash(mixHash(k.owner.hashKey(), uint32(k.topic)), k.key)
}

// hash returns a hash of the key and the version, without the body.
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
