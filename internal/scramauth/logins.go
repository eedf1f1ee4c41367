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
	usualIters = 4096
	leastIters = 4096
	mostIters  = 1_000_000 // the client does the work, but what a peer names is bounded
	saltLen    = 16
)

// ErrVerifier is a text that is no verifier.
var ErrVerifier = errors.New("no verifier: wanted is SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY")

// Verifier is what proves a user's password without holding it.
type Verifier struct{ stored scram.StoredCredentials }

// ParseVerifier reads a verifier as pg_authid.rolpassword holds it.
func ParseVerifier(text string) (v Verifier, err error) {
	rest, ok := strings.CutPrefix(text, Mechanism+"$")
	factors, keys, ok2 := strings.Cut(rest, "$")
	iters, salt, ok3 := strings.Cut(factors, ":")
	stored, server, ok4 := strings.Cut(keys, ":")
	if !ok || !ok2 || !ok3 || !ok4 {
		return v, ErrVerifier
	}
	n, err := strconv.Atoi(iters)
	if err != nil || n < leastIters || n > mostIters {
		return v, fmt.Errorf("%w: %q iterations; wanted are %d to %d", ErrVerifier, iters, leastIters, mostIters)
	}
	var parts [3][]byte
	for i, s := range []string{salt, stored, server} {
		if parts[i], err = base64.StdEncoding.DecodeString(s); err != nil {
			return v, fmt.Errorf("%w: %w", ErrVerifier, err)
		}
	}
	if len(parts[0]) < 8 || len(parts[0]) > 64 || len(parts[1]) != sha256.Size || len(parts[2]) != sha256.Size {
		return v, fmt.Errorf("%w: a part of a wrong length", ErrVerifier)
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
	salt := make([]byte, saltLen)
	_, _ = rand.Read(salt) // it never fails
	stored, err := c.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: usualIters})
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
	Name        string
	Verifier    Verifier
	Classes     []string // that it may ask for; empty: all
	MostClients int      // connections at once; 0: no limit of its own
}

// Users are those who may log in.
type Users struct {
	by     map[string]*User
	secret []byte // that the stand-ins for unknown users are made with
}

// NewUsers returns users by name.
func NewUsers(all []User) *Users {
	secret := make([]byte, 32)
	_, _ = rand.Read(secret) // it never fails
	return (&Users{secret: secret}).With(all)
}

// With returns other users, as a file that was read again names them. What unknown ones are shown
// stays the same: a salt that changed would tell them from the others.
func (u *Users) With(all []User) *Users {
	next := &Users{by: make(map[string]*User, len(all)), secret: u.secret}
	for _, one := range all {
		next.by[one.Name] = &one
	}
	return next
}

// Get looks a user up; nil: there is none of this name.
func (u *Users) Get(name string) *User { return u.by[name] }

// stand is what an unknown user is shown: a salt that is always the same for the name, and keys
// that no password has.
func (u *Users) stand(name string) scram.StoredCredentials {
	part := func(what string, n int) []byte {
		h := hmac.New(sha256.New, u.secret)
		h.Write([]byte(what + "\x00" + name))
		return h.Sum(nil)[:n]
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(part("salt", saltLen)), Iters: usualIters}, StoredKey: part("stored", sha256.Size), ServerKey: part("server", sha256.Size),
	}
}

// Login is one try to log in.
type Login struct {
	conv  *scram.ServerConversation
	known bool
	steps int
}

// Begin begins a login under a name; the name within SCRAM's own messages is passed by, as
// PostgreSQL does.
func (u *Users) Begin(name string) (*Login, error) {
	l := &Login{}
	stored := u.stand(name)
	if user := u.by[name]; user != nil {
		l.known, stored = true, user.Verifier.stored
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
	if err != nil {
		return nil, fmt.Errorf("scram: %w", err)
	}
	l.conv = server.NewConversation()
	return l, nil
}

// Errors of a login.
var (
	ErrDenied   = errors.New("password authentication failed")
	ErrMessages = errors.New("malformed SCRAM message")
)

// Step takes a client's message and returns what it is answered. done: it is who it says it is.
func (l *Login) Step(message string) (answer string, done bool, err error) {
	l.steps++
	answer, err = l.conv.Step(message)
	switch {
	case l.steps == 1 && err != nil:
		return "", false, fmt.Errorf("%w: %w", ErrMessages, err)
	case l.steps == 1:
		return answer, false, nil
	case err != nil || !l.conv.Valid() || !l.known:
		return "", false, ErrDenied
	}
	return answer, true, nil
}
