package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"sync"
	"time"
)

// A signed datagram consists of the number of its key (1 byte), a timestamp from the sender's clock in microseconds of
// Unix time (8 bytes), the payload, and a signature (16 bytes). The signature is a truncated HMAC-SHA-256 (RFC 2104) of
// the preceding fields and the destination address. A signed datagram is therefore valid at one member only, once, and
// for at most maxDelay.
const (
	keyNumberBytes = 1
	timestampBytes = 8
	signatureBytes = 16
	signedOverhead = keyNumberBytes + timestampBytes + signatureBytes
)

const (
	// maxDelay is how much older than the sender's latest datagram a datagram may be. The limit prevents replays but
	// lets datagrams overtake each other.
	maxDelay = 4 * time.Second
	// maxClockOffset is how far the timestamp in the first datagram from an address may differ from this member's
	// clock, and how far later ones may be ahead.
	maxClockOffset = time.Minute
	// maxTimestamps limits the timestamps that are remembered for each sender.
	maxTimestamps = 256
	// maxSenders limits the senders that are remembered.
	maxSenders = 4096
)

// rejection is the reason why a datagram was rejected. The text is the last part of a counter's name.
type rejection string

const (
	rejectedShort    rejection = "short"    // it is too short to be signed
	rejectedKey      rejection = "key"      // its key is not in the keyring
	rejectedUnsigned rejection = "unsigned" // its signature is wrong
	rejectedOld      rejection = "old"      // its timestamp is too far from this member's clock, or there are too many senders
	rejectedReplay   rejection = "replay"   // it was received before, or is older than maxDelay
)

func (r rejection) Error() string { return "membership: datagram rejected: " + string(r) }

// Key is a shared secret and the number that identifies it in datagrams.
type Key struct {
	Number uint8
	Secret []byte
}

// Keyring signs datagrams with its first key and accepts any of its keys. It holds two while keys are rotated. It is
// safe for concurrent use.
type Keyring struct {
	self netip.AddrPort

	mu            sync.Mutex
	keys          []Key
	lastTimestamp int64 // timestamp of this member's last datagram, in microseconds of Unix time
	senders       map[netip.AddrPort]*replayWindow
}

// replayWindow holds the timestamps of a sender's recent datagrams, in microseconds of Unix time.
type replayWindow struct {
	latest int64
	seen   map[int64]bool
}

// NewKeyring returns the keyring of the member that receives datagrams at self.
func NewKeyring(self netip.AddrPort, keys []Key) *Keyring {
	return &Keyring{self: self, keys: keys, senders: map[netip.AddrPort]*replayWindow{}}
}

// Replace replaces all keys.
func (k *Keyring) Replace(keys []Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = keys
}

// signature returns the signature of the signed bytes for a destination.
func signature(key Key, to netip.AddrPort, signed []byte) []byte {
	h := hmac.New(sha256.New, key.Secret)
	address := to.Addr().As16()
	_, _ = h.Write(binary.BigEndian.AppendUint16(address[:], to.Port())) // writing to a hash never fails
	_, _ = h.Write(signed)
	return h.Sum(nil)[:signatureBytes]
}

// seal returns the signed datagram of a payload for a destination.
func (k *Keyring) seal(now time.Duration, to netip.AddrPort, payload []byte) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastTimestamp = max(k.lastTimestamp+1, now.Microseconds())
	datagram := binary.BigEndian.AppendUint64([]byte{k.keys[0].Number}, uint64(k.lastTimestamp))
	datagram = append(datagram, payload...)
	return append(datagram, signature(k.keys[0], to, datagram)...)
}

// open returns the payload of a datagram. Any error is a rejection.
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
	if err := k.checkTimestamp(now, from, timestamp); err != nil {
		return nil, err
	}
	return signed[keyNumberBytes+timestampBytes:], nil
}

// verify checks the signature got with the key that the datagram names.
func (k *Keyring) verify(signed, got []byte) error {
	var err error = rejectedKey
	for _, key := range k.keys {
		if key.Number != signed[0] {
			continue
		}
		if hmac.Equal(signature(key, k.self, signed), got) {
			return nil
		}
		err = rejectedUnsigned
	}
	return err
}

// checkTimestamp rejects datagrams that are too old or were received before, and remembers the timestamps of the
// others.
func (k *Keyring) checkTimestamp(now time.Duration, from netip.AddrPort, timestamp int64) error {
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

// add remembers a timestamp. If there are too many, the oldest one is forgotten.
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
