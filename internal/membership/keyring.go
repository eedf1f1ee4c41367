package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"sync"
	"time"
)

// A signed datagram is the number of its key (1 byte), the sender's clock in microseconds of Unix time (8), the payload,
// and a keyed hash (HMAC-SHA-256, RFC 2104, its first 16 bytes) of these and of the address it is sent to. So it counts
// at one member only, for maxDelay, once.
const (
	keyNumberBytes = 1
	timestampBytes = 8
	signatureBytes = 16
	signedOverhead = keyNumberBytes + timestampBytes + signatureBytes
)

const (
	// maxDelay is how much older than the sender's latest datagram one may be. Guards against replays, and lets
	// datagrams overtake each other.
	maxDelay = 4 * time.Second
	// maxClockOffset is how far the clocks of members may differ, for the first datagram of an address.
	maxClockOffset = time.Minute
	// maxTimestamps bounds the datagrams of one sender that are remembered.
	maxTimestamps = 256
	// maxSenders bounds the senders that are remembered.
	maxSenders = 4096
)

// rejection is why a datagram was rejected; operators know the texts as the last part of a counter's name.
type rejection string

const (
	rejectedShort    rejection = "short"
	rejectedKey      rejection = "key" // its key is not in the keyring
	rejectedUnsigned rejection = "unsigned"
	rejectedOld      rejection = "old"
	rejectedReplay   rejection = "replay"
)

func (r rejection) Error() string { return "membership: datagram rejected: " + string(r) }

// Key is a shared secret with its number.
type Key struct {
	Number uint8
	Secret []byte
}

// Keyring signs datagrams with its first key and accepts all of its keys: two while they are rotated.
type Keyring struct {
	self netip.AddrPort

	mu            sync.Mutex
	keys          []Key
	lastTimestamp int64 // of a datagram of this member, in microseconds
	senders       map[netip.AddrPort]*replayWindow
}

// replayWindow holds the timestamps of a sender's recent datagrams.
type replayWindow struct {
	latest int64
	seen   map[int64]bool
}

// NewKeyring returns a keyring of the member that listens at an address.
func NewKeyring(self netip.AddrPort, keys []Key) *Keyring {
	return &Keyring{self: self, keys: keys, senders: map[netip.AddrPort]*replayWindow{}}
}

// Replace changes the keys.
func (k *Keyring) Replace(keys []Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = keys
}

func signature(key Key, to netip.AddrPort, signed []byte) []byte {
	h := hmac.New(sha256.New, key.Secret)
	address := to.Addr().As16()
	_, _ = h.Write(binary.BigEndian.AppendUint16(address[:], to.Port())) // a hash never fails
	_, _ = h.Write(signed)
	return h.Sum(nil)[:signatureBytes]
}

// seal signs a payload for an address.
func (k *Keyring) seal(now time.Duration, to netip.AddrPort, payload []byte) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastTimestamp = max(k.lastTimestamp+1, now.Microseconds())
	datagram := binary.BigEndian.AppendUint64([]byte{k.keys[0].Number}, uint64(k.lastTimestamp))
	datagram = append(datagram, payload...)
	return append(datagram, signature(k.keys[0], to, datagram)...)
}

// open returns the payload of a datagram. Its error is a rejection.
func (k *Keyring) open(now time.Duration, from netip.AddrPort, datagram []byte) (payload []byte, err error) {
	if len(datagram) <= signedOverhead {
		return nil, rejectedShort
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	signed := datagram[:len(datagram)-signatureBytes]
	if err := k.verify(signed, datagram[len(signed):]); err != nil {
		return nil, err
	}
	timestamp := int64(binary.BigEndian.Uint64(datagram[keyNumberBytes:]))
	if err := k.noteTimestamp(now, from, timestamp); err != nil {
		return nil, err
	}
	return signed[keyNumberBytes+timestampBytes:], nil
}

// verify checks a signature by the key that the datagram names.
func (k *Keyring) verify(signed, signatureOfSender []byte) error {
	var err error = rejectedKey
	for _, key := range k.keys {
		if key.Number != signed[0] {
			continue
		}
		if hmac.Equal(signature(key, k.self, signed), signatureOfSender) {
			return nil
		}
		err = rejectedUnsigned
	}
	return err
}

// noteTimestamp rejects datagrams that are too old or were received before, and remembers the others.
func (k *Keyring) noteTimestamp(now time.Duration, from netip.AddrPort, timestamp int64) error {
	window := k.senders[from]
	if window == nil {
		offset := now.Microseconds() - timestamp
		if max(offset, -offset) > maxClockOffset.Microseconds() || len(k.senders) >= maxSenders {
			return rejectedOld
		}
		window = &replayWindow{latest: timestamp, seen: map[int64]bool{}}
		k.senders[from] = window
	}
	switch {
	case timestamp < window.latest-maxDelay.Microseconds(), window.seen[timestamp]:
		return rejectedReplay
	case timestamp > max(window.latest, now.Microseconds())+maxClockOffset.Microseconds():
		return rejectedOld
	}
	window.add(timestamp)
	return nil
}

// add remembers a timestamp, in place of the oldest one where there are too many.
func (w *replayWindow) add(timestamp int64) {
	w.latest = max(w.latest, timestamp)
	w.seen[timestamp] = true
	if len(w.seen) <= maxTimestamps {
		return
	}
	oldest := timestamp
	for other := range w.seen {
		oldest = min(oldest, other)
	}
	delete(w.seen, oldest)
}
