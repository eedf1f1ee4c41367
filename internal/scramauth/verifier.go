// Package scramauth authenticates users by SCRAM-SHA-256 (RFC 5802, RFC 7677), with verifiers in the
// format of PostgreSQL. No passwords are stored, and a client cannot distinguish an unknown user from
// a wrong password.
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

// Mechanism is the name of the supported SASL mechanism.
const Mechanism = "SCRAM-SHA-256"

// Limits of verifiers, and the values that new verifiers have.
const (
	defaultIterations = 4096
	minIterations     = 4096
	maxIterations     = 1_000_000 // the client does the computation, but input is bounded all the same
	saltBytes         = 16        // length of the salt in new verifiers
	minSaltBytes      = 8
	maxSaltBytes      = 64
)

// ErrInvalidVerifier is returned for a text that is not a valid verifier.
var ErrInvalidVerifier = errors.New("invalid verifier, want SCRAM-SHA-256$ITERATIONS:SALT$STOREDKEY:SERVERKEY")

// Verifier contains the keys and the salt with which a user's password can be verified.
type Verifier struct{ credentials scram.StoredCredentials }

// ParseVerifier parses a verifier in the format of PostgreSQL's pg_authid.rolpassword.
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

// decodePart decodes the base64 text of one part of a verifier and checks its length.
func decodePart(name, text string, minBytes, maxBytes int) ([]byte, error) {
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrInvalidVerifier, name, err)
	}
	if len(b) < minBytes || len(b) > maxBytes {
		return nil, fmt.Errorf("%w: %s of %d bytes, want %d to %d", ErrInvalidVerifier, name, len(b), minBytes, maxBytes)
	}
	return b, nil
}

// NewVerifier returns a verifier of the password, with a random salt.
func NewVerifier(password string) (Verifier, error) {
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		return Verifier{}, fmt.Errorf("password: %w", err)
	}
	salt := randomBytes(saltBytes)
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: defaultIterations})
	if err != nil {
		return Verifier{}, fmt.Errorf("password: %w", err)
	}
	return Verifier{credentials}, nil
}

// String returns the verifier in the format that ParseVerifier accepts.
func (v Verifier) String() string {
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("%s$%d:%s$%s:%s", Mechanism, v.credentials.Iters, encode([]byte(v.credentials.Salt)), encode(v.credentials.StoredKey), encode(v.credentials.ServerKey))
}

// randomBytes returns n cryptographically secure random bytes.
func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never returns an error: crypto/rand terminates the program instead
	return b
}
