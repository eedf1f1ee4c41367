package membership

import (
	"net/netip"
	"testing"
	"time"

	decide "gannetspur/internal/decide/membership"
)

func TestKeys(t *testing.T) {
	a, b, c := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3")
	one, two := Key{1, []byte("one")}, Key{2, []byte("two")}
	sender := NewKeyring(a, []Key{one})
	const now = 1000 * time.Hour
	for _, c := range []struct {
		name   string
		taker  *Keyring
		make   func() []byte
		later  time.Duration
		twice  bool
		reason string
	}{
		{name: "good", taker: NewKeyring(b, []Key{one})},
		{name: "a key that is going", taker: NewKeyring(b, []Key{two, one})},
		{name: "a key that is gone", taker: NewKeyring(b, []Key{two}), reason: "key"},
		{name: "a key of the same number", taker: NewKeyring(b, []Key{{1, []byte("other")}}), reason: "unsigned"},
		{name: "meant for another", taker: NewKeyring(c, []Key{one}), reason: "unsigned"},
		{name: "twice", taker: NewKeyring(b, []Key{one}), twice: true, reason: "replay"},
		{name: "kept for long", taker: NewKeyring(b, []Key{one}), later: time.Hour, reason: "old"},
		{name: "spoilt", taker: NewKeyring(b, []Key{one}), reason: "unsigned", make: func() []byte {
			d := sender.seal(now, b, []byte("words"))
			d[10] ^= 1
			return d
		}},
		{name: "short", taker: NewKeyring(b, []Key{one}), reason: "short", make: func() []byte { return make([]byte, overhead) }},
	} {
		d := sender.seal(now, b, []byte("words"))
		if c.make != nil {
			d = c.make()
		}
		if c.twice {
			if _, why := c.taker.open(now, a, d); why != "" {
				t.Errorf("%s: %s at first", c.name, why)
			}
		}
		words, why := c.taker.open(now+c.later, a, d)
		if why != c.reason || why == "" && string(words) != "words" {
			t.Errorf("%s: %q %q, want %q", c.name, words, why, c.reason)
		}
	}
	// One that was kept while others came is late; one that was overtaken is not.
	taker := NewKeyring(b, []Key{one})
	first, second := sender.seal(now, b, []byte("1")), sender.seal(now+3*time.Second, b, []byte("2"))
	third := sender.seal(now+10*time.Second, b, []byte("3"))
	for i, one := range []struct {
		b    []byte
		want string
	}{{second, ""}, {first, ""}, {third, ""}, {first, "replay"}, {second, "replay"}} {
		if _, why := taker.open(now, a, one.b); why != one.want {
			t.Errorf("%d: %q, want %q", i, why, one.want)
		}
	}
}

// A datagram is no longer for being signed.
func TestSignedIsNoLonger(t *testing.T) {
	cfg := signed(decide.DefaultConfig())
	self := netip.MustParseAddrPort("127.0.0.1:7946")
	k := NewKeyring(self, []Key{{1, []byte("a secret of the two of them")}})
	if n := len(k.seal(1000*time.Hour, self, make([]byte, cfg.MaxDatagramBytes))); n > decide.DefaultConfig().MaxDatagramBytes {
		t.Errorf("%d bytes, %d at most", n, decide.DefaultConfig().MaxDatagramBytes)
	}
}
