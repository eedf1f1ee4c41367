package membership

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	decide "gannetspur/internal/decide/membership"
)

// checkOpen checks that opening a datagram returns the payload, or the rejection want if that is not empty.
func checkOpen(t *testing.T, keyring *Keyring, now time.Duration, from netip.AddrPort, datagram []byte, payload string, want rejection) {
	t.Helper()
	got, err := keyring.open(now, from, datagram)
	var reason rejection
	if err != nil && !errors.As(err, &reason) {
		t.Fatalf("error = %v, want a rejection", err)
	}
	if reason != want || reason == "" && string(got) != payload {
		t.Errorf("payload %q with rejection %q, want %q with %q", got, reason, payload, want)
	}
}

func TestKeyringAcceptsAndRejects(t *testing.T) {
	sender, receiver, third := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2"), netip.MustParseAddrPort("127.0.0.1:3")
	one, two := Key{1, []byte("one")}, Key{2, []byte("two")}
	signing := NewKeyring(sender, []Key{one})
	const now = 1000 * time.Hour
	for _, c := range []struct {
		name    string
		keyring *Keyring
		tamper  func([]byte) []byte
		later   time.Duration
		twice   bool
		want    rejection
	}{
		{name: "valid", keyring: NewKeyring(receiver, []Key{one})},
		{name: "previous key", keyring: NewKeyring(receiver, []Key{two, one})},
		{name: "removed key", keyring: NewKeyring(receiver, []Key{two}), want: rejectedKey},
		{name: "different key with the same number", keyring: NewKeyring(receiver, []Key{{1, []byte("other")}}), want: rejectedUnsigned},
		{name: "for another receiver", keyring: NewKeyring(third, []Key{one}), want: rejectedUnsigned},
		{name: "received twice", keyring: NewKeyring(receiver, []Key{one}), twice: true, want: rejectedReplay},
		{name: "old", keyring: NewKeyring(receiver, []Key{one}), later: time.Hour, want: rejectedOld},
		{name: "corrupt", keyring: NewKeyring(receiver, []Key{one}), want: rejectedUnsigned, tamper: func(d []byte) []byte {
			d[10] ^= 1
			return d
		}},
		{name: "short", keyring: NewKeyring(receiver, []Key{one}), want: rejectedShort, tamper: func([]byte) []byte { return make([]byte, signedOverhead) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			datagram := signing.seal(now, receiver, []byte("payload"))
			if c.tamper != nil {
				datagram = c.tamper(datagram)
			}
			if c.twice {
				checkOpen(t, c.keyring, now, sender, datagram, "payload", "")
			}
			checkOpen(t, c.keyring, now+c.later, sender, datagram, "payload", c.want)
		})
	}
}

// A datagram that was overtaken by a slightly later one must be accepted. One that arrives after a datagram that is
// more than maxDelay newer must be rejected as a replay.
func TestKeyringAcceptsOvertakenDatagrams(t *testing.T) {
	from, to := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	keys := []Key{{1, []byte("one")}}
	sender, receiver := NewKeyring(from, keys), NewKeyring(to, keys)
	const now = 1000 * time.Hour
	first := sender.seal(now, to, []byte("1"))
	second := sender.seal(now+3*time.Second, to, []byte("2"))
	third := sender.seal(now+10*time.Second, to, []byte("3"))
	checkOpen(t, receiver, now, from, second, "2", "")
	checkOpen(t, receiver, now, from, first, "1", "")
	checkOpen(t, receiver, now, from, third, "3", "")
	checkOpen(t, receiver, now, from, first, "", rejectedReplay)
	checkOpen(t, receiver, now, from, second, "", rejectedReplay)
}

func TestSignatureFitsDatagramLimit(t *testing.T) {
	limit := decide.DefaultConfig().MaxDatagramBytes
	self := netip.MustParseAddrPort("127.0.0.1:7946")
	keyring := NewKeyring(self, []Key{{1, []byte("a secret of the two of them")}})
	payload := make([]byte, configWithSignatures(decide.DefaultConfig()).MaxDatagramBytes)
	if size := len(keyring.seal(1000*time.Hour, self, payload)); size > limit {
		t.Errorf("signed datagram has %d bytes, want at most %d", size, limit)
	}
}
