package scramauth

import (
	"errors"
	"strings"
	"testing"

	"github.com/xdg-go/scram"
)

// rfcVerifier is the verifier of the example in RFC 7677 (password "pencil", with its salt and
// iterations), in the format of PostgreSQL.
const rfcVerifier = "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU="

// TestParseVerifier checks that a verifier has the same text after parsing, that it equals the one computed
// from the password and salt, that new verifiers have different salts, and that invalid texts are rejected.
func TestParseVerifier(t *testing.T) {
	v, err := ParseVerifier(rfcVerifier)
	if err != nil || v.String() != rfcVerifier {
		t.Fatalf("ParseVerifier = %s, error %v, want %s", v, err, rfcVerifier)
	}
	c, err := scram.SHA256.NewClient("", "pencil", "")
	if err != nil {
		t.Fatal(err)
	}
	credentials, err := c.GetStoredCredentialsWithError(v.credentials.KeyFactors)
	if err != nil {
		t.Fatal(err)
	}
	if computed := (Verifier{credentials}); computed.String() != rfcVerifier {
		t.Errorf("verifier computed from the example's password and salt = %s, want %s", computed, rfcVerifier)
	}
	first, err := NewVerifier("pencil")
	if err != nil {
		t.Fatal(err)
	}
	second, err := NewVerifier("pencil")
	if err != nil || first.String() == second.String() {
		t.Errorf("two verifiers of one password = %v and %v, error %v, want different salts", first, second, err)
	}
	for _, invalid := range []string{
		"", "pencil", "md5abc", strings.Replace(rfcVerifier, "4096", "1", 1), strings.Replace(rfcVerifier, "4096", "99999999", 1), strings.Replace(rfcVerifier, "4096", "x", 1),
		strings.Replace(rfcVerifier, "W22ZaJ0SNY7soEsUEjb6gQ==", "W22Z", 1), strings.Replace(rfcVerifier, "==$", "$", 1), rfcVerifier[:len(rfcVerifier)-4], strings.Replace(rfcVerifier, "$WG", "WG", 1),
	} {
		if _, err := ParseVerifier(invalid); !errors.Is(err, ErrInvalidVerifier) {
			t.Errorf("ParseVerifier(%q): error %v, want %v", invalid, err, ErrInvalidVerifier)
		}
	}
}

// FuzzVerifier checks that any text is either rejected or parsed to a verifier whose text parses to the same one.
func FuzzVerifier(f *testing.F) {
	f.Add(rfcVerifier)
	f.Fuzz(func(t *testing.T, s string) {
		v, err := ParseVerifier(s)
		if err != nil {
			return
		}
		if again, err := ParseVerifier(v.String()); err != nil || again.String() != v.String() {
			t.Errorf("parsing the verifier of %q again = %v, error %v, want %v", s, again, err, v)
		}
	})
}
