// Package logins knows users by their SCRAM-SHA-256 verifiers (RFC 5802, RFC 7677), as PostgreSQL
// writes them, and proves clients by them. No password is held, and a client can't tell an
// unknown user from a wrong password.
package scramauth

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/xdg-go/scram"
)

// Mechanism is the SASL mechanism that is offered.
const Mechanism = "SCRAM-SHA-256"

// Bounds of verifiers.
const (
	defaultIterations = 4096
	minIterations     = 4096
	maxIterations     = 1_000_000 // the client does the work, but what a peer names is bounded
	saltBytes         = 16
)

// ErrVerifier is a text that is no verifier.
var ErrInvalidVerifier = errors.New("no verifier: wanted is SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY")

// Verifier is what proves a user's password without holding it.
type Verifier struct{ stored scram.StoredCredentials }

// ParseVerifier reads a verifier as pg_authid.rolpassword holds it.
func ParseVerifier(text string) (v Verifier, err error) {
	rest, ok := strings.CutPrefix(text, Mechanism+"$")
	factors, keys, ok2 := strings.Cut(rest, "$")
	iters, salt, ok3 := strings.Cut(factors, ":")
	stored, server, ok4 := strings.Cut(keys, ":")
	if !ok || !ok2 || !ok3 || !ok4 {
		return v, ErrInvalidVerifier
	}
	n, err := strconv.Atoi(iters)
	if err != nil || n < minIterations || n > maxIterations {
		return v, fmt.Errorf("%w: %q iterations; wanted are %d to %d", ErrInvalidVerifier, iters, minIterations, maxIterations)
	}
	var parts [3][]byte
	for i, s := range []string{salt, stored, server} {
		if parts[i], err = base64.StdEncoding.DecodeString(s); err != nil {
			return v, fmt.Errorf("%w: %w", ErrInvalidVerifier, err)
		}
	}
	if len(parts[0]) < 8 || len(parts[0]) > 64 || len(parts[1]) != sha256.Size || len(parts[2]) != sha256.Size {
		return v, fmt.Errorf("%w: a part of a wrong length", ErrInvalidVerifier)
	}
	v.stored = scram.StoredCredentials{KeyFactors: scram.KeyFactors{Salt: string(parts[0]), Iters: n}, StoredKey: parts[1], ServerKey: parts[2]}
	return v, nil
}

// NewVerifier makes the verifier of a password, with a salt of its own.
func NewVerifier(password string) (Verifier, error) {
	c, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return Verifier{}, fmt.Errorf("password: %w", err)
	}
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt) // it never fails
	stored, err := c.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: defaultIterations})
	if err != nil {
		return Verifier{}, fmt.Errorf("password: %w", err)
	}
	return Verifier{stored}, nil
}

// String is the verifier as ParseVerifier reads it.
func (v Verifier) String() string {
	b := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d:%s$%s:%s", Mechanism, v.stored.Iters, b([]byte(v.stored.Salt)), b(v.stored.StoredKey), b(v.stored.ServerKey))
}

// User is one user with its rights.
type User struct {
	Name       string
	Verifier   Verifier
	Classes    []string // that it may ask for; empty: all
	MaxClients int      // connections at once; 0: no limit of its own
}

// Users are those who may log in.
type Users struct {
	byName      map[string]*User
	decoySecret []byte // that the stand-ins for unknown users are made with
}

// NewUsers returns users by name.
func NewUsers(all []User) *Users {
	secret := make([]byte, 32)
	_, _ = rand.Read(secret) // it never fails
	return (&Users{decoySecret: secret}).WithUsers(all)
}

// With returns other users, as a file that was read again names them. What unknown ones are shown
// stays the same: a salt that changed would tell them from the others.
func (u *Users) WithUsers(all []User) *Users {
	next := &Users{byName: make(map[string]*User, len(all)), decoySecret: u.decoySecret}
	for _, one := range all {
		next.byName[one.Name] = &one
	}
	return next
}

// Get looks a user up; nil: there is none of this name.
func (u *Users) Get(name string) *User { return u.byName[name] }

// stand is what an unknown user is shown: a salt that is always the same for the name, and keys
// that no password has.
func (u *Users) decoyCredentials(name string) scram.StoredCredentials {
	part := func(what string, n int) []byte {
		h := hmac.New(sha256.New, u.decoySecret)
		h.Write([]byte(what + "\x00" + name))
		return h.Sum(nil)[:n]
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(part("salt", saltBytes)), Iters: defaultIterations}, StoredKey: part("stored", sha256.Size), ServerKey: part("server", sha256.Size),
	}
}

// Login is one try to log in.
type Login struct {
	conversation *scram.ServerConversation
	known        bool
	steps        int
}

// Begin begins a login under a name; the name within SCRAM's own messages is passed by, as
// PostgreSQL does.
func (u *Users) StartLogin(name string) (*Login, error) {
	l := &Login{}
	stored := u.decoyCredentials(name)
	if user := u.byName[name]; user != nil {
		l.known, stored = true, user.Verifier.stored
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	if err != nil {
		return nil, fmt.Errorf("scram: %w", err)
	}
	l.conversation = server.NewConversation()
	return l, nil
}

// Errors of a login.
var (
	ErrDenied           = errors.New("password authentication failed")
	ErrMalformedMessage = errors.New("malformed SCRAM message")
)

// Step takes a client's message and returns what it is answered. done: it is who it says it is.
func (l *Login) Step(message string) (answer string, done bool, err error) {
	l.steps++
	answer, err = l.conversation.Step(message)
	switch {
	case l.steps == 1 && err != nil:
		return "", false, fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	case l.steps == 1:
		return answer, false, nil
	case err != nil || !l.conversation.Valid() || !l.known:
		return "", false, ErrDenied
	}
	return answer, true, nil
}
