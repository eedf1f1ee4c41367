package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gannetspur/internal/decide/remotesite"

	"github.com/google/go-cmp/cmp"
)

// TestSitesDeployFile checks that the deploy file is valid and sets the defaults of the forwarding decisions.
func TestSitesDeployFile(t *testing.T) {
	s, err := LoadSites("../../deploy/sites.toml")
	if err != nil {
		t.Fatal(err)
	}
	want := remotesite.Defaults()
	want.MaxAttempts = 3
	if diff := cmp.Diff(want, s.ForwardingConfig(3)); diff != "" {
		t.Errorf("Decide(3) (-want +got):\n%s", diff)
	}
	if s.Keys.Key != filepath.Join("../../deploy", "sites/lalitpur-1.key") || len(s.Peers) != 1 {
		t.Errorf("LoadSites() = %+v, want one peer and the key ../../deploy/sites/lalitpur-1.key", s)
	}
}

// TestSitesFaults checks that each fault has its field and line, and that the default digest interval fits the
// defaults that depend on it.
func TestSitesFaults(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/sites.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ old, new, field string }{
		{`site = "lalitpur" `, `site = "Lalitpur" `, "site"},
		{`gateway = "lalitpur-1"`, `gateway = ""`, "gateway"},
		{`listen = "127.0.0.1:7443"`, `listen = "nowhere"`, "listen"},
		{`site = "pokhara"`, `site = "lalitpur"`, "peer[0].site"},
		{`address = "127.0.0.1:7444"`, ``, "peer[0].address"},
		{`address = "127.0.0.1:7444"`, "[[peer]]\nsite = \"pokhara\"\ngateway = \"pokhara-1\"\naddress = \"127.0.0.1:1\"", "peer[1].gateway"},
		{`certificate = "sites/lalitpur-1.pem"`, `certificate = ""`, "keys.certificate"},
		{`silent_after_ms = 1500`, `silent_after_ms = 100`, "silent_after_ms"},
		{`word_every_ms = 250`, `word_every_ms = 600`, "word_every_ms"},
		{`stop_above = 0.3`, `stop_above = 0.05`, "stop_above"},
		{`pack = true`, `packed = true`, "packed"},
	} {
		path := filepath.Join(t.TempDir(), "sites.toml")
		text := strings.Replace(string(raw), tt.old, tt.new, 1)
		if text == string(raw) {
			t.Fatalf("deploy/sites.toml does not contain %q", tt.old)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadSites(path)
		faults := FaultsOf(err)
		if !slices.ContainsFunc(faults, func(f Fault) bool { return f.Field == tt.field && f.Line > 0 }) {
			t.Errorf("LoadSites() with %s: error %v, want a fault of %s with its line", tt.new, err, tt.field)
		}
	}
	if d := remotesite.Defaults(); d.DigestMaxAge != 8*d.DigestInterval || d.UnreachableAfter < 3*d.DigestInterval || d.DigestInterval < 20*time.Millisecond {
		t.Errorf("Defaults() = %+v, want DigestMaxAge = 8 * DigestInterval, UnreachableAfter >= 3 * DigestInterval and DigestInterval >= 20 ms", d)
	}
}
