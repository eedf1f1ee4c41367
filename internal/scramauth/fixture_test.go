package scramauth

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/xdg-go/scram"
)

// login runs a complete login of a client with the given name and password.
func login(t *testing.T, u *Users, name, password string) (done bool, err error) {
	t.Helper()
	client, err := scram.SHA256.NewClient(name, password, "")
	if err != nil {
		t.Fatal(err)
	}
	conversation := client.NewConversation()
	l, err := u.StartLogin(name)
	if err != nil {
		t.Fatal(err)
	}
	challenge := ""
	for range 2 {
		message, err := conversation.Step(challenge)
		if err != nil {
			t.Fatal(err)
		}
		if challenge, done, err = l.Step(message); err != nil {
			return done, err
		}
	}
	if _, err := conversation.Step(challenge); done && (err != nil || !conversation.Valid()) {
		t.Errorf("the client rejects the server's signature: error %v, valid = %v, want a valid conversation", err, conversation.Valid())
	}
	return done, nil
}

// TestFixtureVerifiers checks stored verifiers that an earlier version of this package made, each after
// its password. They must have the same text after parsing, and accept that password and no other. A
// truncated verifier must be rejected. One with a flipped bit must be rejected, or must have the same text
// after parsing its own text again.
func TestFixtureVerifiers(t *testing.T) {
	text, err := os.ReadFile("testdata/verifiers.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(lines) != 3 {
		t.Fatalf("got %d verifiers, want 3", len(lines))
	}
	for _, line := range lines {
		password, verifier, _ := strings.Cut(line, "\t")
		v, err := ParseVerifier(verifier)
		if err != nil || v.String() != verifier {
			t.Fatalf("ParseVerifier(%q) = %s, error %v, want the same text", verifier, v, err)
		}
		u := NewUsers([]User{{Name: "user", Verifier: v}})
		if done, err := login(t, u, "user", password); !done || err != nil {
			t.Errorf("login with the password: done = %v, error %v, want true and no error", done, err)
		}
		if done, err := login(t, u, "user", password+"x"); done || !errors.Is(err, ErrDenied) {
			t.Errorf("login with another password: done = %v, error %v, want false and %v", done, err, ErrDenied)
		}
		for n := range verifier {
			if _, err := ParseVerifier(verifier[:n]); !errors.Is(err, ErrInvalidVerifier) {
				t.Errorf("truncated to %d bytes: error %v, want %v", n, err, ErrInvalidVerifier)
			}
			for bit := range 8 {
				damaged := []byte(verifier)
				damaged[n] ^= 1 << bit
				other, err := ParseVerifier(string(damaged))
				if err != nil && !errors.Is(err, ErrInvalidVerifier) {
					t.Errorf("byte %d, bit %d flipped: error %v, want %v or no error", n, bit, err, ErrInvalidVerifier)
				}
				if err != nil {
					continue
				}
				if again, err := ParseVerifier(other.String()); err != nil || again.String() != other.String() {
					t.Errorf("byte %d, bit %d flipped: parsing %s again = %s, error %v, want the same text", n, bit, other, again, err)
				}
			}
		}
	}
}
