// Package scramauth authenticates users by their SCRAM-SHA-256 verifiers (RFC 5802, RFC 7677), as
// PostgreSQL writes them. No password is stored, and a client can't tell an unknown user from a
// wrong password.
package scramauth

import (
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
	saltBytes         = 16        // of new verifiers
	minSaltBytes      = 8
	maxSaltBytes      = 64
)

// ErrInvalidVerifier is returned for a text that is no verifier.
var ErrInvalidVerifier = errors.New("invalid verifier, want SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY")

// Verifier proves a user's password without storing it.
type Verifier struct{ stored scram.StoredCredentials }

// ParseVerifier parses a verifier as pg_authid.rolpassword holds it.
func ParseVerifier(text string) (Verifier, error) {
	rest, hasMechanism := strings.CutPrefix(text, Mechanism+"$")
	factors, keys, hasKeys := strings.Cut(rest, "$")
	iterationText, saltText, hasSalt := strings.Cut(factors, ":")
	storedText, serverText, hasServerKey := strings.Cut(keys, ":")
	if !hasMechanism || !hasKeys || !hasSalt || !hasServerKey {
		return Verifier{}, ErrInvalidVerifier
	}
	iterations, err := strconv.Atoi(iterationText)
	if err != nil || iterations < minIterations || iterations > maxIterations {
		return Verifier{}, fmt.Errorf("%w: %q iterations, want %d to %d", ErrInvalidVerifier, iterationText, minIterations, maxIterations)
	}
	salt, err := decodePart("salt", saltText, minSaltBytes, maxSaltBytes)
	if err != nil {
		return Verifier{}, err
	}
	storedKey, err := decodePart("stored key", storedText, sha256.Size, sha256.Size)
	if err != nil {
		return Verifier{}, err
	}
	serverKey, err := decodePart("server key", serverText, sha256.Size, sha256.Size)
	if err != nil {
		return Verifier{}, err
	}
	return Verifier{scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(salt), Iters: iterations},
		StoredKey:  storedKey,
		ServerKey:  serverKey,
	}}, nil
}

// decodePart decodes one part of a verifier and checks its length.
func decodePart(name, text string, minBytes, maxBytes int) ([]byte, error) {
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInvalidVerifier, name, err)
	}
	if len(b) < minBytes || len(b) > maxBytes {
		return nil, fmt.Errorf("%w: %s of %d bytes", ErrInvalidVerifier, name, len(b))
	}
	return b, nil
}

// NewVerifier returns the verifier of a password, with a random salt.
func NewVerifier(password string) (Verifier, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return Verifier{}, fmt.Errorf("password: %w", err)
	}
	salt := randomBytes(saltBytes)
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: defaultIterations})
	if err != nil {
		return Verifier{}, fmt.Errorf("password: %w", err)
	}
	return Verifier{stored}, nil
}

// String returns the verifier as ParseVerifier parses it.
func (v Verifier) String() string {
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d:%s$%s:%s", Mechanism, v.stored.Iters, encode([]byte(v.stored.Salt)), encode(v.stored.StoredKey), encode(v.stored.ServerKey))
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b) // it never fails: crypto/rand ends the program instead
	return b
}
