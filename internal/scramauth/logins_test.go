package scramauth

import (
	"errors"
	"strings"
	"testing"

	"github.com/xdg-go/scram"
)

// pencil is the verifier of RFC 7677's example, its salt and iterations, as PostgreSQL writes it.
const pencil = "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==$WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=:wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU="

// Verifiers come back as they were written, and what is none is told.
func TestVerifiers(t *testing.T) {
	v, err := ParseVerifier(pencil)
	if err != nil || v.String() != pencil {
		t.Fatal(v, err)
	}
	c, err := scram.SHA256.NewClient("", "pencil", "")
	if err != nil {
		t.Fatal(err)
	}
	if own := (Verifier{c.GetStoredCredentials(v.stored.KeyFactors)}); own.String() != pencil {
		t.Errorf("of the example's password and salt: %s", own)
	}
	a, err := NewVerifier("pencil")
	b, err2 := NewVerifier("pencil")
	if err != nil || err2 != nil || a.String() == b.String() {
		t.Errorf("two verifiers of one password: %v, %v, %v, %v", a, b, err, err2)
	}
	for _, bad := range []string{
		"", "pencil", "md5abc", strings.Replace(pencil, "4096", "1", 1), strings.Replace(pencil, "4096", "99999999", 1), strings.Replace(pencil, "4096", "x", 1),
		strings.Replace(pencil, "W22ZaJ0SNY7soEsUEjb6gQ==", "W22Z", 1), strings.Replace(pencil, "==$", "$", 1), pencil[:len(pencil)-4], strings.Replace(pencil, "$WG", "WG", 1),
	} {
		if _, err := ParseVerifier(bad); !errors.Is(err, ErrInvalidVerifier) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// An unknown user is shown the same salt each time, another name another one, and no proof is good.
func TestUnknownUsers(t *testing.T) {
	v, err := ParseVerifier(pencil)
	if err != nil {
		t.Fatal(err)
	}
	u := NewUsers([]User{{Name: "user", Verifier: v}})
	if u.Get("user") == nil || u.Get("other") != nil {
		t.Error("users are mixed up")
	}
	salts := map[string]string{}
	for i, name := range []string{"user", "other", "third", "other", "user"} {
		if i == 3 { // the file is read again
			u = u.WithUsers([]User{{Name: "user", Verifier: v}})
		}
		l, err := u.StartLogin(name)
		if err != nil {
			t.Fatal(err)
		}
		answer, done, err := l.Step("n,,n=,r=rOprNGfwEbeRWgbNEkqO")
		if err != nil || done {
			t.Fatal(answer, done, err)
		}
		_, salt, _ := strings.Cut(answer, ",s=")
		if was, ok := salts[name]; ok && was != salt {
			t.Errorf("%s was shown %s and %s", name, was, salt)
		}
		salts[name] = salt
		nonce, _, _ := strings.Cut(answer, ",")
		if _, done, err := l.Step("c=biws," + nonce + ",p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ="); done || !errors.Is(err, ErrDenied) {
			t.Errorf("%s: %v, %v", name, done, err)
		}
	}
	if salts["other"] == salts["third"] || len(salts["other"]) != len(salts["user"]) {
		t.Errorf("salts: %v", salts)
	}
}

// Any messages end in a denial or an error, never in a login.
func FuzzLogin(f *testing.F) {
	v, err := ParseVerifier(pencil)
	if err != nil {
		f.Fatal(err)
	}
	u := NewUsers([]User{{Name: "user", Verifier: v}})
	f.Add("n,,n=,r=rOprNGfwEbeRWgbNEkqO", "c=biws,r=x,p=AAAA")
	f.Add("y,,n=a,r=b", "")
	f.Add("p=tls-exporter,,n=,r=a", "c=")
	f.Fuzz(func(t *testing.T, first, final string) {
		l, err := u.StartLogin("user")
		if err != nil {
			t.Fatal(err)
		}
		if _, done, err := l.Step(first); done || err != nil {
			if done {
				t.Error("logged in by one message")
			}
			return
		}
		if _, done, _ := l.Step(final); done {
			t.Error("logged in without the password")
		}
	})
}

// FuzzVerifier reads any text; what is read writes itself back to the same verifier.
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
