package scramauth

import (
	"errors"
	"strings"
	"testing"

	"github.com/xdg-go/scram"
)

// pencil is the verifier of RFC 7677's example, its salt and iterations, as PostgreSQL writes it.
const pencil = "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU="

// TestParseVerifier checks that verifiers write themselves back, and that anything else is refused.
func TestParseVerifier(t *testing.T) {
	v, err := ParseVerifier(pencil)
	if err != nil || v.String() != pencil {
		t.Fatal(v, err)
	}
	c, err := scram.SHA256.NewClient("", "pencil", "")
	if err != nil {
		t.Fatal(err)
	}
	stored, err := c.GetStoredCredentialsWithError(v.credentials.KeyFactors)
	if err != nil {
		t.Fatal(err)
	}
	if own := (Verifier{stored}); own.String() != pencil {
		t.Errorf("verifier of the example's password and salt = %s, want %s", own, pencil)
	}
	first, err := NewVerifier("pencil")
	if err != nil {
		t.Fatal(err)
	}
	second, err := NewVerifier("pencil")
	if err != nil || first.String() == second.String() {
		t.Errorf("two verifiers of one password = %v and %v, %v, want different salts", first, second, err)
	}
	for _, bad := range []string{
		"", "pencil", "md5abc", strings.Replace(pencil, "4096", "1", 1), strings.Replace(pencil, "4096", "99999999", 1), strings.Replace(pencil, "4096", "x", 1),
		strings.Replace(pencil, "W22ZaJ0SNY7soEsUEjb6gQ==", "W22Z", 1), strings.Replace(pencil, "==$", "$", 1), pencil[:len(pencil)-4], strings.Replace(pencil, "$WG", "WG", 1),
	} {
		if _, err := ParseVerifier(bad); !errors.Is(err, ErrInvalidVerifier) {
			t.Errorf("ParseVerifier(%q) = %v, want %v", bad, err, ErrInvalidVerifier)
		}
	}
}

// FuzzVerifier checks that any text is refused, or a verifier that writes itself back.
func FuzzVerifier(f *testing.F) {
	f.Add(pencil)
	f.Fuzz(func(t *testing.T, s string) {
		v, err := ParseVerifier(s)
		if err != nil {
			return
		}
		if again, err := ParseVerifier(v.String()); err != nil || again.String() != v.String() {
			t.Errorf("%q: %v", s, err)
		}
	})
}
