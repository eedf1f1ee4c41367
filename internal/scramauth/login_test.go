package scramauth

import (
	"errors"
	"strings"
	"testing"
)

// TestUnknownUsers checks that an unknown user gets the same salt each time, even after the users are
// reloaded, that different unknown users get different salts, and that a wrong proof is rejected for all
// users. Otherwise clients could tell unknown users from known ones.
func TestUnknownUsers(t *testing.T) {
	v, err := ParseVerifier(rfcVerifier)
	if err != nil {
		t.Fatal(err)
	}
	u := NewUsers([]User{{Name: "user", Verifier: v}})
	if u.Get("user") == nil || u.Get("other") != nil {
		t.Errorf("Get(\"user\") = %v and Get(\"other\") = %v, want a user and nil", u.Get("user"), u.Get("other"))
	}
	salts := map[string]string{}
	for i, name := range []string{"user", "other", "third", "other", "user"} {
		if i == 3 { // the users are reloaded
			u = u.WithUsers([]User{{Name: "user", Verifier: v}})
		}
		l, err := u.StartLogin(name)
		if err != nil {
			t.Fatal(err)
		}
		response, done, err := l.Step("n,,n=,r=rOprNGfwEbeRWgbNEkqO")
		if err != nil || done {
			t.Fatalf("first step: response %q, done = %v, error %v, want done = false and no error", response, done, err)
		}
		_, salt, _ := strings.Cut(response, ",s=")
		if before, ok := salts[name]; ok && before != salt {
			t.Errorf("salts for %s = %s and %s, want the same", name, before, salt)
		}
		salts[name] = salt
		nonce, _, _ := strings.Cut(response, ",")
		if _, done, err := l.Step("c=biws," + nonce + ",p=dHzbZapWIk4jUhN+Ute9ytag9zjfMHgsqmmiz7AndVQ="); done || !errors.Is(err, ErrDenied) {
			t.Errorf("login of %s with a wrong proof: done = %v, error %v, want false and %v", name, done, err, ErrDenied)
		}
	}
	if salts["other"] == salts["third"] || len(salts["other"]) != len(salts["user"]) {
		t.Errorf("salts = %v, want different salts for other and third, and equal lengths for other and user", salts)
	}
}

// FuzzLogin checks that no pair of messages without a valid proof leads to a successful login.
func FuzzLogin(f *testing.F) {
	v, err := ParseVerifier(rfcVerifier)
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
				t.Error("login with a single message succeeded, want done = false")
			}
			return
		}
		if _, done, _ := l.Step(final); done {
			t.Error("login without the password succeeded, want done = false")
		}
	})
}
