package scramauth

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/xdg-go/scram"
)

// login runs a whole exchange of a client with a password.
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
		t.Errorf("the client does not accept the server's signature: %v", err)
	}
	return done, nil
}

// TestFixtureVerifiers reads verifiers that the code before the package was reworked made of
// the passwords before them: they write themselves back, prove that password and no other,
// and are refused cut short; with a changed byte they are refused or another verifier.
func TestFixtureVerifiers(t *testing.T) {
	text, err := os.ReadFile("testdata/verifiers.txt")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(lines) != 3 {
		t.Fatalf("%d verifiers, want 3", len(lines))
	}
	for _, line := range lines {
		password, verifier, _ := strings.Cut(line, "\t")
		v, err := ParseVerifier(verifier)
		if err != nil || v.String() != verifier {
			t.Fatalf("verifier %s read as %s: %v", verifier, v, err)
		}
		u := NewUsers([]User{{Name: "user", Verifier: v}})
		if done, err := login(t, u, "user", password); !done || err != nil {
			t.Errorf("login with the password: done = %v, %v", done, err)
		}
		if done, err := login(t, u, "user", password+"x"); done || !errors.Is(err, ErrDenied) {
			t.Errorf("login with another password: done = %v, %v, want %v", done, err, ErrDenied)
		}
		for n := range verifier {
			if _, err := ParseVerifier(verifier[:n]); !errors.Is(err, ErrInvalidVerifier) {
				t.Errorf("cut at %d bytes: %v, want %v", n, err, ErrInvalidVerifier)
			}
			for bit := range 8 {
				damaged := []byte(verifier)
				damaged[n] ^= 1 << bit
				other, err := ParseVerifier(string(damaged))
				if err != nil && !errors.Is(err, ErrInvalidVerifier) {
					t.Errorf("byte %d, bit %d changed: %v, want %v", n, bit, err, ErrInvalidVerifier)
				}
				if err != nil {
					continue
				}
				if again, err := ParseVerifier(other.String()); err != nil || again.String() != other.String() {
					t.Errorf("byte %d, bit %d changed: %s comes back as %s, %v", n, bit, other, again, err)
				}
			}
		}
	}
}
