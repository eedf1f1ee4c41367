package scramauth

import (
	"errors"
	"strings"
	"testing"
)

// TestUnknownUsers checks that an unknown user is shown the same salt each time, another name another
// one, and that no proof is accepted.
func TestUnknownUsers(t *testing.T) {
	v, err := ParseVerifier(pencil)
	if err != nil {
		t.Fatal(err)
	}
	u := NewUsers([]User{{Name: "user", Verifier: v}})
	if u.Get("user") == nil || u.Get("other") != nil {
		t.Error("Get returned another user")
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
		response, done, err := l.Step("n,,n=,r=rOprNGfwEbeRWgbNEkqO")
		if err != nil || done {
			t.Fatal(response, done, err)
		}
		_, salt, _ := strings.Cut(response, ",s=")
		if before, ok := salts[name]; ok && before != salt {
			t.Errorf("salts shown to %s = %s and %s, want the same", name, before, salt)
		}
		salts[name] = salt
		nonce, _, _ := strings.Cut(response, ",")
		if _, done, err := l.Step("c=biws," + nonce + ",p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ="); done || !errors.Is(err, ErrDenied) {
			t.Errorf("login of %s with a wrong proof: done = %v, %v, want %v", name, done, err, ErrDenied)
		}
	}
	if salts["other"] == salts["third"] || len(salts["other"]) != len(salts["user"]) {
		t.Errorf("salts: %v", salts)
	}
}

// FuzzLogin checks that any messages end in a denial or an error, never in a login.
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
				t.Error("login with one message succeeded")
			}
			return
		}
		if _, done, _ := l.Step(final); done {
			t.Error("login without the password succeeded")
		}
	})
}
