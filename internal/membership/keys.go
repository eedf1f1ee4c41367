package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"sync"
	"time"
)

// A signed datagram is the number of its key (1 byte), the sender's clock in microseconds of Unix time (8), the words and
// a keyed hash (HMAC-SHA-256, RFC 2104, its first 16 bytes) of these and of the address that it is sent to. So it counts at
// one member alone, for as long as late (below) says, once.
const (
	sumBytes = 16
	overhead = 1 + 8 + sumBytes
	// late is how much older than the sender's latest datagram one may be. Guards against replays, and lets datagrams
	// overtake each other.
	late = 4 * time.Second
	// apart is how far clocks of members may differ, for the first datagram of an address.
	apart = time.Minute
	// kept bounds the datagrams of one sender that are remembered, and senders those that are.
	kept    = 256
	senders = 4096
)

// Key is a shared secret with its number.
type Key struct {
	Number uint8
	Secret []byte
}

// Keyring signs with the first and take any of them: two while they are changed.
type Keyring struct {
	self netip.AddrPort

	mu    sync.Mutex
	keys  []Key
	stamp int64 // the latest that was given out
	from  map[netip.AddrPort]*stamps
}

// stamps are those of one sender that came lately.
type stamps struct {
	latest int64
	seen   map[int64]bool
}

// NewKeyring returns the keys of the member that listens at an address.
func NewKeyring(self netip.AddrPort, keys []Key) *Keyring {
	return &Keyring{self: self, keys: keys, from: map[netip.AddrPort]*stamps{}}
}

// Replace changes the keys.
func (k *Keyring) Replace(keys []Key) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = keys
}

func sum(key Key, to netip.AddrPort, b []byte) []byte {
	h := hmac.New(sha256.New, key.Secret)
	a := to.Addr().As16()
	_, _ = h.Write(binary.BigEndian.AppendUint16(a[:], to.Port())) // of hashes it never fails
	_, _ = h.Write(b)
	return h.Sum(nil)[:sumBytes]
}

// seal signs words to an address.
func (k *Keyring) seal(now time.Duration, to netip.AddrPort, words []byte) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stamp = max(k.stamp+1, now.Microseconds())
	b := binary.BigEndian.AppendUint64([]byte{k.keys[0].Number}, uint64(k.stamp))
	b = append(b, words...)
	return append(b, sum(k.keys[0], to, b)...)
}

// open gives the words of a datagram, or why it is of no use.
func (k *Keyring) open(now time.Duration, from netip.AddrPort, b []byte) (words []byte, why string) {
	if len(b) <= overhead {
		return nil, "short"
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	signed, why := b[:len(b)-sumBytes], "key"
	for _, key := range k.keys {
		if key.Number == b[0] {
			if why = "unsigned"; hmac.Equal(sum(key, k.self, signed), b[len(b)-sumBytes:]) {
				why = ""
			}
		}
	}
	if why != "" {
		return nil, why
	}
	at := int64(binary.BigEndian.Uint64(b[1:]))
	s := k.from[from]
	if s == nil {
		if d := now.Microseconds() - at; max(d, -d) > apart.Microseconds() || len(k.from) >= senders {
			return nil, "old"
		}
		s = &stamps{latest: at, seen: map[int64]bool{}}
		k.from[from] = s
	}
	switch {
	case at < s.latest-late.Microseconds(), s.seen[at]:
		return nil, "replay"
	case at > max(s.latest, now.Microseconds())+apart.Microseconds():
		return nil, "old"
	}
	s.latest = max(s.latest, at)
	if s.seen[at] = true; len(s.seen) > kept {
		oldest := at
		for o := range s.seen {
			oldest = min(oldest, o)
		}
		delete(s.seen, oldest)
	}
	return signed[1+8:], ""
}
